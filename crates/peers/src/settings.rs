//! The settings of a link and their validation.

use crate::{GatewayNumber, Millis};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use thiserror::Error;

/// The shortest secret, in bytes.
const MIN_SECRET_BYTES: usize = 16;

/// The settings of one gateway's link.
#[derive(Clone, Debug)]
pub struct Settings {
    /// The fleet's id (see [`crate::fleet_of`]).
    pub fleet: u64,
    /// The number of this gateway.
    pub gateway: GatewayNumber,
    /// Identifies this start of the process: a random number, not 0.
    pub incarnation: u64,
    /// The other gateways and their addresses.
    pub peers: BTreeMap<GatewayNumber, SocketAddr>,
    /// The secrets. Tags made with any of them are accepted; the first one is used for sending.
    pub secrets: Vec<Vec<u8>>,
    /// A peer counts as unreachable after nothing was received from it for this many ms.
    pub unreachable_after: Millis,
}

/// Settings that cannot be used.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum SettingsError {
    /// There is no secret, or one is too short.
    #[error("a secret must have at least {MIN_SECRET_BYTES} bytes")]
    SecretTooShort,
    /// This gateway is among its own peers.
    #[error("a gateway cannot be its own peer")]
    OwnPeer,
}

impl Settings {
    /// Checks that the settings can be used.
    pub(crate) fn validate(&self) -> Result<(), SettingsError> {
        let is_short = |secret: &Vec<u8>| secret.len() < MIN_SECRET_BYTES;
        if self.secrets.is_empty() || self.secrets.iter().any(is_short) {
            return Err(SettingsError::SecretTooShort);
        }
        if self.peers.contains_key(&self.gateway) { Err(SettingsError::OwnPeer) } else { Ok(()) }
    }
}
