//! The durations that an operator sets for a process's life cycle.

use crate::Millis;

/// How long each phase of the life cycle may take.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LifecycleSettings {
    /// Time between "not ready" and the close of the listeners, so that load balancers see the readiness change first.
    pub readiness_notice: Millis,
    /// How long in-flight requests may take after the listeners close, until they are answered at once.
    pub drain_timeout: Millis,
    /// How long a new process may take to become ready in a takeover.
    pub takeover_timeout: Millis,
    /// How long counter calls may take to return leases, and clients to read final responses.
    pub release_timeout: Millis,
    /// Idle connections are closed once no client has sent a byte for this long: closing one on which a request is just
    /// being written loses that request, and its client cannot know whether it was executed.
    pub idle_period: Millis,
}
