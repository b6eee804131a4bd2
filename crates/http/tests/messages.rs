//! Messages in pieces, and the shapes that must not pass.

use doorcourse_http::{Decoder, Error, Framing, Limits, Part, Role};
use proptest::prelude::*;

#[derive(Debug, PartialEq, Clone, Default)]
struct Message {
    line: String,
    fields: Vec<(String, String)>,
    body: Vec<u8>,
}

/// Feeds the pieces as a connection would and collects whole messages.
fn read(role: Role, limits: Limits, pieces: &[&[u8]]) -> Result<Vec<Message>, Error> {
    let (mut decoder, mut held, mut messages) = (Decoder::new(role, limits), Vec::new(), Vec::new());
    let mut now = Message::default();
    for piece in pieces {
        held.extend_from_slice(piece);
        loop {
            let (used, part) = decoder.decode(&held)?;
            match part {
                Some(Part::Head(h)) => {
                    now = Message { line: format!("{} {} {}", h.method, h.target, h.status), ..now };
                    now.fields = h.fields;
                }
                Some(Part::Data(d)) => now.body.extend_from_slice(d),
                Some(Part::End) => messages.push(std::mem::take(&mut now)),
                None => {
                    held.drain(..used);
                    break;
                }
            }
            held.drain(..used);
        }
    }
    Ok(messages)
}

const TWO: &[u8] = b"POST /graphql HTTP/1.1\r\nHost: a\r\nContent-Length: 5\r\n\r\nhello\
    GET /graphql?query=%7Ba%7D HTTP/1.1\r\nhost: a\r\nX: \t y \r\n\r\n\
    POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n3;x=y\r\nabc\r\n0a\r\n0123456789\r\n0\r\nT: 1\r\n\r\n";

#[test]
fn pipelined_messages_come_out_whole() {
    let messages = read(Role::Requests, Limits::default(), &[TWO]).unwrap();
    assert_eq!(messages.len(), 3);
    assert_eq!(messages[0].body, b"hello");
    assert_eq!(messages[1].fields[1], ("x".into(), "y".into()));
    assert_eq!(messages[2].body, b"abc0123456789");
}

proptest! {
    #[test]
    fn any_split_gives_the_same_messages(mut cuts in prop::collection::vec(0..TWO.len(), 0..12)) {
        cuts.sort_unstable();
        let mut pieces = Vec::new();
        let mut from = 0;
        for cut in cuts { pieces.push(&TWO[from..cut]); from = cut; }
        pieces.push(&TWO[from..]);
        let whole = read(Role::Requests, Limits::default(), &[TWO]);
        prop_assert_eq!(read(Role::Requests, Limits::default(), &pieces), whole);
    }

    #[test]
    fn noise_never_panics(noise in prop::collection::vec(any::<u8>(), 0..200), at in 0..TWO.len()) {
        let mut bytes = TWO[..at].to_vec();
        bytes.extend_from_slice(&noise);
        let _ = read(Role::Requests, Limits::default(), &[&bytes]);
        let _ = read(Role::Responses, Limits::default(), &[&bytes]);
    }
}

#[test]
fn byte_by_byte_is_the_same() {
    let pieces: Vec<&[u8]> = TWO.chunks(1).collect();
    let whole = read(Role::Requests, Limits::default(), &[TWO]);
    assert_eq!(read(Role::Requests, Limits::default(), &pieces), whole);
}

#[test]
fn smuggling_shapes_are_errors() {
    let cases: &[(&str, Error)] = &[
        ("Content-Length: 1\r\nContent-Length: 1\r\n", Error::Framing),
        ("Content-Length: 1\r\nTransfer-Encoding: chunked\r\n", Error::Framing),
        ("Content-Length: +1\r\n", Error::Framing),
        ("Content-Length: 1, 1\r\n", Error::Framing),
        ("Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n", Error::Framing),
        ("Transfer-Encoding: identity\r\n", Error::Coding),
        ("X: 1\n", Error::BareLineFeed),
        ("X: 1\r\n folded\r\n", Error::Field),
        ("X : 1\r\n", Error::Field),
        ("X: a\rb\r\n", Error::Field),
        ("X\r\n", Error::Field),
        ("Host: b\r\n", Error::Host),
    ];
    for (fields, error) in cases {
        let text = format!("POST / HTTP/1.1\r\nHost: a\r\n{fields}\r\n");
        assert_eq!(read(Role::Requests, Limits::default(), &[text.as_bytes()]), Err(*error), "{fields:?}");
        assert!((400..600).contains(&error.status()));
    }
    for line in ["GET  / HTTP/1.1", "GET /", "G\u{7f}T / HTTP/1.1", " GET / HTTP/1.1"] {
        let text = format!("{line}\r\nHost: a\r\n\r\n");
        let found = read(Role::Requests, Limits::default(), &[text.as_bytes()]);
        assert_eq!(found, Err(Error::StartLine), "{line:?}");
    }
    let text = b"GET / HTTP/2.0\r\nHost: a\r\n\r\n";
    assert_eq!(read(Role::Requests, Limits::default(), &[text]), Err(Error::Version));
}

#[test]
fn bad_chunks_are_errors() {
    for chunks in ["x\r\n", "-1\r\n", "1\r\nab\r\n", "ffffffffffffffff\r\n", "1 \r\na\r\n", "\r\n"] {
        let text = format!("POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n{chunks}");
        let found = read(Role::Requests, Limits::default(), &[text.as_bytes()]);
        assert_eq!(found, Err(Error::Chunk), "{chunks:?}");
    }
}

#[test]
fn floods_meet_their_limits_before_they_end() {
    let limits = Limits { line: 100, head: 400, fields: 4, body: 10 };
    let flood = |text: &str| read(Role::Requests, limits, &[text.as_bytes()]);
    assert_eq!(flood(&format!("GET /{}", "a".repeat(200))), Err(Error::LineTooLong));
    assert_eq!(flood(&format!("GET / HTTP/1.1\r\nX: {}", "a".repeat(500))), Err(Error::HeadTooLarge));
    let many = "X: 1\r\n".repeat(9);
    assert_eq!(flood(&format!("GET / HTTP/1.1\r\n{many}")), Err(Error::HeadTooLarge));
    let long = "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 11\r\n\r\n";
    assert_eq!(flood(long), Err(Error::BodyTooLarge));
    let chunked = "POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n6\r\nabcdef\r\n6\r\n";
    assert_eq!(flood(chunked), Err(Error::BodyTooLarge));
}

#[test]
fn responses_without_a_body_and_to_the_close() {
    let mut decoder = Decoder::new(Role::Responses, Limits::default());
    decoder.next_has_no_body();
    let text = b"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\n";
    let (used, part) = decoder.decode(text).unwrap();
    let Some(Part::Head(head)) = part else { panic!("no head") };
    assert_eq!((used, head.status, head.framing), (text.len(), 200, Framing::None));
    assert_eq!(decoder.decode(b"").unwrap().1, Some(Part::End));
    let text = b"HTTP/1.0 200 OK\r\n\r\nabc";
    let (used, _) = decoder.decode(text).unwrap();
    assert_eq!(decoder.decode(&text[used..]).unwrap().1, Some(Part::Data(b"abc")));
    assert_eq!(decoder.closed(false), Ok(true));
    let mut cut = Decoder::new(Role::Responses, Limits::default());
    cut.decode(b"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\n").unwrap();
    assert_eq!(cut.closed(false), Err(Error::Framing));
}
