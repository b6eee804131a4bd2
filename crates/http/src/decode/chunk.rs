//! The size line of a chunk (RFC 9112 section 7.1).

use crate::Error;

/// The longest size line in bytes, with its extensions and without its CRLF.
pub(super) const MAX_SIZE_LINE_BYTES: usize = 256;
/// The most hexadecimal digits of a size, including leading zeros; 15 digits always fit into 64 bits.
const MAX_SIZE_DIGITS: usize = 15;

/// The size of a chunk in bytes. Extensions (RFC 9112 section 7.1.1) are ignored.
pub(super) fn parse_size(line: &[u8]) -> Result<u64, Error> {
    let digits = line.iter().take_while(|byte| byte.is_ascii_hexdigit()).count();
    if digits == 0 || digits > MAX_SIZE_DIGITS {
        return Err(Error::MalformedChunk);
    }
    let (size, extensions) = line.split_at(digits);
    if !extensions.is_empty() && !extensions.starts_with(b";") {
        return Err(Error::MalformedChunk);
    }
    let text = std::str::from_utf8(size).map_err(|_| Error::MalformedChunk)?;
    u64::from_str_radix(text, 16).map_err(|_| Error::MalformedChunk)
}
