//! The state of one connection to the shared counter: turns calls into bytes to write, and received bytes into outcomes
//! of calls.
//!
//! The link decides when a call times out, when a connection is replaced and how long to back off before the next one.
//! Its host does the I/O: it executes the [`LinkAction`]s, reports connections and bytes, and calls
//! [`CounterLink::handle_timeout`] when it is due.

use crate::call::{CallOutcome, CounterCall, CounterReply};
use crate::codec::CounterCodec;
use doorcourse::Millis;
use std::collections::VecDeque;

/// The largest amount of one call, in units; the counter rejects larger ones.
const MAX_AMOUNT_UNITS: f64 = 1e9;

/// Timeouts and backoff of a link, in ms.
#[derive(Clone, Debug)]
pub struct LinkSettings {
    /// A call without a reply for this long ends as unknown.
    pub call_timeout: Millis,
    /// The wait before the first reconnection; doubled with each failure.
    pub initial_backoff: Millis,
    /// The longest wait before a reconnection.
    pub max_backoff: Millis,
    /// A connection with calls in flight and no reply for this long is replaced; so is a connect that takes this long.
    pub unresponsive_timeout: Millis,
    /// A connection without a call for this long is replaced before the counter closes it, because it would be unknown
    /// whether a call was added that is written just as the counter closes the connection. Infinite where the counter
    /// keeps idle connections open.
    pub idle_timeout: Millis,
}

/// An action that the host carries out.
#[derive(Clone, Debug, PartialEq)]
pub enum LinkAction {
    /// Open a connection, then report [`CounterLink::connection_opened`] or [`CounterLink::connection_lost`].
    Connect,
    /// Close the connection, whether it is established or still connecting; do not report `connection_lost` for it.
    Close,
    /// Pass the outcome of a call to the decision library.
    CallEnded {
        /// The counter's name.
        counter: u64,
        /// The outcome.
        outcome: CallOutcome,
        /// Time since the call was made, in ms.
        latency: Millis,
    },
    /// Log that the counter is available: it sent the first total since the connection was lost.
    LogAvailable,
    /// Log that the connection was lost. Repeated failures are logged once until the counter is available again.
    LogUnavailable {
        /// Why it was lost.
        reason: String,
    },
}

#[derive(Debug, PartialEq)]
enum ConnectionState {
    BackingOff { until: Millis },
    Connecting { since: Millis },
    Ready,
}

#[derive(Debug)]
struct InFlightCall {
    call: CounterCall,
    started_at: Millis,
    /// The position after the last byte of this call, counted in bytes from the first one written on the connection.
    end_offset: u64,
    /// Whether the call has already ended as unknown, so that its reply is reported as late.
    timed_out: bool,
}

impl InFlightCall {
    fn ended(&self, now: Millis, outcome: CallOutcome) -> LinkAction {
        LinkAction::CallEnded { counter: self.call.counter, outcome, latency: now - self.started_at }
    }
}

/// The state of one connection to the counter.
#[derive(Debug)]
pub struct CounterLink<C> {
    settings: LinkSettings,
    codec: C,
    state: ConnectionState,
    /// Calls whose replies are due, in the order in which they were written; includes calls that timed out.
    calls: VecDeque<InFlightCall>,
    /// Bytes that the host has not taken yet.
    output: Vec<u8>,
    /// How many bytes of this connection the host has taken.
    taken_bytes: u64,
    /// How many of the bytes taken are not written yet.
    unwritten_bytes: u64,
    input: Vec<u8>,
    /// The wait before the next reconnection.
    backoff: Millis,
    /// When the last reply arrived, the connection was opened, or a call was made while none was in flight, whichever
    /// was last.
    last_activity_at: Millis,
    /// Whether a total was received since the connection was last lost.
    is_available: bool,
}

impl<C: CounterCodec> CounterLink<C> {
    /// A link without a connection; the first [`handle_timeout`](Self::handle_timeout) requests one.
    #[must_use]
    pub fn new(settings: LinkSettings, codec: C) -> Self {
        Self {
            backoff: settings.initial_backoff,
            settings,
            codec,
            state: ConnectionState::BackingOff { until: f64::NEG_INFINITY },
            calls: VecDeque::new(),
            output: Vec::new(),
            taken_bytes: 0,
            unwritten_bytes: 0,
            input: Vec::new(),
            last_activity_at: 0.0,
            is_available: false,
        }
    }

    /// How many calls are still without a reply, including calls that timed out.
    #[must_use]
    pub fn in_flight(&self) -> usize {
        self.calls.len()
    }

    /// Whether calls can be written.
    #[must_use]
    pub fn is_ready(&self) -> bool {
        self.state == ConnectionState::Ready
    }

    /// Makes a call. It is encoded at once where there is a connection. Without a connection it ends as not added,
    /// because a call that waited for a connection might add to a window that has ended by then. A call with an amount
    /// that the counter would reject also ends as not added.
    pub fn call(&mut self, now: Millis, call: CounterCall, actions: &mut Vec<LinkAction>) {
        // NaN is outside this range.
        let is_valid_amount = matches!(call.amount.abs(), 0.0..=MAX_AMOUNT_UNITS);
        if !self.is_ready() || !is_valid_amount {
            return actions.push(LinkAction::CallEnded {
                counter: call.counter,
                outcome: CallOutcome::NotAdded,
                latency: 0.0,
            });
        }
        if self.calls.is_empty() {
            self.last_activity_at = now;
        }
        self.codec.encode_call(&call, &mut self.output);
        let end_offset = self.taken_bytes + self.output.len() as u64;
        self.calls.push_back(InFlightCall { call, started_at: now, end_offset, timed_out: false });
    }

    /// Takes the bytes to write.
    pub fn take_output(&mut self) -> Vec<u8> {
        self.taken_bytes += self.output.len() as u64;
        std::mem::take(&mut self.output)
    }

    /// Reports how many of the bytes taken are not written yet. A call whose last byte is not written cannot have been
    /// added.
    pub fn set_unwritten_bytes(&mut self, bytes: usize) {
        self.unwritten_bytes = bytes as u64;
    }

    /// Times out calls, and replaces a connection that has been unresponsive or idle for too long. Returns when to call
    /// this again at the latest.
    pub fn handle_timeout(&mut self, now: Millis, actions: &mut Vec<LinkAction>) -> Millis {
        self.time_out_calls(now, actions);
        let deadline = self.connection_deadline();
        if now < deadline {
            return self.next_call_timeout().min(deadline);
        }
        let is_idle = self.is_ready() && !self.awaits_reply();
        match self.state {
            ConnectionState::Ready if is_idle => actions.push(LinkAction::Close),
            ConnectionState::Ready | ConnectionState::Connecting { .. } => {
                actions.push(LinkAction::Close);
                return self.back_off(now, "nothing answered", actions);
            }
            ConnectionState::BackingOff { .. } => {}
        }
        self.state = ConnectionState::Connecting { since: now };
        actions.push(LinkAction::Connect);
        now + self.settings.unresponsive_timeout
    }

    fn time_out_calls(&mut self, now: Millis, actions: &mut Vec<LinkAction>) {
        let timeout = self.settings.call_timeout;
        for call in self.calls.iter_mut().filter(|call| !call.timed_out && now >= call.started_at + timeout) {
            call.timed_out = true;
            actions.push(call.ended(now, CallOutcome::Unknown));
        }
    }

    fn next_call_timeout(&self) -> Millis {
        let first = self.calls.iter().find(|call| !call.timed_out);
        first.map_or(f64::INFINITY, |call| call.started_at + self.settings.call_timeout)
    }

    /// When the state of the connection changes if nothing is received.
    fn connection_deadline(&self) -> Millis {
        match self.state {
            ConnectionState::BackingOff { until } => until,
            ConnectionState::Connecting { since } => since + self.settings.unresponsive_timeout,
            ConnectionState::Ready if self.awaits_reply() => {
                self.last_activity_at + self.settings.unresponsive_timeout
            }
            ConnectionState::Ready => self.last_activity_at + self.settings.idle_timeout,
        }
    }

    fn awaits_reply(&self) -> bool {
        !self.calls.is_empty() || self.codec.awaits_greeting()
    }

    /// Records that the connection that [`LinkAction::Connect`] requested is open.
    pub fn connection_opened(&mut self, now: Millis) {
        self.state = ConnectionState::Ready;
        self.last_activity_at = now;
        self.taken_bytes = 0;
        self.unwritten_bytes = 0;
        self.input.clear();
        self.output.clear();
        self.codec.connection_opened(&mut self.output);
    }

    /// Records that the connection was lost or could not be made. Calls that were fully written may have been added;
    /// the others were not.
    pub fn connection_lost(&mut self, now: Millis, reason: &str, actions: &mut Vec<LinkAction>) {
        self.back_off(now, reason, actions);
    }

    /// Ends all calls and begins the backoff before the next connection. Returns when the backoff ends.
    fn back_off(&mut self, now: Millis, reason: &str, actions: &mut Vec<LinkAction>) -> Millis {
        let written_bytes = self.taken_bytes.saturating_sub(self.unwritten_bytes);
        for call in self.calls.drain(..).filter(|call| !call.timed_out) {
            let fully_written = call.end_offset <= written_bytes;
            let outcome = if fully_written { CallOutcome::Unknown } else { CallOutcome::NotAdded };
            actions.push(call.ended(now, outcome));
        }
        self.output.clear();
        let was_available = std::mem::take(&mut self.is_available);
        let is_first_failure = self.backoff == self.settings.initial_backoff;
        if was_available || is_first_failure {
            actions.push(LinkAction::LogUnavailable { reason: reason.to_owned() });
        }
        let until = now + self.backoff;
        self.state = ConnectionState::BackingOff { until };
        self.backoff = (self.backoff * 2.0).min(self.settings.max_backoff);
        until
    }

    /// Handles bytes that were received.
    pub fn handle_input(&mut self, now: Millis, bytes: &[u8], actions: &mut Vec<LinkAction>) {
        if !self.is_ready() {
            return;
        }
        self.input.extend_from_slice(bytes);
        let mut consumed = 0;
        let failure = loop {
            match self.codec.decode_reply(&self.input[consumed..]) {
                Ok((length, reply)) => {
                    consumed += length;
                    let Some(reply) = reply else { break None };
                    if let Err(reason) = self.handle_reply(now, reply, actions) {
                        break Some(reason.to_owned());
                    }
                }
                Err(error) => break Some(error.to_string()),
            }
        };
        if let Some(reason) = failure {
            actions.push(LinkAction::Close);
            return self.connection_lost(now, &reason, actions);
        }
        self.input.drain(..consumed);
    }

    /// Handles a reply to the oldest call in flight. The error is the reason why the connection has to be closed.
    fn handle_reply(
        &mut self, now: Millis, reply: CounterReply, actions: &mut Vec<LinkAction>,
    ) -> Result<(), &'static str> {
        let Some(call) = self.calls.pop_front() else { return Err("a reply to no call") };
        self.last_activity_at = now;
        if matches!(reply.outcome, CallOutcome::Total(_)) {
            self.backoff = self.settings.initial_backoff;
            if !std::mem::replace(&mut self.is_available, true) {
                actions.push(LinkAction::LogAvailable);
            }
        }
        let added_without_total = reply.outcome == CallOutcome::AddedWithoutTotal;
        if !call.timed_out {
            let outcome = if added_without_total { CallOutcome::Unknown } else { reply.outcome };
            actions.push(call.ended(now, outcome));
        }
        if call.timed_out || added_without_total {
            actions.extend(late_outcome(reply.outcome).map(|late| call.ended(now, late)));
        }
        if reply.closes_connection { Err("its last reply came") } else { Ok(()) }
    }
}

/// The outcome that a reply reports for a call that had ended as unknown; `None` where the reply does not say whether
/// the amount was added.
fn late_outcome(outcome: CallOutcome) -> Option<CallOutcome> {
    let (added, total) = match outcome {
        CallOutcome::Total(total) => (true, Some(total)),
        CallOutcome::AddedWithoutTotal => (true, None),
        CallOutcome::NotAdded => (false, None),
        CallOutcome::Unknown | CallOutcome::Late { .. } => return None,
    };
    Some(CallOutcome::Late { added, total })
}

#[cfg(test)]
mod tests;
