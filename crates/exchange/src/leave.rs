//! The end of a gateway that was told to leave: for a grace it goes on as before, because clients go on with what they
//! have; then it takes nothing new, answers all that is open, and ends.

use doorcourse::Millis;

/// How long requests may still come after the word to leave: those on their way, and those of a front that has not
/// heard yet.
const GRACE: Millis = 700.0;

/// Where a gateway is in its leaving.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Leave {
    told: Option<Millis>,
}

impl Leave {
    /// It is told to leave; true the first time.
    pub fn tell(&mut self, now: Millis) -> bool {
        let first = self.told.is_none();
        self.told.get_or_insert(now);
        first
    }

    /// When it stops taking anything new, where that is to come.
    #[must_use]
    pub fn last_call(&self) -> Option<Millis> {
        self.told.map(|at| at + GRACE)
    }

    /// Whether connections and requests are still taken.
    #[must_use]
    pub fn takes_new(&self, now: Millis) -> bool {
        self.last_call().is_none_or(|at| now < at)
    }

    /// Whether it may end, with so many connections that still have something to hear.
    #[must_use]
    pub fn is_over(&self, now: Millis, busy: usize) -> bool {
        !self.takes_new(now) && busy == 0
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_second_word_moves_nothing() {
        let mut leave = Leave::default();
        assert!(leave.takes_new(1e12) && !leave.is_over(1e12, 0) && leave.last_call().is_none());
        assert!(leave.tell(100.0) && !leave.tell(500.0));
        assert_eq!(leave.last_call(), Some(800.0));
        assert!(leave.takes_new(799.0) && !leave.is_over(799.0, 0));
        assert!(!leave.takes_new(800.0) && !leave.is_over(800.0, 1) && leave.is_over(800.0, 0));
    }
}
