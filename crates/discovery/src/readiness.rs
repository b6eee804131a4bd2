//! When a gateway that was just started says that it is ready.

use doorcourse::Millis;

/// When a gateway that was just started says that it is ready.
#[derive(Clone, Copy, Debug)]
pub struct Readiness {
    since: Millis,
    listed: bool,
}

impl Readiness {
    /// It waits for the list as long as this; then it goes by the list it last had. Guards a fleet whose list is down
    /// against staying away altogether.
    const LIST_WAIT: Millis = 1000.0;

    /// It was started now.
    #[must_use]
    pub fn new(now: Millis) -> Self {
        Self { since: now, listed: false }
    }

    /// The list's source has told a list.
    pub fn list_received(&mut self) {
        self.listed = true;
    }

    /// Whether it takes requests.
    #[must_use]
    pub fn is_ready(&self, now: Millis) -> bool {
        self.listed || now >= self.since + Self::LIST_WAIT
    }
}
