//! Reads Apache httpd balancer configuration and mod_jk worker files and converts them to a node list.
//!
//! `Files` -> reader (`apache`, `jk`) -> [`Model`] -> [`convert`] -> [`NodeList`] -> [`to_text`](NodeList::to_text).
//! Each setting is carried over, approximated or left out; the latter two add a [`Finding`] with a stable code
//! and a source location. The crate does no I/O: the caller provides access to files through [`Files`].

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

/// Limits on what is read, which bound the memory and time that a file can take.
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    /// Bytes of one file. Default: 64 MiB.
    pub file_bytes: usize,
    /// Bytes of all files together, counted at each read, and of the text that macros and variables expand
    /// to. Default: 256 MiB.
    pub all_bytes: usize,
    /// Directives in all, after expansion of macros and includes. Default: 2,000,000.
    pub directives: usize,
    /// Bytes of one line after joining continuation lines and expanding variables. Default: 1 MiB.
    pub line_bytes: usize,
    /// Nesting depth of includes and macros. Default: 128, as in httpd.
    pub depth: usize,
    /// Nesting depth of sections, checked at each section that is not a condition. Default: 200.
    pub sections: usize,
}

/// The arguments of an import.
#[derive(Clone, Debug, Default)]
pub struct ImportRequest {
    /// httpd's configuration files, in reading order.
    pub apache_files: Vec<String>,
    /// workers.properties files, in reading order. If there are any, httpd's files are not read.
    pub worker_files: Vec<String>,
    /// uriworkermap.properties files, read together with workers.properties.
    pub uri_map_files: Vec<String>,
    /// Settings that httpd's files do not contain.
    pub apache_options: apache::Options,
    /// The balancer to convert, and addresses of host names.
    pub convert_options: ConvertOptions,
}

/// Reads the given files and converts them to a node list; `None` after an error, which is among the
/// findings.
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
