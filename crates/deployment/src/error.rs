//! Errors of the settings object and of load reports. Each message names the key at fault as the document does.

/// Why the settings object cannot be read.
#[derive(Debug, thiserror::Error)]
pub enum DeploymentError {
    /// The text is not JSON.
    #[error("settings: {0}")]
    Json(#[from] serde_json::Error),
    /// The settings are not an object.
    #[error("settings: not an object")]
    NotAnObject,
    /// A value has another type than its key needs.
    #[error("settings: {key} is not {expected}")]
    WrongType {
        /// The key.
        key: String,
        /// The type that it needs.
        expected: &'static str,
    },
    /// A value is not one of those that its key allows.
    #[error("settings: unknown {key} {value}")]
    UnknownValue {
        /// What the key states.
        key: &'static str,
        /// The value.
        value: String,
    },
    /// A class with idempotency keys does not state which backends share the record of keys.
    #[error("settings: class {class}: dedup-scope is missing")]
    DeduplicationScopeMissing {
        /// The class.
        class: String,
    },
}

/// Why a load report cannot be read.
#[derive(Debug, PartialEq, thiserror::Error)]
pub enum LoadReportError {
    /// A name without a value.
    #[error("load value without a {separator:?}: {pair}")]
    SeparatorMissing {
        /// What stands between a name and its value.
        separator: char,
        /// The part of the report.
        pair: String,
    },
    /// A value that is not a finite number.
    #[error("load value is not a number: {0}")]
    NotANumber(String),
}
