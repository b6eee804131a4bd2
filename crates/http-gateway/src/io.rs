//! What every component needs to wait for something: readiness, timers and the clock. It holds no connection.

use doorcourse::{Event, Millis, RequestId};
use doorcourse_event_loop::{Clock, Poller, Timers};
use std::collections::VecDeque;

/// What a registered descriptor belongs to. Connections carry slot and generation: a slot may be used again within one
/// poll, and the generation tells the new connection from the old one.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Token {
    /// A listener of clients, by index.
    Listener(usize),
    /// A client connection.
    Client(usize, u32),
    /// A backend connection.
    Backend(usize, u32),
    /// The connection to the shared counter.
    Counter(u32),
    /// The pipe of termination signals.
    Signal,
    /// The pipe of reloads.
    Reload,
    /// The listener of the admin socket.
    Admin,
    /// A connection of the admin socket.
    AdminConnection(usize, u32),
    /// The listener of health checks and metrics.
    MonitoringListener,
    /// A connection of health checks and metrics.
    Monitoring(usize, u32),
    /// The UDP socket to the other gateways.
    PeerLink,
    /// A connection of a task's call, or of a probe of a suspected backend.
    Fleet(usize, u32),
}

/// The bits of a generation that a token carries.
const GENERATION_MASK: u32 = 0x0fff_ffff;
/// A token's bits, from the top: 4 for its kind, 28 for the generation, 32 for the slot.
const KIND_SHIFT: u32 = 60;
const GENERATION_SHIFT: u32 = 32;
const SLOT_MASK: u64 = 0xffff_ffff;

impl Token {
    /// The token as the poller carries it.
    pub(crate) fn pack(self) -> u64 {
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
            Self::PeerLink => (11, 0, 0),
            Self::Fleet(slot, generation) => (12, slot, generation),
        };
        kind << KIND_SHIFT | u64::from(generation) << GENERATION_SHIFT | slot as u64
    }

    /// The token that [`Self::pack`] packed.
    pub(crate) fn unpack(token: u64) -> Self {
        let slot = (token & SLOT_MASK) as usize;
        let generation = (token >> GENERATION_SHIFT) as u32 & GENERATION_MASK;
        match token >> KIND_SHIFT {
            1 => Self::Listener(slot),
            2 => Self::Client(slot, generation),
            3 => Self::Backend(slot, generation),
            4 => Self::Counter(generation),
            6 => Self::Reload,
            7 => Self::Admin,
            8 => Self::AdminConnection(slot, generation),
            9 => Self::MonitoringListener,
            10 => Self::Monitoring(slot, generation),
            11 => Self::PeerLink,
            12 => Self::Fleet(slot, generation),
            _ => Self::Signal,
        }
    }
}

/// What a timer is for. Timers are not cancelled: one that is of no use any more is ignored when it fires.
#[derive(Clone, Copy, Debug)]
pub(crate) enum Timer {
    /// A timer of the decisions, by their token.
    Decision(u64),
    /// The deadline of a request.
    RequestDeadline(RequestId),
    /// The time by which a retry must be written: the request, and the number of its attempt.
    RetryDeadline(RequestId, u32),
    /// A timeout of a client connection: slot and generation.
    ClientTimeout(usize, u32),
    /// The idle timeout of a backend connection: slot and generation.
    BackendIdle(usize, u32),
    /// The endpoint list file is examined.
    EndpointListPoll,
    /// The state file is saved.
    StateFileSave,
}

/// Readiness, timers, the clock, and the events that wait for the decisions, in order.
pub(crate) struct Io {
    pub poller: Poller,
    pub timers: Timers<Timer>,
    pub clock: Clock,
    pub events: VecDeque<Event>,
    last_generation: u32,
}

impl Io {
    /// Opens the poller.
    ///
    /// # Errors
    /// The operating system has no descriptor for it.
    pub(crate) fn new() -> anyhow::Result<Self> {
        Ok(Self {
            poller: Poller::new()?,
            timers: Timers::default(),
            clock: Clock::default(),
            events: VecDeque::new(),
            last_generation: 0,
        })
    }

    /// The time now: wall time at the start of the process, plus monotonic time since.
    pub(crate) fn now(&self) -> Millis {
        self.clock.now()
    }

    /// A generation for a new connection that no recent one of its slot had.
    pub(crate) fn generation(&mut self) -> u32 {
        self.last_generation = self.last_generation.wrapping_add(1) & GENERATION_MASK;
        self.last_generation
    }
}
