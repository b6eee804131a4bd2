//! Parses properties files as mod_jk does (common/jk_map.c): `name=value`, and `$(name)` for a property
//! defined earlier. The last value applies, except for list attributes, whose values are joined.

use crate::Limits;
use crate::apache::logical_lines;
use crate::files::SourceLocation;
use crate::finding::Findings;
use std::collections::HashMap;

/// Attributes whose values are joined when they are set more than once.
const LIST_ATTRIBUTES: [&str; 5] = ["balance_workers", "balanced_workers", "mount", "list", "fail_on_status"];

/// A property's value and where it was set.
#[derive(Clone, Debug, PartialEq)]
pub struct Property {
    /// The value with macros expanded.
    pub text: String,
    /// Where it was last set.
    pub location: SourceLocation,
    /// Where it was first set.
    pub first_location: SourceLocation,
}

/// All properties in order of first occurrence.
#[derive(Debug)]
pub struct Properties {
    indices: HashMap<String, usize>,
    entries: Vec<(String, Property)>,
    bytes: usize,
    pub(crate) limits: Limits,
}

impl Properties {
    /// Creates an empty set of properties.
    #[must_use]
    pub fn new(limits: Limits) -> Self {
        Self { indices: HashMap::new(), entries: Vec::new(), bytes: 0, limits }
    }

    /// Looks up a property by its full name.
    #[must_use]
    pub fn get(&self, name: &str) -> Option<&Property> {
        self.indices.get(name).map(|at| &self.entries[*at].1)
    }

    /// Iterates over all properties.
    pub fn iter(&self) -> impl Iterator<Item = (&str, &Property)> {
        self.entries.iter().map(|(name, property)| (name.as_str(), property))
    }

    /// Parses a file's text; returns `false` after an error, which is added to the findings.
    pub fn read(&mut self, path: &str, text: &str, findings: &mut Findings) -> bool {
        let location = |line| SourceLocation { file: path.into(), line };
        let lines = match logical_lines(text, self.limits.line_bytes) {
            Ok(lines) => lines,
            Err(line) => {
                findings.add(
                    "A005",
                    &location(line),
                    format!("the line has more than {} bytes", self.limits.line_bytes),
                );
                return false;
            }
        };
        let file: std::sync::Arc<str> = path.into();
        lines
            .iter()
            .all(|l| self.parse(&l.text, &SourceLocation { file: file.clone(), line: l.number }, findings))
    }

    /// Parses one line; returns `false` after an error, which is added to the findings.
    pub fn parse(&mut self, line: &str, location: &SourceLocation, findings: &mut Findings) -> bool {
        // A comment may also follow a value.
        let line = line.split('#').next().unwrap_or("").trim();
        let Some((name, value)) = line.split_once('=') else {
            if !line.is_empty() {
                findings.add("J005", location, format!("`{}` is not name=value", clip(line)));
            }
            return true;
        };
        let (name, value) = (name.trim().to_owned(), self.expand_macros(value.trim(), location, findings));
        self.bytes += name.len() + value.len();
        if self.bytes > self.limits.all_bytes || value.len() > self.limits.line_bytes {
            findings.add("A005", location, "macros expand to more bytes than the limit");
            return false;
        }
        let new_index = self.entries.len();
        let at = *self.indices.entry(name.clone()).or_insert(new_index);
        let property = Property { text: value, location: location.clone(), first_location: location.clone() };
        if at == new_index {
            self.entries.push((name, property));
            return true;
        }
        let attribute = name.rsplit('.').next().unwrap_or("");
        let existing = &mut self.entries[at].1;
        if LIST_ATTRIBUTES.contains(&attribute) {
            existing.text.push(',');
            existing.text.push_str(&property.text);
            existing.location = property.location;
        } else {
            if existing.text != property.text {
                let text = format!(
                    "{name} was already set at {}: the value set here overrides it",
                    existing.location
                );
                findings.add("B006", location, text);
            }
            (existing.text, existing.location) = (property.text, property.location);
        }
        check_list_length(&self.entries[at].1, self.limits, location, findings)
    }

    /// Replaces `$(name)` by the current value of the property of that name.
    fn expand_macros(&self, value: &str, location: &SourceLocation, findings: &mut Findings) -> String {
        let mut expanded = String::new();
        let mut rest = value;
        while let Some(at) = rest.find("$(") {
            let Some(end) = rest[at..].find(')').map(|e| e + at) else { break };
            expanded.push_str(&rest[..at]);
            let name = &rest[at + 2..end];
            match self.get(name) {
                Some(property) => expanded.push_str(&property.text),
                None => {
                    findings.add(
                        "J007",
                        location,
                        format!("$({name}) is not defined: it expands to nothing"),
                    );
                }
            }
            rest = &rest[end + 1..];
            if expanded.len() > self.limits.line_bytes {
                return expanded;
            }
        }
        expanded.push_str(rest);
        expanded
    }
}

fn check_list_length(
    property: &Property, limits: Limits, location: &SourceLocation, findings: &mut Findings,
) -> bool {
    if property.text.len() > limits.line_bytes {
        findings.add("A005", location, format!("the list has more than {} bytes", limits.line_bytes));
        return false;
    }
    true
}

pub(super) fn clip(text: &str) -> String {
    text.chars().filter(|c| !c.is_control()).take(60).collect()
}

#[cfg(test)]
mod tests;
