//! Intervals and jitter.

use super::*;

/// A holder renews after this part of what it may believe, and asks again this often until a majority has answered.
pub(super) const RENEW: Millis = 3;
pub(super) const AGAIN: Millis = 8;
/// Renewals due within this part of the lease go together.
pub(super) const TOGETHER: Millis = 8;
/// A candidate that got neither a majority nor refusals waits for answers this part of the lease.
pub(super) const PATIENCE: Millis = 4;
/// Candidates wait up to this part of the lease by chance, so that they do not ask at once again and again.
pub(super) const SPREAD: Millis = 4;
/// Whoever has nothing to say says so this often in a lease: versions and tokens are heard of then.
pub(super) const BEATS: Millis = 2;
/// Bits of a token that tell who made it, so that no two gateways make the same.
pub(super) const MAKER: u32 = 14;

impl Leases {
    /// A moment by chance after one, on a grid of this gateway's own: what waits for about the same moment goes in one
    /// message, and no two gateways have the same moments.
    pub(super) fn later(&mut self, from: Millis) -> Millis {
        let grid = (self.settings.lease_duration / TOGETHER).max(1);
        let own =
            u64::from(self.settings.gateway) * grid / (self.settings.gateways.len() as u64).max(1) % grid;
        (from + self.draw(self.settings.lease_duration / SPREAD)).saturating_sub(own).div_ceil(grid) * grid
            + own
    }

    pub(super) fn draw(&mut self, most: Millis) -> Millis {
        self.random_draws += 1;
        let seed = self.settings.seed ^ u64::from(self.settings.gateway) << 32;
        xxhash_rust::xxh64::xxh64(&self.random_draws.to_le_bytes(), seed) % most.max(1)
    }
}
