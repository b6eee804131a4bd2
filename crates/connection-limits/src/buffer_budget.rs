//! The memory that a gateway may use for the buffers of its connections and requests, all together, and for the state
//! of customers.
//!
//! Each connection and each request has limits of its own, but a process with little memory cannot hold as many as it
//! has connections. So the sum is bounded as well. The hosts report how much each of their components holds; this module
//! decides what is refused as the limit comes closer:
//!
//! | share of the limit in use | what is refused |
//! | --- | --- |
//! | above 3/4 | the largest partially received request: its bytes are discarded as they arrive |
//! | any | a request of which more than a quarter of what is left would be taken |
//! | all | reading the next response of a backend, until something is freed |
//!
//! Small requests are thus admitted while large ones are not, and a client that stops in the middle of a large request
//! takes nothing from the others.

/// The part of the whole memory that endpoint lists may use while they are received.
const LIST_SHARE: f64 = 1.0 / 16.0;
/// The least that lists may use: over 1,300 bytes for each of 3,200 backends, the largest fleet.
const MIN_LIST_BYTES: usize = 4 << 20;
/// Memory for the program itself: its code, stacks, tables and endpoint lists.
const PROGRAM_BYTES: u64 = 12 << 20;
/// The program's part of a memory limit that is less than twice [`PROGRAM_BYTES`].
const PROGRAM_SHARE: f64 = 0.5;
/// The part of the remaining memory that buffers may use. The rest is for the state of customers and for what the
/// allocator cannot return to the system.
const BUFFER_SHARE: f64 = 0.5;
/// The part of the remaining memory that the state of customers may use.
const CUSTOMER_SHARE: f64 = 0.25;
/// Memory of one customer's state, with its name and its entries in tables.
const CUSTOMER_BYTES: f64 = 640.0;
/// Partially received requests may use this part of the limit.
pub(crate) const PARTIAL_REQUEST_SHARE: f64 = 0.75;
/// Commands that are received ahead of their turn may use this part of the limit, whatever else is in use.
const READ_AHEAD_SHARE: f64 = 0.125;
/// A request is admitted if this many times its bytes are left: it is copied to be sent, and its response is buffered.
const ADMISSION_FACTOR: u64 = 4;

/// The memory that the program itself leaves of `memory_bytes`.
fn memory_beside_program(memory_bytes: u64) -> f64 {
    let program = PROGRAM_BYTES.min((memory_bytes as f64 * PROGRAM_SHARE) as u64);
    (memory_bytes - program) as f64
}

/// The most customers whose state is kept by a process that may use `memory_bytes` in all.
#[must_use]
pub fn max_customers(memory_bytes: u64) -> usize {
    (memory_beside_program(memory_bytes) * CUSTOMER_SHARE / CUSTOMER_BYTES) as usize
}

/// The most bytes of endpoint lists that a process which may use `memory_bytes` in all buffers while they are received.
#[must_use]
pub fn max_list_bytes(memory_bytes: u64) -> usize {
    MIN_LIST_BYTES.max((memory_bytes as f64 * LIST_SHARE) as usize)
}

/// Who holds buffers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BufferHolder {
    /// Client connections: received bytes and unwritten responses.
    Clients,
    /// Open requests: what is sent to backends, and complete responses.
    Requests,
    /// Backend connections: unwritten requests and partial responses.
    Backends,
}

/// The bytes that a gateway buffers, and the limit on them.
#[derive(Clone, Debug)]
pub struct BufferBudget {
    limit: u64,
    clients: u64,
    requests: u64,
    backends: u64,
}

impl BufferBudget {
    /// The budget of a process that may use `memory_bytes` in all.
    #[must_use]
    pub fn for_memory(memory_bytes: u64) -> Self {
        Self::new((memory_beside_program(memory_bytes) * BUFFER_SHARE) as u64)
    }

    /// A budget of `limit` bytes.
    #[must_use]
    pub fn new(limit: u64) -> Self {
        Self { limit, clients: 0, requests: 0, backends: 0 }
    }

    /// The limit, in bytes.
    #[must_use]
    pub fn limit(&self) -> u64 {
        self.limit
    }

    /// The bytes in use.
    #[must_use]
    pub fn used(&self) -> u64 {
        self.clients + self.requests + self.backends
    }

    /// Records how much a holder uses now, in bytes.
    pub fn set_used(&mut self, holder: BufferHolder, bytes: u64) {
        match holder {
            BufferHolder::Clients => self.clients = bytes,
            BufferHolder::Requests => self.requests = bytes,
            BufferHolder::Backends => self.backends = bytes,
        }
    }

    /// Whether a complete request that holds `bytes` may be admitted.
    #[must_use]
    pub fn admits(&self, bytes: usize) -> bool {
        self.used().saturating_add(bytes as u64 * ADMISSION_FACTOR) <= self.limit
    }

    /// Whether so much is in use that the largest partially received request has to be discarded.
    #[must_use]
    pub fn must_discard_partial_requests(&self) -> bool {
        self.used() as f64 > self.limit as f64 * PARTIAL_REQUEST_SHARE
    }

    /// How many bytes of clients' commands may be received before earlier ones have been answered. What is not received
    /// hides the client's close, which comes behind it.
    #[must_use]
    pub fn read_ahead_limit(&self) -> usize {
        (self.limit as f64 * READ_AHEAD_SHARE) as usize
    }

    /// Whether all is in use.
    #[must_use]
    pub fn is_exhausted(&self) -> bool {
        self.used() >= self.limit
    }
}

#[cfg(test)]
mod tests;
