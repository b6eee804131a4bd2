//! The head of a message, the framing of its body and the limits on both.

/// Limits on one message. A server answers a request that exceeds one with the status code of
/// [`Error::status`](crate::Error::status).
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    /// The longest start line in bytes, without its CRLF.
    pub line: usize,
    /// The longest head in bytes, without its last CRLF; also the longest trailer section.
    pub head: usize,
    /// The most header fields.
    pub fields: usize,
    /// The longest body in bytes, without the chunk framing.
    pub body: u64,
}

impl Default for Limits {
    fn default() -> Self {
        Self { line: 8 << 10, head: 32 << 10, fields: 64, body: 1 << 20 }
    }
}

/// How the length of a body is determined (RFC 9112 section 6.3).
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Framing {
    /// There is no body.
    None,
    /// The number of bytes that Content-Length states.
    Length(u64),
    /// Chunked transfer coding.
    Chunked,
    /// All bytes until the connection closes; responses only.
    Close,
}

/// The start line and the header fields of a message.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Head {
    /// The method; empty in a response.
    pub method: String,
    /// The request target; empty in a response.
    pub target: String,
    /// The status code; 0 in a request.
    pub status: u16,
    /// The minor version: 0 or 1.
    pub minor: u8,
    /// Names in lower case and values without surrounding white space, in the order of the message.
    pub fields: Vec<(String, String)>,
    /// How the length of the body is determined.
    pub framing: Framing,
    /// Whether the connection may carry another message after this one (RFC 9112 section 9.3).
    pub keep_alive: bool,
}

impl Head {
    /// The value of the first field with this name, which must be in lower case.
    #[must_use]
    pub fn field(&self, name: &str) -> Option<&str> {
        self.fields.iter().find(|(field_name, _)| field_name == name).map(|(_, value)| value.as_str())
    }

    /// Whether the comma-separated list in a field with this name contains a token, compared without regard to case.
    /// The name must be in lower case.
    #[must_use]
    pub fn has_token(&self, name: &str, token: &str) -> bool {
        let mut lists = self.fields.iter().filter(|(field_name, _)| field_name == name);
        lists.any(|(_, list)| list.split(',').any(|member| member.trim().eq_ignore_ascii_case(token)))
    }

    /// Whether the client waits for `100 Continue` before it sends the body (RFC 9110 section 10.1.1).
    #[must_use]
    pub fn expects_continue(&self) -> bool {
        self.minor == 1 && self.has_token("expect", "100-continue")
    }

    /// Whether this is an interim response, which a final one follows (RFC 9110 section 15.2).
    pub(crate) fn is_interim(&self) -> bool {
        (100..200).contains(&self.status)
    }

    /// The number of field lines with this name, which must be in lower case.
    pub(crate) fn field_count(&self, name: &str) -> usize {
        self.fields.iter().filter(|(field_name, _)| field_name == name).count()
    }
}
