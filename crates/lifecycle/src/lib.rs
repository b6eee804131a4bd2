//! The life of a gateway process as a state machine, without I/O and without a clock: what is accepted, answered,
//! given back, and when, with deadlines. The host tells what happened and carries out what comes back.
//!
//! ```text
//! Starting --Ready--> Serving --Drain, Terminate--> Draining --all answered--> GivingBack --> Stopped
//!                       |  ^                            ^  |
//!          TakeoverAsked|  |TakeoverLost   TakeoverReady|  |second Terminate, deadline: what is left is answered
//!                       v  |                            |  v
//!                     HandingOver ----------------------+  GivingBack
//! ```

#![forbid(unsafe_code)]
#![warn(missing_docs)]

/// Times in ms.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Settings {
    /// Between "not ready" and closed listeners: who routes clients here must have time to hear of it.
    pub notice: f64,
    /// From the start of a drain, what is out has this long.
    pub drain: f64,
    /// A new process has this long to become ready.
    pub handover: f64,
    /// What is held for the counter has this long to go back, and last answers have it to be read.
    pub give_back: f64,
    /// Clients without a request are closed once none spoke for this long: closing one that is just about to
    /// speak loses its request, and it cannot know whether it ran.
    pub quiet: f64,
}

/// Where a process stands.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum State {
    /// It binds, reads its state file and waits for its first list.
    Starting,
    /// It takes requests.
    Serving,
    /// It serves on while a new process gets ready on the same sockets.
    HandingOver {
        /// The new process, by the host's number for its connection.
        peer: u64,
        /// It is given up then.
        until: f64,
    },
    /// It takes no more; what is out is answered.
    Draining {
        /// The listeners close then; already closed where this is past.
        close_at: f64,
        /// What is left is answered then.
        until: f64,
    },
    /// All is answered; blocks go back to the counter.
    GivingBack {
        /// It ends then, gone back or not.
        until: f64,
    },
    /// The process may end.
    Stopped,
}

impl State {
    /// A word for people.
    #[must_use]
    pub fn name(&self) -> &'static str {
        match self {
            Self::Starting => "starting",
            Self::Serving => "serving",
            Self::HandingOver { .. } => "handing over",
            Self::Draining { .. } => "draining",
            Self::GivingBack { .. } => "giving back",
            Self::Stopped => "stopped",
        }
    }
}

/// What is still out, as the host counts it.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Out {
    /// Requests not answered, or with an attempt out.
    pub requests: usize,
    /// Client connections.
    pub clients: usize,
    /// Of these, connections midway: in a request that has not come whole, or in an answer that is not read whole.
    pub midway: usize,
    /// Counter calls.
    pub calls: usize,
    /// How long no client has spoken, in ms.
    pub quiet: f64,
}

/// What the host tells.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Input {
    /// Listeners are bound and the first list is taken.
    Ready,
    /// Drain and end, asked for by a person; asked twice it changes nothing.
    Drain,
    /// A signal to end: the first one drains, a second one ends what is left at once.
    Terminate,
    /// Settings are to be read again.
    Reload,
    /// They were read, and are good.
    ReloadRead,
    /// A new process asks for the listening sockets.
    TakeoverAsked {
        /// Its connection.
        peer: u64,
    },
    /// The new process serves.
    TakeoverReady {
        /// Its connection.
        peer: u64,
    },
    /// The new process is gone.
    TakeoverLost {
        /// Its connection.
        peer: u64,
    },
    /// Time passed; what is still out.
    Tick(Out),
}

/// Why something asked for is not done.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Refusal {
    /// The process is not serving yet.
    Starting,
    /// It drains: new settings or a new process would serve nobody.
    Draining,
    /// Another process is taking over already.
    HandingOver,
}

impl std::fmt::Display for Refusal {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str(match self {
            Self::Starting => "the gateway is not serving yet",
            Self::Draining => "the gateway is draining",
            Self::HandingOver => "another process is taking over",
        })
    }
}

/// What the host is to do.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Output {
    /// Tell who asks whether this gateway wants new clients.
    Ready(bool),
    /// Tell clients to go with their next answer.
    ClientsGo,
    /// Let in who waits at the listeners, then close them; the next `Tick` counts who came.
    CloseListeners,
    /// Read the settings again, beside the loop; then tell `ReloadRead`.
    Reload,
    /// Take the settings that were read.
    TakeSettings,
    /// Do not: why.
    RefuseReload(Refusal),
    /// Pass the listening sockets.
    Pass {
        /// To this connection.
        peer: u64,
    },
    /// Do not: why.
    RefuseTakeover {
        /// Tell this connection.
        peer: u64,
        /// Why.
        why: Refusal,
    },
    /// Close the connection of a process that did not become ready.
    DropPeer {
        /// Which.
        peer: u64,
    },
    /// Tell the decisions that this gateway leaves: blocks go back.
    Leave,
    /// Answer all that is left by the rules: refused only what never ran.
    AnswerAll,
    /// End the process.
    End,
    /// A change of state, for the log.
    Changed(State),
}

/// The life of one process.
#[derive(Clone, Debug)]
pub struct Life {
    settings: Settings,
    state: State,
    left: bool,
    closed: bool,
    /// What is left was counted after the doors were closed: who came in last is among it.
    counted: bool,
}

impl Life {
    /// A process that has just begun.
    #[must_use]
    pub fn new(settings: Settings) -> Self {
        Self { settings, state: State::Starting, left: false, closed: false, counted: false }
    }

    /// Where it stands.
    #[must_use]
    pub fn state(&self) -> State {
        self.state
    }

    /// Whether new clients are wanted.
    #[must_use]
    pub fn wants_clients(&self) -> bool {
        matches!(self.state, State::Serving | State::HandingOver { .. })
    }

    /// New times, from a reload; what runs already keeps its deadlines.
    pub fn change(&mut self, settings: Settings) {
        self.settings = settings;
    }

    /// When `Tick` is wanted at the latest.
    #[must_use]
    pub fn due(&self, now: f64) -> f64 {
        match self.state {
            State::HandingOver { until, .. } | State::GivingBack { until } => until,
            State::Draining { close_at, until } if close_at > now => close_at.min(until),
            State::Draining { .. } if self.closed && !self.counted => now,
            State::Draining { until, .. } => until,
            State::Starting | State::Serving | State::Stopped => f64::INFINITY,
        }
    }

    fn go(&mut self, state: State, out: &mut Vec<Output>) {
        self.state = state;
        out.push(Output::Changed(state));
    }

    /// Takes what happened and appends what is to be done.
    pub fn handle(&mut self, now: f64, input: Input, out: &mut Vec<Output>) {
        match (input, self.state) {
            (Input::Ready, State::Starting) => {
                out.push(Output::Ready(true));
                self.go(State::Serving, out);
            }
            (Input::Reload, State::Serving) => out.push(Output::Reload),
            (Input::ReloadRead, State::Serving) => out.push(Output::TakeSettings),
            (Input::Reload | Input::ReloadRead, state) => out.push(Output::RefuseReload(refusal(state))),
            (Input::TakeoverAsked { peer }, State::Serving) => {
                out.push(Output::Pass { peer });
                self.go(State::HandingOver { peer, until: now + self.settings.handover }, out);
            }
            (Input::TakeoverAsked { peer }, state) => {
                out.push(Output::RefuseTakeover { peer, why: refusal(state) });
            }
            (Input::TakeoverReady { peer }, State::HandingOver { peer: known, .. }) if peer == known => {
                // The new process accepts on the same sockets: no notice is needed.
                self.drain(now, 0.0, out);
            }
            (Input::TakeoverLost { peer }, State::HandingOver { peer: known, .. }) if peer == known => {
                self.go(State::Serving, out);
            }
            (Input::Drain | Input::Terminate, State::Starting) => self.end(out),
            (Input::Drain | Input::Terminate, State::Serving) => self.drain(now, self.settings.notice, out),
            (Input::Drain | Input::Terminate, State::HandingOver { peer, .. }) => {
                // Whoever wants it to end knows better than a process that is not ready: both would be gone.
                out.push(Output::DropPeer { peer });
                self.drain(now, self.settings.notice, out);
            }
            (Input::Terminate, State::Draining { .. }) => {
                self.close(out);
                out.push(Output::AnswerAll);
                self.give_back(now, out);
            }
            (Input::Terminate, State::GivingBack { .. }) => self.end(out),
            (Input::Tick(left), state) => self.tick(now, left, state, out),
            _ => {}
        }
    }

    fn drain(&mut self, now: f64, notice: f64, out: &mut Vec<Output>) {
        out.extend([Output::Ready(false), Output::ClientsGo]);
        if notice <= 0.0 {
            self.close(out);
        }
        self.go(State::Draining { close_at: now + notice, until: now + notice + self.settings.drain }, out);
    }

    /// The listeners close, and what is held in hand goes back while the rest is answered.
    fn close(&mut self, out: &mut Vec<Output>) {
        if !std::mem::replace(&mut self.closed, true) {
            out.push(Output::CloseListeners);
        }
        if !std::mem::replace(&mut self.left, true) {
            out.push(Output::Leave);
        }
    }

    fn give_back(&mut self, now: f64, out: &mut Vec<Output>) {
        self.go(State::GivingBack { until: now + self.settings.give_back }, out);
    }

    fn end(&mut self, out: &mut Vec<Output>) {
        self.go(State::Stopped, out);
        out.push(Output::End);
    }

    fn tick(&mut self, now: f64, left: Out, state: State, out: &mut Vec<Output>) {
        match state {
            State::HandingOver { peer, until } if now >= until => {
                out.push(Output::DropPeer { peer });
                self.go(State::Serving, out);
            }
            State::Draining { close_at, until } => {
                if now >= close_at {
                    self.close(out);
                }
                if now >= until {
                    out.push(Output::AnswerAll);
                    self.give_back(now, out);
                } else if !std::mem::replace(&mut self.counted, self.closed) {
                    // The doors close with this tick: who waits there is let in, and counts from the next one on.
                } else if left.requests == 0
                    && left.midway == 0
                    && (left.clients == 0 || left.quiet >= self.settings.quiet)
                {
                    // Being quiet ends who rests. Who is midway has limits of his own, and the deadline.
                    self.give_back(now, out);
                }
            }
            State::GivingBack { until } if now >= until || (left.calls == 0 && left.midway == 0) => {
                self.end(out)
            }
            _ => {}
        }
    }
}

fn refusal(state: State) -> Refusal {
    match state {
        State::Starting => Refusal::Starting,
        State::HandingOver { .. } => Refusal::HandingOver,
        _ => Refusal::Draining,
    }
}
