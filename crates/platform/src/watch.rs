//! What the gateway believes beside what passes on its sockets, once a second, for who looks for a cause: at the log
//! level `debug` of `doorcourse::watch`. It holds and counts; nothing is decided by it.

use crate::backends::Backends;
use crate::clients::Clients;
use crate::counter::Counter;
use crate::exchanges::Exchanges;
use crate::io::Io;
use doorcourse::{Event, Gateway, Name, Outcome};
use std::collections::BTreeMap;

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

pub(crate) struct Watch {
    at: f64,
    on: bool,
    seen: BTreeMap<Name, Tally>,
}

impl Watch {
    pub fn new(now: f64) -> Self {
        let on = tracing::enabled!(target: "doorcourse::watch", tracing::Level::DEBUG);
        Self { at: now, on, seen: BTreeMap::new() }
    }

    /// The end of an attempt, as its socket showed it.
    pub fn note(&mut self, event: &Event) {
        let Event::AttemptEnded(end) = event else { return };
        if !self.on {
            return;
        }
        let tally = self.seen.entry(end.backend.clone()).or_default();
        match end.outcome {
            Outcome::Served => {
                tally.served += 1;
                tally.sum += end.latency;
                tally.late = tally.late.max(end.latency);
            }
            Outcome::Full => tally.full += 1,
            Outcome::ConnectFailed | Outcome::NeverSent => tally.never += 1,
            _ => tally.failed += 1,
        }
    }

    pub fn tick(
        &mut self, io: &Io, gateway: &Gateway, backends: &Backends, clients: &Clients, counter: &Counter,
        exchanges: &Exchanges,
    ) {
        if !self.on || io.now < self.at + EVERY {
            return;
        }
        self.at = io.now;
        let (open, counts) = (exchanges.len(), doorcourse_net::counts());
        tracing::debug!(
            target: "doorcourse::watch",
            open,
            clients = clients.connections(),
            backends = backends.connections(),
            dialed = backends.dialed,
            counter = counter.connections(),
            silent = gateway.is_counter_silent(),
            customers = gateway.customers().count(),
            calls = counts.total(),
            "sockets"
        );
        let seen = std::mem::take(&mut self.seen);
        for view in gateway.backends() {
            let (on, none) = (backends.seen(&view.name), Tally::default());
            let tally = seen.get(&view.name).unwrap_or(&none);
            if !view.ready && on.busy + on.idle + on.waiting == 0 && view.out == 0 {
                continue;
            }
            tracing::debug!(
                target: "doorcourse::watch",
                backend = &*view.name,
                ready = view.ready,
                believed_out = view.out,
                busy = on.busy,
                waiting = on.waiting,
                dialing = on.dialing,
                idle = on.idle,
                room = (view.room * 10.0).round() / 10.0,
                failures = view.failures,
                ejected_for = (view.eject_until - io.now).max(0.0).round(),
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
