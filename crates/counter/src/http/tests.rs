use super::*;

fn read(bytes: &[u8]) -> Result<Option<Reply>, String> {
    HttpCodec::new("h").read(bytes).map(|r| r.1)
}

#[test]
fn each_answer_of_the_page() {
    let total = |ended, last| Ok(Some(Reply { ended, last }));
    let body = |b: &str| format!("HTTP/1.1 200 OK\r\ncontent-length: {}\r\n\r\n{b}", b.len()).into_bytes();
    assert_eq!(read(&body("12.5")), total(Ended::Total(12.5), false));
    assert_eq!(read(&body("-3\n")), total(Ended::Total(-3.0), false));
    assert_eq!(read(&body("NaN")), total(Ended::Added, true));
    assert_eq!(read(&body("none")), total(Ended::Added, true));
    assert_eq!(read(&body("")), total(Ended::Added, true));
    for status in [400, 404, 503] {
        let text = format!("HTTP/1.1 {status} X\r\ncontent-length: 0\r\n\r\n");
        assert_eq!(read(text.as_bytes()), total(Ended::NotAdded, false));
    }
    let early = b"HTTP/1.1 103 Early Hints\r\nlink: x\r\n\r\nHTTP/1.1 200 OK\r\ncontent-length: 1\r\n\r\n7";
    assert_eq!(read(early), total(Ended::Total(7.0), false));
    assert_eq!(read(b"\x00\x01noise\r\n"), total(Ended::Added, true));
    assert_eq!(read(b"HTTP/1.1 200 OK\r\ncontent-le"), Ok(None));
}

#[test]
fn a_call_s_amount_is_a_plain_decimal() {
    let mut out = Vec::new();
    let call = Call { name: 0xabc, amount: -2.5e-7, keep: 1e9 };
    HttpCodec::new("10.0.0.1:6400").call(&call, &mut out);
    let text = String::from_utf8(out).unwrap();
    assert!(text.starts_with("POST /v1/count/abc?add=-0.00000025&ttl_ms=60000 HTTP/1.1\r\n"), "{text}");
}
