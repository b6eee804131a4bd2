//! The resources of the event loop that all components share: poller, timers, clock and the queue of events for the
//! decisions. Connections belong to the components.

use doorcourse::{Event, Millis, RequestId};
use doorcourse_event_loop::{Clock, Poller, Timers};
use std::collections::VecDeque;

/// The owner of a registered descriptor. Tokens of connections contain slot and generation: a slot may be reused while
/// the events of one poll are handled, and the generation distinguishes the new connection from the old one.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Token {
    /// A listener for clients, by index.
    Listener(usize),
    /// A client connection.
    Client(usize, u32),
    /// A backend connection.
    Backend(usize, u32),
    /// The connection to the shared counter.
    Counter(u32),
    /// The socket pair of termination signals.
    Signal,
    /// The socket pair of reloads.
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
    /// An HTTP connection for the call of a task or for the probe of a suspected node.
    Fleet(usize, u32),
}

/// The bits of a generation that fit into a token.
const GENERATION_MASK: u32 = 0x0fff_ffff;
/// The layout of a packed token, from the highest bit: 4 bits kind, 28 bits generation, 32 bits slot.
const KIND_SHIFT: u32 = 60;
const GENERATION_SHIFT: u32 = 32;
const SLOT_MASK: u64 = 0xffff_ffff;

impl Token {
    /// The token as the number that the poller stores.
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

    /// The token of a number from [`Self::pack`].
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

/// The purpose of a timer. Timers are not cancelled: one that is no longer needed is ignored when it fires.
#[derive(Clone, Copy, Debug)]
pub(crate) enum Timer {
    /// A timer of the decisions, with their token.
    Decision(u64),
    /// The deadline of a request.
    RequestDeadline(RequestId),
    /// The time by which a retry must be written: the request, and the number of its attempt.
    RetryDeadline(RequestId, u32),
    /// A timeout of a client connection: slot and generation.
    ClientTimeout(usize, u32),
    /// The idle timeout of a backend connection: slot and generation.
    BackendIdle(usize, u32),
    /// The next check of the endpoint list file.
    EndpointListPoll,
    /// The next save of the state file.
    StateFileSave,
}

/// The shared resources of the event loop: poller, timers, clock, and the pending events for the decisions, in order.
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
    /// When the system has no descriptor left.
    pub(crate) fn new() -> anyhow::Result<Self> {
        Ok(Self {
            poller: Poller::new()?,
            timers: Timers::default(),
            clock: Clock::default(),
            events: VecDeque::new(),
            last_generation: 0,
        })
    }

    /// The current time: wall time at the start of the process, plus monotonic time since.
    pub(crate) fn now(&self) -> Millis {
        self.clock.now()
    }

    /// A generation for a new connection. It differs from those of all recent connections.
    pub(crate) fn generation(&mut self) -> u32 {
        self.last_generation = self.last_generation.wrapping_add(1) & GENERATION_MASK;
        self.last_generation
    }
}
