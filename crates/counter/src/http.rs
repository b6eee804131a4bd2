//! Calls as HTTP/1.1 requests of the platform's counter: POST /v1/count/NAME?add=AMOUNT&ttl_ms=LIFE.

use crate::link::{Call, Codec, Ended, Reply};
use doorcourse_http::{Decoder, Limits, Part, Role};
use std::io::Write;

/// The longest life of a name in ms; the counter takes any longer one for this.
const LONGEST: f64 = 60_000.0;
/// Bytes of a body that may hold a total: more is none.
const BODY: u64 = 256;

/// What cannot be read is the answer to a call that had its turn all the same.
const SPOILT: Option<Reply> = Some(Reply { ended: Ended::Added, last: true });
/// How each answer begins: noise shows at its first byte, not when a head's worth of it has come.
const START: &[u8] = b"HTTP/1.";

/// The codec of a counter that speaks HTTP/1.1.
#[derive(Debug)]
pub struct HttpCodec {
    host: String,
    decoder: Decoder,
    status: u16,
    keep_alive: bool,
    body: Vec<u8>,
}

impl HttpCodec {
    /// A codec for the counter at an address, which the Host field names.
    #[must_use]
    pub fn new(host: &str) -> Self {
        Self { host: host.into(), decoder: decoder(), status: 0, keep_alive: true, body: Vec::new() }
    }
}

fn decoder() -> Decoder {
    Decoder::new(Role::Responses, Limits { line: 512, head: 4 << 10, fields: 32, body: BODY })
}

impl Codec for HttpCodec {
    fn open(&mut self, _: &mut Vec<u8>) {
        self.decoder = decoder();
        self.body.clear();
    }

    fn call(&mut self, call: &Call, out: &mut Vec<u8>) {
        let keep = call.keep.ceil().clamp(1.0, LONGEST) as u64;
        let _ = write!(
            out,
            "POST /v1/count/{:x}?add={}&ttl_ms={keep} HTTP/1.1\r\nhost: {}\r\ncontent-length: 0\r\n\r\n",
            call.name, call.amount, self.host
        );
    }

    fn waits(&self) -> bool {
        false
    }

    fn read(&mut self, input: &[u8]) -> Result<(usize, Option<Reply>), String> {
        let mut used = 0;
        loop {
            let begun = &input[used..];
            if !self.decoder.in_message(false) && begun.iter().zip(START).any(|(a, b)| a != b) {
                return Ok((used, SPOILT));
            }
            let Ok((took, part)) = self.decoder.decode(&input[used..]) else { return Ok((used, SPOILT)) };
            used += took;
            match part {
                None => return Ok((used, None)),
                Some(Part::Head(head)) => {
                    (self.status, self.keep_alive) = (head.status, head.keep_alive);
                    self.body.clear();
                }
                Some(Part::Data(bytes)) => self.body.extend_from_slice(bytes),
                Some(Part::End) => {
                    let text = std::str::from_utf8(&self.body).ok().map(str::trim);
                    let total = text.and_then(|t| t.parse().ok()).filter(|t: &f64| t.is_finite());
                    let ended = match (self.status, total) {
                        (200, Some(total)) => Ended::Total(total),
                        (400 | 404 | 503, _) => Ended::NotAdded,
                        (200, None) => Ended::Added,
                        _ => Ended::Unknown,
                    };
                    let last = !self.keep_alive || matches!(ended, Ended::Added | Ended::Unknown);
                    return Ok((used, Some(Reply { ended, last })));
                }
            }
        }
    }
}

#[cfg(test)]
mod tests;
