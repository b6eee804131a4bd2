//! Parses `uriworkermap.properties` (common/jk_uri_worker_map.c): `/path=worker`, exclusions by `!`,
//! `/path|/*` for the path and everything below it, extensions after `;`.

use super::properties::clip;
use crate::Limits;
use crate::apache::logical_lines;
use crate::files::SourceLocation;
use crate::finding::Findings;
use crate::table::{Conversion, Scope, Source, find_parameter};

/// A line of uriworkermap.properties that maps a path to a worker.
#[derive(Clone, Debug, PartialEq)]
pub struct UriRule {
    /// A path or pattern.
    pub path: String,
    /// The worker's name.
    pub worker: String,
    /// Whether the path is excluded from the worker.
    pub excluded: bool,
    /// The line of the rule.
    pub location: SourceLocation,
}

/// Parses the rules of a file; `None` after an error, which is added to the findings.
pub fn parse_rules(path: &str, text: &str, limits: Limits, findings: &mut Findings) -> Option<Vec<UriRule>> {
    let file: std::sync::Arc<str> = path.into();
    let lines = match logical_lines(text, limits.line_bytes) {
        Ok(lines) => lines,
        Err(line) => {
            let location = SourceLocation { file, line };
            findings.add("A005", &location, format!("the line has more than {} bytes", limits.line_bytes));
            return None;
        }
    };
    let mut rules = Vec::new();
    for line in lines {
        let location = SourceLocation { file: file.clone(), line: line.number };
        let Some((pattern, target)) = line.text.split_once('=') else {
            findings.add("J005", &location, format!("`{}` is not path=worker", clip(&line.text)));
            continue;
        };
        let mut target = target.split(';').map(str::trim);
        let worker = target.next().unwrap_or("").to_owned();
        for extension in target.filter(|e| !e.is_empty()) {
            let name = extension.split('=').next().unwrap_or("").trim().to_ascii_lowercase();
            match find_parameter(Source::ModJk, Scope::Rule, &name) {
                Some(row) if row.conversion == Conversion::LeftOut => {
                    findings.add("B003", &location, format!("{name}: {}", row.note));
                }
                Some(row) => findings.add("B004", &location, format!("{name}: {}", row.note)),
                None => findings.add(
                    "B002",
                    &location,
                    format!("{}: not a known extension of a rule", clip(&name)),
                ),
            }
        }
        let pattern = pattern.trim();
        let (excluded, pattern) = pattern.strip_prefix('!').map_or((false, pattern), |l| (true, l.trim()));
        // A leading minus marks a disabled rule.
        let (disabled, pattern) = pattern.strip_prefix('-').map_or((false, pattern), |l| (true, l.trim()));
        if pattern.is_empty() || worker.is_empty() || !pattern.starts_with(['/', '*', '.']) || disabled {
            let text = if disabled { "is disabled" } else { "is not a rule: expected /path=worker" };
            findings.add("J005", &location, format!("`{}` {text}", clip(&line.text)));
            continue;
        }
        let rule =
            |path: String| UriRule { path, worker: worker.clone(), excluded, location: location.clone() };
        match pattern.split_once('|') {
            Some((path, below)) => {
                // What follows the `|` may repeat the path: `/path|/*` and `/path|/path/*` are the same.
                rules.push(rule(path.to_owned()));
                let below = if below.starts_with(path) { below.to_owned() } else { format!("{path}{below}") };
                rules.push(rule(below));
            }
            None => rules.push(rule(pattern.to_owned())),
        }
    }
    Some(rules)
}

#[cfg(test)]
mod tests;
