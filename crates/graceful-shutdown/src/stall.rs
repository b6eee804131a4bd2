//! Which iterations of an event loop count as stalled.

use doorcourse::Millis;

/// Delay in ms beyond which an iteration is stalled. Less is the ordinary jitter of the system's scheduling.
const STALL_THRESHOLD: Millis = 5.0;

/// Whether an event loop polls its sockets again before it goes on: what arrived during a stall, above all the close of
/// a client, precedes what the loop does next.
///
/// `delay` is by how many ms the loop is late: for the timeout that its poll ended at, or, within an iteration of the
/// HTTP gateway, since its last poll.
#[must_use]
pub fn needs_repoll(delay: Millis) -> bool {
    delay > STALL_THRESHOLD
}
