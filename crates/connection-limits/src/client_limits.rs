//! What a gateway holds for its clients at most, and who is held back, refused or cut when it is too much: in all,
//! for each customer and for each connection. One that reads nothing must not take what all share.

use doorcourse::{Millis, Name};
use std::collections::HashMap;

/// The bounds; bytes and ms.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ClientLimits {
    /// Client connections.
    pub max_connections: usize,
    /// Requests that are not answered yet.
    pub max_requests: usize,
    /// Bytes held for all clients together.
    pub max_buffered_bytes: u64,
    /// Bytes held for the connections of one customer.
    pub max_customer_bytes: u64,
    /// Bytes of answers that a connection may leave unread before its next request begins.
    pub max_unread_bytes: usize,
    /// A connection that has bytes to read and takes none for this long is cut.
    pub unread_timeout: Millis,
}

/// Why a request is turned away before anything is done for it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LimitExceeded {
    /// Too many connections.
    Connections,
    /// Too many requests.
    Requests,
    /// Too much is held for all clients.
    BufferedBytes,
    /// Too much is held for this customer.
    CustomerBytes,
}

impl LimitExceeded {
    /// A sentence for people.
    #[must_use]
    pub fn message(self) -> &'static str {
        match self {
            Self::Connections => "too many connections",
            Self::Requests => "too many requests are open",
            Self::BufferedBytes => "too much is held for clients",
            Self::CustomerBytes => "too much is held for this customer: read the answers first",
        }
    }
}

/// What a connection holds, as it was told last.
#[derive(Clone, Debug, Default)]
pub struct ConnectionUsage {
    customer: Option<Name>,
    bytes: u64,
    /// Bytes to be read, and since when none of them was taken.
    unread: usize,
    since: Millis,
}

/// The accounts of what is held.
#[derive(Clone, Debug)]
pub struct ClientBudget {
    bounds: ClientLimits,
    buffered_bytes: u64,
    customers: HashMap<Name, u64>,
}

impl ClientBudget {
    /// Nothing is held yet.
    #[must_use]
    pub fn new(bounds: ClientLimits) -> Self {
        Self { bounds, buffered_bytes: 0, customers: HashMap::new() }
    }

    /// The bounds changed; what is held stays.
    pub fn set_limits(&mut self, bounds: ClientLimits) {
        self.bounds = bounds;
    }

    /// Bytes held in all.
    #[must_use]
    pub fn bytes(&self) -> u64 {
        self.buffered_bytes
    }

    /// Whether one connection more is taken.
    ///
    /// # Errors
    /// When there are too many.
    pub fn check_connection(&self, connections: usize) -> Result<(), LimitExceeded> {
        if connections < self.bounds.max_connections { Ok(()) } else { Err(LimitExceeded::Connections) }
    }

    /// Whether a connection's next request may begin, or waits until more of its answers is read.
    #[must_use]
    pub fn may_start_request(&self, unread: usize) -> bool {
        unread <= self.bounds.max_unread_bytes
    }

    /// Whether a request whose head has come is read on.
    ///
    /// # Errors
    /// When too much is held in all, or for its customer.
    pub fn check_buffers(&self, customer: &Name) -> Result<(), LimitExceeded> {
        if self.buffered_bytes > self.bounds.max_buffered_bytes {
            return Err(LimitExceeded::BufferedBytes);
        }
        let held = self.customers.get(customer).copied().unwrap_or(0);
        if held > self.bounds.max_customer_bytes { Err(LimitExceeded::CustomerBytes) } else { Ok(()) }
    }

    /// Whether a whole request is taken on.
    ///
    /// # Errors
    /// When too many are open.
    pub fn check_request(&self, requests: usize) -> Result<(), LimitExceeded> {
        if requests < self.bounds.max_requests { Ok(()) } else { Err(LimitExceeded::Requests) }
    }

    /// What a connection belongs to from now on, what it holds in all, and how much of that its client has to read.
    /// `taken` is whether the client took some since the last word.
    pub fn update(
        &mut self, now: Millis, held: &mut ConnectionUsage, customer: Option<&Name>, bytes: u64,
        unread: usize, taken: bool,
    ) {
        if held.customer.as_ref() != customer && customer.is_some() {
            self.give_back(held);
            held.customer = customer.cloned();
            self.charge(held);
        }
        if held.bytes != bytes {
            self.give_back(held);
            held.bytes = bytes;
            self.charge(held);
        }
        if unread == 0 || taken || held.unread == 0 {
            held.since = now;
        }
        held.unread = unread;
    }

    /// The connection is gone.
    pub fn remove_connection(&mut self, held: &ConnectionUsage) {
        self.give_back(held);
    }

    /// Bytes that belong to a request rather than to a connection: a body on its way to nodes.
    pub fn reserve(&mut self, bytes: u64) {
        self.buffered_bytes += bytes;
    }

    /// They are let go.
    pub fn release(&mut self, bytes: u64) {
        self.buffered_bytes = self.buffered_bytes.saturating_sub(bytes);
    }

    /// When a connection is cut unless its client reads on; never where nothing waits to be read.
    #[must_use]
    pub fn reset_at(&self, held: &ConnectionUsage) -> Millis {
        if held.unread == 0 { Millis::INFINITY } else { held.since + self.bounds.unread_timeout }
    }

    fn charge(&mut self, held: &ConnectionUsage) {
        self.buffered_bytes += held.bytes;
        if let Some(customer) = held.customer.as_ref().filter(|_| held.bytes > 0) {
            *self.customers.entry(customer.clone()).or_default() += held.bytes;
        }
    }

    fn give_back(&mut self, held: &ConnectionUsage) {
        self.buffered_bytes = self.buffered_bytes.saturating_sub(held.bytes);
        let Some(customer) = held.customer.as_ref().filter(|_| held.bytes > 0) else { return };
        if let Some(sum) = self.customers.get_mut(customer) {
            *sum = sum.saturating_sub(held.bytes);
            if *sum == 0 {
                self.customers.remove(customer);
            }
        }
    }
}

#[cfg(test)]
mod tests;
