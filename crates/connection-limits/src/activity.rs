//! How a machine's descriptors are shared out, and which client's connection goes when there are too many. One that is
//! silent or idle goes before one that may be at work; one with a request open never goes.

use doorcourse::Millis;

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

/// When client connections end by their age.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ConnectionTimeouts {
    /// One that has said nothing whole, or is midway in a command.
    pub silent_timeout: Millis,
    /// One between requests.
    pub idle_timeout: Millis,
    /// One that takes nothing of what it has to read.
    pub unread_timeout: Millis,
}

/// By how much a connection that has said nothing good looks older, in ms.
const SILENT_OLDER: Millis = 500.0;

impl ConnectionTimeouts {
    /// The ages while so many of the table's places are taken: where three quarters are, idle ones go as silent ones do,
    /// before a newcomer has to take a place from somebody.
    #[must_use]
    pub fn for_occupancy(self, taken: usize, places: usize) -> Self {
        let idle = if taken * 4 >= places * 3 {
            self.idle_timeout.min(self.silent_timeout)
        } else {
            self.idle_timeout
        };
        Self { idle_timeout: idle, ..self }
    }
}

/// A client's connection as far as this matters.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ConnectionActivity {
    /// When it was opened.
    pub opened_at: Millis,
    /// When a command that can be taken came last.
    pub last_request_at: Option<Millis>,
    /// When its last answer was given.
    pub last_response_at: Option<Millis>,
    /// Since when a command is midway.
    pub partial_request_since: Option<Millis>,
    /// Since when it has something to read and takes nothing, also where that is not written yet.
    pub unread_response_since: Option<Millis>,
    /// Requests and answers that are open.
    pub open_requests: usize,
    /// It was told of a fault and is to end then.
    pub lingering_close_until: Option<Millis>,
}

impl ConnectionActivity {
    /// One that was opened now.
    #[must_use]
    pub fn new(now: Millis) -> Self {
        Self {
            opened_at: now,
            last_request_at: None,
            last_response_at: None,
            partial_request_since: None,
            unread_response_since: None,
            open_requests: 0,
            lingering_close_until: None,
        }
    }

    /// Since when it stands idle, where it has said anything good: its last answer may have come long after its last
    /// command, and who has just been answered is about to ask again.
    fn idle_since(&self) -> Option<Millis> {
        self.last_request_at.map(|at| self.last_response_at.map_or(at, |answered| answered.max(at)))
    }

    /// Whether its age is over.
    #[must_use]
    pub fn is_expired(&self, now: Millis, ages: &ConnectionTimeouts) -> bool {
        let old = |since: Option<Millis>, age: Millis| since.is_some_and(|at| now >= at + age);
        if self.lingering_close_until.is_some_and(|at| now >= at)
            || old(self.unread_response_since, ages.unread_timeout)
        {
            return true;
        }
        if self.open_requests > 0 || self.unread_response_since.is_some() {
            return false;
        }
        match self.idle_since() {
            _ if old(self.partial_request_since, ages.silent_timeout) => true,
            None => now >= self.opened_at + ages.silent_timeout,
            Some(at) => self.partial_request_since.is_none() && now >= at + ages.idle_timeout,
        }
    }

    /// Who goes first when there is no room: the lower, those of one rank by the older time. `None` never goes. One
    /// that has said nothing good yet counts as a little older than it is, and no more: where the table is full of those
    /// that spoke once and hold on, the silent ones are those that have just come and are about to ask.
    #[must_use]
    pub fn eviction_rank(&self) -> Option<(u8, Millis)> {
        match (self.lingering_close_until, self.idle_since()) {
            (Some(at), _) => Some((0, at)),
            (None, _) if self.open_requests > 0 || self.unread_response_since.is_some() => None,
            (None, None) => Some((1, self.opened_at - SILENT_OLDER)),
            (None, Some(at)) => Some((1, at)),
        }
    }
}

/// The pause that a client gets which sends what cannot be taken, before more of it is read: doubled with each fault, so
/// that one which goes on at full speed costs no more than a few a second.
#[must_use]
pub fn fault_backoff(faults: u32) -> Millis {
    const FIRST: Millis = 5.0;
    const LONGEST: Millis = 1000.0;
    (FIRST * f64::from(1u32 << faults.saturating_sub(1).min(10))).min(LONGEST)
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn shares_leave_room_for_all() {
        for descriptors in [1, 8, 64, 256, 1024, 4096] {
            let shares = DescriptorBudget::for_limit(descriptors);
            assert!(shares.clients >= 1 && shares.backends >= 1);
            assert!(descriptors < 64 || shares.clients + shares.backends + NEEDED <= descriptors);
            assert!(descriptors < 256 || shares.backends * 3 > descriptors, "a third for requests");
        }
    }

    const AGES: ConnectionTimeouts =
        ConnectionTimeouts { silent_timeout: 2000.0, idle_timeout: 5000.0, unread_timeout: 2500.0 };

    fn held() -> ConnectionActivity {
        ConnectionActivity::new(100.0)
    }

    #[test]
    fn ages() {
        assert!(!held().is_expired(2099.0, &AGES) && held().is_expired(2100.0, &AGES));
        let spoke = ConnectionActivity { last_request_at: Some(1000.0), ..held() };
        assert!(!spoke.is_expired(5999.0, &AGES) && spoke.is_expired(6000.0, &AGES));
        let answered = ConnectionActivity { last_response_at: Some(5500.0), ..spoke };
        assert!(
            !answered.is_expired(10_499.0, &AGES) && answered.is_expired(10_500.0, &AGES),
            "idle since its answer"
        );
        assert_eq!(answered.eviction_rank(), Some((1, 5500.0)));
        let midway = ConnectionActivity { partial_request_since: Some(1500.0), ..spoke };
        assert!(!midway.is_expired(3499.0, &AGES) && midway.is_expired(3500.0, &AGES));
        let open = ConnectionActivity { open_requests: 1, ..midway };
        assert!(!open.is_expired(1e9, &AGES), "a request is open");
        let unread = ConnectionActivity { unread_response_since: Some(2000.0), ..open };
        assert!(!unread.is_expired(4499.0, &AGES) && unread.is_expired(4500.0, &AGES));
        let ending = ConnectionActivity { lingering_close_until: Some(300.0), ..open };
        assert!(!ending.is_expired(299.0, &AGES) && ending.is_expired(300.0, &AGES));
    }

    #[test]
    fn who_goes_first() {
        let silent = ConnectionActivity { opened_at: 5000.0, ..held() };
        let (used, held_on) = (
            ConnectionActivity { last_request_at: Some(4900.0), ..held() },
            ConnectionActivity { last_request_at: Some(4000.0), ..held() },
        );
        let ending = ConnectionActivity { lingering_close_until: Some(9e9), open_requests: 1, ..held() };
        let mut all = [used, silent, held_on, ending];
        all.sort_by(|a, b| a.eviction_rank().partial_cmp(&b.eviction_rank()).unwrap());
        // One that has just come goes before one in use, and behind one that has held on for long.
        assert_eq!(all, [ending, held_on, silent, used]);
        assert_eq!(ConnectionActivity { open_requests: 1, ..used }.eviction_rank(), None);
        assert_eq!(AGES.for_occupancy(74, 100).idle_timeout, 5000.0);
        assert_eq!(AGES.for_occupancy(75, 100), ConnectionTimeouts { idle_timeout: 2000.0, ..AGES });
    }

    #[test]
    fn pauses_grow_to_a_bound() {
        assert_eq!(
            (fault_backoff(1), fault_backoff(2), fault_backoff(8), fault_backoff(9), fault_backoff(u32::MAX)),
            (5.0, 10.0, 640.0, 1000.0, 1000.0)
        );
    }
}
