//! Actions of the process's life cycle, among them the end of a drain, which answers every open request.

use super::Gateway;
use crate::monitoring::Monitoring;
use doorcourse::Event;
use doorcourse_graceful_shutdown::{FinalRound, FinalRounds};
use doorcourse_lifecycle::{ProcessAction, ProcessEvent};
use doorcourse_request_lifecycle::LifecycleEvent;

impl Gateway {
    /// Reports an event to the process's life cycle and executes the actions that follow.
    pub(super) fn handle_process_event(&mut self, event: ProcessEvent) {
        let mut actions = Vec::new();
        self.lifecycle.handle_event(self.io.now(), event, &mut actions);
        for action in actions {
            self.execute_process_action(action);
        }
    }

    fn execute_process_action(&mut self, action: ProcessAction) {
        match action {
            ProcessAction::SetReady(ready) => tracing::info!(ready, "readiness"),
            ProcessAction::AnnounceClose => self.announce_close(),
            ProcessAction::CloseListeners => self.clients.drain_accept_queues(&mut self.io, &self.config),
            ProcessAction::ReadSettings => self.reload.start(&self.config),
            ProcessAction::ApplySettings => self.apply_settings(),
            ProcessAction::RefuseReload(reason) => self.reload.refuse(reason.to_string()),
            ProcessAction::PassListeners { peer } => self.pass_listeners(peer),
            ProcessAction::RefuseTakeover { peer, reason } => {
                if let Some(admin) = &mut self.admin {
                    admin.refuse_takeover(peer, &reason.to_string());
                }
            }
            ProcessAction::DisconnectPeer { peer } => {
                if let Some(admin) = &mut self.admin {
                    admin.disconnect(peer);
                }
            }
            // These are the quota leases; those of tasks are released by `announce_close`.
            ProcessAction::ReleaseLeases => self.io.events.push_back(Event::ShutdownStarted),
            ProcessAction::FinishRequests => self.finish_requests(),
            ProcessAction::Exit => self.exit_requested = true,
            ProcessAction::StateChanged(state) => tracing::info!(
                state = state.name(),
                requests = self.requests.count(),
                connections = self.clients.count(),
                "process state changed"
            ),
        }
    }

    /// Announces to clients that their connections will close, and ends this gateway's part in the fleet: other
    /// gateways can then hold its tasks, and a process that takes over can bind the address of the link.
    fn announce_close(&mut self) {
        self.clients.announce_close = true;
        if let Some(fleet) = &mut self.fleet {
            fleet.shut_down(&mut self.io);
        }
    }

    fn pass_listeners(&mut self, peer: u64) {
        let Some(admin) = &mut self.admin else { return };
        let monitoring = self.monitoring.as_ref().map(Monitoring::listener);
        let listeners: Vec<_> = self.clients.listeners().iter().chain(monitoring).collect();
        admin.pass_listeners(peer, &listeners);
    }

    /// Answers all open requests now: in-flight attempts end as timed out, and the decisions choose the final response.
    /// A request is rejected only if a retry is safe (`src/retry.rs`); otherwise it fails.
    fn finish_requests(&mut self) {
        self.clients.close_listeners();
        let mut rounds = FinalRounds::new(self.config.decisions.max_attempts);
        loop {
            match rounds.next(self.requests.open_ids()) {
                FinalRound::ExpireAttempts(open) => {
                    let now = self.io.now();
                    for id in open {
                        self.requests.handle_event(now, id, LifecycleEvent::DeadlineExpired);
                    }
                }
                FinalRound::ResetClients(open) => open.into_iter().for_each(|id| self.requests.abort(id)),
                FinalRound::Finished => break,
            }
            self.process_pending();
        }
        self.clients.finish_all(&mut self.io, &self.config);
    }
}
