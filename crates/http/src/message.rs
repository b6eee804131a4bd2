//! The head of a message, the framing of its body and the limits on both.

/// Bounds on a message. A peer that passes one gets the status of [`Error::status`](crate::Error::status).
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    /// Bytes of the first line, without its end.
    pub line: usize,
    /// Bytes of the whole head.
    pub head: usize,
    /// Header fields.
    pub fields: usize,
    /// Bytes of the body after decoding.
    pub body: u64,
}

impl Default for Limits {
    fn default() -> Self {
        Self { line: 8 << 10, head: 32 << 10, fields: 64, body: 1 << 20 }
    }
}

/// How the end of a body is told (RFC 9112 section 6.3).
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Framing {
    /// There is no body.
    None,
    /// So many bytes.
    Length(u64),
    /// In chunks.
    Chunked,
    /// Until the connection closes; responses only.
    Close,
}

/// The first line and the fields of a message.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Head {
    /// The method; empty in a response.
    pub method: String,
    /// The request target; empty in a response.
    pub target: String,
    /// The status; 0 in a request.
    pub status: u16,
    /// The minor version: 0 or 1.
    pub minor: u8,
    /// Names in lower case, values without surrounding white space, in their order.
    pub fields: Vec<(String, String)>,
    /// How the body ends.
    pub framing: Framing,
    /// Whether the connection may carry another message after this one.
    pub keep_alive: bool,
}

impl Head {
    /// The first value of a field; the name in lower case.
    #[must_use]
    pub fn field(&self, name: &str) -> Option<&str> {
        self.fields.iter().find(|(n, _)| n == name).map(|(_, v)| v.as_str())
    }

    /// Whether a comma-separated field holds a word, in any case.
    #[must_use]
    pub fn has_word(&self, name: &str, word: &str) -> bool {
        let mut values = self.fields.iter().filter(|(n, _)| n == name);
        values.any(|(_, v)| v.split(',').any(|w| w.trim().eq_ignore_ascii_case(word)))
    }

    /// Whether the client waits for `100 Continue` before it sends the body.
    #[must_use]
    pub fn expects_continue(&self) -> bool {
        self.minor == 1 && self.has_word("expect", "100-continue")
    }
}
