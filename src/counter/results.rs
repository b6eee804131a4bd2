//! Results of counter calls: totals, failures and late results.

use crate::counter::calls::CounterCall;
use crate::quota::MIN_CALL_UNITS;
use crate::quota::admit::QuotaAdmission;
use crate::quota::sampled::is_sampled;
use crate::{Action, CounterOutcome, Gateway, Millis, Name};
use std::collections::VecDeque;

/// The most timed-out calls that are kept, in case their results arrive late.
const MAX_TIMED_OUT_CALLS: usize = 256;

/// The counter is unavailable: leases ("blocks") are spent, then fallback budgets ("even slices"). The text is frozen:
/// it is recorded on the simulator's wire, and operators search for it.
const COUNTER_UNAVAILABLE_LOG: &str = "counter silent: spending blocks and even slices";
/// The counter is available again. The text is frozen like [`COUNTER_UNAVAILABLE_LOG`].
const COUNTER_AVAILABLE_LOG: &str = "counter back";

/// A call without a result in time; its units may have been added.
struct TimedOutCall {
    /// The counter's name.
    counter: u64,
    customer: Name,
    call: CounterCall,
}

/// The most recent calls that timed out, oldest first.
#[derive(Default)]
pub(crate) struct TimedOutCalls(VecDeque<TimedOutCall>);

impl TimedOutCalls {
    /// Remembers a call; the oldest one is dropped where there are too many.
    fn push(&mut self, counter: u64, customer: Name, call: CounterCall) {
        self.0.push_back(TimedOutCall { counter, customer, call });
        self.0.drain(..self.0.len().saturating_sub(MAX_TIMED_OUT_CALLS));
    }

    /// Removes the oldest call of a counter.
    fn take(&mut self, counter: u64) -> Option<TimedOutCall> {
        let position = self.0.iter().position(|call| call.counter == counter)?;
        self.0.remove(position)
    }
}

impl Gateway {
    /// Handles the end of a counter call.
    pub(crate) fn counter_call_ended(
        &mut self, counter: u64, outcome: CounterOutcome, latency: Millis, out: &mut Vec<Action>,
    ) {
        if let CounterOutcome::Late { added, total } = outcome {
            return self.late_result_received(counter, added, total, out);
        }
        let Some(name) = self.counter_calls.remove(&counter) else { return };
        let has_total = matches!(outcome, CounterOutcome::Total(_));
        self.call_rate.record(has_total.then_some(latency), self.settings.counter_timeout);
        let CounterOutcome::Total(total) = outcome else {
            let may_be_added = outcome == CounterOutcome::Unknown;
            return self.counter_call_failed(counter, &name, may_be_added, out);
        };
        self.counter_responded(out);
        let call = self.customers.get_mut(&name).and_then(|customer| customer.pending_call.take());
        self.total_received(&name, call.unwrap_or_default(), total, out);
    }

    /// Records a response of the counter, and logs that it is available again.
    fn counter_responded(&mut self, out: &mut Vec<Action>) {
        if self.counter_availability.record_response(self.now) {
            out.push(Action::Log(COUNTER_AVAILABLE_LOG.into()));
        }
    }

    /// Handles a total, then admits the requests that waited for it. Calls again where some still wait or units are to
    /// be returned.
    fn total_received(&mut self, name: &Name, call: CounterCall, total: f64, out: &mut Vec<Action>) {
        let unavailability = self.counter_availability.last_unavailability();
        let Some(customer) = self.customers.get_mut(name) else { return };
        let plan = &self.settings.plans[customer.plan_index];
        if is_sampled(plan, customer.customer_gateways) {
            return self.sampled_total_received(name, call, total, out);
        }
        customer.advance(self.now, plan);
        customer.record_total(call, total, unavailability, self.now, plan);
        let waiting = std::mem::take(&mut customer.waiting);
        let has_units_to_return = customer.unreported_units <= -MIN_CALL_UNITS;
        let mut is_still_waiting = false;
        for id in waiting {
            is_still_waiting |= self.admit_by_quota(id, out) == QuotaAdmission::AwaitsCounter;
        }
        if is_still_waiting || has_units_to_return {
            self.call_counter(name, out);
        }
    }

    /// Admits or rejects the requests that waited for a failed call without the counter. If the call may have been
    /// added, its lease is dropped; units to report are reported again, and units to return are not returned twice.
    fn counter_call_failed(&mut self, counter: u64, name: &Name, may_be_added: bool, out: &mut Vec<Action>) {
        self.counter_availability.record_failure();
        if self.is_counter_unavailable() && self.counter_availability.begin_unavailability(self.now) {
            out.push(Action::Log(COUNTER_UNAVAILABLE_LOG.into()));
        }
        let Some(customer) = self.customers.get_mut(name) else { return };
        let call = customer.pending_call.take().unwrap_or_default();
        if may_be_added {
            customer.unreported_units += call.report_units.max(0.0);
            self.timed_out_calls.push(counter, name.clone(), call);
        } else {
            customer.report_again(call, &self.settings.plans[customer.plan_index]);
        }
        for id in std::mem::take(&mut customer.waiting) {
            self.admit_by_fallback(id, out);
        }
    }

    /// Handles the result of a call that had timed out. If it was not added, its units to return still have to be
    /// returned. If it was added, its units to report are not reported again; a total of the present window that is not
    /// below the last one is then handled as any other, and otherwise the lease is returned. Without this, leases that a
    /// slow counter added late would stay in its total although no gateway holds them. Nothing is done for a call of a
    /// sampled quota that was added.
    ///
    /// Under a ceiling a call of an ended window changes nothing: it is in the count of that window alone, and nothing of
    /// it may be returned to the present one.
    fn late_result_received(&mut self, counter: u64, added: bool, total: Option<f64>, out: &mut Vec<Action>) {
        let Some(TimedOutCall { customer: name, call, .. }) = self.timed_out_calls.take(counter) else {
            return;
        };
        let Some(customer) = self.customers.get_mut(&name) else { return };
        let plan = &self.settings.plans[customer.plan_index];
        customer.advance(self.now, plan);
        let is_current_window = call.window == customer.lease.window;
        if !is_current_window && plan.ceiling_rate > 0.0 {
            return;
        }
        if !added {
            customer.unreported_units += call.report_units.min(0.0);
        } else if !is_sampled(plan, customer.customer_gateways) {
            customer.unreported_units -= call.report_units.max(0.0);
            let newer_total = total.filter(|total| is_current_window && *total >= customer.lease.last_total);
            if let Some(total) = newer_total {
                self.counter_responded(out);
                return self.total_received(&name, call, total, out);
            }
            customer.return_late_lease(call, plan);
        }
    }
}
