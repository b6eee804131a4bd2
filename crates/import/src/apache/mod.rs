//! Apache httpd configuration: lines and words, conditions, includes and macros, and what balancers say in it.

mod proxy;
mod read;
mod words;

pub use proxy::{Jk, Read, import};
pub use read::{Directive, Options, Section, Sink, read};
pub use words::{Line, lines, text_of, words};
