//! Splits a file into logical lines and a line into arguments, as httpd's own reader does (server/config.c,
//! `ap_cfg_getline` and `ap_getword_conf`).

/// A logical line: continuation lines joined, surrounding white space removed.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct LogicalLine {
    /// The text; neither empty nor a comment.
    pub text: String,
    /// The number of its first physical line, from 1.
    pub number: u32,
}

/// Decodes a file without its byte-order mark. A file that is not valid UTF-8 is decoded as Latin-1 as a
/// whole; the second value is then the line of the first invalid byte.
#[must_use]
pub fn decode_text(bytes: &[u8]) -> (String, Option<u32>) {
    let bytes = bytes.strip_prefix(b"\xef\xbb\xbf").unwrap_or(bytes);
    match std::str::from_utf8(bytes) {
        Ok(text) => (text.to_owned(), None),
        Err(error) => {
            let line = bytes[..error.valid_up_to()].iter().filter(|b| **b == b'\n').count() + 1;
            (bytes.iter().map(|b| char::from(*b)).collect(), Some(u32::try_from(line).unwrap_or(u32::MAX)))
        }
    }
}

/// Splits a text into logical lines. A backslash right before the line end joins the next line, in comments
/// too.
///
/// # Errors
/// The number of the line at which a logical line grows beyond `max_bytes`.
pub fn logical_lines(text: &str, max_bytes: usize) -> Result<Vec<LogicalLine>, u32> {
    let (mut result, mut pending, mut first) = (Vec::new(), String::new(), 0);
    let mut push = |pending: &mut String, number: u32| {
        let trimmed = pending.trim();
        if !trimmed.is_empty() && !trimmed.starts_with('#') {
            result.push(LogicalLine { text: trimmed.to_owned(), number });
        }
        pending.clear();
    };
    for (number, line) in (1..).zip(text.split('\n')) {
        let line = line.strip_suffix('\r').unwrap_or(line);
        if first == 0 {
            first = number;
        }
        let (line, continued) = line.strip_suffix('\\').map_or((line, false), |l| (l, true));
        if pending.len() + line.len() > max_bytes {
            return Err(number);
        }
        pending.push_str(line);
        if !continued {
            push(&mut pending, first);
            first = 0;
        }
    }
    push(&mut pending, first);
    Ok(result)
}

/// Splits an argument string. The flag tells whether a quote is unterminated; the last argument then extends
/// to the end of the text.
#[must_use]
pub fn split_arguments(text: &str) -> (Vec<String>, bool) {
    let (mut result, mut unterminated) = (Vec::new(), false);
    let mut rest = text.trim_start().chars().peekable();
    while let Some(&first) = rest.peek() {
        let quote = if first == '"' || first == '\'' { rest.next() } else { None };
        let mut word = String::new();
        let mut ended = false;
        while let Some(c) = rest.next() {
            match (c, quote) {
                ('\\', _) => match rest.peek() {
                    // Only a backslash, and inside quotes the quote character, can be escaped.
                    Some(&next) if next == '\\' || Some(next) == quote => {
                        word.push(next);
                        rest.next();
                    }
                    _ => word.push('\\'),
                },
                (c, Some(quote)) if c == quote => {
                    ended = true;
                    break;
                }
                (c, None) if c.is_whitespace() => break,
                (c, _) => word.push(c),
            }
        }
        unterminated |= quote.is_some() && !ended;
        result.push(word);
        while rest.peek().is_some_and(|c| c.is_whitespace()) {
            rest.next();
        }
    }
    (result, unterminated)
}

#[cfg(test)]
mod tests;
