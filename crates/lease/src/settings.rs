//! What leases are set up with, and what of it cannot be.

use crate::{GatewayNumber, Millis, TaskId, VoterConfiguration};
use std::collections::BTreeSet;

/// The settings of one gateway's leases.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct Settings {
    /// This gateway.
    pub gateway: GatewayNumber,
    /// Tells this start of the process from others of the same gateway: two starts are two holders.
    pub incarnation: u64,
    /// Seeds the waits that keep candidates apart.
    pub seed: u64,
    /// The lease, in ms: 20 to 600,000. The same in the whole fleet or not longer than what voters honour.
    pub lease_duration: Millis,
    /// What a voter honours at most, and how long it promises nothing after a start: at least `length`.
    pub max_lease_duration: Millis,
    /// How far the rates of two clocks may be apart, in parts of a million: below 500,000.
    pub clock_drift_ppm: u64,
    /// All gateways that are told of anything, this one among them or not.
    pub gateways: BTreeSet<GatewayNumber>,
    /// Who votes.
    pub voters: VoterConfiguration,
    /// The tasks that this gateway would do.
    pub tasks: Vec<TaskId>,
}

/// Rules that tests leave out; without the feature `fault-injection` nobody can.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub enum DisabledRule {
    /// None: the product.
    #[default]
    None,
    /// A voter answers at once after a start.
    StartupWait,
    /// A lease counts from the answer.
    ExpiryFromRequest,
    /// A majority of an older list of voters is good enough, and lists may be skipped.
    VoterVersions,
    /// A voter grants a token that it granted before, and a candidate uses its last one again.
    TokenUniqueness,
}

/// Settings that cannot be used.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum SettingsError {
    /// The lease is out of range.
    LeaseDuration,
    /// The longest lease is shorter than the lease.
    MaxLeaseDuration,
    /// The drift is out of range.
    ClockDrift,
    /// Nobody votes.
    NoVoters,
    /// The list before this one differs by more than one voter.
    VoterStep,
}

impl std::fmt::Display for SettingsError {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str(match self {
            Self::LeaseDuration => "the lease must be 20 to 600000 ms",
            Self::MaxLeaseDuration => "the longest lease must be at least the lease, and at most 600000 ms",
            Self::ClockDrift => "the drift must be below 500000 parts of a million",
            Self::NoVoters => "at least one gateway must vote",
            Self::VoterStep => "one voter may be added or removed in one version",
        })
    }
}

impl std::error::Error for SettingsError {}

impl Settings {
    /// Finds what cannot be.
    ///
    /// # Errors
    /// The first fault.
    pub fn validate(&self) -> Result<(), SettingsError> {
        let most = 600_000;
        match () {
            () if !(20..=most).contains(&self.lease_duration) => Err(SettingsError::LeaseDuration),
            () if self.max_lease_duration < self.lease_duration || self.max_lease_duration > most => {
                Err(SettingsError::MaxLeaseDuration)
            }
            () if self.clock_drift_ppm >= 500_000 => Err(SettingsError::ClockDrift),
            () => self.voters.validate(),
        }
    }

    /// For how long a holder may believe in a grant of `length`: a voter's clock may run faster than its own.
    #[must_use]
    pub fn holder_duration(&self, length: Millis) -> Millis {
        length * 1_000_000 / (1_000_000 + self.clock_drift_ppm)
    }

    /// How long a voter waits for all that another start of it promised: its clock may run faster than a holder's, and
    /// times are told in whole ms.
    #[must_use]
    pub fn startup_wait(&self) -> Millis {
        self.max_lease_duration * (1_000_000 + self.clock_drift_ppm) / 1_000_000 + 2
    }
}
