//! Where a task stands at this gateway.

use crate::{FencingToken, GatewayNumber, Millis};
use std::collections::{BTreeMap, BTreeSet};

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(super) struct QuorumRound {
    pub(super) number: u64,
    pub(super) started_at: Millis,
    pub(super) grants: BTreeSet<GatewayNumber>,
    /// Who refused, and of those that have granted it to another: to whom, for how long yet.
    pub(super) refusals: BTreeMap<GatewayNumber, Option<(GatewayNumber, Millis)>>,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(super) enum LeaseState {
    Idle { next_attempt_at: Millis },
    Acquiring { token: FencingToken, round: QuorumRound, deadline: Millis },
    Held { token: FencingToken, round: QuorumRound, expires_at: Millis, renew_at: Millis },
}
