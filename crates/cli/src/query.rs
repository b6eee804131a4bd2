//! `query parse`, `query validate` and `query cost`.

use anyhow::Context;
use clap::{Args, Subcommand};
use doorcourse_graphql::{Error, Limits, OperationKind, PreparedOperation, Schema, parse, validate};
use serde_json::{Map, Value};
use std::path::{Path, PathBuf};
use std::process::ExitCode;

#[derive(Subcommand, Debug)]
pub enum Query {
    /// Parse a document and list its contents; exit code 1 and the location of the first error if it is invalid.
    Parse {
        /// A file with operations, fragments or type system definitions.
        file: PathBuf,
    },
    /// Validate a document against a schema; exit code 1 and the location of every error if it is invalid.
    Validate {
        #[command(flatten)]
        schema: SchemaFile,
        /// A file with operations and fragments.
        file: PathBuf,
    },
    /// Compute an operation's cost by the schema's @cost and @listSize; exit code 1 and the location of every error.
    #[command(after_help = "Example:
  doorcourse query cost --schema catalogue.graphql --variables '{\"n\": 40}' query.graphql")]
    Cost {
        #[command(flatten)]
        schema: SchemaFile,
        /// The variables, as a JSON object.
        #[arg(long)]
        variables: Option<String>,
        /// The name of the operation, if the document has several.
        #[arg(long)]
        operation: Option<String>,
        /// A file with operations and fragments.
        file: PathBuf,
    },
}

#[derive(Args, Debug)]
pub struct SchemaFile {
    /// A file with the schema, in SDL.
    #[arg(long)]
    schema: PathBuf,
}

fn read(file: &Path) -> anyhow::Result<String> {
    std::fs::read_to_string(file).with_context(|| file.display().to_string())
}

fn print_errors(file: &Path, errors: &[Error]) -> ExitCode {
    let path = file.display();
    errors.iter().for_each(|e| match e.at {
        Some(location) => eprintln!("{path}:{}:{}: {}", location.line, location.column, e.message),
        None => eprintln!("{path}: {}", e.message),
    });
    ExitCode::FAILURE
}

pub fn run(command: Query) -> anyhow::Result<ExitCode> {
    let limits = Limits::default();
    match command {
        Query::Parse { file } => Ok(match parse(&read(&file)?, &limits) {
            Err(error) => print_errors(&file, &[error]),
            Ok(document) => {
                let kind_name = |kind| match kind {
                    OperationKind::Query => "query",
                    OperationKind::Mutation => "mutation",
                    OperationKind::Subscription => "subscription",
                };
                for (kind, name) in document.operations() {
                    print_line!("{} {}", kind_name(kind), name.unwrap_or("(anonymous)"));
                }
                document.fragment_names().for_each(|f| print_line!("fragment {f}"));
                print_line!(
                    "{} tokens, {} type system definitions",
                    document.token_count,
                    document.type_system_definition_count()
                );
                ExitCode::SUCCESS
            }
        }),
        Query::Validate { schema, file } => {
            let schema = match Schema::parse(&read(&schema.schema)?) {
                Ok(schema) => schema,
                Err(errors) => return Ok(print_errors(&schema.schema, &errors)),
            };
            let document = parse(&read(&file)?, &limits).map_err(|e| vec![e]);
            Ok(match document.and_then(|d| validate(&schema, &d, &limits)) {
                Err(errors) => print_errors(&file, &errors),
                Ok(()) => {
                    print_line!("{}: valid", file.display());
                    ExitCode::SUCCESS
                }
            })
        }
        Query::Cost { schema, variables, operation, file } => {
            let variables: Option<Map<String, Value>> = variables
                .map(|v| serde_json::from_str(&v))
                .transpose()
                .context("--variables: expected a JSON object")?;
            let schema = match Schema::parse(&read(&schema.schema)?) {
                Ok(schema) => schema,
                Err(errors) => return Ok(print_errors(&schema.schema, &errors)),
            };
            let source = read(&file)?;
            let prepared = PreparedOperation::new(
                schema.into(),
                &source,
                operation.as_deref(),
                variables.as_ref(),
                limits,
            );
            Ok(match prepared {
                Err(errors) => print_errors(&file, &errors),
                Ok(prepared) => {
                    let cost = prepared.cost();
                    print_line!(
                        "{} units: {} for fields, {} for types",
                        cost.units,
                        cost.field_cost,
                        cost.type_cost
                    );
                    ExitCode::SUCCESS
                }
            })
        }
    }
}
