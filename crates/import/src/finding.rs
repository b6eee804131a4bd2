//! Findings of an import, with stable codes.

use crate::files::{Files, SourceLocation};
use serde::Serialize;
use std::collections::HashSet;

/// How much a finding matters.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Severity {
    /// Nothing is lost; for information.
    Note,
    /// Carried over with a difference in some situations.
    Approximated,
    /// Not carried over.
    LeftOut,
    /// The file cannot be used as it is; no node list is produced.
    Error,
}

impl Severity {
    /// The severity as printed for people.
    #[must_use]
    pub fn name(self) -> &'static str {
        match self {
            Self::Note => "note",
            Self::Approximated => "approximated",
            Self::LeftOut => "left out",
            Self::Error => "error",
        }
    }
}

/// Something an import reports, with a stable code.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Finding {
    /// The code; `CODES` lists all of them.
    pub code: &'static str,
    /// How much it matters.
    pub severity: Severity,
    /// The file and line that it refers to.
    #[serde(rename = "place")]
    pub location: SourceLocation,
    /// A sentence that says what was found and what to do instead.
    pub message: String,
}

/// Every code with its severity and meaning.
pub const CODES: &[(&str, Severity, &str)] = &[
    ("A001", Severity::Error, "a file that cannot be read"),
    ("A002", Severity::Error, "a section that is not closed, or closed by another name"),
    (
        "A003",
        Severity::Note,
        "an unterminated quote: the argument extends to the end of the line, as in httpd",
    ),
    ("A004", Severity::Error, "includes or macros that are cyclic or nest too deeply"),
    ("A005", Severity::Error, "a limit on bytes, lines, directives or nesting is exceeded"),
    ("A006", Severity::Error, "an Include pattern that matches nothing"),
    ("A007", Severity::Error, "a macro that is not defined, or used with the wrong number of arguments"),
    ("A008", Severity::Error, "a directive with arguments that it does not accept"),
    ("A101", Severity::LeftOut, "a condition that cannot be evaluated here: its content is not read"),
    ("A102", Severity::Note, "an undefined variable: left as written, as in httpd"),
    ("A103", Severity::Note, "invalid UTF-8: the file is read as Latin-1"),
    ("A104", Severity::Note, "a macro that is defined again: the last definition applies"),
    ("A105", Severity::Note, "IfModule: the module is assumed to be loaded"),
    ("B001", Severity::LeftOut, "a parameter with an invalid value"),
    ("B002", Severity::LeftOut, "an undocumented parameter"),
    ("B003", Severity::LeftOut, "a parameter without an equivalent"),
    ("B004", Severity::Approximated, "a parameter whose equivalent differs"),
    ("B005", Severity::LeftOut, "a directive without an equivalent"),
    ("B006", Severity::Note, "a worker that is defined again: later parameters override earlier ones"),
    ("B007", Severity::LeftOut, "an undocumented status flag"),
    ("B008", Severity::Note, "a balancer without members, or that nothing refers to"),
    ("B009", Severity::Note, "directives of other modules: not examined"),
    ("C001", Severity::Error, "several balancers: one must be chosen"),
    ("C002", Severity::Error, "no balancer of this name, or none at all"),
    ("C003", Severity::LeftOut, "AJP is not supported: the node's HTTP address must be set"),
    ("C004", Severity::LeftOut, "TLS to nodes is not supported"),
    ("C005", Severity::LeftOut, "a host name: its address must be given"),
    ("C006", Severity::LeftOut, "a member without a TCP address"),
    ("C007", Severity::LeftOut, "paths: the gateway serves one endpoint"),
    ("C008", Severity::LeftOut, "a balancer that was not chosen"),
    ("C009", Severity::Approximated, "a redirect to a route that no node has"),
    ("C010", Severity::Approximated, "a role whose equivalent differs"),
    ("C011", Severity::LeftOut, "a second member with the same address"),
    ("C012", Severity::LeftOut, "sticky sessions without a valid name, or a route without sticky sessions"),
    ("J001", Severity::Error, "a worker that is not defined"),
    ("J002", Severity::Error, "references or balancers that are cyclic or nest too deeply"),
    ("J003", Severity::LeftOut, "a worker of a type without an equivalent"),
    ("J004", Severity::Note, "a worker.list that omits this worker: it is not reachable from outside"),
    ("J005", Severity::LeftOut, "a line that cannot be parsed"),
    ("J006", Severity::Note, "an old name in mod_jk: treated as the new one"),
    ("J007", Severity::Note, "an undefined macro: it expands to nothing"),
    ("J008", Severity::Approximated, "a nested balancer: its members are included"),
];

/// The meaning of a code.
#[must_use]
pub fn explain(code: &str) -> Option<&'static str> {
    CODES.iter().find(|(c, _, _)| *c == code).map(|(_, _, text)| *text)
}

/// Findings in the order in which they were added, without duplicates.
#[derive(Clone, Debug, Default)]
pub struct Findings {
    all: Vec<Finding>,
    seen: HashSet<(&'static str, SourceLocation, String)>,
}

/// Further findings are dropped: nobody reads that many, and a hostile file can cause millions.
const MAX_FINDINGS: usize = 10_000;

impl Findings {
    /// Adds a finding with the severity of its code.
    pub fn add(&mut self, code: &'static str, location: &SourceLocation, message: impl Into<String>) {
        let severity = CODES.iter().find(|(c, _, _)| *c == code).map_or(Severity::Error, |(_, s, _)| *s);
        let message = message.into();
        if self.all.len() < MAX_FINDINGS && self.seen.insert((code, location.clone(), message.clone())) {
            self.all.push(Finding { code, severity, location: location.clone(), message });
        }
    }

    /// All findings in order.
    #[must_use]
    pub fn all(&self) -> &[Finding] {
        &self.all
    }

    /// Whether there is a finding of at least this severity.
    #[must_use]
    pub fn any_at_least(&self, severity: Severity) -> bool {
        self.all.iter().any(|f| f.severity >= severity)
    }

    /// Formats the findings for people, each with the line that it refers to.
    #[must_use]
    pub fn to_text(&self, files: &dyn Files) -> String {
        let mut sources = std::collections::HashMap::new();
        let mut text = String::new();
        for finding in &self.all {
            let (location, severity) = (&finding.location, finding.severity.name());
            text.push_str(&format!("{location}: {severity} [{}]: {}\n", finding.code, finding.message));
            let lines: &Vec<String> = sources.entry(location.file.clone()).or_insert_with(|| {
                let bytes = files.read(&location.file).unwrap_or_default();
                String::from_utf8_lossy(&bytes).lines().map(str::to_owned).collect()
            });
            let line = (location.line as usize).checked_sub(1).and_then(|at| lines.get(at));
            if let Some(line) = line.filter(|l| !l.trim().is_empty()) {
                let excerpt: String = line.trim().chars().filter(|c| !c.is_control()).take(110).collect();
                text.push_str(&format!("    {excerpt}\n"));
            }
        }
        text
    }

    /// Formats the findings as a JSON array.
    #[must_use]
    pub fn to_json(&self) -> String {
        serde_json::to_string_pretty(&self.all).unwrap_or_default()
    }
}
