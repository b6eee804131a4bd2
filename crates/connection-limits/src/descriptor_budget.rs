//! How the descriptors of the process are divided among the program, its clients and its backends.
//!
//! | limit | reserved for the program | clients | backends |
//! | --- | --- | --- | --- |
//! | 32 | 16 | 8 | 8 |
//! | 100 | 25 | 41 | 34 |
//! | 1024 | 40 | 541 | 443 |

/// Descriptors that the program itself uses: 3 standard streams, the poller, the listener, 4 pairs that wake the event
/// loop, the settings file and the descriptor kept for it, the discovery call and a superseded one, 4 connections to
/// the counter and 4 to an address of it that was replaced.
const PROGRAM_DESCRIPTORS: usize = 25;
/// Descriptors reserved for the program where the limit allows: what it uses, and 15 for connections that are replaced
/// while the old ones still end.
const RESERVED_DESCRIPTORS: usize = 40;
/// The clients' fraction of the rest. An open request may use one connection on either side; beside these, clients keep
/// idle ones, and pools those of past peaks.
const CLIENT_FRACTION: f64 = 0.55;

/// The limit on descriptors, by use.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct DescriptorBudget {
    /// Client connections, at least 1.
    pub clients: usize,
    /// Backend connections, at least 1.
    pub backends: usize,
}

impl DescriptorBudget {
    /// Divides a limit of so many descriptors, the smaller of the configured and the system's.
    #[must_use]
    pub fn for_limit(descriptors: usize) -> Self {
        let available = descriptors.saturating_sub(reserved_descriptors(descriptors));
        let clients = ((available as f64 * CLIENT_FRACTION) as usize).max(1);
        let backends = available.saturating_sub(clients).max(1);
        Self { clients, backends }
    }
}

/// The descriptors reserved for the program: the larger of a quarter of the limit, up to [`RESERVED_DESCRIPTORS`], and
/// of a half of the limit, up to [`PROGRAM_DESCRIPTORS`]. The quarter decides from a limit of 104 on.
fn reserved_descriptors(descriptors: usize) -> usize {
    let with_replacements = RESERVED_DESCRIPTORS.min(descriptors / 4);
    let used_by_program = PROGRAM_DESCRIPTORS.min(descriptors / 2);
    with_replacements.max(used_by_program)
}

#[cfg(test)]
mod tests;
