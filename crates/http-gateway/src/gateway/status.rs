//! The present state, as the admin socket and the metrics report it. The JSON keys are a stable format.

use super::Gateway;
use crate::fleet::Fleet;
use crate::monitoring::{BackendGauges, Snapshot};
use doorcourse::{BackendStatus, CustomerStatus, Millis};
use doorcourse_event_loop::process_memory;
use serde_json::{Value, json};
use std::collections::BTreeMap;

impl Gateway {
    /// The present values of the gauges in the metrics.
    pub(super) fn snapshot(&self) -> Snapshot {
        let now = self.io.now();
        let mut leased_units = BTreeMap::<String, f64>::new();
        for customer in self.decisions.customers() {
            *leased_units.entry(customer.plan.to_string()).or_default() += customer.leased_units;
        }
        Snapshot {
            ready: self.lifecycle.is_ready(),
            requests: self.requests.count(),
            client_connections: self.clients.count(),
            buffered_bytes: self.clients.budget.bytes(),
            resident_bytes: process_memory().unwrap_or_default().resident,
            counter_unavailable: self.decisions.is_counter_silent(),
            lost_attempts: self.accounting.lost_attempts,
            leased_units: leased_units.into_iter().collect(),
            backends: self.decisions.backends().map(|backend| backend_gauges(&backend, now)).collect(),
            fleet: self.fleet.as_ref().map(Fleet::metrics).unwrap_or_default(),
        }
    }

    /// The reply of `ctl status`.
    pub(super) fn status_reply(&self) -> Value {
        let listeners = self.addresses().unwrap_or_default();
        json!({
            "state": self.lifecycle.state().name(),
            "ready": self.lifecycle.is_ready(),
            "name": self.instance_name,
            "number": self.config.decisions.gateway_index,
            "gateways": self.config.decisions.gateway_count,
            "listeners": listeners.iter().map(ToString::to_string).collect::<Vec<_>>(),
            "requests": self.requests.count(),
            "clients": self.clients.count(),
            "counter_calls": self.counter.calls_in_flight(),
            "counter_silent": self.decisions.is_counter_silent(),
            "requests_so_far": self.requests.total,
            "buffered_bytes": self.clients.budget.bytes(),
            "resident_bytes": process_memory().unwrap_or_default().resident,
        })
    }

    /// The reply of `ctl nodes`.
    pub(super) fn backends_reply(&self) -> Value {
        let now = self.io.now();
        let reply = |backend: BackendStatus| {
            json!({
                "name": &*backend.name,
                "ready": backend.ready,
                "drained_here": self.endpoints.is_manually_drained(&backend.name),
                "out": backend.in_flight,
                "room": backend.concurrency_limit,
                "failures": backend.consecutive_failures,
                "ejected_for_ms": (backend.ejected_until - now).max(0.0),
                "started_ms": backend.started,
            })
        };
        self.decisions.backends().map(reply).collect()
    }

    /// The reply of `ctl customers`.
    pub(super) fn customers_reply(&self) -> Value {
        let reply = |customer: CustomerStatus| {
            json!({
                "name": &*customer.name,
                "plan": &*customer.plan,
                "lease": customer.leased_units,
                "store": customer.available_units,
                "owed": customer.unreported_units,
                "waiting": customer.waiting,
                "open": customer.in_flight,
            })
        };
        self.decisions.customers().map(reply).collect()
    }
}

fn backend_gauges(backend: &BackendStatus, now: Millis) -> BackendGauges {
    BackendGauges {
        name: backend.name.to_string(),
        concurrency_limit: backend.concurrency_limit,
        in_flight: backend.in_flight,
        usable: backend.ready && backend.ejected_until <= now,
    }
}
