//! What every room of the gateway needs to wait for something: readiness, timers, the clock. It holds no connection.

use doorcourse::{Event, RequestId};
use doorcourse_event_loop::{Clock, Poller, Timers};
use std::collections::VecDeque;

/// What a registration belongs to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Token {
    Listener(usize),
    Client(usize, u32),
    Backend(usize, u32),
    Counter(u32),
    Signal,
    Reload,
    Admin,
    AdminConnection(usize, u32),
    MonitoringListener,
    Monitoring(usize, u32),
    Link,
    Call(usize, u32),
}

/// The bits of a generation that a token carries.
const GENERATION: u32 = 0x0fff_ffff;

impl Token {
    /// Slots are used again within one round of readiness; the generation tells the old from the new.
    pub fn pack(self) -> u64 {
        let (kind, slot, generation) = match self {
            Self::Listener(slot) => (1, slot, 0),
            Self::Client(slot, generation) => (2, slot, generation),
            Self::Backend(slot, generation) => (3, slot, generation),
            Self::Counter(generation) => (4, 0, generation),
            Self::Signal => (5, 0, 0),
            Self::Reload => (6, 0, 0),
            Self::Admin => (7, 0, 0),
            Self::AdminConnection(slot, generation) => (8, slot, generation),
            Self::MonitoringListener => (9, 0, 0),
            Self::Monitoring(slot, generation) => (10, slot, generation),
            Self::Link => (11, 0, 0),
            Self::Call(slot, generation) => (12, slot, generation),
        };
        kind << 60 | u64::from(generation) << 32 | slot as u64
    }

    pub fn unpack(token: u64) -> Self {
        let (slot, generation) = ((token & 0xffff_ffff) as usize, (token >> 32) as u32 & GENERATION);
        match token >> 60 {
            1 => Self::Listener(slot),
            2 => Self::Client(slot, generation),
            3 => Self::Backend(slot, generation),
            4 => Self::Counter(generation),
            6 => Self::Reload,
            7 => Self::Admin,
            8 => Self::AdminConnection(slot, generation),
            9 => Self::MonitoringListener,
            10 => Self::Monitoring(slot, generation),
            11 => Self::Link,
            12 => Self::Call(slot, generation),
            _ => Self::Signal,
        }
    }
}

#[derive(Clone, Copy, Debug)]
pub(crate) enum Timer {
    Decision(u64),
    RequestDeadline(RequestId),
    /// The time is over in which an attempt is dropped as a repeat: the request and the number of its attempt.
    RetryDeadline(u64, u32),
    ClientTimeout(usize, u32),
    BackendIdle(usize, u32),
    EndpointListPoll,
    StateFileSave,
}

/// Readiness, timers, the clock, and the events on their way to the decisions, in their order.
pub(crate) struct Io {
    pub poller: Poller,
    pub timers: Timers<Timer>,
    pub clock: Clock,
    pub events: VecDeque<Event>,
    generation: u32,
}

impl Io {
    pub fn new() -> anyhow::Result<Self> {
        let (poller, clock) = (Poller::new()?, Clock::default());
        Ok(Self { poller, timers: Timers::default(), clock, events: VecDeque::new(), generation: 0 })
    }

    pub fn now(&self) -> f64 {
        self.clock.now()
    }

    /// A number for a new connection that no recent one of its slot had.
    pub fn generation(&mut self) -> u32 {
        self.generation = self.generation.wrapping_add(1) & GENERATION;
        self.generation
    }
}
