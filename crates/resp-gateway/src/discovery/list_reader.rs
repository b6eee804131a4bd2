//! Takes endpoint lists out of the bytes of a response as they arrive.

use crate::endpoints::{EndpointList, EndpointListError};

/// Finds the end of a JSON value while its bytes arrive, each of which is examined once.
#[derive(Default)]
struct ValueScanner {
    examined: usize,
    /// How many objects and arrays are open.
    depth: usize,
    in_string: bool,
    is_escaped: bool,
    /// Whether the last byte ended a line, and whether an empty line was found in the value.
    at_line_start: bool,
    has_empty_line: bool,
}

impl ValueScanner {
    /// Examines the bytes that were added. Returns whether the value is complete, or is no object or array.
    fn is_complete(&mut self, value: &[u8]) -> bool {
        while let Some(byte) = value.get(self.examined) {
            self.examined += 1;
            self.examine(*byte);
            if self.depth == 0 {
                return true;
            }
        }
        false
    }

    fn examine(&mut self, byte: u8) {
        self.has_empty_line |= byte == b'\n' && self.at_line_start;
        self.at_line_start = byte == b'\n';
        match byte {
            _ if self.is_escaped => self.is_escaped = false,
            b'\\' if self.in_string => self.is_escaped = true,
            b'"' => self.in_string = !self.in_string,
            _ if self.in_string => {}
            b'{' | b'[' => self.depth += 1,
            b'}' | b']' => self.depth = self.depth.saturating_sub(1),
            _ => {}
        }
    }
}

/// The lists of a watch, one after another.
///
/// A list is parsed once it is complete. So that an invalid one is not awaited to its end, it is also parsed whenever
/// twice as many bytes of it have arrived as at the last time, and where an empty line follows a part of it. All that is
/// parsed is then at most four times the list, however small the parts in which it arrives.
#[derive(Default)]
pub(super) struct ListReader {
    /// The part of a list that has been received and not parsed.
    body: Vec<u8>,
    scanner: ValueScanner,
    /// How many bytes of the list had arrived when it was last parsed.
    parsed_bytes: usize,
}

impl ListReader {
    /// Adds bytes of the response.
    pub(super) fn push(&mut self, bytes: &[u8]) {
        self.body.extend_from_slice(bytes);
    }

    /// The bytes that are held.
    pub(super) fn len(&self) -> usize {
        self.body.len()
    }

    /// Whether no part of a list is held.
    pub(super) fn is_empty(&self) -> bool {
        self.body.is_empty()
    }

    /// Takes the first list out of a watch, with the space before it; `None` if none is complete. A list may extend over
    /// several lines, none of them empty: an empty line inside a list means that it was truncated.
    ///
    /// # Errors
    /// When the bytes are not the start of a list that can be used.
    pub(super) fn next_list(&mut self) -> Result<Option<EndpointList>, EndpointListError> {
        if self.scanner.examined == 0 {
            let space = self.body.iter().take_while(|byte| byte.is_ascii_whitespace()).count();
            self.body.drain(..space);
        }
        let is_due = self.scanner.is_complete(&self.body)
            || self.scanner.has_empty_line
            || self.body.len() >= 2 * self.parsed_bytes;
        if self.body.is_empty() || !is_due {
            return Ok(None);
        }
        let Some((list, length)) = EndpointList::read_first(&self.body)? else {
            self.parsed_bytes = self.body.len();
            return Ok(None);
        };
        self.body.drain(..length);
        self.restart();
        Ok(Some(list))
    }

    /// Takes the whole body as one list, at the end of the response.
    ///
    /// # Errors
    /// When the body is not a list that can be used.
    pub(super) fn take_whole(&mut self) -> Result<EndpointList, EndpointListError> {
        let body = std::mem::take(&mut self.body);
        self.restart();
        EndpointList::read(&body)
    }

    fn restart(&mut self) {
        self.scanner = ValueScanner::default();
        self.parsed_bytes = 0;
        if self.body.is_empty() {
            self.body = Vec::new();
        }
    }
}

#[cfg(test)]
mod tests;
