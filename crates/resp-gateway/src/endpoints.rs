//! Parses the endpoint lists of the discovery service, complete lists and changes, from JSON.

mod shared_address;

pub(crate) use shared_address::remove_displaced;

use doorcourse::{BackendEntry, BackendState, Millis, Name, Placement};
use serde::Deserialize;
use std::net::SocketAddr;

/// One backend of a list.
#[derive(Clone, Debug)]
pub struct Endpoint {
    /// The entry that the decision library receives.
    pub entry: BackendEntry,
    /// The address to connect to; a removed backend may have none.
    pub address: Option<SocketAddr>,
}

/// A complete list of endpoints, or the changes to one.
#[derive(Clone, Debug)]
pub struct EndpointList {
    /// The version of the list.
    pub version: u64,
    /// Whether backends that are not in the list are removed; otherwise the list contains only changes.
    pub complete: bool,
    /// The backends.
    pub endpoints: Vec<Endpoint>,
}

/// Why an endpoint list cannot be used.
#[derive(Debug, thiserror::Error)]
pub enum EndpointListError {
    /// Not the JSON of a list.
    #[error("{0}")]
    Json(#[from] serde_json::Error),
    /// A backend's state is unknown.
    #[error("hosts: {host}: unknown health {health:?}")]
    UnknownHealth {
        /// The backend.
        host: String,
        /// Its state as the list names it.
        health: String,
    },
    /// A backend that is not removed has no usable address.
    #[error("hosts: {host}: dial is no address: {dial:?}")]
    InvalidAddress {
        /// The backend.
        host: String,
        /// Its address as the list names it.
        dial: String,
    },
}

impl EndpointList {
    /// Reads a list from its bytes.
    ///
    /// # Errors
    /// When the bytes are not a list that can be used.
    pub fn read(bytes: &[u8]) -> Result<Self, EndpointListError> {
        Self::try_from(serde_json::from_slice::<WireList>(bytes)?)
    }

    /// Reads the first of the lists that a watch sends one after another. Returns the list and its length in bytes, or
    /// `None` if it has not been received completely. A list may extend over several lines, none of them empty: an
    /// empty line inside a list means that it was truncated.
    ///
    /// # Errors
    /// When the bytes are not the start of a list that can be used.
    pub fn read_first(bytes: &[u8]) -> Result<Option<(Self, usize)>, EndpointListError> {
        let mut lists = serde_json::Deserializer::from_slice(bytes).into_iter::<WireList>();
        match lists.next() {
            None => Ok(None),
            Some(Ok(list)) => Self::try_from(list).map(|list| Some((list, lists.byte_offset()))),
            Some(Err(error)) if error.is_eof() && !has_empty_line(bytes) => Ok(None),
            Some(Err(error)) => Err(error.into()),
        }
    }

    /// Reads a list from a JSON value.
    ///
    /// # Errors
    /// When the value is not a list that can be used.
    pub fn from_value(value: serde_json::Value) -> Result<Self, EndpointListError> {
        Self::try_from(serde_json::from_value::<WireList>(value)?)
    }
}

fn has_empty_line(bytes: &[u8]) -> bool {
    bytes.windows(2).any(|pair| pair == b"\n\n")
}

/// A list in the JSON format of discovery.
#[derive(Deserialize)]
struct WireList {
    #[serde(rename = "seq")]
    version: u64,
    #[serde(rename = "whole")]
    complete: bool,
    #[serde(rename = "hosts")]
    endpoints: Vec<WireHost>,
}

/// A backend in the JSON format of discovery.
///
/// Each field states its name on the wire, so that renaming it here cannot change the format. None has a default: the
/// protocol has every one of them in every entry, and what a missing zone, cell or start would be taken for is unsafe.
#[derive(Deserialize)]
struct WireHost {
    #[serde(rename = "host")]
    name: String,
    #[serde(rename = "dial")]
    address: String,
    #[serde(rename = "site")]
    zone: String,
    #[serde(rename = "block")]
    cell: u64,
    #[serde(rename = "health")]
    state: String,
    /// When the backend was started, in ms since the Unix epoch; 0 for long ago.
    #[serde(rename = "born_ms")]
    started: Millis,
}

impl TryFrom<WireList> for EndpointList {
    type Error = EndpointListError;

    fn try_from(list: WireList) -> Result<Self, EndpointListError> {
        let endpoints = list.endpoints.into_iter().map(Endpoint::try_from).collect::<Result<_, _>>()?;
        Ok(Self { version: list.version, complete: list.complete, endpoints })
    }
}

impl TryFrom<WireHost> for Endpoint {
    type Error = EndpointListError;

    fn try_from(host: WireHost) -> Result<Self, EndpointListError> {
        let state = match host.state.as_str() {
            "active" => BackendState::Ready,
            "leaving" => BackendState::Draining,
            "left" => BackendState::Removed,
            _ => {
                return Err(EndpointListError::UnknownHealth { host: host.name, health: host.state });
            }
        };
        let address = match host.address.parse() {
            Ok(address) => Some(address),
            Err(_) if state == BackendState::Removed => None,
            Err(_) => {
                return Err(EndpointListError::InvalidAddress { host: host.name, dial: host.address });
            }
        };
        let entry = BackendEntry {
            name: Name::from(host.name),
            zone: Name::from(host.zone),
            cell: host.cell,
            state,
            started: Some(host.started).filter(|started| started.is_finite() && *started > 0.0),
            placement: Placement::default(),
        };
        Ok(Self { entry, address })
    }
}

#[cfg(test)]
mod tests;
