//! The state that a gateway keeps of one backend.

use crate::balancer::attempts::Occupancy;
use crate::health::concurrency_limit::ConcurrencyLimit;
use crate::health::outlier::OutlierState;
use crate::health::slow_start::StartTime;
use crate::{DeduplicationScope, Millis, Name};

/// One backend as this gateway knows it.
pub(crate) struct Backend {
    pub zone: Name,
    pub cell: u64,
    /// Whether the endpoint list states it as ready.
    pub ready: bool,
    /// When the endpoint list stopped naming it; `None` while it is listed.
    pub removed_at: Option<Millis>,
    /// Its slot in the endpoint table.
    pub slot: usize,
    pub start_time: StartTime,
    /// The places of attempts of this gateway that are in flight there.
    pub occupancy: Occupancy,
    pub concurrency_limit: ConcurrencyLimit,
    pub outlier: OutlierState,
}

impl Backend {
    /// Whether both backends deduplicate by the same record of idempotency keys.
    pub(crate) fn is_in_same_scope(&self, other: &Backend, scope: DeduplicationScope) -> bool {
        match scope {
            DeduplicationScope::All => true,
            DeduplicationScope::Zone => self.zone == other.zone,
            DeduplicationScope::Cell => self.cell == other.cell,
        }
    }
}
