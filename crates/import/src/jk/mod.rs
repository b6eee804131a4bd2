//! Reads mod_jk's `workers.properties` and `uriworkermap.properties`, and what httpd's own files add to them.

mod properties;
mod uris;
mod workers;

pub use properties::{Properties, Property};
pub use uris::{UriRule, parse_rules};

use crate::Limits;
use crate::apache::JkDirectives;
use crate::files::{FileError, Files, SourceLocation};
use crate::finding::Findings;
use crate::model::{Model, Mount};

/// Reads workers.properties files, of which later ones override earlier ones, and uriworkermap.properties
/// files.
pub fn import(
    files: &dyn Files, worker_files: &[String], uri_map_files: &[String], limits: Limits,
    findings: &mut Findings,
) -> Model {
    let mut model = Model::default();
    let mut properties = Properties::new(limits);
    for path in worker_files {
        let location = SourceLocation { file: path.as_str().into(), line: 0 };
        if !read_properties(files, path, &location, &mut properties, findings) {
            return model;
        }
    }
    for path in uri_map_files {
        let location = SourceLocation { file: path.as_str().into(), line: 0 };
        if !read_uri_map(files, path, &location, limits, &mut model, findings) {
            return model;
        }
    }
    workers::add_balancers(&properties, &mut model, findings);
    model
}

/// Reads the mod_jk files and properties that an httpd configuration names.
pub(crate) fn from_apache(
    files: &dyn Files, jk: &JkDirectives, limits: Limits, model: &mut Model, findings: &mut Findings,
) {
    let mut properties = Properties::new(limits);
    for file in &jk.worker_files {
        if !read_properties(files, &file.text, &file.location, &mut properties, findings) {
            return;
        }
    }
    for property in &jk.properties {
        if !properties.parse(&property.text, &property.location, findings) {
            return;
        }
    }
    for file in &jk.uri_map_files {
        if !read_uri_map(files, &file.text, &file.location, limits, model, findings) {
            return;
        }
    }
    model.mounts.extend(jk.mounts.iter().cloned());
    workers::add_balancers(&properties, model, findings);
}

fn read_text(
    files: &dyn Files, path: &str, referrer: &SourceLocation, limits: Limits, findings: &mut Findings,
) -> Option<String> {
    let location = SourceLocation { file: path.into(), line: 0 };
    let reason = match files.read(path) {
        Ok(bytes) if bytes.len() > limits.file_bytes => {
            findings.add("A005", &location, format!("{path}: the limit on bytes read is exceeded"));
            return None;
        }
        Ok(bytes) => {
            let (text, first_invalid_line) = crate::apache::decode_text(&bytes);
            if let Some(line) = first_invalid_line {
                findings.add(
                    "A103",
                    &SourceLocation { line, ..location },
                    "invalid UTF-8: the file is read as Latin-1",
                );
            }
            return Some(text);
        }
        Err(FileError::Missing) => "the file does not exist".to_owned(),
        Err(FileError::Unreadable(reason)) => reason,
    };
    findings.add("A001", referrer, format!("{path}: {reason}"));
    None
}

fn read_properties(
    files: &dyn Files, path: &str, referrer: &SourceLocation, properties: &mut Properties,
    findings: &mut Findings,
) -> bool {
    let Some(text) = read_text(files, path, referrer, properties.limits, findings) else { return false };
    properties.read(path, &text, findings)
}

fn read_uri_map(
    files: &dyn Files, path: &str, referrer: &SourceLocation, limits: Limits, model: &mut Model,
    findings: &mut Findings,
) -> bool {
    let Some(text) = read_text(files, path, referrer, limits, findings) else { return false };
    let Some(rules) = parse_rules(path, &text, limits, findings) else { return false };
    let mount = |rule: UriRule| Mount {
        path: rule.path,
        target: (!rule.excluded).then_some(rule.worker),
        context: String::new(),
        location: rule.location,
    };
    model.mounts.extend(rules.into_iter().map(mount));
    true
}
