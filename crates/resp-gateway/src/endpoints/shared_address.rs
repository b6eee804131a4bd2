//! Backends that are listed at one address: only the process that started last can be there.
//!
//! The change that removes a backend may come after the change that adds the process which took its address. Until then
//! its requests would go to a process of another identity, which may belong to another cell.

use super::{Endpoint, EndpointList};
use doorcourse::{BackendEntry, BackendState, Millis, Name};
use std::collections::{HashMap, HashSet};
use std::net::SocketAddr;

/// The start of a backend; one without a known start was started long ago.
fn start_of(entry: &BackendEntry) -> Millis {
    entry.started.unwrap_or(0.0)
}

/// The latest start at each address.
#[derive(Default)]
struct LatestStarts(HashMap<SocketAddr, Millis>);

impl LatestStarts {
    fn record(&mut self, address: SocketAddr, entry: &BackendEntry) {
        let latest = self.0.entry(address).or_default();
        *latest = latest.max(start_of(entry));
    }

    fn is_displaced(&self, address: SocketAddr, entry: &BackendEntry) -> bool {
        self.0.get(&address).is_some_and(|latest| *latest > start_of(entry))
    }
}

/// Makes a list remove the backends whose address a process that started later has. `known` are the backends that are
/// listed so far; a complete list removes those that it does not name.
pub(crate) fn remove_displaced<'a>(
    list: &mut EndpointList, known: impl Iterator<Item = (SocketAddr, &'a BackendEntry)> + Clone,
) {
    let named: HashSet<Name> = list.endpoints.iter().map(|endpoint| endpoint.entry.name.clone()).collect();
    let is_kept = |entry: &BackendEntry| !list.complete && !named.contains(&entry.name);
    let kept: Vec<_> = known.filter(|(_, entry)| is_kept(entry)).collect();
    let mut latest = LatestStarts::default();
    for (address, entry) in &kept {
        latest.record(*address, entry);
    }
    for endpoint in list.endpoints.iter().filter(|endpoint| endpoint.entry.state != BackendState::Removed) {
        if let Some(address) = endpoint.address {
            latest.record(address, &endpoint.entry);
        }
    }
    for endpoint in &mut list.endpoints {
        if endpoint.address.is_some_and(|address| latest.is_displaced(address, &endpoint.entry)) {
            endpoint.entry.state = BackendState::Removed;
        }
    }
    let displaced = kept.iter().filter(|(address, entry)| latest.is_displaced(*address, entry));
    list.endpoints.extend(displaced.map(|(address, entry)| Endpoint {
        entry: BackendEntry { state: BackendState::Removed, ..(*entry).clone() },
        address: Some(*address),
    }));
}

#[cfg(test)]
mod tests;
