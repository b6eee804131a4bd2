//! Dispatch of readiness and timers to the components.

use super::Gateway;
use crate::io::{Timer, Token};
use doorcourse::Event;
use doorcourse_event_loop::Ready;
use doorcourse_fail_points::rule_disabled;
use doorcourse_graceful_shutdown::needs_repoll;
use doorcourse_lifecycle::ProcessEvent;
use doorcourse_request_lifecycle::LifecycleEvent;
use std::time::Duration;

impl Gateway {
    /// Handles what a poll reported: disconnected clients, then due timers, then the rest in the order of the poll.
    pub(super) fn handle_ready(&mut self, ready: &mut Vec<Ready>) -> anyhow::Result<()> {
        ready.sort_by_key(|r| !is_client_disconnect(r));
        let disconnected = ready.iter().take_while(|r| is_client_disconnect(r)).count();
        for (index, ready) in ready.drain(..).enumerate() {
            if index == disconnected {
                self.fire_timers()?;
            }
            self.poll_disconnects_if_stalled()?;
            self.handle_readiness(ready);
            self.process_pending();
        }
        Ok(())
    }

    /// Fires the timers that are due, and processes the resulting messages after each.
    pub(super) fn fire_timers(&mut self) -> anyhow::Result<()> {
        while let Some(timer) = self.io.timers.pop_expired(self.io.now()) {
            self.poll_disconnects_if_stalled()?;
            self.handle_timer(timer);
            self.process_pending();
        }
        Ok(())
    }

    /// Polls again if the iteration has stalled since the last poll (on a disk, or because the process was stopped), so
    /// that clients that disconnected meanwhile are handled before the iteration starts anything for them.
    fn poll_disconnects_if_stalled(&mut self) -> anyhow::Result<()> {
        if !needs_repoll(self.io.now() - self.last_poll_at) || rule_disabled("re-poll-stalled-iteration") {
            return Ok(());
        }
        self.last_poll_at = self.io.now();
        let mut ready = Vec::new();
        self.io.poller.wait(Some(Duration::ZERO), &mut ready)?;
        for ready in ready.into_iter().filter(is_client_disconnect) {
            self.handle_readiness(ready);
            self.process_pending();
        }
        Ok(())
    }

    fn handle_readiness(&mut self, ready: Ready) {
        match Token::unpack(ready.token) {
            Token::Listener(index) => drop(self.clients.accept(&mut self.io, &self.config, index)),
            Token::Client(slot, generation) => {
                self.clients.handle_readiness(&mut self.io, &self.config, slot, generation, ready);
            }
            Token::Backend(slot, generation) => {
                self.backends.handle_readiness(slot, generation, ready);
                self.process_attempt_events(slot, generation);
            }
            Token::PeerLink | Token::Fleet(..) => self.handle_fleet_readiness(ready),
            Token::Counter(generation) => self.counter.connection_ready(&mut self.io, generation, ready),
            Token::Signal => self.handle_signals(),
            Token::Reload => self.handle_reload_readiness(),
            Token::MonitoringListener | Token::Monitoring(..) => self.handle_monitoring_readiness(ready),
            Token::Admin | Token::AdminConnection(..) => self.handle_admin_readiness(ready),
        }
    }

    fn handle_fleet_readiness(&mut self, ready: Ready) {
        let Some(fleet) = &mut self.fleet else { return };
        match Token::unpack(ready.token) {
            Token::Fleet(slot, generation) => fleet.connection_ready(&mut self.io, slot, generation, ready),
            _ => fleet.link_ready(&mut self.io),
        }
    }

    fn handle_monitoring_readiness(&mut self, ready: Ready) {
        let Some(monitoring) = &mut self.monitoring else { return };
        match Token::unpack(ready.token) {
            Token::Monitoring(slot, generation) => {
                monitoring.handle_readiness(&self.io, slot, generation, ready);
            }
            _ => monitoring.accept(&mut self.io),
        }
    }

    fn handle_admin_readiness(&mut self, ready: Ready) {
        let Some(admin) = &mut self.admin else { return };
        match Token::unpack(ready.token) {
            Token::AdminConnection(slot, generation) => admin.handle_readiness(slot, generation),
            _ => admin.accept(&mut self.io),
        }
    }

    fn handle_signals(&mut self) {
        while let Some(signals) = self.signals.receive() {
            for _ in 0..signals {
                self.handle_process_event(ProcessEvent::TerminateSignal);
            }
        }
    }

    fn handle_reload_readiness(&mut self) {
        let events = self.reload.handle_readiness(&self.config);
        if events.requested {
            self.handle_process_event(ProcessEvent::ReloadRequested);
        }
        if events.settings_read {
            self.handle_process_event(ProcessEvent::SettingsRead);
            self.reload.restart_if_requested(&self.config);
        }
    }

    fn handle_timer(&mut self, timer: Timer) {
        match timer {
            Timer::Decision(token) => self.io.events.push_back(Event::TimerExpired { token }),
            Timer::RequestDeadline(id) => {
                self.requests.handle_event(self.io.now(), id, LifecycleEvent::DeadlineExpired);
            }
            Timer::RetryDeadline(id, attempt) => {
                self.requests.handle_retry_deadline(self.io.now(), id, attempt);
            }
            Timer::ClientTimeout(slot, generation) => {
                self.clients.handle_timeout(&mut self.io, &self.config, slot, generation);
            }
            Timer::BackendIdle(slot, generation) => {
                self.backends.handle_idle_timeout(&self.io, slot, generation);
            }
            Timer::EndpointListPoll => {
                if let Err(error) = self.poll_endpoint_list() {
                    tracing::error!(%error, "node list not taken, the last one holds");
                }
            }
            Timer::StateFileSave => self.save_state(),
        }
    }
}

fn is_client_disconnect(ready: &Ready) -> bool {
    ready.peer_closed && matches!(Token::unpack(ready.token), Token::Client(..))
}
