//! The pause of a client that sends what cannot be taken.

use doorcourse::Millis;

/// The pause that a client gets which sends what cannot be taken, before more of it is read: doubled with each fault, so
/// that one which goes on at full speed costs no more than a few a second.
#[must_use]
pub fn fault_backoff(faults: u32) -> Millis {
    const FIRST: Millis = 5.0;
    const LONGEST: Millis = 1000.0;
    (FIRST * f64::from(1u32 << faults.saturating_sub(1).min(10))).min(LONGEST)
}

#[cfg(test)]
mod tests;
