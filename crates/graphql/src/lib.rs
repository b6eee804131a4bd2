//! GraphQL for a gateway: parsing, schemas, validation, the price of an operation and the cost of its response.
//!
//! Implements the GraphQL specification (October 2021, with the later `\u{...}` escapes) and the IBM cost directive
//! specification (`@cost`, `@listSize`). Performs no I/O. [`Limits::depth`] bounds the recursion, and in variables the
//! depth of their JSON does.
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

/// Limits on a document, and the assumed size of lists. Depth is capped at [`HARD_DEPTH_LIMIT`].
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    /// Maximum size of the source, in bytes.
    pub bytes: usize,
    /// Maximum number of tokens in the source.
    pub tokens: usize,
    /// Maximum nesting depth of selection sets (fragments included), values and types.
    pub depth: usize,
    /// Maximum number of aliased fields in a document.
    pub aliases: usize,
    /// Maximum number of fields in an operation after expanding all fragment spreads.
    pub expansion: u64,
    /// Assumed size of a list for which the schema gives no size.
    pub list_size: f64,
}

/// Upper bound of [`Limits::depth`], at which recursion is still safe for the stack.
pub const HARD_DEPTH_LIMIT: usize = 200;

impl Default for Limits {
    fn default() -> Self {
        Self { bytes: 64 << 10, tokens: 10_000, depth: 30, aliases: 100, expansion: 10_000, list_size: 10.0 }
    }
}

/// A position in a source. Lines and columns start at 1; columns count characters.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Default)]
pub struct Pos {
    /// Line number.
    pub line: u32,
    /// Column number, in characters.
    pub column: u32,
}

/// An error in a document, a schema, a set of variables or the choice of an operation.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("{}{message}", position_prefix(.at))]
pub struct Error {
    /// Describes the error, and what is allowed.
    pub message: String,
    /// Position in the source; `None` for variables and for the choice of an operation.
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
