//! Directives in the order in which httpd carries them out: includes followed, macros and variables put in,
//! conditions decided as far as they can be from files alone.

use super::lexer::{LogicalLine, decode_text, logical_lines, split_arguments};
use crate::Limits;
use crate::files::{FileError, Files, SourceLocation, fnmatch, resolve_path};
use crate::finding::Findings;
use std::collections::{BTreeMap, HashMap, HashSet};
use std::sync::Arc;

/// A directive.
#[derive(Clone, Debug)]
pub struct Directive {
    /// Its name in lower case.
    pub name: String,
    /// Its arguments.
    pub words: Vec<String>,
    /// Where.
    pub location: SourceLocation,
}

/// A section around a directive.
#[derive(Clone, Debug)]
pub struct Section {
    /// Its name in lower case.
    pub name: String,
    /// Its arguments.
    pub words: Vec<String>,
    /// Where it begins.
    pub location: SourceLocation,
}

/// What is done with each directive.
pub trait Sink {
    /// A directive inside these sections, the outermost first.
    fn directive(&mut self, sections: &[Section], directive: &Directive, findings: &mut Findings);
}

/// What the files alone do not tell.
#[derive(Clone, Debug, Default)]
pub struct Options {
    /// Names defined on the command line (-D).
    pub defines: Vec<String>,
    /// httpd's version, for IfVersion; without it that cannot be decided.
    pub version: Option<String>,
    /// Bounds.
    pub limits: Limits,
}

struct Macro {
    parameters: Vec<String>,
    body: Arc<Vec<LogicalLine>>,
    file: Arc<str>,
}

struct Reader<'a> {
    files: &'a dyn Files,
    options: &'a Options,
    findings: &'a mut Findings,
    sink: &'a mut dyn Sink,
    defined: BTreeMap<String, Option<String>>,
    macros: HashMap<String, Macro>,
    /// Files and macros being read, to find circles.
    open: Vec<String>,
    sections: Vec<Section>,
    root: Option<String>,
    bytes: usize,
    directives: usize,
}

/// An error was told; reading ends.
struct Stop;
type Go = Result<(), Stop>;

/// Reads a main file and all that it includes. Errors are told as findings.
pub fn read(
    files: &dyn Files, main: &[String], options: &Options, findings: &mut Findings, sink: &mut dyn Sink,
) {
    let defined = options.defines.iter().map(|d| match d.split_once('=') {
        Some((name, value)) => (name.to_owned(), Some(value.to_owned())),
        None => (d.clone(), None),
    });
    let mut reader = Reader {
        files,
        options,
        findings,
        sink,
        defined: defined.collect(),
        macros: HashMap::new(),
        open: Vec::new(),
        sections: Vec::new(),
        root: None,
        bytes: 0,
        directives: 0,
    };
    for file in main {
        let directory = file.rsplit_once('/').map_or("", |(f, _)| f).to_owned();
        if reader.root.is_none() {
            reader.root = Some(directory);
        }
        let location = SourceLocation { file: file.as_str().into(), line: 0 };
        if reader.file(file, &location).is_err() {
            return;
        }
    }
}

impl Reader<'_> {
    fn stop(&mut self, code: &'static str, location: &SourceLocation, message: impl Into<String>) -> Go {
        self.findings.add(code, location, message);
        Err(Stop)
    }

    fn file(&mut self, path: &str, from: &SourceLocation) -> Go {
        let limits = self.options.limits;
        if self.open.iter().any(|o| o == path) {
            let circle = self.open.join(" -> ");
            return self.stop("A004", from, format!("{path} is being read already: {circle} -> {path}"));
        }
        if self.open.len() >= limits.depth {
            return self.stop(
                "A004",
                from,
                format!("more than {} files and macros within each other", limits.depth),
            );
        }
        let bytes = match self.files.read(path) {
            Ok(bytes) => bytes,
            Err(FileError::Missing) => {
                return self.stop("A001", from, format!("{path}: there is no such file"));
            }
            Err(FileError::Unreadable(why)) => return self.stop("A001", from, format!("{path}: {why}")),
        };
        self.bytes += bytes.len();
        let location = SourceLocation { file: path.into(), line: 0 };
        if bytes.len() > limits.file_bytes || self.bytes > limits.all_bytes {
            return self.stop("A005", &location, format!("{path}: more bytes than are read"));
        }
        let (text, odd) = decode_text(&bytes);
        if let Some(line) = odd {
            self.findings.add(
                "A103",
                &SourceLocation { line, ..location.clone() },
                "bytes that are no UTF-8: taken as Latin-1",
            );
        }
        let body = match logical_lines(&text, limits.line_bytes) {
            Ok(body) => body,
            Err(line) => {
                let most = limits.line_bytes;
                return self.stop(
                    "A005",
                    &SourceLocation { line, ..location },
                    format!("a line of more than {most} bytes"),
                );
            }
        };
        self.open.push(path.to_owned());
        let done = self.body(&location.file, &body);
        self.open.pop();
        done
    }

    /// The lines of a file or macro. Sections must close where they opened.
    fn body(&mut self, file: &Arc<str>, body: &[LogicalLine]) -> Go {
        let outside = self.sections.len();
        let mut at = 0;
        while at < body.len() {
            let line = &body[at];
            at += 1;
            let location = SourceLocation { file: file.clone(), line: line.number };
            self.directives += 1;
            if self.directives > self.options.limits.directives {
                let most = self.options.limits.directives;
                return self.stop(
                    "A005",
                    &location,
                    format!("more than {most} directives, includes and macros spread"),
                );
            }
            if let Some(name) = line.text.strip_prefix("</") {
                let name = name.trim_end().trim_end_matches('>').trim().to_ascii_lowercase();
                match self.sections.last() {
                    Some(last) if self.sections.len() > outside && last.name == name => {
                        self.sections.pop();
                    }
                    Some(last) if self.sections.len() > outside => {
                        let text = format!("</{name}> closes <{}> of {}", last.name, last.location);
                        return self.stop("A002", &location, text);
                    }
                    _ => {
                        return self.stop(
                            "A002",
                            &location,
                            format!("</{name}> closes nothing that began here"),
                        );
                    }
                }
                continue;
            }
            if line.text.starts_with('<') {
                at = self.section(file, body, at, &location)?;
                continue;
            }
            let (name, rest) = line.text.split_once(char::is_whitespace).unwrap_or((&line.text, ""));
            let rest = self.variables(rest, &location)?;
            let words = self.words(&rest, &location);
            self.directive(Directive { name: name.to_ascii_lowercase(), words, location })?;
        }
        if self.sections.len() > outside {
            let last = self.sections[self.sections.len() - 1].clone();
            return self.stop("A002", &last.location, format!("<{}> is not closed", last.name));
        }
        Ok(())
    }

    fn words(&mut self, text: &str, location: &SourceLocation) -> Vec<String> {
        let (words, open) = split_arguments(text);
        if open {
            self.findings.add(
                "A003",
                location,
                "quotes that do not end: taken up to the end of the line, as httpd does",
            );
        }
        words
    }

    /// A section's first line; gives where to read on.
    fn section(
        &mut self, file: &Arc<str>, body: &[LogicalLine], at: usize, location: &SourceLocation,
    ) -> Result<usize, Stop> {
        let text = &body[at - 1].text;
        let Some(inner) = text[1..].rfind('>').map(|end| &text[1..=end]) else {
            self.stop("A002", location, "a section without >")?;
            return Ok(at);
        };
        let (name, rest) = inner.split_once(char::is_whitespace).unwrap_or((inner, ""));
        let name = name.to_ascii_lowercase();
        if name == "macro" {
            return self.define_macro(file, body, at, rest, location);
        }
        let rest = self.variables(rest, location)?;
        let words = self.words(&rest, location);
        let read = match self.condition(&name, &words, location) {
            Some(read) => read,
            None if self.sections.len() >= self.options.limits.sections => {
                let most = self.options.limits.sections;
                self.stop("A005", location, format!("more than {most} sections within each other"))?;
                return Ok(at);
            }
            None => true,
        };
        if read {
            self.sections.push(Section { name, words, location: location.clone() });
            return Ok(at);
        }
        self.skip(body, at, &name, location)
    }

    /// Past the end of a section that is not read.
    fn skip(
        &mut self, body: &[LogicalLine], mut at: usize, name: &str, location: &SourceLocation,
    ) -> Result<usize, Stop> {
        let mut depth = 1;
        while at < body.len() {
            let lower = body[at].text.to_ascii_lowercase();
            at += 1;
            let is = |text: &str| {
                text.strip_prefix(name).is_some_and(|r| r.is_empty() || r.starts_with([' ', '\t', '>']))
            };
            match lower.strip_prefix("</") {
                Some(end) if is(end.trim_start()) => depth -= 1,
                None if lower.strip_prefix('<').is_some_and(is) => depth += 1,
                _ => {}
            }
            if depth == 0 {
                return Ok(at);
            }
        }
        self.stop("A002", location, format!("<{name}> is not closed"))?;
        Ok(at)
    }

    /// Whether a conditional section is read; `None` for a section that is no condition.
    fn condition(&mut self, name: &str, words: &[String], location: &SourceLocation) -> Option<bool> {
        let first = words.first().map_or("", String::as_str);
        let (not, bare) = first.strip_prefix('!').map_or((false, first), |b| (true, b));
        let undecided = |reader: &mut Self, what: &str| {
            reader.findings.add("A101", location, format!("<{name}> {what}: what is inside is not read"));
            false
        };
        Some(match name {
            "ifdefine" => self.defined.contains_key(bare) != not,
            "ifmodule" => {
                let text = format!("{bare} is taken as loaded");
                self.findings.add("A105", location, text);
                !not
            }
            "ifversion" => match (&self.options.version, words) {
                (Some(version), [.., wanted]) => {
                    let operator = if words.len() > 1 { words[0].as_str() } else { "=" };
                    match compare(version, operator, wanted) {
                        Some(is) => is,
                        None => undecided(self, "has a comparison that is not understood"),
                    }
                }
                _ => undecided(self, "needs httpd's version (--httpd-version)"),
            },
            "iffile" => {
                let path = self.path(bare);
                let there = self.files.read(&path).is_ok() || self.files.list(&path).is_some();
                there != not
            }
            "if" | "elseif" | "else" => undecided(self, "depends on each request"),
            "ifdirective" | "ifsection" => undecided(self, "depends on what the server was built with"),
            _ => return None,
        })
    }

    fn path(&self, path: &str) -> String {
        resolve_path(self.root.as_deref().unwrap_or(""), path)
    }

    /// Puts `${NAME}` in where it is defined.
    fn variables(&mut self, text: &str, location: &SourceLocation) -> Result<String, Stop> {
        let mut done = String::with_capacity(text.len());
        let mut rest = text;
        while let Some(at) = rest.find("${") {
            let Some(end) = rest[at..].find('}').map(|e| e + at) else { break };
            let name = &rest[at + 2..end];
            done.push_str(&rest[..at]);
            match self.defined.get(name) {
                Some(value) => done.push_str(value.as_deref().unwrap_or("")),
                None => {
                    done.push_str(&rest[at..=end]);
                    if !name.contains([':', ' ']) {
                        self.findings.add(
                            "A102",
                            location,
                            format!("${{{name}}} is not defined (-D {name}=VALUE does)"),
                        );
                    }
                }
            }
            rest = &rest[end + 1..];
            self.length(done.len() + rest.len(), location)?;
        }
        if !done.is_empty() {
            // What variables make counts as read: lines that double themselves end here.
            self.bytes += done.len();
            if self.bytes > self.options.limits.all_bytes {
                self.stop("A005", location, "variables make more bytes than are read")?;
            }
        }
        done.push_str(rest);
        self.length(done.len(), location)?;
        Ok(done)
    }

    fn length(&mut self, bytes: usize, location: &SourceLocation) -> Go {
        let most = self.options.limits.line_bytes;
        if bytes <= most {
            Ok(())
        } else {
            self.stop("A005", location, format!("a line of more than {most} bytes"))
        }
    }

    fn directive(&mut self, directive: Directive) -> Go {
        let Directive { name, words, location } = &directive;
        let first = words.first().cloned().unwrap_or_default();
        match (name.as_str(), words.len()) {
            ("define", 1 | 2) => {
                self.defined.insert(first, words.get(1).cloned());
            }
            ("undefine", 1) => {
                self.defined.remove(&first);
            }
            ("serverroot", 1) => self.root = Some(self.path(&first)),
            ("include" | "includeoptional", 1) => {
                return self.include(&first, name == "includeoptional", location);
            }
            ("use", 1..) => return self.use_macro(&first, &words[1..], location),
            ("define" | "undefine" | "serverroot" | "include" | "includeoptional" | "use", _) => {
                return self.stop("A008", location, format!("{name} cannot have {} arguments", words.len()));
            }
            ("undefmacro", 1) => {
                self.macros.remove(&first.to_ascii_lowercase());
            }
            _ => self.sink.directive(&self.sections, &directive, self.findings),
        }
        Ok(())
    }

    // ---- Includes ----

    /// A file, a folder (all that is in it, by name), or a pattern in any part of the path (matches by name).
    fn include(&mut self, pattern: &str, optional: bool, location: &SourceLocation) -> Go {
        let path = self.path(pattern);
        if !path.contains(['*', '?', '[']) {
            if let Some(names) = self.files.list(&path) {
                return self.directory(&path, names, location);
            }
            let missing = self.files.read(&path) == Err(FileError::Missing);
            return if optional && missing { Ok(()) } else { self.file(&path, location) };
        }
        let parts: Vec<&str> = path.split('/').filter(|p| !p.is_empty()).collect();
        let mut found = vec![if path.starts_with('/') { "/".to_owned() } else { String::new() }];
        for (at, part) in parts.iter().enumerate() {
            let (last, mut next) = (at + 1 == parts.len(), Vec::new());
            for directory in &found {
                if !part.contains(['*', '?', '[']) {
                    next.push(append_component(directory, part));
                    continue;
                }
                let mut names = self.files.list(directory).unwrap_or_default();
                names.sort();
                let fits =
                    |name: &str| (!name.starts_with('.') || part.starts_with('.')) && fnmatch(part, name);
                let fitting = names.into_iter().filter(|(name, is)| (last || *is) && fits(name));
                next.extend(fitting.map(|(name, _)| append_component(directory, &name)));
            }
            found = next;
        }
        found.retain(|path| {
            self.files.list(path).is_some() || self.files.read(path) != Err(FileError::Missing)
        });
        if found.is_empty() && !optional {
            return self.stop("A006", location, format!("{pattern} matches nothing"));
        }
        for path in found {
            match self.files.list(&path) {
                Some(names) => self.directory(&path, names, location)?,
                None => self.file(&path, location)?,
            }
        }
        Ok(())
    }

    fn directory(&mut self, path: &str, mut names: Vec<(String, bool)>, location: &SourceLocation) -> Go {
        if self.open.len() >= self.options.limits.depth {
            return self.stop("A004", location, format!("{path}: folders nest too deep"));
        }
        names.sort();
        self.open.push(path.to_owned());
        for (name, is_directory) in names {
            let inner = append_component(path, &name);
            let done = match is_directory.then(|| self.files.list(&inner)).flatten() {
                Some(names) => self.directory(&inner, names, location),
                None => self.file(&inner, location),
            };
            done?;
        }
        self.open.pop();
        Ok(())
    }

    // ---- Macros ----

    fn define_macro(
        &mut self, file: &Arc<str>, body: &[LogicalLine], at: usize, rest: &str, location: &SourceLocation,
    ) -> Result<usize, Stop> {
        let mut words = self.words(rest, location).into_iter();
        let Some(name) = words.next().map(|n| n.to_ascii_lowercase()) else {
            self.stop("A008", location, "a macro without a name")?;
            return Ok(at);
        };
        let parameters: Vec<String> = words.collect();
        if parameters.iter().any(String::is_empty)
            || parameters.iter().collect::<HashSet<_>>().len() < parameters.len()
        {
            self.stop("A008", location, "a macro with an empty or repeated parameter")?;
        }
        let end = self.skip(body, at, "macro", location)?;
        let body = Arc::new(body[at..end - 1].to_vec());
        if self.macros.insert(name.clone(), Macro { parameters, body, file: file.clone() }).is_some() {
            self.findings.add(
                "A104",
                location,
                format!("macro {name} is defined again: the last one counts"),
            );
        }
        Ok(end)
    }

    fn use_macro(&mut self, name: &str, given: &[String], location: &SourceLocation) -> Go {
        let key = name.to_ascii_lowercase();
        let mark = format!("macro {key}");
        if self.open.contains(&mark) {
            return self.stop("A004", location, format!("macro {key} uses itself"));
        }
        if self.open.len() >= self.options.limits.depth {
            let most = self.options.limits.depth;
            return self.stop(
                "A004",
                location,
                format!("more than {most} files and macros within each other"),
            );
        }
        let Some(found) = self.macros.get(&key) else {
            return self.stop("A007", location, format!("there is no macro {key}"));
        };
        let (wanted, file, lines) = (found.parameters.len(), found.file.clone(), Arc::clone(&found.body));
        if wanted != given.len() {
            let text = format!("macro {key} takes {wanted} arguments, {} are given", given.len());
            return self.stop("A007", location, text);
        }
        let parameters = found.parameters.clone();
        let mut pairs: Vec<(&str, &str)> =
            parameters.iter().zip(given).map(|(p, g)| (p.as_str(), g.as_str())).collect();
        pairs.sort_by_key(|(p, _)| std::cmp::Reverse(p.len()));
        let mut body = Vec::with_capacity(lines.len());
        for line in lines.iter() {
            let text = put_in(&line.text, &pairs);
            let location = SourceLocation { file: file.clone(), line: line.number };
            self.length(text.len(), &location)?;
            // What is spread counts before it is read: a macro of a million lines is not built for nothing.
            self.bytes += text.len();
            if self.bytes > self.options.limits.all_bytes {
                return self.stop("A005", &location, "macros spread to more bytes than are read");
            }
            body.push(LogicalLine { text, number: line.number });
        }
        self.open.push(mark);
        let done = self.body(&file, &body);
        self.open.pop();
        done
    }
}

fn append_component(directory: &str, name: &str) -> String {
    if directory.is_empty() || directory.ends_with('/') {
        format!("{directory}{name}")
    } else {
        format!("{directory}/{name}")
    }
}

/// Puts arguments in for parameters, at each place the longest that fits.
fn put_in(text: &str, pairs: &[(&str, &str)]) -> String {
    if pairs.is_empty() {
        return text.to_owned();
    }
    let mut done = String::with_capacity(text.len());
    let mut rest = text;
    while let Some(first) = rest.chars().next() {
        match pairs.iter().find(|(p, _)| rest.starts_with(p)) {
            Some((parameter, argument)) => {
                done.push_str(argument);
                rest = &rest[parameter.len()..];
            }
            None => {
                done.push(first);
                rest = &rest[first.len_utf8()..];
            }
        }
    }
    done
}

/// httpd's comparison of versions: `2`, `2.4` and `2.4.7` stand for as many parts as they have.
fn compare(version: &str, operator: &str, wanted: &str) -> Option<bool> {
    let parts = |text: &str| text.split('.').map(|p| p.parse::<u32>().ok()).collect::<Option<Vec<u32>>>();
    let (mut version, mut wanted) = (parts(version)?, parts(wanted)?);
    version.resize(3, 0);
    wanted.resize(3, 0);
    let order = version.cmp(&wanted);
    Some(match operator {
        "=" | "==" => order.is_eq(),
        ">" => order.is_gt(),
        ">=" => order.is_ge(),
        "<" => order.is_lt(),
        "<=" => order.is_le(),
        "!=" => order.is_ne(),
        "!<" => order.is_ge(),
        "!>" => order.is_le(),
        _ => return None,
    })
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn versions() {
        assert_eq!(compare("2.4.7", ">=", "2.4"), Some(true));
        assert_eq!(compare("2.4.7", "<", "2.4.10"), Some(true));
        assert_eq!(compare("2.4", "~", "2.4"), None);
        assert_eq!(compare("2.4", "=", "x"), None);
    }

    #[test]
    fn parameters_by_length() {
        assert_eq!(put_in("$a $ab ${a}", &[("$ab", "2"), ("$a", "1")]), "1 2 ${a}");
    }
}
