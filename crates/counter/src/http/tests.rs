use super::*;

fn decode(bytes: &[u8]) -> Result<Option<CounterReply>, CodecError> {
    HttpCodec::new("h").decode_reply(bytes).map(|(_, reply)| reply)
}

#[test]
fn each_response_of_the_counter_protocol_has_its_outcome() {
    let reply = |outcome, closes_connection| Ok(Some(CounterReply { outcome, closes_connection }));
    let body = |b: &str| format!("HTTP/1.1 200 OK\r\ncontent-length: {}\r\n\r\n{b}", b.len()).into_bytes();
    assert_eq!(decode(&body("12.5")), reply(CallOutcome::Total(12.5), false));
    assert_eq!(decode(&body("-3\n")), reply(CallOutcome::Total(-3.0), false));
    assert_eq!(decode(&body("NaN")), reply(CallOutcome::AddedWithoutTotal, true));
    assert_eq!(decode(&body("none")), reply(CallOutcome::AddedWithoutTotal, true));
    assert_eq!(decode(&body("")), reply(CallOutcome::AddedWithoutTotal, true));
    for status in [400, 404, 503] {
        let text = format!("HTTP/1.1 {status} X\r\ncontent-length: 0\r\n\r\n");
        assert_eq!(decode(text.as_bytes()), reply(CallOutcome::NotAdded, false));
    }
    let interim_first =
        b"HTTP/1.1 103 Early Hints\r\nlink: x\r\n\r\nHTTP/1.1 200 OK\r\ncontent-length: 1\r\n\r\n7";
    assert_eq!(decode(interim_first), reply(CallOutcome::Total(7.0), false));
    assert_eq!(decode(b"\x00\x01noise\r\n"), reply(CallOutcome::AddedWithoutTotal, true));
    assert_eq!(decode(b"HTTP/1.1 200 OK\r\ncontent-le"), Ok(None));
}

#[test]
fn amount_is_encoded_as_a_plain_decimal_and_life_is_capped() {
    let mut output = Vec::new();
    let call = CounterCall { counter: 0xabc, amount: -2.5e-7, time_to_live: 1e9 };
    HttpCodec::new("10.0.0.1:6400").encode_call(&call, &mut output);
    let text = String::from_utf8(output).unwrap();
    assert!(text.starts_with("POST /v1/count/abc?add=-0.00000025&ttl_ms=60000 HTTP/1.1\r\n"), "{text}");
}
