//! Execution of the calls on the admin socket.

use super::Gateway;
use crate::admin::{AdminCall, AdminRequest};
use crate::fleet::Fleet;
use doorcourse_lifecycle::ProcessEvent;
use serde_json::{Value, json};

/// The immediate result of a call.
enum Outcome {
    Reply(Value),
    /// The parameters name something that does not exist.
    InvalidParams(String),
    /// The reply follows later, or there is none.
    Deferred,
}

impl Gateway {
    /// Executes a call, and replies to it unless its result follows later.
    pub(super) fn handle_admin_call(&mut self, call: AdminCall) {
        let AdminCall { slot, id, request } = call;
        let outcome = match request {
            AdminRequest::Status => Outcome::Reply(self.status_reply()),
            AdminRequest::Nodes => Outcome::Reply(self.backends_reply()),
            AdminRequest::Customers => Outcome::Reply(self.customers_reply()),
            AdminRequest::Peers => Outcome::Reply(self.fleet.as_ref().map_or(Value::Null, Fleet::peers)),
            AdminRequest::Leases => Outcome::Reply(self.fleet.as_ref().map_or(Value::Null, Fleet::leases)),
            AdminRequest::HandOver { task, to } => self.hand_over_task(&task, to),
            AdminRequest::SetManualDrain { name, drain } => self.manual_drain_call(&name, drain),
            AdminRequest::Drain => self.process_call(ProcessEvent::DrainRequested),
            AdminRequest::Reload { dry_run } => return self.reload_call(slot, id, dry_run),
            AdminRequest::TakeOver => {
                self.handle_process_event(ProcessEvent::TakeoverRequested { peer: slot as u64 });
                Outcome::Deferred
            }
            AdminRequest::TakeoverReady => {
                self.process_call(ProcessEvent::TakeoverReady { peer: slot as u64 })
            }
            AdminRequest::TakeoverFailed => {
                self.handle_process_event(ProcessEvent::TakeoverFailed { peer: slot as u64 });
                Outcome::Deferred
            }
        };
        let Some(admin) = &mut self.admin else { return };
        match outcome {
            Outcome::Reply(value) => admin.reply(slot, &id, value),
            Outcome::InvalidParams(message) => admin.reply_invalid_params(slot, &id, &message),
            Outcome::Deferred => {}
        }
    }

    /// Passes a call to the process's life cycle; the reply contains the new state.
    fn process_call(&mut self, event: ProcessEvent) -> Outcome {
        self.handle_process_event(event);
        Outcome::Reply(json!({"state": self.lifecycle.state().name()}))
    }

    /// Hands the lease of a task over to another gateway.
    fn hand_over_task(&mut self, task: &str, to: u32) -> Outcome {
        let Some(fleet) = &mut self.fleet else {
            return Outcome::InvalidParams("the settings have no fleet.link".to_owned());
        };
        match fleet.transfer(&mut self.io, task, to) {
            Ok(()) => Outcome::Reply(json!({"task": task, "to": to})),
            Err(message) => Outcome::InvalidParams(message),
        }
    }

    fn manual_drain_call(&mut self, name: &str, drain: bool) -> Outcome {
        if self.set_manual_drain(name, drain) {
            Outcome::Reply(json!({"node": name}))
        } else {
            Outcome::InvalidParams(format!("`{name}` is no node of the list"))
        }
    }

    /// Starts a reload; the reply follows once the settings are read. A dry run does not change anything, so it does
    /// not need the consent of the process's life cycle.
    fn reload_call(&mut self, slot: usize, id: Value, dry_run: bool) {
        let waiter = self.admin.as_ref().and_then(|admin| admin.reload_waiter(slot, id, dry_run));
        let Some(waiter) = waiter else { return };
        self.reload.add_waiter(waiter);
        if dry_run {
            self.reload.start(&self.config);
        } else {
            self.handle_process_event(ProcessEvent::ReloadRequested);
        }
    }
}
