//! Reads directives in the order in which httpd executes them: follows includes, expands macros and
//! variables, and evaluates conditions as far as the files alone allow.

use super::lexer::{LogicalLine, decode_text, logical_lines, split_arguments};
use crate::Limits;
use crate::files::{FileError, Files, SourceLocation, fnmatch, resolve_path};
use crate::finding::Findings;
use std::collections::{BTreeMap, HashMap, HashSet};
use std::sync::Arc;

/// A directive with its arguments.
#[derive(Clone, Debug)]
pub struct Directive {
    /// The name in lower case.
    pub name: String,
    /// The arguments.
    pub arguments: Vec<String>,
    /// The line of the directive.
    pub location: SourceLocation,
}

/// A section that encloses a directive.
#[derive(Clone, Debug)]
pub struct Section {
    /// The name in lower case.
    pub name: String,
    /// The arguments.
    pub arguments: Vec<String>,
    /// The line on which the section starts.
    pub location: SourceLocation,
}

/// Receives each directive that the reader does not execute itself.
pub trait DirectiveHandler {
    /// Handles a directive; `sections` are the enclosing sections, outermost first.
    fn handle(&mut self, sections: &[Section], directive: &Directive, findings: &mut Findings);
}

/// Settings that the files themselves do not contain.
#[derive(Clone, Debug, Default)]
pub struct Options {
    /// Names defined on httpd's command line (`-D`).
    pub defines: Vec<String>,
    /// httpd's version, for IfVersion; without it such conditions cannot be evaluated.
    pub version: Option<String>,
    /// Limits on what is read.
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
    handler: &'a mut dyn DirectiveHandler,
    defined: BTreeMap<String, Option<String>>,
    macros: HashMap<String, Macro>,
    /// Files, directories and macros that are being read, to detect cycles.
    open_sources: Vec<String>,
    sections: Vec<Section>,
    server_root: Option<String>,
    bytes_read: usize,
    directives_read: usize,
}

/// Reading has ended after an error, which is among the findings.
struct Aborted;
type ReadResult = Result<(), Aborted>;

/// Reads the main files and everything that they include. Errors are added to the findings.
pub fn read(
    files: &dyn Files, main: &[String], options: &Options, findings: &mut Findings,
    handler: &mut dyn DirectiveHandler,
) {
    let defined = options.defines.iter().map(|d| match d.split_once('=') {
        Some((name, value)) => (name.to_owned(), Some(value.to_owned())),
        None => (d.clone(), None),
    });
    let mut reader = Reader {
        files,
        options,
        findings,
        handler,
        defined: defined.collect(),
        macros: HashMap::new(),
        open_sources: Vec::new(),
        sections: Vec::new(),
        server_root: None,
        bytes_read: 0,
        directives_read: 0,
    };
    for file in main {
        let directory = file.rsplit_once('/').map_or("", |(f, _)| f).to_owned();
        if reader.server_root.is_none() {
            reader.server_root = Some(directory);
        }
        let location = SourceLocation { file: file.as_str().into(), line: 0 };
        if reader.read_file(file, &location).is_err() {
            return;
        }
    }
}

impl Reader<'_> {
    fn abort(
        &mut self, code: &'static str, location: &SourceLocation, message: impl Into<String>,
    ) -> ReadResult {
        self.findings.add(code, location, message);
        Err(Aborted)
    }

    fn read_file(&mut self, path: &str, referrer: &SourceLocation) -> ReadResult {
        let limits = self.options.limits;
        if self.open_sources.iter().any(|o| o == path) {
            let chain = self.open_sources.join(" -> ");
            return self.abort("A004", referrer, format!("{path} is already being read: {chain} -> {path}"));
        }
        if self.open_sources.len() >= limits.depth {
            return self.abort(
                "A004",
                referrer,
                format!("files and macros nest more than {} levels deep", limits.depth),
            );
        }
        let bytes = match self.files.read(path) {
            Ok(bytes) => bytes,
            Err(FileError::Missing) => {
                return self.abort("A001", referrer, format!("{path}: the file does not exist"));
            }
            Err(FileError::Unreadable(why)) => return self.abort("A001", referrer, format!("{path}: {why}")),
        };
        self.bytes_read += bytes.len();
        let location = SourceLocation { file: path.into(), line: 0 };
        if bytes.len() > limits.file_bytes || self.bytes_read > limits.all_bytes {
            return self.abort("A005", &location, format!("{path}: the limit on bytes read is exceeded"));
        }
        let (text, first_invalid_line) = decode_text(&bytes);
        if let Some(line) = first_invalid_line {
            self.findings.add(
                "A103",
                &SourceLocation { line, ..location.clone() },
                "invalid UTF-8: the file is read as Latin-1",
            );
        }
        let body = match logical_lines(&text, limits.line_bytes) {
            Ok(body) => body,
            Err(line) => {
                let limit = limits.line_bytes;
                return self.abort(
                    "A005",
                    &SourceLocation { line, ..location },
                    format!("the line has more than {limit} bytes"),
                );
            }
        };
        self.open_sources.push(path.to_owned());
        let result = self.read_lines(&location.file, &body);
        self.open_sources.pop();
        result
    }

    /// Reads the lines of a file or macro. A section must be closed in the file or macro that opened it.
    fn read_lines(&mut self, file: &Arc<str>, body: &[LogicalLine]) -> ReadResult {
        let outer_depth = self.sections.len();
        let mut at = 0;
        while at < body.len() {
            let line = &body[at];
            at += 1;
            let location = SourceLocation { file: file.clone(), line: line.number };
            self.directives_read += 1;
            if self.directives_read > self.options.limits.directives {
                let limit = self.options.limits.directives;
                return self.abort(
                    "A005",
                    &location,
                    format!("more than {limit} directives after expansion of includes and macros"),
                );
            }
            if let Some(name) = line.text.strip_prefix("</") {
                let name = name.trim_end().trim_end_matches('>').trim().to_ascii_lowercase();
                match self.sections.last() {
                    Some(last) if self.sections.len() > outer_depth && last.name == name => {
                        self.sections.pop();
                    }
                    Some(last) if self.sections.len() > outer_depth => {
                        let text = format!("</{name}> cannot close <{}> of {}", last.name, last.location);
                        return self.abort("A002", &location, text);
                    }
                    _ => {
                        return self.abort(
                            "A002",
                            &location,
                            format!("</{name}> has no matching section start here"),
                        );
                    }
                }
                continue;
            }
            if line.text.starts_with('<') {
                at = self.open_section(file, body, at, &location)?;
                continue;
            }
            let (name, rest) = line.text.split_once(char::is_whitespace).unwrap_or((&line.text, ""));
            let rest = self.expand_variables(rest, &location)?;
            let arguments = self.split_arguments(&rest, &location);
            self.execute(Directive { name: name.to_ascii_lowercase(), arguments, location })?;
        }
        if self.sections.len() > outer_depth {
            let last = self.sections[self.sections.len() - 1].clone();
            return self.abort("A002", &last.location, format!("<{}> is not closed", last.name));
        }
        Ok(())
    }

    fn split_arguments(&mut self, text: &str, location: &SourceLocation) -> Vec<String> {
        let (arguments, unterminated) = split_arguments(text);
        if unterminated {
            self.findings.add(
                "A003",
                location,
                "unterminated quote: the argument extends to the end of the line, as in httpd",
            );
        }
        arguments
    }

    /// Opens a section at its first line and returns the index of the next line to read.
    fn open_section(
        &mut self, file: &Arc<str>, body: &[LogicalLine], at: usize, location: &SourceLocation,
    ) -> Result<usize, Aborted> {
        let text = &body[at - 1].text;
        let Some(header) = text[1..].rfind('>').map(|end| &text[1..=end]) else {
            self.abort("A002", location, "the section start has no closing `>`")?;
            return Ok(at);
        };
        let (name, rest) = header.split_once(char::is_whitespace).unwrap_or((header, ""));
        let name = name.to_ascii_lowercase();
        if name == "macro" {
            return self.define_macro(file, body, at, rest, location);
        }
        let rest = self.expand_variables(rest, location)?;
        let arguments = self.split_arguments(&rest, location);
        let read = match self.evaluate_condition(&name, &arguments, location) {
            Some(read) => read,
            None if self.sections.len() >= self.options.limits.sections => {
                let limit = self.options.limits.sections;
                self.abort("A005", location, format!("sections nest more than {limit} levels deep"))?;
                return Ok(at);
            }
            None => true,
        };
        if read {
            self.sections.push(Section { name, arguments, location: location.clone() });
            return Ok(at);
        }
        self.skip_section(body, at, &name, location)
    }

    /// Skips a section and returns the index of the line after its end.
    fn skip_section(
        &mut self, body: &[LogicalLine], mut at: usize, name: &str, location: &SourceLocation,
    ) -> Result<usize, Aborted> {
        let mut depth = 1;
        while at < body.len() {
            let lower = body[at].text.to_ascii_lowercase();
            at += 1;
            let matches_name = |text: &str| {
                text.strip_prefix(name).is_some_and(|r| r.is_empty() || r.starts_with([' ', '\t', '>']))
            };
            match lower.strip_prefix("</") {
                Some(end) if matches_name(end.trim_start()) => depth -= 1,
                None if lower.strip_prefix('<').is_some_and(matches_name) => depth += 1,
                _ => {}
            }
            if depth == 0 {
                return Ok(at);
            }
        }
        self.abort("A002", location, format!("<{name}> is not closed"))?;
        Ok(at)
    }

    /// Whether a conditional section is read; `None` if the section is not a condition.
    fn evaluate_condition(
        &mut self, name: &str, arguments: &[String], location: &SourceLocation,
    ) -> Option<bool> {
        let first = arguments.first().map_or("", String::as_str);
        let (negated, operand) = first.strip_prefix('!').map_or((false, first), |b| (true, b));
        let undecidable = |reader: &mut Self, what: &str| {
            reader.findings.add("A101", location, format!("<{name}> {what}: its content is not read"));
            false
        };
        Some(match name {
            "ifdefine" => self.defined.contains_key(operand) != negated,
            "ifmodule" => {
                let text = format!("{operand} is assumed to be loaded");
                self.findings.add("A105", location, text);
                !negated
            }
            "ifversion" => match (&self.options.version, arguments) {
                (Some(version), [.., expected]) => {
                    let operator = if arguments.len() > 1 { arguments[0].as_str() } else { "=" };
                    match compare_versions(version, operator, expected) {
                        Some(is) => is,
                        None => undecidable(self, "has an invalid comparison"),
                    }
                }
                _ => undecidable(self, "needs httpd's version (--httpd-version)"),
            },
            "iffile" => {
                let path = self.resolve(operand);
                let exists = self.files.read(&path).is_ok() || self.files.list(&path).is_some();
                exists != negated
            }
            "if" | "elseif" | "else" => undecidable(self, "depends on each request"),
            "ifdirective" | "ifsection" => undecidable(self, "depends on what the server was built with"),
            _ => return None,
        })
    }

    fn resolve(&self, path: &str) -> String {
        resolve_path(self.server_root.as_deref().unwrap_or(""), path)
    }

    /// Replaces each defined `${NAME}` by its value.
    fn expand_variables(&mut self, text: &str, location: &SourceLocation) -> Result<String, Aborted> {
        let mut expanded = String::with_capacity(text.len());
        let mut rest = text;
        while let Some(at) = rest.find("${") {
            let Some(end) = rest[at..].find('}').map(|e| e + at) else { break };
            let name = &rest[at + 2..end];
            expanded.push_str(&rest[..at]);
            match self.defined.get(name) {
                Some(value) => expanded.push_str(value.as_deref().unwrap_or("")),
                None => {
                    expanded.push_str(&rest[at..=end]);
                    if !name.contains([':', ' ']) {
                        self.findings.add(
                            "A102",
                            location,
                            format!("${{{name}}} is not defined (use -D {name}=VALUE)"),
                        );
                    }
                }
            }
            rest = &rest[end + 1..];
            self.check_line_length(expanded.len() + rest.len(), location)?;
        }
        if !expanded.is_empty() {
            // Expanded text counts towards the byte limit, which bounds variables that repeat one another.
            self.bytes_read += expanded.len();
            if self.bytes_read > self.options.limits.all_bytes {
                self.abort("A005", location, "variables expand to more bytes than the limit")?;
            }
        }
        expanded.push_str(rest);
        self.check_line_length(expanded.len(), location)?;
        Ok(expanded)
    }

    fn check_line_length(&mut self, bytes: usize, location: &SourceLocation) -> ReadResult {
        let limit = self.options.limits.line_bytes;
        if bytes <= limit {
            Ok(())
        } else {
            self.abort("A005", location, format!("the line has more than {limit} bytes"))
        }
    }

    fn execute(&mut self, directive: Directive) -> ReadResult {
        let Directive { name, arguments, location } = &directive;
        let first = arguments.first().cloned().unwrap_or_default();
        match (name.as_str(), arguments.len()) {
            ("define", 1 | 2) => {
                self.defined.insert(first, arguments.get(1).cloned());
            }
            ("undefine", 1) => {
                self.defined.remove(&first);
            }
            ("serverroot", 1) => self.server_root = Some(self.resolve(&first)),
            ("include" | "includeoptional", 1) => {
                return self.include(&first, name == "includeoptional", location);
            }
            ("use", 1..) => return self.expand_macro(&first, &arguments[1..], location),
            ("define" | "undefine" | "serverroot" | "include" | "includeoptional" | "use", _) => {
                return self.abort(
                    "A008",
                    location,
                    format!("{name} does not accept {} arguments", arguments.len()),
                );
            }
            ("undefmacro", 1) => {
                self.macros.remove(&first.to_ascii_lowercase());
            }
            _ => self.handler.handle(&self.sections, &directive, self.findings),
        }
        Ok(())
    }

    // ---- Includes ----

    /// Reads a file, a directory (all entries in order of their names), or the matches of a pattern, which
    /// may stand in any component of the path (in order of their names).
    fn include(&mut self, pattern: &str, optional: bool, location: &SourceLocation) -> ReadResult {
        let path = self.resolve(pattern);
        if !path.contains(['*', '?', '[']) {
            if let Some(names) = self.files.list(&path) {
                return self.read_directory(&path, names, location);
            }
            let missing = self.files.read(&path) == Err(FileError::Missing);
            return if optional && missing { Ok(()) } else { self.read_file(&path, location) };
        }
        let parts: Vec<&str> = path.split('/').filter(|p| !p.is_empty()).collect();
        let mut candidates = vec![if path.starts_with('/') { "/".to_owned() } else { String::new() }];
        for (at, part) in parts.iter().enumerate() {
            let (last, mut expanded) = (at + 1 == parts.len(), Vec::new());
            for directory in &candidates {
                if !part.contains(['*', '?', '[']) {
                    expanded.push(append_component(directory, part));
                    continue;
                }
                let mut names = self.files.list(directory).unwrap_or_default();
                names.sort();
                let matching =
                    |name: &str| (!name.starts_with('.') || part.starts_with('.')) && fnmatch(part, name);
                let matched = names
                    .into_iter()
                    .filter(|(name, is_directory)| (last || *is_directory) && matching(name));
                expanded.extend(matched.map(|(name, _)| append_component(directory, &name)));
            }
            candidates = expanded;
        }
        candidates.retain(|path| {
            self.files.list(path).is_some() || self.files.read(path) != Err(FileError::Missing)
        });
        if candidates.is_empty() && !optional {
            return self.abort("A006", location, format!("no file matches {pattern}"));
        }
        for path in candidates {
            match self.files.list(&path) {
                Some(names) => self.read_directory(&path, names, location)?,
                None => self.read_file(&path, location)?,
            }
        }
        Ok(())
    }

    fn read_directory(
        &mut self, path: &str, mut names: Vec<(String, bool)>, location: &SourceLocation,
    ) -> ReadResult {
        if self.open_sources.len() >= self.options.limits.depth {
            return self.abort("A004", location, format!("{path}: directories nest too deeply"));
        }
        names.sort();
        self.open_sources.push(path.to_owned());
        for (name, is_directory) in names {
            let entry = append_component(path, &name);
            let result = match is_directory.then(|| self.files.list(&entry)).flatten() {
                Some(names) => self.read_directory(&entry, names, location),
                None => self.read_file(&entry, location),
            };
            result?;
        }
        self.open_sources.pop();
        Ok(())
    }

    // ---- Macros ----

    fn define_macro(
        &mut self, file: &Arc<str>, body: &[LogicalLine], at: usize, rest: &str, location: &SourceLocation,
    ) -> Result<usize, Aborted> {
        let mut arguments = self.split_arguments(rest, location).into_iter();
        let Some(name) = arguments.next().map(|n| n.to_ascii_lowercase()) else {
            self.abort("A008", location, "the macro has no name")?;
            return Ok(at);
        };
        let parameters: Vec<String> = arguments.collect();
        if parameters.iter().any(String::is_empty)
            || parameters.iter().collect::<HashSet<_>>().len() < parameters.len()
        {
            self.abort("A008", location, "the macro has an empty or repeated parameter")?;
        }
        let end = self.skip_section(body, at, "macro", location)?;
        let body = Arc::new(body[at..end - 1].to_vec());
        if self.macros.insert(name.clone(), Macro { parameters, body, file: file.clone() }).is_some() {
            self.findings.add(
                "A104",
                location,
                format!("macro {name} is defined again: the last definition applies"),
            );
        }
        Ok(end)
    }

    fn expand_macro(&mut self, name: &str, values: &[String], location: &SourceLocation) -> ReadResult {
        let key = name.to_ascii_lowercase();
        let open_name = format!("macro {key}");
        if self.open_sources.contains(&open_name) {
            return self.abort("A004", location, format!("macro {key} uses itself"));
        }
        if self.open_sources.len() >= self.options.limits.depth {
            let limit = self.options.limits.depth;
            return self.abort(
                "A004",
                location,
                format!("files and macros nest more than {limit} levels deep"),
            );
        }
        let Some(definition) = self.macros.get(&key) else {
            return self.abort("A007", location, format!("macro {key} is not defined"));
        };
        let (expected, file, lines) =
            (definition.parameters.len(), definition.file.clone(), Arc::clone(&definition.body));
        if expected != values.len() {
            let text = format!("macro {key} takes {expected} arguments, but {} are given", values.len());
            return self.abort("A007", location, text);
        }
        let parameters = definition.parameters.clone();
        let mut substitutions: Vec<(&str, &str)> =
            parameters.iter().zip(values).map(|(p, g)| (p.as_str(), g.as_str())).collect();
        substitutions.sort_by_key(|(p, _)| std::cmp::Reverse(p.len()));
        let mut body = Vec::with_capacity(lines.len());
        for line in lines.iter() {
            let text = substitute(&line.text, &substitutions);
            let location = SourceLocation { file: file.clone(), line: line.number };
            self.check_line_length(text.len(), &location)?;
            // Counts the expanded text before it is read, so that a macro of a million lines is not expanded
            // in vain.
            self.bytes_read += text.len();
            if self.bytes_read > self.options.limits.all_bytes {
                return self.abort("A005", &location, "macros expand to more bytes than the limit");
            }
            body.push(LogicalLine { text, number: line.number });
        }
        self.open_sources.push(open_name);
        let result = self.read_lines(&file, &body);
        self.open_sources.pop();
        result
    }
}

fn append_component(directory: &str, name: &str) -> String {
    if directory.is_empty() || directory.ends_with('/') {
        format!("{directory}{name}")
    } else {
        format!("{directory}/{name}")
    }
}

/// Replaces parameters by their arguments; at each position the longest matching parameter applies.
fn substitute(text: &str, substitutions: &[(&str, &str)]) -> String {
    if substitutions.is_empty() {
        return text.to_owned();
    }
    let mut expanded = String::with_capacity(text.len());
    let mut rest = text;
    while let Some(first) = rest.chars().next() {
        match substitutions.iter().find(|(p, _)| rest.starts_with(p)) {
            Some((parameter, argument)) => {
                expanded.push_str(argument);
                rest = &rest[parameter.len()..];
            }
            None => {
                expanded.push(first);
                rest = &rest[first.len_utf8()..];
            }
        }
    }
    expanded
}

/// Compares versions as httpd does. `2`, `2.4` and `2.4.7` are all valid; missing components count as 0.
fn compare_versions(version: &str, operator: &str, expected: &str) -> Option<bool> {
    let parts = |text: &str| text.split('.').map(|p| p.parse::<u32>().ok()).collect::<Option<Vec<u32>>>();
    let (mut version, mut expected) = (parts(version)?, parts(expected)?);
    version.resize(3, 0);
    expected.resize(3, 0);
    let order = version.cmp(&expected);
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
mod tests;
