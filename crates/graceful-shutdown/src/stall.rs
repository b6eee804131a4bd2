//! What a loop does that comes late to what is due.

use doorcourse::Millis;

/// So late, a loop has stood still between its wait and its look at the clock; less is the system's own unevenness.
const LATE: Millis = 5.0;

/// Whether a loop that is so late for what is due has to look at its sockets once more before it does that: what came
/// meanwhile, the close of a client above all, was there first.
#[must_use]
pub fn needs_repoll(late: Millis) -> bool {
    late > LATE
}
