//! The rounds in which the requests that remain at the end of a process get their final responses.

use doorcourse::RequestId;

/// What the host does with the remaining requests.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum FinalRound {
    /// End the attempts of these requests as timed out. For each of them the decision library then gives the final
    /// response or starts another attempt, which the next round ends.
    ExpireAttempts(Vec<RequestId>),
    /// These requests are still open after the last round: disconnect their clients.
    ResetClients(Vec<RequestId>),
    /// No request remains.
    Finished,
}

/// Bounds the number of rounds in which the remaining requests are ended.
///
/// A round ends one attempt of each request, so there is one round for each attempt that a request may have, and one
/// more for requests that were queued. A request that is still open after these would never end.
#[derive(Clone, Debug)]
pub struct FinalRounds {
    remaining_rounds: u32,
}

impl FinalRounds {
    /// The rounds for requests with at most `max_attempts` attempts each.
    #[must_use]
    pub fn new(max_attempts: u32) -> Self {
        Self { remaining_rounds: max_attempts.saturating_add(1) }
    }

    /// The next round, for the requests that are still open.
    pub fn next(&mut self, open_requests: Vec<RequestId>) -> FinalRound {
        if open_requests.is_empty() {
            return FinalRound::Finished;
        }
        if self.remaining_rounds == 0 {
            return FinalRound::ResetClients(open_requests);
        }
        self.remaining_rounds -= 1;
        FinalRound::ExpireAttempts(open_requests)
    }
}

#[cfg(test)]
mod tests;
