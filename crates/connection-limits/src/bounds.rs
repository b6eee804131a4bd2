//! What a gateway holds for its clients at most, and who is held back, refused or cut when it is too much: in all,
//! for each customer and for each connection. One that reads nothing must not take what all share.

use doorcourse::{Millis, Name};
use std::collections::HashMap;

/// The bounds; bytes and ms.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Bounds {
    /// Client connections.
    pub connections: usize,
    /// Requests that are not answered yet.
    pub requests: usize,
    /// Bytes held for all clients together.
    pub bytes: u64,
    /// Bytes held for the connections of one customer.
    pub customer_bytes: u64,
    /// Bytes of answers that a connection may leave unread before its next request begins.
    pub unread: usize,
    /// A connection that has bytes to read and takes none for this long is cut.
    pub unread_time: Millis,
}

/// Why a request is turned away before anything is done for it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Full {
    /// Too many connections.
    Connections,
    /// Too many requests.
    Requests,
    /// Too much is held for all clients.
    Bytes,
    /// Too much is held for this customer.
    Customer,
}

impl Full {
    /// A sentence for people.
    #[must_use]
    pub fn text(self) -> &'static str {
        match self {
            Self::Connections => "too many connections",
            Self::Requests => "too many requests are open",
            Self::Bytes => "too much is held for clients",
            Self::Customer => "too much is held for this customer: read the answers first",
        }
    }
}

/// What a connection holds, as it was told last.
#[derive(Clone, Debug, Default)]
pub struct Held {
    customer: Option<Name>,
    bytes: u64,
    /// Bytes to be read, and since when none of them was taken.
    unread: usize,
    since: Millis,
}

/// The accounts of what is held.
#[derive(Clone, Debug)]
pub struct Accounts {
    bounds: Bounds,
    bytes: u64,
    customers: HashMap<Name, u64>,
}

impl Accounts {
    /// Nothing is held yet.
    #[must_use]
    pub fn new(bounds: Bounds) -> Self {
        Self { bounds, bytes: 0, customers: HashMap::new() }
    }

    /// The bounds changed; what is held stays.
    pub fn set_bounds(&mut self, bounds: Bounds) {
        self.bounds = bounds;
    }

    /// Bytes held in all.
    #[must_use]
    pub fn bytes(&self) -> u64 {
        self.bytes
    }

    /// Whether one connection more is taken.
    ///
    /// # Errors
    /// When there are too many.
    pub fn accept(&self, connections: usize) -> Result<(), Full> {
        if connections < self.bounds.connections { Ok(()) } else { Err(Full::Connections) }
    }

    /// Whether a connection's next request may begin, or waits until more of its answers is read.
    #[must_use]
    pub fn may_begin(&self, unread: usize) -> bool {
        unread <= self.bounds.unread
    }

    /// Whether a request whose head has come is read on.
    ///
    /// # Errors
    /// When too much is held in all, or for its customer.
    pub fn read_on(&self, customer: &Name) -> Result<(), Full> {
        if self.bytes > self.bounds.bytes {
            return Err(Full::Bytes);
        }
        let held = self.customers.get(customer).copied().unwrap_or(0);
        if held > self.bounds.customer_bytes { Err(Full::Customer) } else { Ok(()) }
    }

    /// Whether a whole request is taken on.
    ///
    /// # Errors
    /// When too many are open.
    pub fn take_on(&self, requests: usize) -> Result<(), Full> {
        if requests < self.bounds.requests { Ok(()) } else { Err(Full::Requests) }
    }

    /// What a connection belongs to from now on, what it holds in all, and how much of that its client has to read.
    /// `taken` is whether the client took some since the last word.
    pub fn note(
        &mut self, now: Millis, held: &mut Held, customer: Option<&Name>, bytes: u64, unread: usize,
        taken: bool,
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
    pub fn forget(&mut self, held: &Held) {
        self.give_back(held);
    }

    /// Bytes that belong to a request rather than to a connection: a body on its way to nodes.
    pub fn add(&mut self, bytes: u64) {
        self.bytes += bytes;
    }

    /// They are let go.
    pub fn release(&mut self, bytes: u64) {
        self.bytes = self.bytes.saturating_sub(bytes);
    }

    /// When a connection is cut unless its client reads on; never where nothing waits to be read.
    #[must_use]
    pub fn cut_at(&self, held: &Held) -> Millis {
        if held.unread == 0 { Millis::INFINITY } else { held.since + self.bounds.unread_time }
    }

    fn charge(&mut self, held: &Held) {
        self.bytes += held.bytes;
        if let Some(customer) = held.customer.as_ref().filter(|_| held.bytes > 0) {
            *self.customers.entry(customer.clone()).or_default() += held.bytes;
        }
    }

    fn give_back(&mut self, held: &Held) {
        self.bytes = self.bytes.saturating_sub(held.bytes);
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
mod tests {
    use super::*;

    fn accounts() -> Accounts {
        Accounts::new(Bounds {
            connections: 2,
            requests: 3,
            bytes: 1000,
            customer_bytes: 300,
            unread: 100,
            unread_time: 50.0,
        })
    }

    #[test]
    fn one_customer_s_bound_lies_within_that_of_all() {
        let (mut accounts, mut a, mut b) = (accounts(), Held::default(), Held::default());
        let (greedy, other): (Name, Name) = ("greedy".into(), "other".into());
        accounts.note(0.0, &mut a, Some(&greedy), 200, 200, false);
        assert_eq!(accounts.read_on(&greedy), Ok(()));
        accounts.note(0.0, &mut b, Some(&greedy), 150, 150, false);
        assert_eq!(accounts.read_on(&greedy), Err(Full::Customer));
        assert_eq!(accounts.read_on(&other), Ok(()));
        accounts.forget(&a);
        assert_eq!((accounts.read_on(&greedy), accounts.bytes()), (Ok(()), 150));
        // A connection that changes hands takes its bytes along.
        accounts.note(0.0, &mut b, Some(&other), 400, 0, false);
        assert_eq!((accounts.read_on(&greedy), accounts.read_on(&other)), (Ok(()), Err(Full::Customer)));
        accounts.add(700);
        assert_eq!(accounts.read_on(&greedy), Err(Full::Bytes));
        accounts.release(700);
        accounts.forget(&b);
        assert!(accounts.bytes() == 0 && accounts.customers.is_empty());
    }

    #[test]
    fn a_connection_is_cut_only_when_its_client_takes_nothing_for_the_whole_time() {
        let (mut accounts, mut held) = (accounts(), Held::default());
        assert_eq!(accounts.cut_at(&held), Millis::INFINITY);
        accounts.note(10.0, &mut held, None, 90, 90, false);
        assert_eq!(accounts.cut_at(&held), 60.0);
        accounts.note(40.0, &mut held, None, 120, 120, false);
        assert_eq!(accounts.cut_at(&held), 60.0, "more to read is not read");
        accounts.note(50.0, &mut held, None, 110, 110, true);
        assert_eq!(accounts.cut_at(&held), 100.0);
        accounts.note(99.0, &mut held, None, 0, 0, true);
        assert_eq!(accounts.cut_at(&held), Millis::INFINITY);
        assert!(accounts.may_begin(100) && !accounts.may_begin(101));
    }

    #[test]
    fn counts() {
        let accounts = accounts();
        assert_eq!((accounts.accept(1), accounts.accept(2)), (Ok(()), Err(Full::Connections)));
        assert_eq!((accounts.take_on(2), accounts.take_on(3)), (Ok(()), Err(Full::Requests)));
    }
}
