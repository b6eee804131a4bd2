//! The transitions between the states of a process.

use crate::{
    LifecycleSettings, Millis, PendingWork, ProcessAction, ProcessEvent, ProcessState, RefusalReason,
};

/// The state of the listening sockets.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Listeners {
    /// Connections are accepted.
    Open,
    /// Closed. The last reported pending work does not include the connections that were accepted from the accept
    /// queues at the close.
    ClosedUncounted,
    /// Closed. The next reported pending work includes those connections.
    Closed,
}

/// The life cycle of one process. It reads no clock: the host passes the time with each event.
#[derive(Clone, Debug)]
pub struct ProcessLifecycle {
    settings: LifecycleSettings,
    state: ProcessState,
    listeners: Listeners,
    replaced: bool,
}

impl ProcessLifecycle {
    /// The life cycle of a process that has just started.
    #[must_use]
    pub fn new(settings: LifecycleSettings) -> Self {
        Self { settings, state: ProcessState::Starting, listeners: Listeners::Open, replaced: false }
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

    /// Whether a new process has taken over. The files of this gateway are then the new process's.
    #[must_use]
    pub fn is_replaced(&self) -> bool {
        self.replaced
    }

    /// Applies new settings; deadlines that are already set do not change.
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

    /// Handles an event and appends the actions that follow from it, in the order in which the host carries them out.
    pub fn handle_event(&mut self, now: Millis, event: ProcessEvent, actions: &mut Vec<ProcessAction>) {
        match event {
            ProcessEvent::Started => self.start_serving(actions),
            ProcessEvent::ReloadRequested => self.reload(ProcessAction::ReadSettings, actions),
            ProcessEvent::SettingsRead => self.reload(ProcessAction::ApplySettings, actions),
            ProcessEvent::TakeoverRequested { peer } => self.request_takeover(now, peer, actions),
            ProcessEvent::TakeoverReady { peer } if self.is_handing_over_to(peer) => {
                self.replaced = true;
                // The new process accepts connections on the same sockets, so load balancers need no notice.
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

    /// Takes a step of a reload while the process serves; refuses the reload otherwise.
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

    /// Starts a drain, for a drain request or the first termination signal.
    fn drain(&mut self, now: Millis, actions: &mut Vec<ProcessAction>) {
        match self.state {
            ProcessState::Starting => self.stop(actions),
            ProcessState::Serving => self.start_draining(now, self.settings.readiness_notice, actions),
            ProcessState::HandingOver { peer, .. } => {
                // A requested drain takes precedence over a new process that is not ready, and ends the takeover:
                // otherwise the new process would take over from a process that no longer serves.
                actions.push(ProcessAction::DisconnectPeer { peer });
                self.start_draining(now, self.settings.readiness_notice, actions);
            }
            ProcessState::Draining { .. } | ProcessState::Releasing { .. } | ProcessState::Stopped => {}
        }
    }

    /// Handles a termination signal: starts a drain, or ends the current step of a drain at once.
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

    /// Closes the listeners and returns the quota leases, only once. Other gateways can use that quota while this
    /// process completes its open requests.
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

    /// Ends a drain before its deadline if no work is pending.
    fn finish_drain(&mut self, now: Millis, pending: PendingWork, actions: &mut Vec<ProcessAction>) {
        match self.listeners {
            Listeners::Open => {}
            // With this tick the host has accepted the connections of the accept queues; the next tick counts them.
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
/// Idle connections do not delay the end of a drain beyond `idle_period`. Busy connections delay it until they are done
/// or reach their own timeouts, at most until the drain's deadline.
fn is_drained(pending: PendingWork, idle_period: Millis) -> bool {
    let idle = pending.connections == 0 || pending.idle_for >= idle_period;
    pending.requests == 0 && pending.busy_connections == 0 && idle
}

/// Whether the process may stop before its deadline: all leases are returned and the final responses are read.
fn is_released(pending: PendingWork) -> bool {
    pending.counter_calls == 0 && pending.busy_connections == 0 && !pending.releasing_task_leases
}
