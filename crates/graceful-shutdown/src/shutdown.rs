//! The end of a gateway that was told to leave, as one state machine without I/O.
//!
//! ```text
//! Serving --told--> Grace --0.7 s--> Closing --shortly before the kill--> LastAnswers
//!                                      |                                     |
//!                                      +--no connection left: over           +--no connection left, or killed: over
//! ```
//!
//! | | doors | connections | requests |
//! |---|---|---|---|
//! | Serving | open | kept | taken on with their own time |
//! | Grace | open: clients and fronts have not all heard yet | kept: they are in use | as before |
//! | Closing | what waits in the queue is let in, then closed | each ends once nothing is open on it and one last read finds nothing | those that can end in time; the others are refused at once |
//! | LastAnswers | closed | as before | none: what is open is answered now, by the rules |
//!
//! A connection that merely had a request open when the doors closed is no exception: clients go on sending on whatever
//! stays open, up to the moment at which the process is killed, so every connection is closed as it falls idle.

use doorcourse::Millis;
use doorcourse_connection_limits::ConnectionActivity;
use doorcourse_fail_points::rule_disabled;

/// How long requests may still come after the word to leave: those on their way, and those of a front that has not
/// heard yet.
const GRACE: Millis = 700.0;
/// The longest time of a request counts as no more than this where the time to the kill is worked out.
const MOST: Millis = 3000.0;
/// All is answered so long before the process may be killed: an answer has to travel, and the loop may be late.
const MARGIN: Millis = 50.0;

/// A connection that has just come up has its first request on the way: it is given as long as this to say something.
const NEWCOMER: Millis = 50.0;

/// Where a gateway is in its leaving.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ShutdownPhase {
    /// It was not told to leave.
    Serving,
    /// It was told, and serves on.
    Notice,
    /// Its doors are closed, and connections end as they fall idle.
    Draining,
    /// It may be killed any moment: what is still open is answered at once.
    FinalResponses,
}

/// What becomes of a request that has just come.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Admission {
    /// It is taken on with so much time.
    Admit(Millis),
    /// It cannot end before the process may be killed: refused at once, so that its client can ask elsewhere.
    Reject,
}

/// The leaving of one process. It reads no clock.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct GracefulShutdown {
    told: Option<Told>,
}

#[derive(Clone, Copy, Debug, PartialEq)]
struct Told {
    last_call: Millis,
    end: Millis,
}

impl GracefulShutdown {
    /// It is told to leave; true the first time. `longest` is the longest time that any request may have: the process
    /// is not killed before that time, or 3 s where it is longer, and the grace have passed.
    pub fn begin(&mut self, now: Millis, longest: Millis) -> bool {
        let first = self.told.is_none();
        let end = now + longest.min(MOST) + GRACE - MARGIN;
        // The kill is not reckoned with.
        let end = if rule_disabled("shutdown-deadline") { end + 10_000.0 } else { end };
        self.told.get_or_insert(Told { last_call: now + GRACE, end });
        first
    }

    /// Where it is now.
    #[must_use]
    pub fn phase(&self, now: Millis) -> ShutdownPhase {
        match self.told {
            None => ShutdownPhase::Serving,
            Some(told) if now < told.last_call => ShutdownPhase::Notice,
            Some(told) if now < told.end => ShutdownPhase::Draining,
            Some(_) => ShutdownPhase::FinalResponses,
        }
    }

    /// When the phase changes next without being told, or the process ends; infinite where neither is to come.
    #[must_use]
    pub fn next_timeout(&self, now: Millis) -> Millis {
        match self.told {
            None => Millis::INFINITY,
            Some(told) if now < told.last_call => told.last_call,
            Some(told) if now < told.end => told.end,
            Some(told) => told.end + MARGIN,
        }
    }

    /// What becomes of a request with so much time, whose answer is wanted within `aim`. What is left before the kill
    /// may be less than its own time; it is taken on where that is enough for the answers that its class is meant to
    /// have, and refused where it would most likely be cut off.
    #[must_use]
    pub fn admit(&self, now: Millis, patience: Millis, aim: Millis) -> Admission {
        let left = self.told.map_or(Millis::INFINITY, |told| told.end - now);
        if left >= patience.min(aim) && left > 0.0 {
            Admission::Admit(patience.min(left))
        } else {
            Admission::Reject
        }
    }

    /// Whether a client's connection is to end now, if one last read finds nothing on it: its doors are closed, and the
    /// connection owes nothing and is not midway in a command.
    #[must_use]
    pub fn may_close(&self, now: Millis, held: &ConnectionActivity) -> bool {
        let owes = held.open_requests > 0
            || held.unread_response_since.is_some()
            || held.partial_request_since.is_some()
            || held.lingering_close_until.is_some();
        // Looked at once, when the listener closes.
        let once = rule_disabled("close-idle-until-exit")
            && self.told.is_some_and(|told| now >= told.last_call + NEWCOMER / 2.0);
        let owes = owes || once;
        let comes = held.last_request_at.is_none() && now < held.opened_at + NEWCOMER;
        self.is_draining(now) && !owes && !comes
    }

    /// Whether the doors are closed.
    #[must_use]
    pub fn is_draining(&self, now: Millis) -> bool {
        matches!(self.phase(now), ShutdownPhase::Draining | ShutdownPhase::FinalResponses)
    }

    /// Whether the process may end, with so many client connections left.
    #[must_use]
    pub fn is_finished(&self, now: Millis, connections: usize) -> bool {
        self.is_draining(now) && connections == 0 || self.told.is_some_and(|told| now >= told.end + MARGIN)
    }
}

#[cfg(test)]
mod tests;
