//! Names, times and numbers that all of the interface shares.

use std::sync::Arc;

/// A name that the host hands in and gets back unchanged: a customer, backend, class, plan or zone.
pub type Name = Arc<str>;

/// Milliseconds: a point on the host's clock or a span of it.
pub type Millis = f64;

/// The host's number for one request of a client; never used twice.
pub type RequestId = u64;
