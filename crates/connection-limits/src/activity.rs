//! Which client's connection goes when there are too many. One that is silent or idle goes before one that may be at
//! work; one with a request open never goes.

use doorcourse::Millis;

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

#[cfg(test)]
mod tests;
