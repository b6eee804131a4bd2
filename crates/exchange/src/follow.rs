//! Following the list of nodes over a watch that may fall silent, break off or say what cannot be followed: when a
//! connection to the list's source is dead, when the next one is made, and from which version on it asks.

use doorcourse::Millis;

/// A watch without a line for this long is dead: an empty one comes every 2 s.
const SILENT: Millis = 3500.0;
/// A connection that is not up by then is given up.
const DIAL: Millis = 1000.0;
/// The waits before connecting again; doubled with each failure until a list comes.
const FIRST_WAIT: Millis = 50.0;
const LONGEST_WAIT: Millis = 1000.0;

#[derive(Clone, Copy, Debug, PartialEq)]
enum State {
    Waiting,
    Connecting,
    Open,
}

/// What is due.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Due {
    /// Make a connection; then tell `connected` or `lost`.
    Dial,
    /// The connection is dead, for this reason: close it and tell `lost`.
    Dead(&'static str),
}

/// Where a gateway is in following the list. It reads no clock.
#[derive(Clone, Debug)]
pub struct Follow {
    state: State,
    until: Millis,
    wait: Millis,
    /// The version in hand; none asks for the whole list first.
    version: Option<u64>,
    up: bool,
}

impl Follow {
    /// Connects at once; goes on from a version where one is known.
    #[must_use]
    pub fn new(version: Option<u64>) -> Self {
        Self { state: State::Waiting, until: f64::NEG_INFINITY, wait: FIRST_WAIT, version, up: false }
    }

    /// The source moved: the next connection is made at once, and goes on from the version in hand.
    pub fn moved(&mut self) {
        (self.state, self.until, self.wait) = (State::Waiting, f64::NEG_INFINITY, FIRST_WAIT);
    }

    /// When something is due.
    #[must_use]
    pub fn due(&self) -> Millis {
        self.until
    }

    /// What is due now.
    pub fn tick(&mut self, now: Millis) -> Option<Due> {
        if now < self.until {
            return None;
        }
        Some(match self.state {
            State::Waiting => {
                (self.state, self.until) = (State::Connecting, now + DIAL);
                Due::Dial
            }
            State::Connecting => Due::Dead("no connection"),
            State::Open => Due::Dead("no line in time"),
        })
    }

    /// A message is asked for on a connection that is up: from which version on, or the whole list.
    pub fn ask(&mut self, now: Millis) -> Option<u64> {
        (self.state, self.until) = (State::Open, now + SILENT);
        self.version
    }

    /// The source said something that shows it alive. Bytes of a line that never ends show nothing.
    pub fn heard(&mut self, now: Millis) {
        if self.state == State::Open {
            self.until = now + SILENT;
        }
    }

    /// A list came. True when the source was not up before.
    ///
    /// # Errors
    /// Changes that cannot be followed: the list before them is not known.
    pub fn take(&mut self, version: u64, whole: bool) -> Result<bool, String> {
        if !whole && self.version.is_none_or(|held| version < held) {
            return Err(format!("changes of version {version} without the list before them"));
        }
        (self.version, self.wait) = (Some(version), FIRST_WAIT);
        Ok(!std::mem::replace(&mut self.up, true))
    }

    /// What came cannot be followed: the whole list is asked for next.
    pub fn cannot_follow(&mut self) {
        self.version = None;
    }

    /// The connection is gone or could not be made. True when that is news: a source that stays away is told of once.
    pub fn lost(&mut self, now: Millis) -> bool {
        let news = std::mem::take(&mut self.up) || self.wait == FIRST_WAIT;
        (self.state, self.until) = (State::Waiting, now + self.wait);
        self.wait = (self.wait * 2.0).min(LONGEST_WAIT);
        news
    }
}

/// When a gateway that was just started says that it is ready.
#[derive(Clone, Copy, Debug)]
pub struct Start {
    since: Millis,
    listed: bool,
}

impl Start {
    /// It waits for the list as long as this; then it goes by the list it last had. Guards a fleet whose list is down
    /// against staying away altogether.
    const LIST_WAIT: Millis = 1000.0;

    /// It was started now.
    #[must_use]
    pub fn new(now: Millis) -> Self {
        Self { since: now, listed: false }
    }

    /// The list's source has told a list.
    pub fn listed(&mut self) {
        self.listed = true;
    }

    /// Whether it takes requests.
    #[must_use]
    pub fn is_ready(&self, now: Millis) -> bool {
        self.listed || now >= self.since + Self::LIST_WAIT
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_source_that_stays_away_is_asked_ever_less_often_and_told_of_once() {
        let mut follow = Follow::new(Some(7));
        let (mut now, mut dials, mut told) = (0.0, Vec::new(), 0);
        while now < 10_000.0 {
            if follow.tick(now) == Some(Due::Dial) {
                dials.push(now);
                told += u32::from(follow.lost(now));
            }
            now = follow.due().max(now);
        }
        let gaps: Vec<f64> = dials.windows(2).map(|pair| pair[1] - pair[0]).collect();
        assert_eq!(gaps[..6], [50.0, 100.0, 200.0, 400.0, 800.0, 1000.0]);
        assert!(gaps[5..].iter().all(|gap| *gap == 1000.0) && told == 1, "{gaps:?}, told {told} times");
        // It is back: the version in hand still holds, and the next loss is news again.
        assert_eq!(follow.tick(now), Some(Due::Dial));
        assert_eq!(follow.ask(now), Some(7));
        assert_eq!(follow.take(8, false), Ok(true));
        assert!(follow.lost(now) && follow.due() == now + 50.0);
    }

    #[test]
    fn a_watch_lives_by_what_it_says_and_a_dial_by_its_time() {
        let mut follow = Follow::new(None);
        assert_eq!((follow.tick(0.0), follow.tick(999.0)), (Some(Due::Dial), None));
        assert_eq!(follow.tick(1000.0), Some(Due::Dead("no connection")));
        assert!(follow.lost(1000.0));
        assert_eq!(follow.tick(1050.0), Some(Due::Dial));
        assert_eq!(follow.ask(1060.0), None);
        follow.heard(4000.0);
        assert_eq!(follow.tick(7499.0), None);
        assert_eq!(follow.tick(7500.0), Some(Due::Dead("no line in time")));
        // What comes from a connection given up moves nothing.
        follow.lost(7500.0);
        let due = follow.due();
        follow.heard(7501.0);
        assert_eq!(follow.due(), due);
        follow.moved();
        assert_eq!(follow.tick(7501.0), Some(Due::Dial));
    }

    #[test]
    fn changes_are_followed_only_from_a_list_and_never_backwards() {
        let mut follow = Follow::new(None);
        assert!(follow.take(3, false).is_err());
        assert_eq!(follow.take(3, true), Ok(true));
        assert_eq!(follow.take(5, false), Ok(false));
        assert!(follow.take(4, false).is_err());
        follow.cannot_follow();
        assert_eq!(follow.ask(0.0), None);
        assert!(follow.take(9, false).is_err());
        // A whole list may step back: its source was set up anew.
        assert_eq!(follow.take(2, true), Ok(false));
        assert_eq!(follow.ask(0.0), Some(2));
    }

    #[test]
    fn ready_with_the_list_or_when_it_was_waited_for() {
        let mut start = Start::new(500.0);
        assert!(!start.is_ready(1499.0) && start.is_ready(1500.0));
        start.listed();
        assert!(start.is_ready(501.0));
    }
}
