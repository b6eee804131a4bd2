//! What the gateway believes beside what passes on its sockets, once a second, for who looks for a cause: at the log
//! level `debug` of `doorcourse::watch`. It holds and counts; nothing is decided by it.

use crate::backends::Backends;
use crate::clients::ClientTable;
use crate::counter::Counter;
use crate::reactor::Reactor;
use crate::requests::RequestTable;
use doorcourse::{Action, AttemptOutcome, CounterOutcome, Event, Gateway, Name, RequestId};
use std::collections::{BTreeMap, HashMap};

/// How often it tells, in ms.
const EVERY: f64 = 1000.0;

#[derive(Default)]
struct Tally {
    served: u32,
    failed: u32,
    full: u32,
    never: u32,
    late: f64,
    sum: f64,
}

/// How counter calls ended in a second.
#[derive(Default)]
struct Calls {
    totals: u32,
    not_added: u32,
    unknown: u32,
    late: u32,
    sum: f64,
}

pub(crate) struct Watch {
    at: f64,
    on: bool,
    /// Each refusal is told with what is held of its customer.
    each: bool,
    seen: BTreeMap<Name, Tally>,
    calls: Calls,
    /// Refusals by reason and plan.
    refused: BTreeMap<(String, Name), u32>,
    asked: HashMap<RequestId, (Name, Name, f64)>,
}

impl Watch {
    pub fn new(now: f64) -> Self {
        let on = tracing::enabled!(target: "doorcourse::watch", tracing::Level::DEBUG);
        let each = tracing::enabled!(target: "doorcourse::watch", tracing::Level::TRACE);
        let (calls, refused, asked) = (Calls::default(), BTreeMap::new(), HashMap::new());
        Self { at: now, on, each, seen: BTreeMap::new(), calls, refused, asked }
    }

    /// What the decisions are told.
    pub fn note(&mut self, now: f64, event: &Event) {
        if !self.on {
            return;
        }
        let end = match event {
            Event::AttemptEnded(end) => end,
            Event::RequestReceived(a) => {
                self.asked.insert(a.id, (a.customer.clone(), a.plan.clone(), now));
                return;
            }
            Event::ClientDisconnected { id } => return drop(self.asked.remove(id)),
            Event::CounterCallEnded { outcome, latency, .. } => {
                match outcome {
                    CounterOutcome::Total(_) => {
                        self.calls.totals += 1;
                        self.calls.sum += latency;
                    }
                    CounterOutcome::NotAdded => self.calls.not_added += 1,
                    CounterOutcome::Unknown => self.calls.unknown += 1,
                    CounterOutcome::Late { .. } => self.calls.late += 1,
                }
                return;
            }
            _ => return,
        };
        if end.final_response_sent {
            self.asked.remove(&end.id);
        }
        let tally = self.seen.entry(end.backend.clone()).or_default();
        match end.outcome {
            AttemptOutcome::Served => {
                tally.served += 1;
                tally.sum += end.latency;
                tally.late = tally.late.max(end.latency);
            }
            AttemptOutcome::Rejected => tally.full += 1,
            AttemptOutcome::ConnectFailed | AttemptOutcome::NeverSent => tally.never += 1,
            _ => tally.failed += 1,
        }
    }

    /// What the decisions answer.
    pub fn note_action(&mut self, now: f64, action: &Action, gateway: &Gateway) {
        if !self.on {
            return;
        }
        match action {
            Action::Reject { id, reason: why, .. } => {
                let Some((customer, plan, since)) = self.asked.remove(id) else { return };
                *self.refused.entry((format!("{why:?}"), plan.clone())).or_default() += 1;
                if self.each {
                    let view = gateway.customers().find(|c| c.name == customer);
                    let held = (now - since).round();
                    tracing::trace!(target: "doorcourse::watch", ?why, held, ?view, "refused");
                }
            }
            Action::SendAttempt { id, .. } if self.each => {
                let first = self.asked.get_mut(id).filter(|a| a.2 >= 0.0);
                if let Some((customer, plan, since)) = first {
                    tracing::trace!(target: "doorcourse::watch", %customer, %plan, held = now - *since, "sent on");
                    *since = f64::NEG_INFINITY;
                }
            }
            Action::Fail { id } => drop(self.asked.remove(id)),
            _ => {}
        }
    }

    pub fn tick(
        &mut self, io: &Reactor, gateway: &Gateway, backends: &Backends, clients: &ClientTable,
        counter: &Counter, requests: &RequestTable,
    ) {
        if !self.on || io.now < self.at + EVERY {
            return;
        }
        self.at = io.now;
        let (open, counts) = (requests.len(), doorcourse_event_loop::counts());
        let (told, refused) = (std::mem::take(&mut self.calls), std::mem::take(&mut self.refused));
        tracing::debug!(
            target: "doorcourse::watch",
            totals = told.totals,
            mean = (told.sum / f64::from(told.totals.max(1)) * 10.0).round() / 10.0,
            not_added = told.not_added,
            unknown = told.unknown,
            late = told.late,
            ?refused,
            "counter and refusals"
        );
        tracing::debug!(
            target: "doorcourse::watch",
            open,
            clients = clients.connection_count(),
            backends = backends.connection_count(),
            dialed = backends.connections_opened,
            counter = counter.connections(),
            silent = gateway.is_counter_silent(),
            customers = gateway.customers().count(),
            calls = counts.total(),
            "sockets"
        );
        let seen = std::mem::take(&mut self.seen);
        for view in gateway.backends() {
            let (on, none) = (backends.pool_counts(&view.name), Tally::default());
            let tally = seen.get(&view.name).unwrap_or(&none);
            if !view.ready && on.busy + on.idle + on.waiting == 0 && view.in_flight == 0 {
                continue;
            }
            tracing::debug!(
                target: "doorcourse::watch",
                backend = &*view.name,
                ready = view.ready,
                believed_out = view.in_flight,
                busy = on.busy,
                waiting = on.waiting,
                dialing = on.connecting,
                idle = on.idle,
                room = (view.concurrency_limit * 10.0).round() / 10.0,
                failures = view.consecutive_failures,
                ejected_for = (view.ejected_until - io.now).max(0.0).round(),
                served = tally.served,
                mean = (tally.sum / f64::from(tally.served.max(1))).round(),
                longest = tally.late.round(),
                failed = tally.failed,
                full = tally.full,
                never = tally.never,
                "believed and seen"
            );
        }
    }
}
