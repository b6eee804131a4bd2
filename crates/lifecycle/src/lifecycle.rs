//! The transitions between the states of a process.

use crate::{
    LifecycleSettings, Millis, PendingWork, ProcessAction, ProcessEvent, ProcessState, RefusalReason,
};

/// What has become of the listening sockets.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Listeners {
    /// Connections are accepted.
    Open,
    /// Closed; the last pending work was counted before the connections of their accept queues were accepted.
    ClosedUncounted,
    /// Closed, and the pending work was counted since.
    Closed,
}

/// The life cycle of one process. It reads no clock: the host passes the time with each event.
#[derive(Clone, Debug)]
pub struct ProcessLifecycle {
    settings: LifecycleSettings,
    state: ProcessState,
    listeners: Listeners,
}

impl ProcessLifecycle {
    /// The life cycle of a process that has just started.
    #[must_use]
    pub fn new(settings: LifecycleSettings) -> Self {
        Self { settings, state: ProcessState::Starting, listeners: Listeners::Open }
    }

    /// The present state.
    #[must_use]
    pub fn state(&self) -> ProcessState {
        self.state
    }

    /// Whether the process accepts new clients, as health checks report it.
    #[must_use]
    pub fn is_ready(&self) -> bool {
        matches!(self.state, ProcessState::Serving | ProcessState::HandingOver { .. })
    }

    /// Applies new settings; deadlines that are set already stay.
    pub fn update_settings(&mut self, settings: LifecycleSettings) {
        self.settings = settings;
    }

    /// The latest time at which the host has to report a `Tick`; infinite where none is needed.
    #[must_use]
    pub fn next_timeout(&self, now: Millis) -> Millis {
        match self.state {
            ProcessState::HandingOver { deadline, .. } | ProcessState::Releasing { deadline } => deadline,
            ProcessState::Draining { close_listeners_at, deadline } if close_listeners_at > now => {
                close_listeners_at.min(deadline)
            }
            ProcessState::Draining { .. } if self.listeners == Listeners::ClosedUncounted => now,
            ProcessState::Draining { deadline, .. } => deadline,
            ProcessState::Starting | ProcessState::Serving | ProcessState::Stopped => Millis::INFINITY,
        }
    }

    /// Handles an event and appends the actions that follow from it, in their order.
    pub fn handle_event(&mut self, now: Millis, event: ProcessEvent, actions: &mut Vec<ProcessAction>) {
        match event {
            ProcessEvent::Started => self.start_serving(actions),
            ProcessEvent::ReloadRequested => self.reload(ProcessAction::ReadSettings, actions),
            ProcessEvent::SettingsRead => self.reload(ProcessAction::ApplySettings, actions),
            ProcessEvent::TakeoverRequested { peer } => self.request_takeover(now, peer, actions),
            ProcessEvent::TakeoverReady { peer } if self.is_handing_over_to(peer) => {
                // The new process accepts on the same sockets: load balancers need no notice.
                self.start_draining(now, 0.0, actions);
            }
            ProcessEvent::TakeoverFailed { peer } if self.is_handing_over_to(peer) => {
                self.transition(ProcessState::Serving, actions);
            }
            ProcessEvent::TakeoverReady { .. } | ProcessEvent::TakeoverFailed { .. } => {}
            ProcessEvent::DrainRequested => self.drain(now, actions),
            ProcessEvent::TerminateSignal => self.terminate(now, actions),
            ProcessEvent::Tick(pending) => self.tick(now, pending, actions),
        }
    }

    fn is_handing_over_to(&self, wanted: u64) -> bool {
        matches!(self.state, ProcessState::HandingOver { peer, .. } if peer == wanted)
    }

    fn transition(&mut self, state: ProcessState, actions: &mut Vec<ProcessAction>) {
        self.state = state;
        actions.push(ProcessAction::StateChanged(state));
    }

    fn start_serving(&mut self, actions: &mut Vec<ProcessAction>) {
        if self.state == ProcessState::Starting {
            actions.push(ProcessAction::SetReady(true));
            self.transition(ProcessState::Serving, actions);
        }
    }

    /// A step of a reload: taken while the process serves, refused otherwise.
    fn reload(&self, step: ProcessAction, actions: &mut Vec<ProcessAction>) {
        actions.push(match self.state {
            ProcessState::Serving => step,
            state => ProcessAction::RefuseReload(RefusalReason::for_state(state)),
        });
    }

    fn request_takeover(&mut self, now: Millis, peer: u64, actions: &mut Vec<ProcessAction>) {
        if self.state == ProcessState::Serving {
            actions.push(ProcessAction::PassListeners { peer });
            let deadline = now + self.settings.takeover_timeout;
            self.transition(ProcessState::HandingOver { peer, deadline }, actions);
        } else {
            let reason = RefusalReason::for_state(self.state);
            actions.push(ProcessAction::RefuseTakeover { peer, reason });
        }
    }

    /// A drain, or the first termination signal.
    fn drain(&mut self, now: Millis, actions: &mut Vec<ProcessAction>) {
        match self.state {
            ProcessState::Starting => self.stop(actions),
            ProcessState::Serving => self.start_draining(now, self.settings.readiness_notice, actions),
            ProcessState::HandingOver { peer, .. } => {
                // An explicit drain takes precedence over a new process that is not ready, and ends the takeover: else
                // the new process would take over from one that no longer serves.
                actions.push(ProcessAction::DisconnectPeer { peer });
                self.start_draining(now, self.settings.readiness_notice, actions);
            }
            ProcessState::Draining { .. } | ProcessState::Releasing { .. } | ProcessState::Stopped => {}
        }
    }

    /// A termination signal: a drain, and on a repeated one the next step at once.
    fn terminate(&mut self, now: Millis, actions: &mut Vec<ProcessAction>) {
        match self.state {
            ProcessState::Draining { .. } => {
                self.close_listeners(actions);
                actions.push(ProcessAction::FinishRequests);
                self.start_releasing(now, actions);
            }
            ProcessState::Releasing { .. } => self.stop(actions),
            ProcessState::Starting
            | ProcessState::Serving
            | ProcessState::HandingOver { .. }
            | ProcessState::Stopped => self.drain(now, actions),
        }
    }

    fn start_draining(&mut self, now: Millis, notice: Millis, actions: &mut Vec<ProcessAction>) {
        actions.push(ProcessAction::SetReady(false));
        actions.push(ProcessAction::AnnounceClose);
        if notice <= 0.0 {
            self.close_listeners(actions);
        }
        let close_listeners_at = now + notice;
        let deadline = close_listeners_at + self.settings.drain_timeout;
        self.transition(ProcessState::Draining { close_listeners_at, deadline }, actions);
    }

    /// Closes the listeners and returns leases, once: other gateways can use the quota while the rest is answered.
    fn close_listeners(&mut self, actions: &mut Vec<ProcessAction>) {
        if self.listeners == Listeners::Open {
            self.listeners = Listeners::ClosedUncounted;
            actions.push(ProcessAction::CloseListeners);
            actions.push(ProcessAction::ReleaseLeases);
        }
    }

    fn start_releasing(&mut self, now: Millis, actions: &mut Vec<ProcessAction>) {
        let deadline = now + self.settings.release_timeout;
        self.transition(ProcessState::Releasing { deadline }, actions);
    }

    fn stop(&mut self, actions: &mut Vec<ProcessAction>) {
        self.transition(ProcessState::Stopped, actions);
        actions.push(ProcessAction::Exit);
    }

    fn tick(&mut self, now: Millis, pending: PendingWork, actions: &mut Vec<ProcessAction>) {
        match self.state {
            ProcessState::HandingOver { peer, deadline } if now >= deadline => {
                actions.push(ProcessAction::DisconnectPeer { peer });
                self.transition(ProcessState::Serving, actions);
            }
            ProcessState::Draining { close_listeners_at, deadline } => {
                if now >= close_listeners_at {
                    self.close_listeners(actions);
                }
                if now >= deadline {
                    actions.push(ProcessAction::FinishRequests);
                    self.start_releasing(now, actions);
                } else {
                    self.finish_drain(now, pending, actions);
                }
            }
            ProcessState::Releasing { deadline } if now >= deadline || is_released(pending) => {
                self.stop(actions);
            }
            ProcessState::Starting
            | ProcessState::Serving
            | ProcessState::HandingOver { .. }
            | ProcessState::Releasing { .. }
            | ProcessState::Stopped => {}
        }
    }

    /// Ends a drain before its deadline, once all is done.
    fn finish_drain(&mut self, now: Millis, pending: PendingWork, actions: &mut Vec<ProcessAction>) {
        match self.listeners {
            Listeners::Open => {}
            // Connections of the accept queue are accepted with this tick; they count from the next one on.
            Listeners::ClosedUncounted => self.listeners = Listeners::Closed,
            Listeners::Closed if is_drained(pending, self.settings.idle_period) => {
                self.start_releasing(now, actions);
            }
            Listeners::Closed => {}
        }
    }
}

/// Whether a drain may end before its deadline.
///
/// Idle connections end it after `idle_period`. Busy ones do not: they have timeouts of their own, and the deadline.
fn is_drained(pending: PendingWork, idle_period: Millis) -> bool {
    let idle = pending.connections == 0 || pending.idle_for >= idle_period;
    pending.requests == 0 && pending.busy_connections == 0 && idle
}

/// Whether nothing is left to wait for: leases are returned and final responses are read.
fn is_released(pending: PendingWork) -> bool {
    pending.counter_calls == 0 && pending.busy_connections == 0
}
