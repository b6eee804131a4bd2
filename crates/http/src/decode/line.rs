//! Lines that end in CRLF, in input whose unconsumed bytes are passed again, followed by more.

use crate::Error;

/// The length of the CRLF at the end of a line, in bytes.
pub(super) const LINE_END_BYTES: usize = 2;

/// Finds line feeds without searching a byte twice, even if the input arrives one byte at a time.
#[derive(Clone, Debug, Default)]
pub(super) struct LineFeedSearch {
    /// The number of bytes at the start of the unconsumed input that have been searched.
    searched: usize,
}

impl LineFeedSearch {
    /// The position of the next line feed in the unconsumed input. If there is none, the next search continues after
    /// the present input.
    pub(super) fn find(&mut self, input: &[u8]) -> Option<usize> {
        let start = self.searched.min(input.len());
        let offset = input[start..].iter().position(|byte| *byte == b'\n');
        if offset.is_none() {
            self.searched = input.len();
        }
        offset.map(|offset| start + offset)
    }

    /// Sets the position at which the next search continues.
    pub(super) fn continue_at(&mut self, position: usize) {
        self.searched = position;
    }
}

/// Reads one line at a time.
#[derive(Clone, Debug, Default)]
pub(super) struct LineReader {
    search: LineFeedSearch,
}

impl LineReader {
    /// The line at the start of the unconsumed input, without its CRLF, or `None` if its end has not arrived.
    ///
    /// # Errors
    /// `too_long` when the line, without its CRLF, is longer than `max_bytes`; this is checked before its end arrives.
    pub(super) fn read<'a>(
        &mut self, input: &'a [u8], max_bytes: usize, too_long: Error,
    ) -> Result<Option<&'a [u8]>, Error> {
        let Some(line_feed) = self.search.find(input) else {
            // The last byte may be the carriage return.
            return if input.len() > max_bytes + 1 { Err(too_long) } else { Ok(None) };
        };
        self.search.continue_at(0);
        let line = input[..line_feed].strip_suffix(b"\r").ok_or(Error::BareLineFeed)?;
        if line.len() > max_bytes { Err(too_long) } else { Ok(Some(line)) }
    }
}
