//! Types for names, times and numbers that the whole public interface shares.

use std::sync::Arc;

/// A name that the host hands in and gets back unchanged: a customer, backend, class, plan or zone.
pub type Name = Arc<str>;

/// Milliseconds: a time on the host's clock or a duration.
pub type Millis = f64;

/// The host's number for one request of a client; never used twice.
pub type RequestId = u64;
