//! The attempts in flight, and the places that they take at backends.
//!
//! A place is a value: it is taken at an [`Occupancy`] and released there, and cannot be copied or released twice.
//! An attempt holds its place from [`Gateway::begin_attempt`] until [`Gateway::end_attempt`], whatever becomes of its
//! request in the meantime.

use crate::{Gateway, Name, RequestId};
use std::collections::BTreeMap;

/// A place that is taken until [`Occupancy::release`]; one that is dropped stays taken.
#[must_use = "a place that is not released stays taken"]
#[derive(Debug)]
pub(crate) struct Place(());

/// How many places are taken at a backend or by a customer.
#[derive(Debug, Default)]
pub(crate) struct Occupancy {
    taken: u32,
}

impl Occupancy {
    /// How many places are taken.
    pub(crate) fn count(&self) -> u32 {
        self.taken
    }

    /// Takes a place.
    pub(crate) fn take(&mut self) -> Place {
        self.taken += 1;
        Place(())
    }

    /// Releases a place.
    pub(crate) fn release(&mut self, place: Place) {
        let Place(()) = place;
        debug_assert!(self.taken > 0, "a place is released where none was taken");
        self.taken = self.taken.saturating_sub(1);
    }
}

/// An attempt in flight.
#[derive(Debug)]
struct Attempt {
    backend: Name,
    place: Place,
}

/// The attempts in flight, by request; a request has at most one.
#[derive(Debug, Default)]
pub(crate) struct AttemptsInFlight(BTreeMap<RequestId, Attempt>);

impl AttemptsInFlight {
    /// The attempts in flight and their backends.
    pub(crate) fn iter(&self) -> impl Iterator<Item = (RequestId, &Name)> {
        self.0.iter().map(|(id, attempt)| (*id, &attempt.backend))
    }
}

impl Gateway {
    /// Takes a place at a backend for an attempt of a request. Returns whether the backend is known.
    pub(crate) fn begin_attempt(&mut self, id: RequestId, name: &Name) -> bool {
        // The host ends an attempt before the next one of its request begins.
        self.end_attempt(id);
        let Some(backend) = self.backends.get_mut(name) else { return false };
        let place = backend.occupancy.take();
        self.attempts.0.insert(id, Attempt { backend: name.clone(), place });
        true
    }

    /// Releases the place of an attempt; an attempt that is not in flight has none.
    pub(crate) fn end_attempt(&mut self, id: RequestId) {
        let Some(attempt) = self.attempts.0.remove(&id) else { return };
        if let Some(backend) = self.backends.get_mut(&attempt.backend) {
            backend.occupancy.release(attempt.place);
        }
    }
}
