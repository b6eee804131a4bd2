//! The counter that quota is taken from: in this process, or shared by the fleet. Each call ends once, as an event for
//! the decisions.
//!
//! | file | concern |
//! | --- | --- |
//! | `in_process` | the counter of a gateway without a shared one |
//! | `shared` | the host of the link to the shared counter, which speaks RESP |
//! | `connection` | the TCP connection to the shared counter |

mod connection;
mod in_process;
mod shared;

use crate::io::Io;
use doorcourse::{CounterOutcome, Event, Millis};
use doorcourse_config::Counter as Settings;
use doorcourse_counter::CounterCall;
use doorcourse_event_loop::Ready;
use in_process::InProcessCounter;
use shared::SharedCounter;

/// The counter that the settings name.
pub(crate) enum Counter {
    /// Without settings of a shared counter: a fleet of one gateway.
    InProcess(InProcessCounter),
    /// The counter that all gateways of the fleet share.
    Shared(Box<SharedCounter>),
}

impl Counter {
    /// The shared counter of the settings; the in-process counter where there are none.
    pub(crate) fn new(settings: Option<&Settings>) -> Self {
        match settings {
            None => Self::InProcess(InProcessCounter::default()),
            Some(settings) => Self::Shared(Box::new(SharedCounter::new(settings))),
        }
    }

    /// Makes a call, which ends as [`Event::CounterCallEnded`]: at once where the counter is in-process.
    pub(crate) fn call(&mut self, io: &mut Io, call: CounterCall) {
        match self {
            Self::InProcess(counter) => {
                let total = counter.add(io.now(), call);
                io.events.push_back(Event::CounterCallEnded {
                    counter: call.counter,
                    outcome: CounterOutcome::Total(total),
                    latency: 0.0,
                });
            }
            Self::Shared(counter) => counter.call(io, call),
        }
    }

    /// Calls that have not ended.
    pub(crate) fn calls_in_flight(&self) -> usize {
        match self {
            Self::InProcess(_) => 0,
            Self::Shared(counter) => counter.calls_in_flight(),
        }
    }

    /// Does what is due and writes pending calls. Returns when it is to be called next, in ms on the clock of [`Io::now`];
    /// infinity where nothing is due.
    pub(crate) fn handle_timeout(&mut self, io: &mut Io) -> Millis {
        match self {
            Self::InProcess(_) => f64::INFINITY,
            Self::Shared(counter) => counter.handle_timeout(io),
        }
    }

    /// The counter connection of this generation is ready; an earlier connection's readiness is ignored.
    pub(crate) fn connection_ready(&mut self, io: &mut Io, generation: u32, ready: Ready) {
        match self {
            Self::InProcess(_) => {}
            Self::Shared(counter) => counter.connection_ready(io, generation, ready),
        }
    }
}
