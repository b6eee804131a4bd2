//! Apache httpd configuration: lines and words, conditions, includes and macros, and what balancers say in it.

mod lexer;
mod proxy;
mod read;

pub use lexer::{LogicalLine, decode_text, logical_lines, split_arguments};
pub use proxy::{HttpdConfig, JkDirectives, import};
pub use read::{Directive, DirectiveHandler, Options, Section, read};
