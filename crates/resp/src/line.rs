//! Lines that end in CRLF, and the decimal lengths on them: the framing that commands and replies share.

/// Bytes of the CRLF that ends a header line and the data of a bulk string.
pub(crate) const LINE_END_BYTES: usize = 2;

/// Why a line cannot be read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum LineError {
    /// No line feed within the limit.
    TooLong,
    /// The line feed does not follow a carriage return.
    MissingCarriageReturn,
}

/// Why a length cannot be read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum LengthError {
    /// Not one or more decimal digits; a sign is not allowed.
    NotDecimal,
    /// More than the maximum of `usize`.
    Overflow,
}

/// Returns the line at the start of `input` without its CRLF, or `None` if its end has not arrived.
///
/// `max_bytes` is the maximum length of the line including its CRLF; bytes beyond it are not examined.
///
/// # Errors
/// When the line is too long or ends in a bare line feed.
pub(crate) fn first_line(input: &[u8], max_bytes: usize) -> Result<Option<&[u8]>, LineError> {
    let Some(line_feed) = input.iter().take(max_bytes).position(|byte| *byte == b'\n') else {
        return if input.len() >= max_bytes { Err(LineError::TooLong) } else { Ok(None) };
    };
    let line = input[..line_feed].strip_suffix(b"\r").ok_or(LineError::MissingCarriageReturn)?;
    Ok(Some(line))
}

/// Parses an unsigned decimal length.
///
/// # Errors
/// When `digits` is empty, contains a byte that is not a digit, or is out of range.
pub(crate) fn parse_length(digits: &[u8]) -> Result<usize, LengthError> {
    if digits.is_empty() || !digits.iter().all(u8::is_ascii_digit) {
        return Err(LengthError::NotDecimal);
    }
    let text = std::str::from_utf8(digits).map_err(|_| LengthError::NotDecimal)?;
    text.parse().map_err(|_| LengthError::Overflow)
}
