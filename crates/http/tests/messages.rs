//! Messages split at any byte, and messages that must be rejected.

use doorcourse_http::{Decoder, Error, Framing, Limits, Part, Role};
use proptest::prelude::*;

#[derive(Debug, PartialEq, Clone, Default)]
struct Message {
    line: String,
    fields: Vec<(String, String)>,
    body: Vec<u8>,
}

/// Decodes the pieces in the order in which a connection would deliver them, and collects the complete messages.
fn decode_all(role: Role, limits: Limits, pieces: &[&[u8]]) -> Result<Vec<Message>, Error> {
    let mut decoder = Decoder::new(role, limits);
    let mut unconsumed = Vec::new();
    let mut messages = Vec::new();
    let mut current = Message::default();
    for piece in pieces {
        unconsumed.extend_from_slice(piece);
        loop {
            let (consumed, part) = decoder.decode(&unconsumed)?;
            match part {
                Some(Part::Head(head)) => {
                    current.line = format!("{} {} {}", head.method, head.target, head.status);
                    current.fields = head.fields;
                }
                Some(Part::Data(data)) => current.body.extend_from_slice(data),
                Some(Part::End) => messages.push(std::mem::take(&mut current)),
                None => {
                    unconsumed.drain(..consumed);
                    break;
                }
            }
            unconsumed.drain(..consumed);
        }
    }
    Ok(messages)
}

const PIPELINED: &[u8] = b"POST /graphql HTTP/1.1\r\nHost: a\r\nContent-Length: 5\r\n\r\nhello\
    GET /graphql?query=%7Ba%7D HTTP/1.1\r\nhost: a\r\nX: \t y \r\n\r\n\
    POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n3;x=y\r\nabc\r\n0a\r\n0123456789\r\n0\r\nT: 1\r\n\r\n";

#[test]
fn pipelined_requests_are_decoded_in_order() {
    let messages = decode_all(Role::Requests, Limits::default(), &[PIPELINED]).unwrap();
    assert_eq!(messages.len(), 3);
    assert_eq!(messages[0].body, b"hello");
    assert_eq!(messages[1].fields[1], ("x".into(), "y".into()));
    assert_eq!(messages[2].body, b"abc0123456789");
}

proptest! {
    #[test]
    fn requests_split_at_any_bytes_decode_the_same(mut cuts in prop::collection::vec(0..PIPELINED.len(), 0..12)) {
        cuts.sort_unstable();
        let mut pieces = Vec::new();
        let mut from = 0;
        for cut in cuts {
            pieces.push(&PIPELINED[from..cut]);
            from = cut;
        }
        pieces.push(&PIPELINED[from..]);
        let unsplit = decode_all(Role::Requests, Limits::default(), &[PIPELINED]);
        prop_assert_eq!(decode_all(Role::Requests, Limits::default(), &pieces), unsplit);
    }

    #[test]
    fn arbitrary_bytes_never_panic(noise in prop::collection::vec(any::<u8>(), 0..200), at in 0..PIPELINED.len()) {
        let mut bytes = PIPELINED[..at].to_vec();
        bytes.extend_from_slice(&noise);
        let _ = decode_all(Role::Requests, Limits::default(), &[&bytes]);
        let _ = decode_all(Role::Responses, Limits::default(), &[&bytes]);
    }
}

#[test]
fn requests_split_at_every_byte_decode_the_same() {
    let pieces: Vec<&[u8]> = PIPELINED.chunks(1).collect();
    let unsplit = decode_all(Role::Requests, Limits::default(), &[PIPELINED]);
    assert_eq!(decode_all(Role::Requests, Limits::default(), &pieces), unsplit);
}

#[test]
fn ambiguous_or_malformed_heads_are_rejected() {
    let cases: &[(&str, Error)] = &[
        ("Content-Length: 1\r\nContent-Length: 1\r\n", Error::InvalidFraming),
        ("Content-Length: 1\r\nTransfer-Encoding: chunked\r\n", Error::InvalidFraming),
        ("Content-Length: +1\r\n", Error::InvalidFraming),
        ("Content-Length: 1, 1\r\n", Error::InvalidFraming),
        ("Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n", Error::InvalidFraming),
        ("Transfer-Encoding: identity\r\n", Error::UnknownTransferCoding),
        ("X: 1\n", Error::BareLineFeed),
        ("X: 1\r\n folded\r\n", Error::MalformedField),
        ("X : 1\r\n", Error::MalformedField),
        ("X: a\rb\r\n", Error::MalformedField),
        ("X\r\n", Error::MalformedField),
        ("Host: b\r\n", Error::InvalidHost),
    ];
    for (fields, error) in cases {
        let text = format!("POST / HTTP/1.1\r\nHost: a\r\n{fields}\r\n");
        assert_eq!(
            decode_all(Role::Requests, Limits::default(), &[text.as_bytes()]),
            Err(*error),
            "{fields:?}"
        );
        assert!((400..600).contains(&error.status()));
    }
    for line in ["GET  / HTTP/1.1", "GET /", "G\u{7f}T / HTTP/1.1", " GET / HTTP/1.1"] {
        let text = format!("{line}\r\nHost: a\r\n\r\n");
        let found = decode_all(Role::Requests, Limits::default(), &[text.as_bytes()]);
        assert_eq!(found, Err(Error::MalformedStartLine), "{line:?}");
    }
    let text = b"GET / HTTP/2.0\r\nHost: a\r\n\r\n";
    assert_eq!(decode_all(Role::Requests, Limits::default(), &[text]), Err(Error::UnsupportedVersion));
}

#[test]
fn malformed_chunks_are_rejected() {
    for chunks in ["x\r\n", "-1\r\n", "1\r\nab\r\n", "ffffffffffffffff\r\n", "1 \r\na\r\n", "\r\n"] {
        let text = format!("POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n{chunks}");
        let found = decode_all(Role::Requests, Limits::default(), &[text.as_bytes()]);
        assert_eq!(found, Err(Error::MalformedChunk), "{chunks:?}");
    }
}

#[test]
fn limits_reject_endless_messages_before_their_end() {
    let limits = Limits { line: 100, head: 400, fields: 4, body: 10 };
    let decode_limited = |text: &str| decode_all(Role::Requests, limits, &[text.as_bytes()]);
    assert_eq!(decode_limited(&format!("GET /{}", "a".repeat(200))), Err(Error::StartLineTooLong));
    assert_eq!(
        decode_limited(&format!("GET / HTTP/1.1\r\nX: {}", "a".repeat(500))),
        Err(Error::HeadTooLarge)
    );
    let many_fields = "X: 1\r\n".repeat(9);
    assert_eq!(decode_limited(&format!("GET / HTTP/1.1\r\n{many_fields}")), Err(Error::HeadTooLarge));
    let long = "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 11\r\n\r\n";
    assert_eq!(decode_limited(long), Err(Error::BodyTooLarge));
    let chunked = "POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n6\r\nabcdef\r\n6\r\n";
    assert_eq!(decode_limited(chunked), Err(Error::BodyTooLarge));
}

#[test]
fn response_to_head_has_no_body_and_unframed_body_ends_at_close() {
    let mut decoder = Decoder::new(Role::Responses, Limits::default());
    decoder.next_has_no_body();
    let text = b"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\n";
    let (consumed, part) = decoder.decode(text).unwrap();
    let Some(Part::Head(head)) = part else { panic!("no head") };
    assert_eq!((consumed, head.status, head.framing), (text.len(), 200, Framing::None));
    assert_eq!(decoder.decode(b"").unwrap().1, Some(Part::End));
    let text = b"HTTP/1.0 200 OK\r\n\r\nabc";
    let (consumed, _) = decoder.decode(text).unwrap();
    assert_eq!(decoder.decode(&text[consumed..]).unwrap().1, Some(Part::Data(b"abc")));
    assert_eq!(decoder.closed(false), Ok(true));
    let mut truncated = Decoder::new(Role::Responses, Limits::default());
    truncated.decode(b"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\n").unwrap();
    assert_eq!(truncated.closed(false), Err(Error::InvalidFraming));
}
