//! The settings of one gateway's leases and their validation.

use crate::{GatewayNumber, HolderId, Millis, TaskId, VoterConfiguration};
use std::collections::BTreeSet;
use thiserror::Error;

/// The shortest lease in ms.
const MIN_LEASE_MS: Millis = 20;
/// The longest lease in ms.
const MAX_LEASE_MS: Millis = 600_000;
/// The allowed clock drift must be below this, in parts per million.
const CLOCK_DRIFT_LIMIT_PPM: u64 = 500_000;
/// Parts per million.
const MILLION: u64 = 1_000_000;
/// Added to a wait because times are rounded to whole ms: 1 ms for each of the two clocks.
const ROUNDING_MS: Millis = 2;

/// The settings of one gateway's leases.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct Settings {
    /// The number of this gateway.
    pub gateway: GatewayNumber,
    /// Identifies this start of the process: two starts of a gateway are two holders.
    pub incarnation: u64,
    /// Seeds the jitter that keeps candidates apart.
    pub seed: u64,
    /// The duration of a lease, in ms: 20 to 600,000. It is the same in all gateways, or at most the longest lease that
    /// the voters grant.
    pub lease_duration: Millis,
    /// The longest lease that this gateway grants as a voter, in ms: from `lease_duration` to 600,000. The wait before
    /// it votes after a start is derived from this.
    pub max_lease_duration: Millis,
    /// How much the rates of two clocks may differ, in parts per million: below 500,000.
    pub clock_drift_ppm: u64,
    /// All gateways that receive heartbeats; this gateway may be among them.
    pub gateways: BTreeSet<GatewayNumber>,
    /// The configuration of the voters.
    pub voters: VoterConfiguration,
    /// The tasks that this gateway is a candidate for.
    pub tasks: Vec<TaskId>,
}

/// Settings that cannot be used.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum SettingsError {
    /// The lease duration is out of range.
    #[error("the lease must be {MIN_LEASE_MS} to {MAX_LEASE_MS} ms, not {0} ms")]
    LeaseDuration(Millis),
    /// The longest lease is shorter than the lease duration, or out of range.
    #[error(
        "the longest lease must be at least the lease, {lease} ms, and at most {MAX_LEASE_MS} ms, not {longest} ms"
    )]
    MaxLeaseDuration {
        /// The duration of a lease, in ms.
        lease: Millis,
        /// The longest lease that was configured, in ms.
        longest: Millis,
    },
    /// The clock drift is out of range.
    #[error("the drift must be below {CLOCK_DRIFT_LIMIT_PPM} parts of a million, not {0}")]
    ClockDrift(u64),
    /// The voter configuration has no voter.
    #[error("at least one gateway must vote")]
    NoVoters,
    /// A voter configuration differs by more than one voter from the previous one, or skips a version.
    #[error("one voter may be added or removed in one version (version {version}: {changed} changed)")]
    VoterStep {
        /// The version of the configuration.
        version: u64,
        /// How many voters were added or removed.
        changed: usize,
    },
}

impl Settings {
    /// Checks the ranges of all settings.
    ///
    /// # Errors
    /// The first setting that is out of range.
    pub fn validate(&self) -> Result<(), SettingsError> {
        if !(MIN_LEASE_MS..=MAX_LEASE_MS).contains(&self.lease_duration) {
            return Err(SettingsError::LeaseDuration(self.lease_duration));
        }
        if !(self.lease_duration..=MAX_LEASE_MS).contains(&self.max_lease_duration) {
            return Err(SettingsError::MaxLeaseDuration {
                lease: self.lease_duration,
                longest: self.max_lease_duration,
            });
        }
        if self.clock_drift_ppm >= CLOCK_DRIFT_LIMIT_PPM {
            return Err(SettingsError::ClockDrift(self.clock_drift_ppm));
        }
        self.voters.validate()
    }

    /// How long a holder may rely on a grant of `duration` ms, in ms: less than `duration`, because a voter's clock may
    /// run faster than the holder's.
    #[must_use]
    pub fn holder_duration(&self, duration: Millis) -> Millis {
        duration * MILLION / (MILLION + self.clock_drift_ppm)
    }

    /// How long a voter waits before it votes after a start, in ms, so that every grant of an earlier start expires
    /// first. The voter's clock may run faster than a holder's.
    #[must_use]
    pub fn startup_wait(&self) -> Millis {
        self.max_lease_duration * (MILLION + self.clock_drift_ppm) / MILLION + ROUNDING_MS
    }

    /// Identifies this start of the gateway as the holder of a lease.
    pub(crate) fn holder_id(&self) -> HolderId {
        HolderId { gateway: self.gateway, incarnation: self.incarnation }
    }
}
