//! File access for the readers, and locations in files.

use std::collections::BTreeMap;
use std::sync::Arc;

/// A line of a file.
#[derive(Clone, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, serde::Serialize)]
pub struct SourceLocation {
    /// The file name as given or as found by an include.
    #[serde(serialize_with = "as_text")]
    pub file: Arc<str>,
    /// The line from 1; 0 for the file as a whole.
    pub line: u32,
}

fn as_text<S: serde::Serializer>(file: &Arc<str>, serializer: S) -> Result<S::Ok, S::Error> {
    serializer.serialize_str(file)
}

impl std::fmt::Display for SourceLocation {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        if self.line == 0 { write!(f, "{}", self.file) } else { write!(f, "{}:{}", self.file, self.line) }
    }
}

/// Why a file could not be read.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum FileError {
    /// There is no file of this name.
    Missing,
    /// The file exists but cannot be read.
    Unreadable(String),
}

/// The file system that the readers see. Paths are as in the configuration, with `/` as separator.
pub trait Files {
    /// Reads the bytes of a file.
    ///
    /// # Errors
    /// If the file does not exist or cannot be read.
    fn read(&self, path: &str) -> Result<Vec<u8>, FileError>;
    /// Lists a directory's entries in any order, each with whether it is a directory; `None` if there is no
    /// such directory.
    fn list(&self, directory: &str) -> Option<Vec<(String, bool)>>;
}

/// Files held in memory.
#[derive(Clone, Debug, Default)]
pub struct InMemory(pub BTreeMap<String, Vec<u8>>);

impl Files for InMemory {
    fn read(&self, path: &str) -> Result<Vec<u8>, FileError> {
        self.0.get(path).cloned().ok_or(FileError::Missing)
    }

    fn list(&self, directory: &str) -> Option<Vec<(String, bool)>> {
        let prefix = if directory.is_empty() {
            String::new()
        } else {
            format!("{}/", directory.trim_end_matches('/'))
        };
        let mut names = BTreeMap::new();
        for path in self.0.keys() {
            let Some(rest) = path.strip_prefix(&prefix) else { continue };
            let (name, is_directory) = rest.split_once('/').map_or((rest, false), |(n, _)| (n, true));
            names.insert(name.to_owned(), is_directory);
        }
        if names.is_empty() { None } else { Some(names.into_iter().collect()) }
    }
}

/// Resolves a path relative to a directory. Absolute paths are returned unchanged.
#[must_use]
pub fn resolve_path(directory: &str, path: &str) -> String {
    if path.starts_with('/') || directory.is_empty() || directory == "." {
        return path.to_owned();
    }
    format!("{}/{path}", directory.trim_end_matches('/'))
}

/// Whether a name matches a pattern with `*`, `?`, `[a-z]`, `[!a]` and `\`, as in fnmatch(3). Backtracks only
/// to the last `*`, so that a hostile pattern costs at most the length of the name times that of the pattern.
#[must_use]
pub fn fnmatch(pattern: &str, name: &str) -> bool {
    let (pattern, name): (Vec<char>, Vec<char>) = (pattern.chars().collect(), name.chars().collect());
    let (mut p, mut n, mut backtrack) = (0, 0, None);
    while n < name.len() {
        if pattern.get(p) == Some(&'*') {
            backtrack = Some((p, n));
            p += 1;
            continue;
        }
        match match_one(&pattern[p..], name[n]) {
            Some(matched) => (p, n) = (p + matched, n + 1),
            None => match backtrack {
                Some((star, from)) => {
                    backtrack = Some((star, from + 1));
                    (p, n) = (star + 1, from + 1);
                }
                None => return false,
            },
        }
    }
    pattern[p..].iter().all(|c| *c == '*')
}

/// The number of pattern characters that match this character of the name; `None` if they do not match.
fn match_one(pattern: &[char], c: char) -> Option<usize> {
    match pattern.first()? {
        '?' => Some(1),
        '\\' if pattern.len() > 1 => (pattern[1] == c).then_some(2),
        '[' => {
            let end = pattern.iter().skip(2).position(|p| *p == ']').map(|at| at + 2);
            let Some(end) = end else { return (c == '[').then_some(1) };
            let (negated, class) = match pattern[1] {
                '!' | '^' => (true, &pattern[2..end]),
                _ => (false, &pattern[1..end]),
            };
            let (mut at, mut contained) = (0, false);
            while at < class.len() {
                if at + 2 < class.len() && class[at + 1] == '-' {
                    contained |= (class[at]..=class[at + 2]).contains(&c);
                    at += 3;
                } else {
                    contained |= class[at] == c;
                    at += 1;
                }
            }
            (contained != negated).then_some(end + 1)
        }
        p => (*p == c).then_some(1),
    }
}

#[cfg(test)]
mod tests;
