//! Compares the attempts in flight with those that the decision library counts.

use super::RespGateway;
use doorcourse::Event;

impl RespGateway {
    /// Frees the places of attempts that the decisions count and no request has. There is none unless this gateway is at
    /// fault.
    pub(super) fn recover_lost_attempts(&mut self) {
        let has_attempt = |request| self.requests.has_attempt(request);
        let lost = self.accounting.check(self.reactor.now, &self.decisions, has_attempt);
        debug_assert!(lost.is_empty(), "attempts were lost: {lost:?}");
        debug_assert_eq!(self.decisions.count_mismatches(), []);
        if lost.is_empty() {
            return;
        }
        let total = self.accounting.lost_attempts;
        tracing::error!(target: "doorcourse::decisions", attempts = lost.len(), total, "attempts were lost");
        self.pending.decisions.extend(lost.into_iter().map(Event::AttemptEnded));
        self.process_pending_events();
    }
}
