//! The durations that an operator sets for the life cycle of a process.

use crate::Millis;

/// How long each phase of the life cycle may take.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LifecycleSettings {
    /// Time between the report of "not ready" and the close of the listeners, in which load balancers notice that the
    /// process is not ready.
    pub readiness_notice: Millis,
    /// How long open requests may take after the listeners close. Those that remain then get their final responses at
    /// once.
    pub drain_timeout: Millis,
    /// How long a new process may take to become ready in a takeover.
    pub takeover_timeout: Millis,
    /// How long the counter calls that return quota leases may take, and clients to read their final responses.
    pub release_timeout: Millis,
    /// Idle connections are closed once no client has sent a byte for this long. Closing a connection on which a client
    /// is just writing a request loses that request, and the client cannot know whether it was executed.
    pub idle_period: Millis,
}
