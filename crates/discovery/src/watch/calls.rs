//! The calls to the source that are open: the current one, and superseded ones that may still be answered.

use doorcourse::Millis;

/// How old the newest superseded call is when the next call that times out is superseded too. Calls that time out before
/// are closed.
///
/// A source that starts to respond after an outage gets a call that is kept within this time and a backoff, even if the
/// calls that were open during the outage are never answered. The call after it has the other kind. Longer: fewer kept
/// calls, and fewer full lists. Shorter: a source is followed sooner if it answers each call late, or only one kind of
/// call. The platform allows 6 s, of which an answer may take 3 s; the rest is twice this time and a backoff.
pub(super) const SUPERSEDE_INTERVAL: Millis = 1250.0;
/// How many superseded calls are open at a time. With [`SUPERSEDE_INTERVAL`] it leaves every call 3 s for its answer.
/// More: every call has more time, and more connections are open during an outage.
pub(super) const MAX_SUPERSEDED_CALLS: usize = 5;
/// How long the oldest superseded call stays open: the time of the slowest answer that is followed at all.
const LONGEST_ANSWER: Millis = 8000.0;

/// Identifies a call to the source among all calls of a [`DiscoveryWatch`](crate::DiscoveryWatch).
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct CallId(pub(super) u64);

/// The request that the host sends on a new connection, or on the one that has just delivered the full list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct DiscoveryRequest {
    /// The call that this request begins.
    pub call: CallId,
    /// The version from which the request watches for changes; `None` for a request for the full list.
    pub from_version: Option<u64>,
}

impl DiscoveryRequest {
    /// Whether this is a watch; otherwise it is a request for the full list.
    #[must_use]
    pub fn is_watch(&self) -> bool {
        self.from_version.is_some()
    }
}

/// A request that was sent, and what has arrived of its response.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) struct Call {
    pub request: DiscoveryRequest,
    pub sent_at: Millis,
    pub head_received: bool,
    /// Whether a complete message, a list or an empty line, has arrived.
    pub message_received: bool,
    /// Whether a deadline of the call has expired.
    pub timed_out: bool,
}

impl Call {
    pub(super) fn new(request: DiscoveryRequest, sent_at: Millis) -> Self {
        Self { request, sent_at, head_received: false, message_received: false, timed_out: false }
    }

    /// Whether this is a watch without a complete message so far.
    pub(super) fn is_silent_watch(&self) -> bool {
        self.request.is_watch() && !self.message_received
    }

    /// Whether the source has ended this watch, or left it without a message after a response head. Such a watch may
    /// never deliver one. A watch without a response says nothing: the source may be slow.
    pub(super) fn is_useless_watch(&self) -> bool {
        self.is_silent_watch() && (self.head_received || !self.timed_out)
    }
}

/// The superseded calls, oldest first. None of them has delivered a message since it was superseded.
#[derive(Clone, Debug, Default)]
pub(super) struct SupersededCalls(Vec<Call>);

impl SupersededCalls {
    pub(super) fn is_empty(&self) -> bool {
        self.0.is_empty()
    }

    pub(super) fn clear(&mut self) {
        self.0.clear();
    }

    /// Whether a call that times out at `now` is superseded; otherwise it is closed.
    pub(super) fn admits_at(&self, now: Millis) -> bool {
        self.newest().is_none_or(|newest| now >= newest.sent_at + SUPERSEDE_INTERVAL)
    }

    /// Whether the newest call is a watch that never delivered a message.
    pub(super) fn newest_is_silent_watch(&self) -> bool {
        self.newest().is_some_and(Call::is_silent_watch)
    }

    /// Removes a call where there is no room for another one: the oldest, unless it may still be answered; else the next.
    pub(super) fn make_room(&mut self, now: Millis) -> Option<Call> {
        if self.0.len() < MAX_SUPERSEDED_CALLS {
            return None;
        }
        let oldest_may_be_answered = now <= self.0[0].sent_at + LONGEST_ANSWER;
        Some(self.0.remove(usize::from(oldest_may_be_answered)))
    }

    pub(super) fn push(&mut self, call: Call) {
        self.0.push(call);
    }

    pub(super) fn remove(&mut self, id: CallId) -> Option<Call> {
        let index = self.0.iter().position(|call| call.request.call == id)?;
        Some(self.0.remove(index))
    }

    fn newest(&self) -> Option<&Call> {
        self.0.last()
    }
}
