//! Lexer (GraphQL specification, section 2.1).

use crate::{Error, Limits, Pos};

#[derive(Clone, Debug, PartialEq)]
pub(crate) enum TokenKind {
    /// One of `! $ & ( ) : = @ [ ] { | }`; `...` is [`TokenKind::Ellipsis`].
    Punctuator(char),
    Ellipsis,
    Name,
    Int,
    Float,
    Str(String),
    EndOfInput,
}

#[derive(Clone, Debug)]
pub(crate) struct Token<'a> {
    pub kind: TokenKind,
    pub text: &'a str,
    pub pos: Pos,
}

impl Token<'_> {
    pub fn describe(&self) -> String {
        match &self.kind {
            TokenKind::EndOfInput => "the end".into(),
            TokenKind::Str(_) => "a string".into(),
            _ => format!("`{}`", self.text),
        }
    }
}

struct Lexer<'a> {
    source: &'a str,
    offset: usize,
    line: u32,
    line_start: usize,
    /// Column at `column_offset`. Cached, since counting from the start of the line for each token is quadratic in its
    /// length.
    column: u32,
    column_offset: usize,
}

/// Splits a source into tokens. The last one is always [`TokenKind::EndOfInput`].
pub(crate) fn tokenize<'a>(source: &'a str, limits: &Limits) -> Result<Vec<Token<'a>>, Error> {
    let start = Pos { line: 1, column: 1 };
    if source.len() > limits.bytes {
        return Err(Error::new(
            start,
            format!("the document has {} bytes, at most {}", source.len(), limits.bytes),
        ));
    }
    let bom_len = if source.starts_with('\u{feff}') { 3 } else { 0 };
    let mut lexer =
        Lexer { source, offset: bom_len, line: 1, line_start: bom_len, column: 1, column_offset: bom_len };
    let mut tokens = Vec::new();
    loop {
        let token = lexer.next()?;
        if tokens.len() > limits.tokens {
            return Err(Error::new(token.pos, format!("more than {} tokens", limits.tokens)));
        }
        let is_last = token.kind == TokenKind::EndOfInput;
        tokens.push(token);
        if is_last {
            return Ok(tokens);
        }
    }
}

impl<'a> Lexer<'a> {
    fn rest(&self) -> &'a str {
        &self.source[self.offset..]
    }

    fn pos(&mut self) -> Pos {
        if self.column_offset < self.line_start {
            (self.column_offset, self.column) = (self.line_start, 1);
        }
        self.column += self.source[self.column_offset..self.offset].chars().count() as u32;
        self.column_offset = self.offset;
        Pos { line: self.line, column: self.column }
    }

    fn start_line(&mut self) {
        self.line += 1;
        self.line_start = self.offset;
    }

    fn skip_ignored(&mut self) {
        loop {
            match self.rest().as_bytes().first() {
                Some(b' ' | b'\t' | b',') => self.offset += 1,
                Some(b'\n') => {
                    self.offset += 1;
                    self.start_line();
                }
                Some(b'\r') => {
                    self.offset += if self.rest().starts_with("\r\n") { 2 } else { 1 };
                    self.start_line();
                }
                Some(b'#') => {
                    let end = self.rest().find(['\n', '\r']).unwrap_or(self.rest().len());
                    self.offset += end;
                }
                Some(0xef) if self.rest().starts_with('\u{feff}') => self.offset += 3,
                _ => return,
            }
        }
    }

    fn take(&mut self, length: usize) -> &'a str {
        let text = &self.rest()[..length];
        self.offset += length;
        text
    }

    fn next(&mut self) -> Result<Token<'a>, Error> {
        self.skip_ignored();
        let pos = self.pos();
        let Some(c) = self.rest().chars().next() else {
            return Ok(Token { kind: TokenKind::EndOfInput, text: "", pos });
        };
        let (kind, text) = match c {
            '!' | '$' | '&' | '(' | ')' | ':' | '=' | '@' | '[' | ']' | '{' | '|' | '}' => {
                (TokenKind::Punctuator(c), self.take(1))
            }
            '.' if self.rest().starts_with("...") => (TokenKind::Ellipsis, self.take(3)),
            '_' | 'a'..='z' | 'A'..='Z' => {
                let rest = self.rest();
                let end = rest.find(|c: char| !(c == '_' || c.is_ascii_alphanumeric())).unwrap_or(rest.len());
                (TokenKind::Name, self.take(end))
            }
            '-' | '0'..='9' => self.number(pos)?,
            '"' if self.rest().starts_with("\"\"\"") => self.block_string(pos)?,
            '"' => self.string(pos)?,
            c => return Err(Error::new(pos, format!("unexpected character {c:?}"))),
        };
        Ok(Token { kind, text, pos })
    }

    fn number(&mut self, pos: Pos) -> Result<(TokenKind, &'a str), Error> {
        let bytes = self.rest().as_bytes();
        let digits = |from: usize| bytes[from..].iter().take_while(|b| b.is_ascii_digit()).count();
        let mut end = usize::from(bytes[0] == b'-');
        let integer_digits = digits(end);
        if integer_digits == 0 || (integer_digits > 1 && bytes[end] == b'0') {
            return Err(Error::new(pos, "malformed number: digits without a leading zero are wanted"));
        }
        end += integer_digits;
        let mut kind = TokenKind::Int;
        if bytes.get(end) == Some(&b'.') {
            let count = digits(end + 1);
            if count == 0 {
                return Err(Error::new(pos, "malformed number: digits are wanted after the point"));
            }
            (end, kind) = (end + 1 + count, TokenKind::Float);
        }
        if matches!(bytes.get(end), Some(b'e' | b'E')) {
            let sign = usize::from(matches!(bytes.get(end + 1), Some(b'+' | b'-')));
            let count = digits(end + 1 + sign);
            if count == 0 {
                return Err(Error::new(pos, "malformed number: digits are wanted in the exponent"));
            }
            (end, kind) = (end + 1 + sign + count, TokenKind::Float);
        }
        // A number may not be followed directly by a name or a dot (sections 2.9.1 and 2.9.2).
        if matches!(bytes.get(end), Some(b) if b.is_ascii_alphanumeric() || *b == b'_' || *b == b'.') {
            return Err(Error::new(pos, "malformed number: a name follows without a space"));
        }
        Ok((kind, self.take(end)))
    }

    fn string(&mut self, pos: Pos) -> Result<(TokenKind, &'a str), Error> {
        let start = self.offset;
        self.offset += 1;
        let mut value = String::new();
        loop {
            let Some(c) = self.rest().chars().next() else {
                return Err(Error::new(pos, "a string has no end"));
            };
            match c {
                '"' => {
                    self.offset += 1;
                    return Ok((TokenKind::Str(value), &self.source[start..self.offset]));
                }
                '\n' | '\r' => return Err(Error::new(pos, "a string has no end on its line")),
                '\\' => {
                    let pos = self.pos();
                    value.push(self.escape(pos)?);
                }
                c if c < ' ' && c != '\t' => {
                    let pos = self.pos();
                    return Err(Error::new(pos, "a control character in a string"));
                }
                c => {
                    value.push(c);
                    self.offset += c.len_utf8();
                }
            }
        }
    }

    fn escape(&mut self, pos: Pos) -> Result<char, Error> {
        let malformed = || Error::new(pos, "malformed escape in a string");
        let c = self.rest()[1..].chars().next().ok_or_else(malformed)?;
        self.offset += 1 + c.len_utf8();
        Ok(match c {
            '"' | '\\' | '/' => c,
            'b' => '\u{8}',
            'f' => '\u{c}',
            'n' => '\n',
            'r' => '\r',
            't' => '\t',
            'u' if self.rest().starts_with('{') => {
                let end = self.rest().find('}').filter(|e| (2..=9).contains(e)).ok_or_else(malformed)?;
                let digits = &self.rest()[1..end];
                let valid = digits.bytes().all(|b| b.is_ascii_hexdigit());
                let code_point =
                    u32::from_str_radix(digits, 16).ok().filter(|_| valid).ok_or_else(malformed)?;
                self.offset += end + 1;
                char::from_u32(code_point).ok_or_else(malformed)?
            }
            'u' => {
                let code_unit = self.four_hex_digits().ok_or_else(malformed)?;
                if !(0xd800..0xdc00).contains(&code_unit) {
                    return char::from_u32(code_unit).ok_or_else(malformed);
                }
                if !self.rest().starts_with("\\u") {
                    return Err(malformed());
                }
                self.offset += 2;
                let low_surrogate =
                    self.four_hex_digits().filter(|s| (0xdc00..0xe000).contains(s)).ok_or_else(malformed)?;
                char::from_u32(0x10000 + ((code_unit - 0xd800) << 10) + (low_surrogate - 0xdc00))
                    .ok_or_else(malformed)?
            }
            _ => return Err(malformed()),
        })
    }

    fn four_hex_digits(&mut self) -> Option<u32> {
        let digits = self.rest().get(..4).filter(|d| d.bytes().all(|b| b.is_ascii_hexdigit()))?;
        self.offset += 4;
        u32::from_str_radix(digits, 16).ok()
    }

    fn block_string(&mut self, pos: Pos) -> Result<(TokenKind, &'a str), Error> {
        let start = self.offset;
        self.offset += 3;
        let mut raw = String::new();
        loop {
            let rest = self.rest();
            let Some(c) = rest.chars().next() else {
                return Err(Error::new(pos, "a block string has no end"));
            };
            if rest.starts_with("\"\"\"") {
                self.offset += 3;
                return Ok((TokenKind::Str(block_string_value(&raw)), &self.source[start..self.offset]));
            }
            if rest.starts_with("\\\"\"\"") {
                raw.push_str("\"\"\"");
                self.offset += 4;
                continue;
            }
            match c {
                '\r' | '\n' => {
                    raw.push('\n');
                    self.offset += if rest.starts_with("\r\n") { 2 } else { 1 };
                    self.start_line();
                }
                c if c < ' ' && c != '\t' => {
                    let pos = self.pos();
                    return Err(Error::new(pos, "a control character in a block string"));
                }
                c => {
                    raw.push(c);
                    self.offset += c.len_utf8();
                }
            }
        }
    }
}

/// Value of a block string: removes the common indentation and leading and trailing blank lines (section 2.9.4).
fn block_string_value(raw: &str) -> String {
    let mut lines: Vec<&str> = raw.split('\n').collect();
    let is_blank = |line: &str| line.trim_matches([' ', '\t']).is_empty();
    let indentations = lines
        .iter()
        .skip(1)
        .filter(|l| !is_blank(l))
        .map(|l| l.len() - l.trim_start_matches([' ', '\t']).len());
    let common_indent = indentations.min().unwrap_or(0);
    for line in lines.iter_mut().skip(1) {
        *line = line.get(common_indent..).unwrap_or("");
    }
    let first = lines.iter().position(|l| !is_blank(l)).unwrap_or(lines.len());
    let end = lines.iter().rposition(|l| !is_blank(l)).map_or(first, |l| l + 1);
    lines[first..end].join("\n")
}

#[cfg(test)]
mod tests;
