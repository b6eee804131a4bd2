//! Divides the file descriptors of the process among the program itself, its clients and its backends.
//!
//! | limit | reserved for the program | clients | backends |
//! | --- | --- | --- | --- |
//! | 32 | 16 | 8 | 8 |
//! | 100 | 29 | 39 | 32 |
//! | 1024 | 40 | 541 | 443 |

/// Descriptors that the program itself uses: 3 standard streams, the poller, the listener, 4 pairs that wake the event
/// loop, the settings file and a descriptor reserved for it, the discovery call and 5 superseded ones, 4 connections to
/// the counter and 4 to the counter's previous address.
const PROGRAM_DESCRIPTORS: usize = 29;
/// Descriptors reserved for the program where the limit allows it: [`PROGRAM_DESCRIPTORS`], and 11 for connections that
/// are replaced while the old ones are still closing.
const RESERVED_DESCRIPTORS: usize = 40;
/// The fraction of the remaining descriptors that clients get. An open request may use one client and one backend
/// connection; besides, clients keep idle connections open, and the pools keep those of earlier peaks.
const CLIENT_FRACTION: f64 = 0.55;

/// The limits on client and backend connections.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct DescriptorBudget {
    /// Client connections, at least 1.
    pub clients: usize,
    /// Backend connections, at least 1.
    pub backends: usize,
}

impl DescriptorBudget {
    /// Divides a limit of `descriptors`, which is the smaller of the configured limit and the system's.
    #[must_use]
    pub fn for_limit(descriptors: usize) -> Self {
        let available = descriptors.saturating_sub(reserved_descriptors(descriptors));
        let clients = ((available as f64 * CLIENT_FRACTION) as usize).max(1);
        let backends = available.saturating_sub(clients).max(1);
        Self { clients, backends }
    }
}

/// The descriptors reserved for the program: a quarter of the limit, at most [`RESERVED_DESCRIPTORS`], or half of the
/// limit, at most [`PROGRAM_DESCRIPTORS`], whichever is larger. From a limit of 120 on the quarter is larger.
fn reserved_descriptors(descriptors: usize) -> usize {
    let with_replacements = RESERVED_DESCRIPTORS.min(descriptors / 4);
    let used_by_program = PROGRAM_DESCRIPTORS.min(descriptors / 2);
    with_replacements.max(used_by_program)
}

#[cfg(test)]
mod tests;
