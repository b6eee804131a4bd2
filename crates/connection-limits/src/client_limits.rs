//! Limits on what a gateway buffers and keeps open for its clients: in total, for each customer and for each
//! connection. A client that does not read its responses must not use up the resources that all clients share.

use crate::buffer_budget::PARTIAL_REQUEST_SHARE;
use doorcourse::{Millis, Name};
use std::collections::HashMap;

/// The limits on what the HTTP gateway keeps open and buffers for clients.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ClientLimits {
    /// Client connections.
    pub max_connections: usize,
    /// Open requests.
    pub max_requests: usize,
    /// Bytes buffered for all clients together.
    pub max_buffered_bytes: u64,
    /// Bytes buffered for the connections of one customer.
    pub max_customer_bytes: u64,
    /// Response bytes that a client may leave unread when its connection's next request starts.
    pub max_unread_bytes: usize,
    /// After how many ms a connection is reset if its client has bytes to read and reads none. The RESP gateway has
    /// [`ConnectionTimeouts::unread_timeout`](crate::ConnectionTimeouts::unread_timeout) for this.
    pub unread_timeout: Millis,
}

/// The limit because of which a connection or a request is rejected before any work is done for it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LimitExceeded {
    /// [`ClientLimits::max_connections`].
    Connections,
    /// [`ClientLimits::max_requests`].
    Requests,
    /// [`ClientLimits::max_buffered_bytes`].
    BufferedBytes,
    /// [`ClientLimits::max_customer_bytes`].
    CustomerBytes,
}

impl LimitExceeded {
    /// The explanation in the client's error response.
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

/// What one connection contributes to the [`ClientBudget`], as of its last update. The host keeps one for each
/// connection and passes it to [`ClientBudget::remove_connection`] when the connection is closed.
#[derive(Clone, Debug, Default)]
pub struct ConnectionUsage {
    /// The customer to whom the bytes are charged; `None` before its first request is known.
    customer: Option<Name>,
    buffered_bytes: u64,
    /// Response bytes that the client has not read.
    unread_bytes: usize,
    /// When the client last read something, or when the first of its unread bytes was buffered, whichever is later.
    unread_since: Millis,
}

impl ConnectionUsage {
    /// The bytes that are buffered for the connection.
    #[must_use]
    pub fn buffered_bytes(&self) -> u64 {
        self.buffered_bytes
    }

    /// Records how many response bytes are unread, and whether the client read some since the last update.
    fn record_unread(&mut self, now: Millis, unread_bytes: usize, has_read: bool) {
        if unread_bytes == 0 || has_read || self.unread_bytes == 0 {
            self.unread_since = now;
        }
        self.unread_bytes = unread_bytes;
    }
}

/// The bytes that a gateway buffers for its clients, and the checks against its [`ClientLimits`].
#[derive(Clone, Debug)]
pub struct ClientBudget {
    limits: ClientLimits,
    buffered_bytes: u64,
    /// Bytes buffered for the connections of each customer; customers without any have no entry.
    customer_bytes: HashMap<Name, u64>,
}

impl ClientBudget {
    /// A budget without any bytes in use.
    #[must_use]
    pub fn new(limits: ClientLimits) -> Self {
        Self { limits, buffered_bytes: 0, customer_bytes: HashMap::new() }
    }

    /// Changes the limits. Bytes in use are kept even if they exceed a lower limit.
    pub fn set_limits(&mut self, limits: ClientLimits) {
        self.limits = limits;
    }

    /// Bytes buffered for all clients together.
    #[must_use]
    pub fn bytes(&self) -> u64 {
        self.buffered_bytes
    }

    /// Checks whether one more connection is accepted while `connections` are open.
    ///
    /// # Errors
    /// [`LimitExceeded::Connections`].
    pub fn check_connection(&self, connections: usize) -> Result<(), LimitExceeded> {
        if connections < self.limits.max_connections { Ok(()) } else { Err(LimitExceeded::Connections) }
    }

    /// Whether the next request of a connection may start while `unread_bytes` of its response bytes are unread. If
    /// not, the request waits until the client reads more.
    #[must_use]
    pub fn may_start_request(&self, unread_bytes: usize) -> bool {
        unread_bytes <= self.limits.max_unread_bytes
    }

    /// Checks whether the body of a request may be read, once the request's head has shown its customer.
    ///
    /// # Errors
    /// [`LimitExceeded::BufferedBytes`] where too much is buffered for all clients, else
    /// [`LimitExceeded::CustomerBytes`] where too much is buffered for this customer.
    pub fn check_buffers(&self, customer: &Name) -> Result<(), LimitExceeded> {
        if self.buffered_bytes > self.limits.max_buffered_bytes {
            return Err(LimitExceeded::BufferedBytes);
        }
        let customer_bytes = self.customer_bytes.get(customer).copied().unwrap_or(0);
        if customer_bytes > self.limits.max_customer_bytes {
            return Err(LimitExceeded::CustomerBytes);
        }
        Ok(())
    }

    /// Whether so much is buffered for all clients that the largest partially received request has to be rejected. The
    /// rest of the limit is left for requests that are complete.
    #[must_use]
    pub fn must_reject_partial_requests(&self) -> bool {
        self.buffered_bytes as f64 > self.limits.max_buffered_bytes as f64 * PARTIAL_REQUEST_SHARE
    }

    /// Checks whether a partially received request may be received further, as far as its customer is concerned.
    ///
    /// # Errors
    /// [`LimitExceeded::CustomerBytes`] where too much is buffered for the customer's connections.
    pub fn check_partial_request(&self, usage: &ConnectionUsage) -> Result<(), LimitExceeded> {
        let customer_bytes = usage.customer.as_ref().and_then(|customer| self.customer_bytes.get(customer));
        let is_exceeded = customer_bytes.is_some_and(|bytes| *bytes > self.limits.max_customer_bytes);
        if is_exceeded { Err(LimitExceeded::CustomerBytes) } else { Ok(()) }
    }

    /// Checks whether a complete request may be admitted while `requests` are open.
    ///
    /// # Errors
    /// [`LimitExceeded::Requests`].
    pub fn check_request(&self, requests: usize) -> Result<(), LimitExceeded> {
        if requests < self.limits.max_requests { Ok(()) } else { Err(LimitExceeded::Requests) }
    }

    /// Updates what a connection uses.
    ///
    /// `customer` is charged from now on; `None` keeps the present customer. `bytes` is the total that is buffered for
    /// the connection, `unread_bytes` the part of it that the client has yet to read, and `has_read` whether the client
    /// read something since the last update.
    pub fn update(
        &mut self, now: Millis, usage: &mut ConnectionUsage, customer: Option<&Name>, bytes: u64,
        unread_bytes: usize, has_read: bool,
    ) {
        if customer.is_some() && usage.customer.as_ref() != customer {
            self.discharge(usage);
            usage.customer = customer.cloned();
            self.charge(usage);
        }
        if usage.buffered_bytes != bytes {
            self.discharge(usage);
            usage.buffered_bytes = bytes;
            self.charge(usage);
        }
        usage.record_unread(now, unread_bytes, has_read);
    }

    /// Removes the bytes of a connection that is closed.
    pub fn remove_connection(&mut self, usage: &ConnectionUsage) {
        self.discharge(usage);
    }

    /// Adds bytes that belong to a request rather than to a connection: a body that is sent to backends. They count
    /// towards the total of all clients, not towards that of a customer.
    pub fn reserve(&mut self, bytes: u64) {
        self.buffered_bytes += bytes;
    }

    /// Releases bytes that were reserved.
    pub fn release(&mut self, bytes: u64) {
        self.buffered_bytes = self.buffered_bytes.saturating_sub(bytes);
    }

    /// When a connection is reset unless its client reads; infinite where nothing is unread.
    #[must_use]
    pub fn reset_at(&self, usage: &ConnectionUsage) -> Millis {
        if usage.unread_bytes == 0 {
            Millis::INFINITY
        } else {
            usage.unread_since + self.limits.unread_timeout
        }
    }

    fn charge(&mut self, usage: &ConnectionUsage) {
        self.buffered_bytes += usage.buffered_bytes;
        if usage.buffered_bytes == 0 {
            return;
        }
        if let Some(customer) = &usage.customer {
            *self.customer_bytes.entry(customer.clone()).or_default() += usage.buffered_bytes;
        }
    }

    fn discharge(&mut self, usage: &ConnectionUsage) {
        self.buffered_bytes = self.buffered_bytes.saturating_sub(usage.buffered_bytes);
        if usage.buffered_bytes == 0 {
            return;
        }
        let Some(customer) = &usage.customer else { return };
        let Some(customer_bytes) = self.customer_bytes.get_mut(customer) else { return };
        *customer_bytes = customer_bytes.saturating_sub(usage.buffered_bytes);
        if *customer_bytes == 0 {
            self.customer_bytes.remove(customer);
        }
    }
}

#[cfg(test)]
mod tests;
