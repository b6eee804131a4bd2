//! Reads Apache httpd configuration: lines and arguments, conditions, includes and macros, and the directives
//! about balancers.

mod lexer;
mod proxy;
mod read;

pub use lexer::{LogicalLine, decode_text, logical_lines, split_arguments};
pub use proxy::{HttpdConfig, JkDirectives, import};
pub use read::{Directive, DirectiveHandler, Options, Section, read};
