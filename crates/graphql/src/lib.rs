//! GraphQL for a gateway: documents, schemas, validation, and the cost of a query and of its answer.
//!
//! By the GraphQL specification (October 2021, with the later `\u{...}` escapes) and the GraphQL Cost Directives
//! specification (`@cost`, `@listSize`). No I/O; no recursion deeper than [`Limits::depth`] allows.
//!
//! ```
//! use doorcourse_graphql::{Limits, PreparedOperation, Schema};
//! let limits = Limits::default();
//! let schema = Schema::parse("type Query { previews(first: Int!): [Preview!]!
//!     @cost(weight: \"0\") @listSize(slicingArguments: [\"first\"]) } type Preview { url: String }").unwrap();
//! let prepared = PreparedOperation::new(schema.into(), "{ previews(first: 40) { url } }", None, None, limits).unwrap();
//! assert_eq!(prepared.cost().units, 40.0);
//! ```

mod ast;
mod lexer;
mod merge;
mod parser;
mod plan;
mod prepare;
mod scan;
mod schema;
mod stub;
mod validate;
mod variables;

pub use ast::{Document, OperationKind};
pub use parser::parse;
pub use plan::Cost;
pub use prepare::PreparedOperation;
pub use scan::{ResponseCost, ResponseScanner};
pub use schema::Schema;
pub use stub::StubData;
pub use validate::validate;

/// Bounds on a document. Each has a default; the greatest depth is [`HARD_DEPTH_LIMIT`].
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    /// Bytes of the source.
    pub bytes: usize,
    /// Tokens of the source.
    pub tokens: usize,
    /// How deep selection sets (through fragments), values and types may nest.
    pub depth: usize,
    /// Fields with an alias.
    pub aliases: usize,
    /// Fields once all fragments are spread out.
    pub expansion: u64,
    /// The size of a list of which the schema says nothing.
    pub list_size: f64,
}

/// The greatest [`Limits::depth`] that may be set: what recursion the stack surely bears.
pub const HARD_DEPTH_LIMIT: usize = 200;

impl Default for Limits {
    fn default() -> Self {
        Self { bytes: 64 << 10, tokens: 10_000, depth: 30, aliases: 100, expansion: 10_000, list_size: 10.0 }
    }
}

/// A place in a source: line and column from 1, the column in characters.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Default)]
pub struct Pos {
    /// The line.
    pub line: u32,
    /// The column.
    pub column: u32,
}

/// A fault of a document, a schema or variables.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("{}{message}", position_prefix(.at))]
pub struct Error {
    /// What is wrong, and what is allowed.
    pub message: String,
    /// Where; variables have no place.
    pub at: Option<Pos>,
}

fn position_prefix(at: &Option<Pos>) -> String {
    at.map_or_else(String::new, |p| format!("{}:{}: ", p.line, p.column))
}

impl Error {
    pub(crate) fn new(pos: Pos, message: impl Into<String>) -> Self {
        Self { message: message.into(), at: Some(pos) }
    }
}
