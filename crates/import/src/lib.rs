//! Reads Apache httpd balancer configuration and mod_jk worker files, and turns them into a node list.
//!
//! `Files` -> reader (`apache`, `jk`) -> [`Model`] -> [`convert`] -> [`NodeList`] -> [`to_text`](NodeList::to_text).
//! Whatever a file says is carried over, approximated or left out, and each of the latter two leaves a [`Finding`]
//! with a stable code and a place. It does no I/O: the caller lends it a [`Files`].

#![forbid(unsafe_code)]
#![warn(missing_docs)]

pub mod apache;
mod convert;
mod diff;
mod files;
mod finding;
pub mod jk;
mod model;
mod table;

pub use convert::{ConvertOptions, Node, NodeList, Role, Routing, convert};
pub use diff::{Difference, diff};
pub use files::{FileError, Files, InMemory, SourceLocation, fnmatch, resolve_path};
pub use finding::{CODES, Finding, Findings, Severity, explain};
pub use model::{Balancer, Member, Model, Mount, Protocol, Value};
pub use table::{Conversion, PARAMETERS, Parameter, Scope, Source, find_parameter};

/// Bounds on what is read, so that no file can take all memory or all time.
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    /// Bytes of one file. 64 MiB.
    pub file_bytes: usize,
    /// Bytes of all files together, each counted as often as it is read. 256 MiB.
    pub all_bytes: usize,
    /// Directives read in all, with macros and includes spread. 2,000,000.
    pub directives: usize,
    /// Bytes of one line after continuation and after its variables are put in. 1 MiB.
    pub line_bytes: usize,
    /// How deep includes and macros may nest. 128, as httpd has it.
    pub depth: usize,
    /// How deep sections may nest. 200.
    pub sections: usize,
}

/// What an import is told.
#[derive(Clone, Debug, Default)]
pub struct ImportRequest {
    /// The files of httpd's configuration, in order.
    pub apache_files: Vec<String>,
    /// The workers.properties files, in order; instead of httpd's.
    pub worker_files: Vec<String>,
    /// The uriworkermap.properties files beside them.
    pub uri_map_files: Vec<String>,
    /// What httpd's files alone do not tell.
    pub apache_options: apache::Options,
    /// Which balancer, and addresses.
    pub convert_options: ConvertOptions,
}

/// Reads what is asked for and turns it into a node list; `None` after an error, which is among the findings.
#[must_use]
pub fn import(files: &dyn Files, request: &ImportRequest) -> (Option<NodeList>, Findings) {
    let mut findings = Findings::default();
    let model = if request.worker_files.is_empty() {
        let config = apache::import(files, &request.apache_files, &request.apache_options, &mut findings);
        convert::report_other_directives(
            &config,
            request.apache_files.first().map_or("", String::as_str),
            &mut findings,
        );
        config.model
    } else {
        jk::import(
            files,
            &request.worker_files,
            &request.uri_map_files,
            request.apache_options.limits,
            &mut findings,
        )
    };
    let main = request.worker_files.first().or(request.apache_files.first()).map_or("", String::as_str);
    let node_list = convert(&model, main, &request.convert_options, &mut findings);
    (node_list, findings)
}

impl Default for Limits {
    fn default() -> Self {
        let (file_bytes, all_bytes, line_bytes) = (64 << 20, 256 << 20, 1 << 20);
        Self { file_bytes, all_bytes, directives: 2_000_000, line_bytes, depth: 128, sections: 200 }
    }
}
