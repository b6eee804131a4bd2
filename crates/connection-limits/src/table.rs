//! How a machine's descriptors are shared out, and which client's connection goes when there are too many. One that is
//! silent or idle goes before one that may be at work; one with a request open never goes.

use doorcourse::Millis;

/// Descriptors by who uses them.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Shares {
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

impl Shares {
    /// Shares out so many descriptors; at least one connection each way.
    #[must_use]
    pub fn of(descriptors: usize) -> Self {
        let reserve = RESERVE.min(descriptors / 4).max(NEEDED.min(descriptors / 2));
        let rest = descriptors.saturating_sub(reserve);
        let clients = ((rest as f64 * CLIENTS) as usize).max(1);
        Self { clients, backends: rest.saturating_sub(clients).max(1) }
    }
}

/// When client connections end by their age.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Ages {
    /// One that has said nothing whole, or is midway in a command.
    pub silent: Millis,
    /// One between requests.
    pub idle: Millis,
    /// One that takes nothing of what it has to read.
    pub unread: Millis,
}

/// By how much a connection that has said nothing good looks older, in ms.
const SILENT_OLDER: Millis = 500.0;

impl Ages {
    /// The ages while so many of the table's places are taken: where three quarters are, idle ones go as silent ones do,
    /// before a newcomer has to take a place from somebody.
    #[must_use]
    pub fn under(self, taken: usize, places: usize) -> Self {
        let idle = if taken * 4 >= places * 3 { self.idle.min(self.silent) } else { self.idle };
        Self { idle, ..self }
    }
}

/// A client's connection as far as this matters.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Held {
    /// When it was opened.
    pub opened: Millis,
    /// When a command that can be taken came last.
    pub spoke: Option<Millis>,
    /// When its last answer was given.
    pub answered: Option<Millis>,
    /// Since when a command is midway.
    pub midway: Option<Millis>,
    /// Since when it has something to read and takes nothing, also where that is not written yet.
    pub unread: Option<Millis>,
    /// Requests and answers that are open.
    pub open: usize,
    /// It was told of a fault and is to end then.
    pub ending: Option<Millis>,
}

impl Held {
    /// One that was opened now.
    #[must_use]
    pub fn new(now: Millis) -> Self {
        Self { opened: now, spoke: None, answered: None, midway: None, unread: None, open: 0, ending: None }
    }

    /// Since when it stands idle, where it has said anything good: its last answer may have come long after its last
    /// command, and who has just been answered is about to ask again.
    fn idle_since(&self) -> Option<Millis> {
        self.spoke.map(|at| self.answered.map_or(at, |answered| answered.max(at)))
    }

    /// Whether its age is over.
    #[must_use]
    pub fn is_over(&self, now: Millis, ages: &Ages) -> bool {
        let old = |since: Option<Millis>, age: Millis| since.is_some_and(|at| now >= at + age);
        if self.ending.is_some_and(|at| now >= at) || old(self.unread, ages.unread) {
            return true;
        }
        if self.open > 0 || self.unread.is_some() {
            return false;
        }
        match self.idle_since() {
            _ if old(self.midway, ages.silent) => true,
            None => now >= self.opened + ages.silent,
            Some(at) => self.midway.is_none() && now >= at + ages.idle,
        }
    }

    /// Who goes first when there is no room: the lower, those of one rank by the older time. `None` never goes. One
    /// that has said nothing good yet counts as a little older than it is, and no more: where the table is full of those
    /// that spoke once and hold on, the silent ones are those that have just come and are about to ask.
    #[must_use]
    pub fn rank(&self) -> Option<(u8, Millis)> {
        match (self.ending, self.idle_since()) {
            (Some(at), _) => Some((0, at)),
            (None, _) if self.open > 0 || self.unread.is_some() => None,
            (None, None) => Some((1, self.opened - SILENT_OLDER)),
            (None, Some(at)) => Some((1, at)),
        }
    }
}

/// The pause that a client gets which sends what cannot be taken, before more of it is read: doubled with each fault, so
/// that one which goes on at full speed costs no more than a few a second.
#[must_use]
pub fn pause(faults: u32) -> Millis {
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
            let shares = Shares::of(descriptors);
            assert!(shares.clients >= 1 && shares.backends >= 1);
            assert!(descriptors < 64 || shares.clients + shares.backends + NEEDED <= descriptors);
            assert!(descriptors < 256 || shares.backends * 3 > descriptors, "a third for requests");
        }
    }

    const AGES: Ages = Ages { silent: 2000.0, idle: 5000.0, unread: 2500.0 };

    fn held() -> Held {
        Held::new(100.0)
    }

    #[test]
    fn ages() {
        assert!(!held().is_over(2099.0, &AGES) && held().is_over(2100.0, &AGES));
        let spoke = Held { spoke: Some(1000.0), ..held() };
        assert!(!spoke.is_over(5999.0, &AGES) && spoke.is_over(6000.0, &AGES));
        let answered = Held { answered: Some(5500.0), ..spoke };
        assert!(
            !answered.is_over(10_499.0, &AGES) && answered.is_over(10_500.0, &AGES),
            "idle since its answer"
        );
        assert_eq!(answered.rank(), Some((1, 5500.0)));
        let midway = Held { midway: Some(1500.0), ..spoke };
        assert!(!midway.is_over(3499.0, &AGES) && midway.is_over(3500.0, &AGES));
        let open = Held { open: 1, ..midway };
        assert!(!open.is_over(1e9, &AGES), "a request is open");
        let unread = Held { unread: Some(2000.0), ..open };
        assert!(!unread.is_over(4499.0, &AGES) && unread.is_over(4500.0, &AGES));
        let ending = Held { ending: Some(300.0), ..open };
        assert!(!ending.is_over(299.0, &AGES) && ending.is_over(300.0, &AGES));
    }

    #[test]
    fn who_goes_first() {
        let silent = Held { opened: 5000.0, ..held() };
        let (used, held_on) =
            (Held { spoke: Some(4900.0), ..held() }, Held { spoke: Some(4000.0), ..held() });
        let ending = Held { ending: Some(9e9), open: 1, ..held() };
        let mut all = [used, silent, held_on, ending];
        all.sort_by(|a, b| a.rank().partial_cmp(&b.rank()).unwrap());
        // One that has just come goes before one in use, and behind one that has held on for long.
        assert_eq!(all, [ending, held_on, silent, used]);
        assert_eq!(Held { open: 1, ..used }.rank(), None);
        assert_eq!(AGES.under(74, 100).idle, 5000.0);
        assert_eq!(AGES.under(75, 100), Ages { idle: 2000.0, ..AGES });
    }

    #[test]
    fn pauses_grow_to_a_bound() {
        assert_eq!(
            (pause(1), pause(2), pause(8), pause(9), pause(u32::MAX)),
            (5.0, 10.0, 640.0, 1000.0, 1000.0)
        );
    }
}
