//! mod_jk: `workers.properties`, `uriworkermap.properties`, and what httpd's own files add to them.

mod properties;
mod uris;
mod workers;

pub use properties::{Properties, Property};
pub use uris::{Rule, rules};

use crate::Limits;
use crate::apache::JkDirectives;
use crate::files::{FileError, Files, SourceLocation};
use crate::finding::Findings;
use crate::model::{Model, Mount};

/// Reads workers.properties files, the later ones over the earlier ones, and uriworkermap files.
pub fn import(
    files: &dyn Files, workers: &[String], maps: &[String], limits: Limits, findings: &mut Findings,
) -> Model {
    let mut model = Model::default();
    let mut properties = Properties::new(limits);
    for path in workers {
        let location = SourceLocation { file: path.as_str().into(), line: 0 };
        if !read_into(files, path, &location, &mut properties, findings) {
            return model;
        }
    }
    for path in maps {
        let location = SourceLocation { file: path.as_str().into(), line: 0 };
        if !map_into(files, path, &location, limits, &mut model, findings) {
            return model;
        }
    }
    workers::model(&properties, &mut model, findings);
    model
}

/// What httpd's files name and say.
pub(crate) fn from_apache(
    files: &dyn Files, jk: &JkDirectives, limits: Limits, model: &mut Model, findings: &mut Findings,
) {
    let mut properties = Properties::new(limits);
    for file in &jk.worker_files {
        if !read_into(files, &file.text, &file.location, &mut properties, findings) {
            return;
        }
    }
    for property in &jk.properties {
        if !properties.line(&property.text, &property.location, findings) {
            return;
        }
    }
    for file in &jk.uri_map_files {
        if !map_into(files, &file.text, &file.location, limits, model, findings) {
            return;
        }
    }
    model.mounts.extend(jk.mounts.iter().cloned());
    workers::model(&properties, model, findings);
}

fn bytes(
    files: &dyn Files, path: &str, from: &SourceLocation, limits: Limits, findings: &mut Findings,
) -> Option<String> {
    let location = SourceLocation { file: path.into(), line: 0 };
    let why = match files.read(path) {
        Ok(bytes) if bytes.len() > limits.file_bytes => {
            findings.add("A005", &location, format!("{path}: more bytes than are read"));
            return None;
        }
        Ok(bytes) => {
            let (text, odd) = crate::apache::decode_text(&bytes);
            if let Some(line) = odd {
                findings.add(
                    "A103",
                    &SourceLocation { line, ..location },
                    "bytes that are no UTF-8: taken as Latin-1",
                );
            }
            return Some(text);
        }
        Err(FileError::Missing) => "there is no such file".to_owned(),
        Err(FileError::Unreadable(why)) => why,
    };
    findings.add("A001", from, format!("{path}: {why}"));
    None
}

fn read_into(
    files: &dyn Files, path: &str, from: &SourceLocation, properties: &mut Properties,
    findings: &mut Findings,
) -> bool {
    let Some(text) = bytes(files, path, from, properties.limits, findings) else { return false };
    properties.read(path, &text, findings)
}

fn map_into(
    files: &dyn Files, path: &str, from: &SourceLocation, limits: Limits, model: &mut Model,
    findings: &mut Findings,
) -> bool {
    let Some(text) = bytes(files, path, from, limits, findings) else { return false };
    let Some(rules) = rules(path, &text, limits, findings) else { return false };
    let mount = |rule: Rule| Mount {
        path: rule.path,
        target: (!rule.excluded).then_some(rule.worker),
        context: String::new(),
        location: rule.location,
    };
    model.mounts.extend(rules.into_iter().map(mount));
    true
}
