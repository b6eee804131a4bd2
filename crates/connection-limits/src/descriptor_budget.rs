//! How a machine's descriptors are shared out.

/// Descriptors by who uses them.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct DescriptorBudget {
    /// Connections of clients.
    pub clients: usize,
    /// Connections to backends.
    pub backends: usize,
}

/// What the program itself needs, counted: 3 standard streams, the poller, the listener, 4 pairs that wake the loop, the
/// settings' file and the descriptor that is kept for it, discovery and a call to it that was set aside, and 4 connections
/// to the counter beside 4 to one that was moved.
const NEEDED: usize = 25;
/// What is kept for it where there is more: room for connections that are replaced while the old ones end.
const RESERVE: usize = 40;
/// The clients' part of the rest. Each open request may need a connection on either side, and clients hold idle
/// ones beside; backends keep those of past peaks.
const CLIENTS: f64 = 0.55;

impl DescriptorBudget {
    /// DescriptorBudget out so many descriptors; at least one connection each way.
    #[must_use]
    pub fn for_limit(descriptors: usize) -> Self {
        let reserve = RESERVE.min(descriptors / 4).max(NEEDED.min(descriptors / 2));
        let rest = descriptors.saturating_sub(reserve);
        let clients = ((rest as f64 * CLIENTS) as usize).max(1);
        Self { clients, backends: rest.saturating_sub(clients).max(1) }
    }
}

#[cfg(test)]
mod tests;
