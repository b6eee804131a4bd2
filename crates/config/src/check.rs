//! Parses and checks the settings. All faults are reported, not only the first one, and settings with a fault are not
//! used at all.

mod backends;
mod decisions;
mod graphql;
mod host;
mod plans;
mod settings;

use crate::locate::FieldPositions;
use crate::{Config, Fault, NodeList, raw};
use backends::{nodes, routing};
use doorcourse::Name;
use prost_reflect::{DescriptorPool, DynamicMessage};
use std::collections::HashSet;
use std::net::SocketAddr;
use std::ops::RangeInclusive;

const DESCRIPTORS: &[u8] = include_bytes!(concat!(env!("OUT_DIR"), "/settings.bin"));

/// Checks values and collects the faults of one source.
pub(crate) struct Checker<'a> {
    file: &'a str,
    positions: FieldPositions,
    faults: Vec<Fault>,
}

impl Checker<'_> {
    /// Records a fault of the field at `path`; an empty path stands for the whole file.
    pub(crate) fn fault(&mut self, path: &str, message: impl Into<String>) {
        let field = if path.is_empty() { String::new() } else { format!("{path}: ") };
        let (file, line) = (self.file.to_owned(), self.positions.find(path));
        self.faults.push(Fault { file, line, field, message: message.into() });
    }

    /// Checks that a number is in range and returns it in any case.
    pub(crate) fn number(&mut self, path: &str, value: f64, range: RangeInclusive<f64>) -> f64 {
        if !range.contains(&value) {
            let (low, high) = (range.start(), range.end());
            self.fault(path, format!("{value} is out of range: must be from {low} to {high}"));
        }
        value
    }

    /// Checks that an integer is in range and returns it in any case.
    pub(crate) fn integer(&mut self, path: &str, value: u64, range: RangeInclusive<u64>) -> u64 {
        if !range.contains(&value) {
            let (low, high) = (range.start(), range.end());
            self.fault(path, format!("{value} is out of range: must be from {low} to {high}"));
        }
        value
    }

    /// Checks that a name is not empty, has no white space or control character, and is not in `seen`; adds it there.
    pub(crate) fn unique_name(&mut self, path: &str, name: &str, seen: &mut HashSet<String>) -> Name {
        if name.is_empty() || name.chars().any(|c| c.is_whitespace() || c.is_control()) {
            self.fault(path, "a name without white space is required");
        } else if !seen.insert(name.to_owned()) {
            self.fault(path, format!("`{name}` is already used"));
        }
        name.into()
    }

    /// Parses an IP address with a port. A fault is recorded if it is none, and a placeholder is returned.
    pub(crate) fn address(&mut self, path: &str, text: &str) -> SocketAddr {
        text.parse().unwrap_or_else(|_| {
            self.fault(
                path,
                format!("`{text}` is not an address: \"1.2.3.4:80\" or \"[::1]:80\" is expected"),
            );
            SocketAddr::from(([127, 0, 0, 1], 0))
        })
    }
}

fn parse<M: prost::Message + Default>(name: &str, file: &str, text: &str) -> Result<M, Vec<Fault>> {
    parse_text(DESCRIPTORS, &format!("doorcourse.settings.{name}"), file, text)
}

/// Parses a message from protobuf text format. `descriptors` is the encoded schema that defines it.
///
/// # Errors
/// The first fault, with its line and column.
pub fn parse_text<M: prost::Message + Default>(
    descriptors: &[u8], name: &str, file: &str, text: &str,
) -> Result<M, Vec<Fault>> {
    let fault =
        |message: String, line| vec![Fault { file: file.into(), line, field: String::new(), message }];
    let pool = DescriptorPool::decode(descriptors).map_err(|e| fault(e.to_string(), None))?;
    let Some(descriptor) = pool.get_message_by_name(name) else {
        return Err(fault(format!("no message {name} in the schema"), None));
    };
    let parsed = DynamicMessage::parse_text_format(descriptor, text).map_err(|error| {
        use miette::Diagnostic;
        let offset = error.labels().and_then(|mut l| l.next()).map(|l| l.offset());
        let before = offset.map_or(text, |o| &text[..o.min(text.len())]);
        let line = before.matches('\n').count() + 1;
        let column = before.rsplit('\n').next().unwrap_or("").chars().count() + 1;
        let help = error.help().map_or(String::new(), |h| format!(" ({h})"));
        fault(format!("{error}{help}"), Some((line, column)))
    })?;
    parsed.transcode_to().map_err(|e| fault(e.to_string(), None))
}

/// Parses and checks settings. `open` returns the text of a file that they name, or the reason why it cannot be read.
///
/// # Errors
/// All faults, each with file, line and field.
pub fn read(
    file: &str, text: &str, open: &dyn Fn(&str) -> Result<String, String>,
) -> Result<Config, Vec<Fault>> {
    let raw: raw::Settings = parse("Settings", file, text)?;
    let mut checker = Checker { file, positions: FieldPositions::new(text), faults: Vec::new() };
    let config = settings::settings(&raw, &mut checker, open);
    match config {
        Some(config) if checker.faults.is_empty() => Ok(config),
        _ => Err(checker.faults),
    }
}

/// Parses and checks a node list file.
///
/// # Errors
/// All faults, each with file, line and field.
pub fn read_nodes(file: &str, text: &str) -> Result<NodeList, Vec<Fault>> {
    let raw: raw::Nodes = parse("Nodes", file, text)?;
    let mut checker = Checker { file, positions: FieldPositions::new(text), faults: Vec::new() };
    let nodes = nodes(&raw.nodes, &mut checker);
    let routing = raw.routing.as_ref().map(|r| routing(r, &mut checker));
    if checker.faults.is_empty() { Ok(NodeList { nodes, routing }) } else { Err(checker.faults) }
}

/// Whether a text is a node list file and not a settings file: it parses as one and has a node.
#[must_use]
pub fn is_node_list(file: &str, text: &str) -> bool {
    parse::<raw::Nodes>("Nodes", file, text).is_ok_and(|n| !n.nodes.is_empty())
}
