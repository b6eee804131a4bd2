//! Finds the line and column of each field in a text-format source, so that a fault that is found after parsing names
//! its position. It only runs on sources that `prost-reflect` has parsed, and never fails: a field that it does not
//! find has no position.

use std::collections::HashMap;

/// A line and a column, both counted from 1.
pub(crate) type Position = (usize, usize);

/// The position of each field by its path: `plans[1].rate`, `listen[0]`, `fleet.number`.
#[derive(Debug, Default)]
pub struct FieldPositions {
    positions: HashMap<String, Position>,
}

impl FieldPositions {
    /// Finds the positions of all fields in a source.
    #[must_use]
    pub fn new(source: &str) -> Self {
        let mut reader = Reader { source: source.chars().collect(), offset: 0, position: (1, 1) };
        let mut positions = Self::default();
        reader.read_message("", &mut positions.positions);
        positions
    }

    /// The position of a field; if the source lacks it, that of the nearest enclosing message.
    #[must_use]
    pub fn find(&self, path: &str) -> Option<Position> {
        let mut path = path;
        loop {
            // Each value is recorded with an index; that of a field that is not repeated is 0.
            let found = self.positions.get(path).or_else(|| self.positions.get(&format!("{path}[0]")));
            if found.is_some() {
                return found.copied();
            }
            path = path.rsplit_once('.').map(|(p, _)| p)?;
        }
    }
}

struct Reader {
    source: Vec<char>,
    offset: usize,
    position: Position,
}

impl Reader {
    fn peek(&self) -> Option<char> {
        self.source.get(self.offset).copied()
    }

    fn next(&mut self) -> Option<char> {
        let c = self.peek()?;
        self.offset += 1;
        self.position =
            if c == '\n' { (self.position.0 + 1, 1) } else { (self.position.0, self.position.1 + 1) };
        Some(c)
    }

    fn skip_separators(&mut self) {
        self.skip_blanks_and(",;");
    }

    fn skip_blanks_and(&mut self, separators: &str) {
        while let Some(c) = self.peek() {
            match c {
                '#' => {
                    while self.peek().is_some_and(|c| c != '\n') {
                        self.next();
                    }
                }
                c if c.is_whitespace() || separators.contains(c) => drop(self.next()),
                _ => return,
            }
        }
    }

    fn read_message(&mut self, path: &str, positions: &mut HashMap<String, Position>) {
        let mut counts: HashMap<String, usize> = HashMap::new();
        loop {
            self.skip_separators();
            let position = self.position;
            let mut name = String::new();
            while let Some(c) = self.peek().filter(|c| c.is_alphanumeric() || *c == '_' || *c == '.') {
                name.push(c);
                self.next();
            }
            if name.is_empty() {
                // This is the end of the message or of the source.
                self.next();
                return;
            }
            self.skip_separators();
            if self.peek() == Some(':') {
                self.next();
                self.skip_separators();
            }
            let is_list = self.peek() == Some('[');
            if is_list {
                self.next();
            }
            loop {
                self.skip_separators();
                let position = if is_list { self.position } else { position };
                if is_list && self.peek().is_none_or(|c| c == ']') {
                    self.next();
                    break;
                }
                let count = counts.entry(name.clone()).or_default();
                let separator = if path.is_empty() { "" } else { "." };
                let indexed_path = format!("{path}{separator}{name}[{count}]");
                *count += 1;
                positions.insert(indexed_path.clone(), position);
                match self.peek() {
                    Some('{' | '<') => {
                        self.next();
                        // The fields of a message are also recorded without the index 0: the path of a message that is
                        // not repeated has none.
                        let short_path = if indexed_path.ends_with("[0]") {
                            indexed_path.trim_end_matches("[0]")
                        } else {
                            &indexed_path
                        };
                        self.read_nested_message(&indexed_path, short_path, positions);
                    }
                    _ => self.skip_scalar(),
                }
                if !is_list {
                    break;
                }
            }
        }
    }

    fn read_nested_message(
        &mut self, indexed_path: &str, short_path: &str, positions: &mut HashMap<String, Position>,
    ) {
        let mut inner = HashMap::new();
        self.read_message("", &mut inner);
        for (path, position) in inner {
            positions.insert(format!("{indexed_path}.{path}"), position);
            positions.insert(format!("{short_path}.{path}"), position);
        }
    }

    fn skip_scalar(&mut self) {
        while let Some(c) = self.peek() {
            match c {
                '"' | '\'' => {
                    self.next();
                    while let Some(in_string) = self.next() {
                        if in_string == '\\' {
                            self.next();
                        } else if in_string == c {
                            break;
                        }
                    }
                    // Adjacent strings are one value.
                    self.skip_blanks_and("");
                    if !matches!(self.peek(), Some('"' | '\'')) {
                        return;
                    }
                }
                c if c.is_whitespace() || "#,;]}>".contains(c) => return,
                _ => drop(self.next()),
            }
        }
    }
}

#[cfg(test)]
mod tests;
