//! The backoff of a client that sends faulty commands.

use doorcourse::Millis;

/// Backoff after the first fault.
const INITIAL_BACKOFF: Millis = 5.0;
/// Longest backoff.
const MAX_BACKOFF: Millis = 1000.0;
/// Keeps the shift in range; from 8 doublings on the backoff is [`MAX_BACKOFF`].
const MAX_DOUBLINGS: u32 = 10;

/// How long, in ms, the gateway stops reading from a client connection after its fault number `faults` (1 for the
/// first). The backoff doubles with each fault, so that a client that sends faulty commands at full speed soon costs
/// the gateway no more than one command a second.
#[must_use]
pub fn fault_backoff(faults: u32) -> Millis {
    let doublings = faults.saturating_sub(1).min(MAX_DOUBLINGS);
    let backoff = INITIAL_BACKOFF * f64::from(1u32 << doublings);
    backoff.min(MAX_BACKOFF)
}

#[cfg(test)]
mod tests;
