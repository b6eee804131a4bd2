//! Which iterations of an event loop count as stalled.

use doorcourse::Millis;

/// Delay in ms beyond which an iteration counts as stalled. Shorter delays are ordinary scheduling jitter.
const STALL_THRESHOLD: Millis = 5.0;

/// Whether an event loop has to poll its sockets again before it goes on, so that it handles what arrived during a
/// stall first, above all the close of a client's connection.
///
/// `delay` is how late the loop is, in ms: the time since the timeout at which its poll was to end, or, within an
/// iteration of the HTTP gateway, the time since its last poll.
#[must_use]
pub fn needs_repoll(delay: Millis) -> bool {
    delay > STALL_THRESHOLD
}
