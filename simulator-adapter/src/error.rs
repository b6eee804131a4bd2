//! Errors in the input and of the streams.

use doorcourse::SettingsError;
use doorcourse_deployment::{DeploymentError, LoadReportError};
use std::fmt;

/// A line that cannot be read, or an error of the streams.
#[derive(Debug)]
pub enum HostError {
    /// A line cannot be read.
    InvalidLine {
        /// Its number, from 1.
        number: u64,
        /// What is wrong with it.
        error: LineError,
    },
    /// The input ended inside a batch.
    UnexpectedEnd {
        /// The number of the last line.
        number: u64,
    },
    /// Reading or writing failed.
    Io(std::io::Error),
}

impl fmt::Display for HostError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::InvalidLine { number, error } => write!(f, "line {number}: {error}"),
            Self::UnexpectedEnd { number } => write!(f, "line {number}: input ended inside a batch"),
            Self::Io(error) => write!(f, "input or output: {error}"),
        }
    }
}

impl std::error::Error for HostError {}

impl From<std::io::Error> for HostError {
    fn from(error: std::io::Error) -> Self {
        Self::Io(error)
    }
}

/// What is wrong with a line. Fields are named as the simulator names them.
#[derive(Debug)]
pub enum LineError {
    /// The line is not UTF-8.
    NotUtf8,
    /// A field is missing or empty.
    MissingField(&'static str),
    /// A field is not a number.
    NotANumber {
        /// The field.
        field: &'static str,
        /// Its text.
        text: String,
    },
    /// A field is not a finite number.
    NotFinite(&'static str),
    /// A field is not 0 or 1.
    NotAFlag {
        /// The field.
        field: &'static str,
        /// Its text.
        text: String,
    },
    /// A gossip message is not base64.
    InvalidBase64,
    /// The kind of message is unknown.
    UnknownMessage(String),
    /// The outcome of an attempt, health check or counter call is unknown.
    UnknownOutcome(String),
    /// The state of a backend is unknown.
    UnknownReadiness(String),
    /// The kind of an endpoint list is unknown.
    UnknownListKind(String),
    /// No endpoint list has this number.
    UnknownList,
    /// The line is outside a batch and does not begin one.
    ExpectedBatch(String),
    /// The line is inside an endpoint list and is no entry of it.
    ExpectedEntry(String),
    /// No gateway of this number is running: it was not started, or it has been stopped.
    UnknownGateway(u64),
    /// The settings object cannot be read.
    Deployment(DeploymentError),
    /// A load report cannot be read.
    LoadReport(LoadReportError),
    /// The settings cannot be used.
    Settings(SettingsError),
    /// An action cannot be written.
    Output(fmt::Error),
}

impl fmt::Display for LineError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::NotUtf8 => write!(f, "not UTF-8"),
            Self::MissingField(field) => write!(f, "{field} is missing"),
            Self::NotANumber { field, text } => write!(f, "{field} is not a number: {text}"),
            Self::NotFinite(field) => write!(f, "{field} is not finite"),
            Self::NotAFlag { field, text } => write!(f, "{field} is not 0 or 1: {text}"),
            Self::InvalidBase64 => write!(f, "msg is not base64"),
            Self::UnknownMessage(text) => write!(f, "unknown message {text}"),
            Self::UnknownOutcome(text) => write!(f, "unknown outcome {text}"),
            Self::UnknownReadiness(text) => write!(f, "unknown readiness {text}"),
            Self::UnknownListKind(text) => write!(f, "unknown kind of list {text}"),
            Self::UnknownList => write!(f, "no such list of backends"),
            Self::ExpectedBatch(line) => write!(f, "expected a BATCH line: {line}"),
            Self::ExpectedEntry(line) => write!(f, "expected an ENTRY line: {line}"),
            Self::UnknownGateway(instance) => write!(f, "gateway {instance} was never started"),
            Self::Deployment(error) => write!(f, "{error}"),
            Self::LoadReport(error) => write!(f, "{error}"),
            Self::Settings(error) => write!(f, "{error}"),
            Self::Output(error) => write!(f, "{error}"),
        }
    }
}

impl std::error::Error for LineError {}
