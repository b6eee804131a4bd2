//! RESP clients, and predicates for the responses that they receive.

use super::WAIT_LIMIT;
use doorcourse_resp::{Value, decode};
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicUsize, Ordering};

pub(crate) struct Client {
    pub stream: TcpStream,
    input: Vec<u8>,
}

static NEXT_ID: AtomicUsize = AtomicUsize::new(1);

/// Returns a request id that no other request of this process has.
pub(crate) fn new_id() -> String {
    format!("{:016x}", NEXT_ID.fetch_add(1, Ordering::SeqCst))
}

impl Client {
    pub(crate) fn open(address: SocketAddr) -> Self {
        Self::on(TcpStream::connect(address).unwrap())
    }

    pub(crate) fn on(stream: TcpStream) -> Self {
        stream.set_read_timeout(Some(WAIT_LIMIT)).unwrap();
        Self { stream, input: Vec::new() }
    }

    pub(crate) fn send(&mut self, arguments: &[&str]) {
        let mut bytes = Vec::new();
        doorcourse_resp::encode_command(&mut bytes, arguments);
        self.stream.write_all(&bytes).unwrap();
    }

    pub(crate) fn call(&mut self, arguments: &[&str]) -> Value {
        self.send(arguments);
        self.read_response().expect("a response")
    }

    /// Sends a request of a class with a deadline in ms and a new id, and returns its response.
    pub(crate) fn request(&mut self, class: &str, deadline_ms: u32) -> Value {
        self.send_request(class, deadline_ms);
        self.read_response().expect("a response")
    }

    /// Like [`request`](Self::request), on a connection that the gateway may close; returns `None` if it did.
    pub(crate) fn try_request(&mut self, class: &str, deadline_ms: u32) -> Option<Value> {
        if self.begin_request(class, deadline_ms).1 { self.read_response() } else { None }
    }

    /// Sends a request without waiting for its response. Returns its id, and whether it could be written.
    pub(crate) fn begin_request(&mut self, class: &str, deadline_ms: u32) -> (String, bool) {
        let mut bytes = Vec::new();
        let id = self.append_request(class, deadline_ms, &mut bytes);
        (id, self.stream.write_all(&bytes).is_ok())
    }

    pub(crate) fn send_request(&mut self, class: &str, deadline_ms: u32) -> String {
        let (id, is_written) = self.begin_request(class, deadline_ms);
        assert!(is_written, "the connection closed");
        id
    }

    /// Encodes a request with a new id.
    pub(crate) fn encode_request(&mut self, class: &str, deadline_ms: u32) -> Vec<u8> {
        let mut bytes = Vec::new();
        self.append_request(class, deadline_ms, &mut bytes);
        bytes
    }

    fn append_request(&mut self, class: &str, deadline_ms: u32, bytes: &mut Vec<u8>) -> String {
        let id = new_id();
        let key = if class == "save" { format!(",k={id}") } else { String::new() };
        let list = format!("c={class},t=team,d={deadline_ms}{key},units=1,spread=1,first=0");
        let command = if class == "lookup" { "Q.ASK" } else { "Q.DO" };
        let arguments = [command, "00000000b4d65521", &id, &list, "BODY"];
        doorcourse_resp::encode_command(bytes, &arguments[..if class == "lookup" { 4 } else { 5 }]);
        id
    }

    /// Waits until the gateway has closed its side, without reading what it wrote before.
    pub(crate) fn wait_for_close(&self) {
        use rustix::event::{PollFd, PollFlags, Timespec, poll};
        let mut fds = [PollFd::new(&self.stream, PollFlags::RDHUP)];
        let limit = Timespec { tv_sec: WAIT_LIMIT.as_secs() as i64, tv_nsec: 0 };
        assert_eq!(poll(&mut fds, Some(&limit)).unwrap(), 1, "the connection is not closed");
    }

    /// Reads until the gateway closes the connection, which must not be a reset.
    pub(crate) fn read_to_end(&mut self) -> String {
        let mut text = String::from_utf8(std::mem::take(&mut self.input)).unwrap();
        self.stream.read_to_string(&mut text).expect("an orderly close, not a reset");
        text
    }

    /// Reads the next response; returns `None` if the connection was closed or reset.
    pub(crate) fn read_response(&mut self) -> Option<Value> {
        let mut buffer = [0; 4096];
        loop {
            if let Some((value, consumed)) = decode(&self.input).expect("the gateway writes valid RESP") {
                self.input.drain(..consumed);
                return Some(value);
            }
            match self.stream.read(&mut buffer) {
                Ok(0) => return None,
                Ok(n) => self.input.extend_from_slice(&buffer[..n]),
                Err(e) if e.kind() == std::io::ErrorKind::ConnectionReset => return None,
                Err(e) => panic!("no response and no close: {e}"),
            }
        }
    }
}

pub(crate) fn is_served(value: &Value, text: &str) -> bool {
    *value == Value::Bulk(text.as_bytes().to_vec())
}

/// Whether the request failed; it may have been executed.
pub(crate) fn is_failed(value: &Value) -> bool {
    matches!(value, Value::Error(text) if text.starts_with("ERR failed"))
}

pub(crate) fn is_rejected(value: &Value) -> bool {
    matches!(value, Value::Error(text) if text == "BUSY" || text.starts_with("BUSY "))
}

/// Whether the response is an error about the command itself.
pub(crate) fn is_invalid(value: &Value) -> bool {
    matches!(value, Value::Error(text) if text.starts_with("ERR ") && !text.starts_with("ERR failed"))
}
