//! The room of the counter: in this process, or behind a link that speaks RESP. Each call ends once, as an event for the
//! decisions.

use crate::io::{Io, Token};
use doorcourse::{CounterOutcome, Event};
use doorcourse_config::Counter as Settings;
use doorcourse_counter::{CallOutcome, CounterCall, CounterLink, LinkAction, LinkSettings, RespCodec};
use doorcourse_event_loop::{Flow, Interest, Ready, Socket, connect};

use std::collections::HashMap;

/// Counts in the process: a fleet of one.
#[derive(Debug, Default)]
struct Own {
    counts: HashMap<u64, (f64, f64)>,
    swept: f64,
}

/// How often names that are over are dropped, in ms.
const SWEEP: f64 = 1000.0;

impl Own {
    /// Adds and answers the total. A name's life is set when it is new, as the shared counter does.
    fn add(&mut self, now: f64, call: CounterCall) -> f64 {
        if now >= self.swept + SWEEP {
            self.counts.retain(|_, (_, until)| *until > now);
            self.swept = now;
        }
        let entry = self.counts.entry(call.counter).or_insert((0.0, now + call.time_to_live));
        if entry.1 <= now {
            *entry = (0.0, now + call.time_to_live);
        }
        entry.0 += call.amount;
        entry.0
    }
}

struct Connection {
    socket: Socket,
    generation: u32,
    connected: bool,
    interest: Interest,
}

enum Side {
    Own(Own),
    Shared { settings: Settings, link: Box<CounterLink<RespCodec>>, connection: Option<Connection> },
}

pub(crate) struct Counter {
    side: Side,
    /// Calls that have not ended.
    pub out: usize,
}

impl Counter {
    pub fn new(settings: Option<&Settings>) -> Self {
        let side = match settings {
            None => Side::Own(Own::default()),
            Some(settings) => {
                let wanted = LinkSettings {
                    call_timeout: settings.timeout,
                    initial_backoff: settings.first_wait(),
                    max_backoff: settings.longest_wait,
                    unresponsive_timeout: settings.dead_after,
                    idle_timeout: f64::INFINITY,
                };
                let link = CounterLink::new(wanted, RespCodec::new(settings.password.clone()));
                Side::Shared { settings: settings.clone(), link: Box::new(link), connection: None }
            }
        };
        Self { side, out: 0 }
    }

    pub fn call(&mut self, io: &mut Io, call: CounterCall) {
        let now = io.now();
        self.out += 1;
        match &mut self.side {
            Side::Own(own) => {
                let (name, outcome) = (call.counter, CounterOutcome::Total(own.add(now, call)));
                self.end(io, Event::CounterCallEnded { counter: name, outcome, latency: 0.0 });
            }
            Side::Shared { link, .. } => {
                let mut actions = Vec::new();
                link.call(now, call, &mut actions);
                self.carry_out(io, actions);
            }
        }
    }

    /// What is due by now; when the next is.
    pub fn tick(&mut self, io: &mut Io) -> f64 {
        let Side::Shared { link, .. } = &mut self.side else { return f64::INFINITY };
        let mut actions = Vec::new();
        let due = link.handle_timeout(io.now(), &mut actions);
        self.carry_out(io, actions);
        self.flush(io);
        due
    }

    pub fn ready(&mut self, io: &mut Io, generation: u32, ready: Ready) {
        let now = io.now();
        let Side::Shared { link, connection, .. } = &mut self.side else { return };
        let Some(made) = connection.as_mut().filter(|c| c.generation == generation) else { return };
        let (mut actions, mut lost) = (Vec::new(), None);
        if !made.connected && (ready.write || ready.broken) {
            match made.socket.finish_connect() {
                Ok(()) => {
                    made.connected = true;
                    link.connection_opened(now);
                }
                Err(error) => lost = Some(error.to_string()),
            }
        }
        if lost.is_none() && made.connected && ready.read {
            let (_, flow) = made.socket.read();
            let input = std::mem::take(&mut made.socket.input);
            if !input.is_empty() {
                link.handle_input(now, &input, &mut actions);
            }
            if flow != Flow::Open && !actions.contains(&LinkAction::Close) {
                lost = Some("closed by the counter".into());
            }
        }
        if let Some(why) = lost {
            *connection = None;
            link.connection_lost(now, &why, &mut actions);
        }
        self.carry_out(io, actions);
        self.flush(io);
    }

    fn end(&mut self, io: &mut Io, event: Event) {
        self.out = self.out.saturating_sub(1);
        io.events.push_back(event);
    }

    fn carry_out(&mut self, io: &mut Io, actions: Vec<LinkAction>) {
        for action in actions {
            match action {
                LinkAction::Connect => self.connect(io),
                LinkAction::Close => {
                    if let Side::Shared { connection, .. } = &mut self.side {
                        *connection = None;
                    }
                }
                LinkAction::LogAvailable => {
                    tracing::info!(target: "doorcourse::counter", "counter connection up");
                }
                LinkAction::LogUnavailable { reason } => {
                    tracing::info!(target: "doorcourse::counter", reason, "counter connection lost");
                }
                LinkAction::CallEnded { counter, outcome, latency } => {
                    let event = Event::CounterCallEnded { counter, outcome: outcome.into(), latency };
                    // What is told late belongs to a call that has ended.
                    if matches!(outcome, CallOutcome::Late { .. }) {
                        io.events.push_back(event)
                    } else {
                        self.end(io, event)
                    }
                }
            }
        }
    }

    fn connect(&mut self, io: &mut Io) {
        let (generation, now) = (io.generation(), io.now());
        let Side::Shared { settings, link, connection } = &mut self.side else { return };
        let interest = Interest::BOTH;
        let made = connect(settings.address).and_then(|socket| {
            io.poller.add(&socket, Token::Counter(generation).pack(), interest)?;
            Ok(Connection { socket, generation, connected: false, interest })
        });
        match made {
            Ok(made) => *connection = Some(made),
            Err(error) => {
                let mut actions = Vec::new();
                link.connection_lost(now, &error.to_string(), &mut actions);
                self.carry_out(io, actions);
            }
        }
    }

    fn flush(&mut self, io: &mut Io) {
        let now = io.now();
        let Side::Shared { link, connection, .. } = &mut self.side else { return };
        let Some(made) = connection.as_mut().filter(|c| c.connected) else { return };
        made.socket.output().extend_from_slice(&link.take_output());
        let flow = made.socket.flush();
        link.set_unwritten_bytes(made.socket.pending());
        if flow == Flow::Broken {
            *connection = None;
            let mut actions = Vec::new();
            link.connection_lost(now, "broken while writing", &mut actions);
            return self.carry_out(io, actions);
        }
        let interest = Interest::of(true, made.socket.pending() > 0);
        if interest != made.interest {
            made.interest = interest;
            let _ = io.poller.change(&made.socket, Token::Counter(made.generation).pack(), interest);
        }
    }
}
