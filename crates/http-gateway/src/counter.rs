//! The counter on which quota is charged: in this process, or shared by the fleet. Each call ends with exactly one
//! event for the decisions.
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
use doorcourse_config::CounterConfig as Settings;
use doorcourse_counter::CounterCall;
use doorcourse_event_loop::Ready;
use in_process::InProcessCounter;
use shared::SharedCounter;

/// The counter that the settings select.
pub(crate) enum Counter {
    /// A counter in this process, for a fleet of one gateway without a shared counter.
    InProcess(InProcessCounter),
    /// The counter that all gateways of the fleet share.
    Shared(Box<SharedCounter>),
}

impl Counter {
    /// The shared counter of the settings; the in-process counter if they have none.
    pub(crate) fn new(settings: Option<&Settings>) -> Self {
        match settings {
            None => Self::InProcess(InProcessCounter::default()),
            Some(settings) => Self::Shared(Box::new(SharedCounter::new(settings))),
        }
    }

    /// Makes a call, which ends with an [`Event::CounterCallEnded`]: at once if the counter is in-process.
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

    /// The number of calls that have not ended.
    pub(crate) fn calls_in_flight(&self) -> usize {
        match self {
            Self::InProcess(_) => 0,
            Self::Shared(counter) => counter.calls_in_flight(),
        }
    }

    /// Handles due timeouts and writes pending calls. Returns the time of the next timeout on the clock of [`Io::now`];
    /// infinity if there is none.
    pub(crate) fn handle_timeout(&mut self, io: &mut Io) -> Millis {
        match self {
            Self::InProcess(_) => f64::INFINITY,
            Self::Shared(counter) => counter.handle_timeout(io),
        }
    }

    /// Handles the readiness of the counter connection of this generation; that of an earlier connection is ignored.
    pub(crate) fn connection_ready(&mut self, io: &mut Io, generation: u32, ready: Ready) {
        match self {
            Self::InProcess(_) => {}
            Self::Shared(counter) => counter.connection_ready(io, generation, ready),
        }
    }
}
