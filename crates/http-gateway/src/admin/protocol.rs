//! JSON-RPC 2.0 on the admin socket: method names, parameters and error codes, which are a stable format.

use serde_json::{Value, json};

/// The request of a call.
#[derive(Debug, PartialEq)]
pub(crate) enum AdminRequest {
    Status,
    Nodes,
    Customers,
    /// Drain a backend at this gateway, or end that drain.
    SetManualDrain {
        name: String,
        drain: bool,
    },
    /// Drain the gateway.
    Drain,
    Peers,
    Leases,
    /// Hand the lease of a task over to another gateway.
    HandOver {
        task: String,
        to: u32,
    },
    Reload {
        dry_run: bool,
    },
    /// A new process requests the listening sockets.
    TakeOver,
    /// The new process is ready to serve.
    TakeoverReady,
    /// The connection of the new process is lost.
    TakeoverFailed,
}

/// The reason why a call is invalid.
#[derive(Debug, thiserror::Error)]
pub(super) enum CallError {
    #[error("params.name is needed, a node's name")]
    NodeNameMissing,
    #[error("params.task and params.to are needed, a task's name and a gateway's number")]
    HandOverParamsMissing,
    #[error("there is no method `{0}`")]
    UnknownMethod(String),
}

/// Error codes (JSON-RPC 2.0, section 5.1).
#[derive(Clone, Copy, Debug)]
pub(super) enum ErrorCode {
    ParseError,
    MethodNotFound,
    InvalidParams,
    /// The call is valid but refused. The number is in the range that JSON-RPC reserves for servers.
    Refused,
}

impl ErrorCode {
    fn number(self) -> i64 {
        match self {
            Self::ParseError => -32700,
            Self::MethodNotFound => -32601,
            Self::InvalidParams => -32602,
            Self::Refused => -32000,
        }
    }
}

impl CallError {
    /// The JSON-RPC error code.
    pub(super) fn code(&self) -> ErrorCode {
        match self {
            Self::NodeNameMissing | Self::HandOverParamsMissing => ErrorCode::InvalidParams,
            Self::UnknownMethod(_) => ErrorCode::MethodNotFound,
        }
    }
}

/// Parses a call.
pub(super) fn parse(call: &Value) -> Result<AdminRequest, CallError> {
    let params = &call["params"];
    match call["method"].as_str().unwrap_or("") {
        "status" => Ok(AdminRequest::Status),
        "nodes" => Ok(AdminRequest::Nodes),
        "customers" => Ok(AdminRequest::Customers),
        "node.drain" => manual_drain(params, true),
        "node.undrain" => manual_drain(params, false),
        "drain" => Ok(AdminRequest::Drain),
        "peers" => Ok(AdminRequest::Peers),
        "leases" => Ok(AdminRequest::Leases),
        "lease.hand_over" => hand_over(params),
        "reload" => Ok(AdminRequest::Reload { dry_run: params["dry_run"] == true }),
        "takeover" => Ok(AdminRequest::TakeOver),
        "takeover.ready" => Ok(AdminRequest::TakeoverReady),
        other => Err(CallError::UnknownMethod(other.to_owned())),
    }
}

fn manual_drain(params: &Value, drain: bool) -> Result<AdminRequest, CallError> {
    let name = params["name"].as_str().ok_or(CallError::NodeNameMissing)?;
    Ok(AdminRequest::SetManualDrain { name: name.to_owned(), drain })
}

fn hand_over(params: &Value) -> Result<AdminRequest, CallError> {
    let to = params["to"].as_u64().and_then(|to| u32::try_from(to).ok());
    match (params["task"].as_str(), to) {
        (Some(task), Some(to)) => Ok(AdminRequest::HandOver { task: task.to_owned(), to }),
        _ => Err(CallError::HandOverParamsMissing),
    }
}

/// A JSON-RPC reply with an error.
pub(super) fn error_reply(id: &Value, code: ErrorCode, message: &str) -> Value {
    json!({"jsonrpc": "2.0", "id": id, "error": {"code": code.number(), "message": message}})
}

/// A JSON-RPC reply with a result.
pub(super) fn result_reply(id: &Value, result: Value) -> Value {
    json!({"jsonrpc": "2.0", "id": id, "result": result})
}
