//! The intervals of the protocol, relative to the duration of a lease, and the jitter that keeps candidates apart.

use super::Leases;
use crate::{GatewayNumber, Millis};

/// A holder renews its lease after the lease duration divided by this.
pub(super) const RENEWAL_DIVISOR: Millis = 3;
/// A renewal is requested again after the lease duration divided by this, until a majority has granted it.
pub(super) const RENEWAL_RETRY_DIVISOR: Millis = 8;
/// Renewals and attempts that are due within the lease duration divided by this go into one message.
pub(super) const BATCHING_DIVISOR: Millis = 8;
/// An attempt that neither a majority granted nor a majority refused is abandoned after the lease duration divided by
/// this.
pub(super) const REPLY_TIMEOUT_DIVISOR: Millis = 4;
/// After a transfer the next holder requests the task after the lease duration divided by this, so that the voters
/// receive the release first.
pub(super) const TRANSFER_DELAY_DIVISOR: Millis = 8;
/// The jitter of an attempt is below the lease duration divided by this.
const JITTER_DIVISOR: Millis = 4;
/// Heartbeats in the time of one lease. They carry voter versions and fencing tokens when there is nothing else to
/// send.
pub(super) const HEARTBEATS_PER_LEASE: Millis = 2;

impl Leases {
    /// The first slot of this gateway at or after `earliest` plus a jitter.
    pub(super) fn jittered(&mut self, earliest: Millis) -> Millis {
        let lease = self.settings.lease_duration;
        self.jitter_draws += 1;
        let seed = self.settings.seed ^ u64::from(self.settings.gateway) << 32;
        let jitter = random_below(lease / JITTER_DIVISOR, seed, self.jitter_draws);
        let spacing = (lease / BATCHING_DIVISOR).max(1);
        let offset = slot_offset(self.settings.gateway, self.settings.gateways.len() as u64, spacing);
        next_slot(earliest + jitter, spacing, offset)
    }
}

/// The pseudo-random number with index `draw` of a seed: below `bound`, or 0 where `bound` is 0.
fn random_below(bound: Millis, seed: u64, draw: u64) -> Millis {
    xxhash_rust::xxh64::xxh64(&draw.to_le_bytes(), seed) % bound.max(1)
}

/// The offset of a gateway's slots within each `spacing` ms; the gateways' offsets are spread evenly over it.
fn slot_offset(gateway: GatewayNumber, gateway_count: u64, spacing: Millis) -> Millis {
    u64::from(gateway) * spacing / gateway_count.max(1) % spacing
}

/// The first slot at or after `time`. Attempts in the same slot go into one message.
fn next_slot(time: Millis, spacing: Millis, offset: Millis) -> Millis {
    time.saturating_sub(offset).div_ceil(spacing) * spacing + offset
}

#[cfg(test)]
mod tests;
