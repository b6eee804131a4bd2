//! Which iterations of an event loop count as stalled.

use doorcourse::Millis;

/// Delay beyond which an iteration is stalled, between its poll and its reading of the clock. Less is the ordinary
/// jitter of the system's scheduling.
const STALL_THRESHOLD: Millis = 5.0;

/// Whether an event loop that is `delay` ms late for its timers polls its sockets again before it handles them: what
/// arrived during the stall, above all the close of a client, precedes the timers.
#[must_use]
pub fn needs_repoll(delay: Millis) -> bool {
    delay > STALL_THRESHOLD
}
