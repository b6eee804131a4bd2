//! Encodes counter calls as HTTP/1.1 requests: `POST /v1/count/NAME?add=AMOUNT&ttl_ms=TIME_TO_LIVE`.

use crate::call::{CallOutcome, CounterCall, CounterReply};
use crate::codec::{CodecError, CounterCodec};
use doorcourse_http::{Decoder, Limits, Part, Role};
use std::io::Write;

/// The longest time to live of a counter, in ms; the server reduces a longer one to this.
const MAX_TIME_TO_LIVE_MS: f64 = 60_000.0;
/// The longest body that may hold a total, in bytes.
const MAX_BODY_BYTES: u64 = 256;
/// The start of every response. Checking it detects bytes that are not HTTP as soon as they arrive, instead of at the
/// end of a head.
const RESPONSE_START: &[u8] = b"HTTP/1.";
/// The reply where a response cannot be read. The server responds only after it has processed the call, so the amount
/// was added; the connection has to be closed.
const UNREADABLE_RESPONSE: CounterReply =
    CounterReply { outcome: CallOutcome::AddedWithoutTotal, closes_connection: true };

/// The codec of a counter that speaks HTTP/1.1.
#[derive(Debug)]
pub struct HttpCodec {
    host: String,
    decoder: Decoder,
    /// The HTTP status of the response that is being read.
    status: u16,
    /// Whether the server keeps the connection open after the response that is being read.
    keep_alive: bool,
    body: Vec<u8>,
}

impl HttpCodec {
    /// A codec for a counter; `host` is the value of the Host field of each request (RFC 9112, section 3.2).
    #[must_use]
    pub fn new(host: &str) -> Self {
        Self { host: host.into(), decoder: response_decoder(), status: 0, keep_alive: true, body: Vec::new() }
    }

    fn completed_reply(&self) -> CounterReply {
        let text = std::str::from_utf8(&self.body).ok().map(str::trim);
        let total = text.and_then(|text| text.parse().ok()).filter(|total: &f64| total.is_finite());
        let outcome = match (self.status, total) {
            (200, Some(total)) => CallOutcome::Total(total),
            (200, None) => CallOutcome::AddedWithoutTotal,
            (400 | 404 | 503, _) => CallOutcome::NotAdded,
            _ => CallOutcome::Unknown,
        };
        let is_unexpected = matches!(outcome, CallOutcome::AddedWithoutTotal | CallOutcome::Unknown);
        CounterReply { outcome, closes_connection: !self.keep_alive || is_unexpected }
    }
}

fn response_decoder() -> Decoder {
    Decoder::new(Role::Responses, Limits { line: 512, head: 4 << 10, fields: 32, body: MAX_BODY_BYTES })
}

impl CounterCodec for HttpCodec {
    fn connection_opened(&mut self, _output: &mut Vec<u8>) {
        self.decoder = response_decoder();
        self.body.clear();
    }

    fn encode_call(&mut self, call: &CounterCall, output: &mut Vec<u8>) {
        let time_to_live_ms = call.time_to_live.ceil().clamp(1.0, MAX_TIME_TO_LIVE_MS) as u64;
        // Writing to a Vec cannot fail.
        let _ = write!(
            output,
            "POST /v1/count/{:x}?add={}&ttl_ms={time_to_live_ms} HTTP/1.1\r\nhost: {}\r\ncontent-length: 0\r\n\r\n",
            call.counter, call.amount, self.host
        );
    }

    fn awaits_greeting(&self) -> bool {
        false
    }

    fn decode_reply(&mut self, input: &[u8]) -> Result<(usize, Option<CounterReply>), CodecError> {
        let mut consumed = 0;
        loop {
            let rest = &input[consumed..];
            if !self.decoder.in_message(false) && rest.iter().zip(RESPONSE_START).any(|(a, b)| a != b) {
                return Ok((consumed, Some(UNREADABLE_RESPONSE)));
            }
            let Ok((length, part)) = self.decoder.decode(rest) else {
                return Ok((consumed, Some(UNREADABLE_RESPONSE)));
            };
            consumed += length;
            match part {
                None => return Ok((consumed, None)),
                Some(Part::Head(head)) => {
                    self.status = head.status;
                    self.keep_alive = head.keep_alive;
                    self.body.clear();
                }
                Some(Part::Data(bytes)) => self.body.extend_from_slice(bytes),
                Some(Part::End) => return Ok((consumed, Some(self.completed_reply()))),
            }
        }
    }
}

#[cfg(test)]
mod tests;
