//! Records which sequence numbers of one start of a peer were accepted, so that each is accepted only once.

/// How many sequence numbers, up to the newest, the window tells apart; earlier ones count as replayed.
const WINDOW_SIZE: u64 = 64;

/// The sequence numbers that were accepted so far. Sequence numbers start at 1.
#[derive(Clone, Debug, Default)]
pub(crate) struct ReplayWindow {
    /// The lowest accepted sequence number; 0 where none was accepted.
    first: u64,
    /// The highest accepted sequence number; 0 where none was accepted.
    newest: u64,
    /// Bit n is set where `newest - n` was accepted.
    accepted_bits: u64,
    accepted: u64,
}

impl ReplayWindow {
    /// Accepts a sequence number if it was not accepted before. Returns whether it is accepted.
    pub(crate) fn accept(&mut self, sequence: u64) -> bool {
        if sequence == 0 {
            return false;
        }
        let is_new = if sequence > self.newest { self.advance(sequence) } else { self.accept_late(sequence) };
        self.accepted += u64::from(is_new);
        is_new
    }

    /// Accepts a sequence number above the newest.
    fn advance(&mut self, sequence: u64) -> bool {
        if self.newest == 0 {
            self.first = sequence;
        }
        let step = sequence - self.newest;
        self.accepted_bits = if step >= WINDOW_SIZE { 0 } else { self.accepted_bits << step };
        self.accepted_bits |= 1;
        self.newest = sequence;
        true
    }

    /// Accepts a sequence number not above the newest if it is in the window and was not accepted before.
    fn accept_late(&mut self, sequence: u64) -> bool {
        let distance = self.newest - sequence;
        if distance >= WINDOW_SIZE || self.accepted_bits >> distance & 1 == 1 {
            return false;
        }
        self.accepted_bits |= 1 << distance;
        self.first = self.first.min(sequence);
        true
    }

    /// How many sequence numbers were accepted.
    pub(crate) fn accepted(&self) -> u64 {
        self.accepted
    }

    /// How many sequence numbers between the first and the newest were not accepted.
    pub(crate) fn missing(&self) -> u64 {
        let numbered = if self.newest == 0 { 0 } else { self.newest - self.first + 1 };
        numbered.saturating_sub(self.accepted)
    }
}
