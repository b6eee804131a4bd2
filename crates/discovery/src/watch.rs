//! Following the list of nodes over a watch that may fall silent, break off or say what cannot be followed: when a
//! connection to the list's source is dead, when the next one is made, and from which version on it asks.

use doorcourse::Millis;
use doorcourse_fail_points::rule_disabled;

/// A watch without a whole line for this long is dead: an empty one comes every 2 s. It counts from the asking on, so
/// that neither a head without a body nor a line that drips in adds to it.
const SILENT: Millis = 3500.0;
/// A whole list is there by then, however it drips.
const LIST: Millis = 2000.0;
/// The head of an answer is there by then, or none will be.
const ANSWER: Millis = 1000.0;
/// The longest wait before connecting again.
const LONGEST_WAIT: Millis = 250.0;
/// The shortest: a source that refuses at once is not asked in a loop.
const SHORTEST_WAIT: Millis = 20.0;

#[derive(Clone, Copy, Debug, PartialEq)]
enum State {
    Waiting,
    Connecting,
    /// A call is out: from which version on it watches, whether its head has come and whether it has told anything, and
    /// when a whole line or list is due.
    Open {
        from: Option<u64>,
        head: bool,
        told: bool,
        whole_by: Millis,
    },
}

/// A call whose answer is waited for beside the next one.
#[derive(Clone, Copy, Debug, PartialEq)]
struct Aside {
    from: Option<u64>,
    until: Millis,
    whole_by: Millis,
}

/// What is due.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WatchAction {
    /// Make a connection; then tell `ask` or `lost`.
    Connect,
    /// The call is not answered at once: keep its connection aside, where it may still be; the next one is dialled soon.
    Supersede,
    /// The call that was set aside is not answered either: close its connection.
    CloseSuperseded,
    /// The connection is dead, for this reason: close it and tell `lost`.
    Close(&'static str),
}

/// Where a gateway is in following the list. It reads no clock.
///
/// The source is an agent on the gateway's own machine, which answers at once, or not at all while the list's service is
/// away; what it gets at the return counts as told in that moment, and sends to a backend that drains must stop within
/// the grace that the settings name. So a call that is not answered at once is asked again: a call and the wait behind
/// it take three quarters of the grace. The one before stays open beside it, so that a source which is merely slow is
/// heard too.
#[derive(Clone, Debug)]
pub struct DiscoveryWatch {
    state: State,
    until: Millis,
    /// How long a call may go unanswered before the next one is made, and the wait in between.
    again: Millis,
    wait: Millis,
    aside: Option<Aside>,
    version: Option<u64>,
    up: bool,
    away: bool,
}

impl DiscoveryWatch {
    /// By then a list is in hand that was there when the source could be reached again, whatever became of the calls
    /// made before: a watch begun an instant earlier is silent to its end, the next call cannot be followed, and the
    /// whole list comes after one more wait. Every other order adds up to less (the property test plays them). What the
    /// loop is late by comes on top; the platform counts a change as told after 6 s, and 4 s after SIGHUP.
    pub const MAX_DELAY: Millis = SILENT + 2.0 * LONGEST_WAIT;

    /// Connects at once; goes on from a version where one is known. `grace` is how long sends to a backend that drains
    /// may go on.
    #[must_use]
    pub fn new(version: Option<u64>, grace: Millis) -> Self {
        let (state, until, aside) = (State::Waiting, f64::NEG_INFINITY, None);
        let mut new = Self { state, until, again: 0.0, wait: 0.0, aside, version, up: false, away: false };
        new.set_drain_grace(grace);
        new
    }

    /// The settings name another grace.
    pub fn set_drain_grace(&mut self, grace: Millis) {
        self.again = (grace / 2.0).clamp(2.0 * SHORTEST_WAIT, ANSWER);
        // A call that nobody answers is waited for as a watch is.
        if rule_disabled("discovery-call-timeout") {
            self.again = SILENT;
        }
        self.wait = (grace / 4.0).clamp(SHORTEST_WAIT, LONGEST_WAIT);
    }

    /// The source moved: the next connection is made at once, and goes on from the version in hand. A call that was set
    /// aside is to be closed.
    pub fn address_changed(&mut self) {
        (self.state, self.until, self.aside) = (State::Waiting, f64::NEG_INFINITY, None);
        self.away = false;
    }

    /// When something is due.
    #[must_use]
    pub fn next_timeout(&self) -> Millis {
        self.aside.map_or(self.until, |aside| aside.until.min(self.until))
    }

    /// What is due now.
    pub fn handle_timeout(&mut self, now: Millis) -> Option<WatchAction> {
        if self.aside.is_some_and(|aside| now >= aside.until) {
            self.aside = None;
            return Some(WatchAction::CloseSuperseded);
        }
        if now < self.until {
            return None;
        }
        Some(match self.state {
            State::Waiting => {
                (self.state, self.until) = (State::Connecting, now + self.again);
                WatchAction::Connect
            }
            State::Connecting => WatchAction::Close("no connection"),
            State::Open { head: false, from, whole_by, .. } if self.aside.is_none() => {
                // It was asked for `again` ago.
                let until = (now - self.again + ANSWER).max(now);
                self.aside = Some(Aside { from, until, whole_by });
                (self.state, self.until) = (State::Waiting, now + self.wait);
                // A watch that says nothing may never tell anything: the whole list is asked for next.
                self.version = None;
                WatchAction::Supersede
            }
            State::Open { .. } => WatchAction::Close("no answer, list or line in time"),
        })
    }

    /// A message is asked for on a connection that is up: from which version on, or the whole list.
    pub fn request_sent(&mut self, now: Millis) -> Option<u64> {
        let whole_by = now + if self.version.is_some() { SILENT } else { LIST };
        self.state = State::Open { from: self.version, head: false, told: false, whole_by };
        self.until = now + self.again;
        self.version
    }

    /// The head of the answer came. It shows the source alive, and nothing more: a call that was set aside is to be
    /// closed.
    pub fn response_started(&mut self) {
        self.aside = None;
        if let State::Open { whole_by, told: false, head, .. } = &mut self.state {
            (*head, self.until) = (true, *whole_by);
        }
    }

    /// The call that was set aside is answered after all: it takes the place of the one that is out, which is to be
    /// closed. True where it is a watch.
    pub fn superseded_response_started(&mut self) -> bool {
        let Some(Aside { from, whole_by, .. }) = self.aside.take() else { return false };
        (self.state, self.until) = (State::Open { from, head: false, told: false, whole_by }, whole_by);
        // Its changes are those since the version that it asked from.
        self.version = from;
        from.is_some()
    }

    /// The call that was set aside has ended without an answer.
    pub fn superseded_lost(&mut self) {
        self.aside = None;
    }

    /// A whole list or an empty line came on the watch. Bytes of a line that is not whole show nothing.
    pub fn message_received(&mut self, now: Millis) {
        if let State::Open { from: Some(_), told, .. } = &mut self.state {
            (*told, self.until, self.away) = (true, now + SILENT, false);
        }
    }

    /// A list came. True when the source was not up before.
    ///
    /// # Errors
    /// Changes that cannot be followed: the list before them is not known.
    pub fn apply_version(&mut self, version: u64, whole: bool) -> Result<bool, String> {
        if !whole && self.version.is_none_or(|held| version < held) {
            return Err(format!("changes of version {version} without the list before them"));
        }
        self.version = Some(version);
        Ok(!std::mem::replace(&mut self.up, true))
    }

    /// What came cannot be followed: the whole list is asked for next.
    pub fn reset_version(&mut self) {
        self.version = None;
    }

    /// The connection is gone or could not be made. True when that is news: a source that stays away is told of once.
    /// A watch that told nothing may never tell anything: the whole list is asked for next.
    pub fn connection_lost(&mut self, now: Millis) -> bool {
        let untold = matches!(self.state, State::Open { from: Some(_), told: false, .. });
        let news = !untold && std::mem::take(&mut self.up) || !self.away;
        if untold {
            self.version = None;
        }
        (self.state, self.until, self.away) = (State::Waiting, now + self.wait, true);
        news
    }
}
