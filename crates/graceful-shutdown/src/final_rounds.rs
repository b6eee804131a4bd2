//! The rounds in which what is left at a stop is answered.

use doorcourse::RequestId;

/// What a stop does with what is left.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum FinalRound {
    /// These attempts are over: their time is up. The decisions give the final answer or try once more.
    ExpireAttempts(Vec<RequestId>),
    /// These have had more rounds than attempts: their clients' connections are cut.
    ResetClients(Vec<RequestId>),
    /// Nothing is left.
    Finished,
}

/// The rounds of a stop. Each ends one attempt of each request, so there are as many as attempts, and one for what was
/// held; whatever is left then would go on for ever.
#[derive(Clone, Debug)]
pub struct FinalRounds {
    left: u32,
}

impl FinalRounds {
    /// For requests of so many attempts at most.
    #[must_use]
    pub fn new(most_attempts: u32) -> Self {
        Self { left: most_attempts.saturating_add(1) }
    }

    /// The next round, with what is left.
    pub fn next(&mut self, left: Vec<RequestId>) -> FinalRound {
        if left.is_empty() {
            return FinalRound::Finished;
        }
        if self.left == 0 {
            return FinalRound::ResetClients(left);
        }
        self.left -= 1;
        FinalRound::ExpireAttempts(left)
    }
}

#[cfg(test)]
mod tests;
