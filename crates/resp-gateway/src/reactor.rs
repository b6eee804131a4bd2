//! The parts of the event loop that every component uses: poller, clock, timers, descriptor tokens and the budget of
//! buffers.

use doorcourse::{Millis, RequestId};
use doorcourse_connection_limits::BufferBudget;
use doorcourse_event_loop::{Clock, Interest, Poller, Socket, Timers};

/// Which component owns a descriptor. An iteration handles descriptors in this order: responses and changes are
/// processed before new requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum TokenKind {
    Signal,
    Discovery,
    Counter,
    Backend,
    Listener,
    Client,
}

const TOKEN_KINDS: [TokenKind; 6] = [
    TokenKind::Signal,
    TokenKind::Discovery,
    TokenKind::Counter,
    TokenKind::Backend,
    TokenKind::Listener,
    TokenKind::Client,
];

/// Serial numbers are below this: they fit into 24 bits of a packed token.
const SERIAL_COUNT: u32 = 1 << 24;

/// Identifies a descriptor in the poller. The serial number distinguishes it from a closed descriptor that had the same
/// index, whose events may still be reported.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Token {
    pub kind: TokenKind,
    pub serial: u32,
    /// Index in the table of the component that owns the descriptor.
    pub index: usize,
}

impl Token {
    /// Packs the token: kind in bits 56 to 63, serial in 32 to 55, index in 0 to 31.
    pub(crate) fn pack(self) -> u64 {
        let serial = u64::from(self.serial % SERIAL_COUNT);
        (self.kind as u64) << 56 | serial << 32 | (self.index as u64 & 0xffff_ffff)
    }

    pub(crate) fn unpack(token: u64) -> Option<Self> {
        Some(Self {
            kind: Self::kind_of(token)?,
            serial: (token >> 32) as u32 % SERIAL_COUNT,
            index: (token & 0xffff_ffff) as usize,
        })
    }

    /// The kind of a packed token.
    pub(crate) fn kind_of(token: u64) -> Option<TokenKind> {
        TOKEN_KINDS.get((token >> 56) as usize).copied()
    }
}

/// The purpose of a timer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Timer {
    /// Set by the decision library.
    Decision { token: u64 },
    /// The request's deadline.
    RequestDeadline { request: RequestId },
    /// The attempt must have a connection by then.
    ConnectTimeout { request: RequestId, attempt: u32 },
    /// The attempt must not be written after this: the deduplication window, in which backends drop a duplicate, ends.
    WriteDeadline { request: RequestId, attempt: u32 },
    /// The health check fails unless it has a reply by then.
    HealthCheckTimeout { check: RequestId },
}

/// The poller, the clock, the timers, the serial numbers of descriptors and the budget of buffers.
pub(crate) struct Reactor {
    pub poller: Poller,
    pub clock: Clock,
    /// The time of this iteration, read once.
    pub now: Millis,
    pub timers: Timers<Timer>,
    pub buffers: BufferBudget,
    last_serial: u32,
}

impl Reactor {
    pub(crate) fn new(buffers: BufferBudget) -> std::io::Result<Self> {
        let clock = Clock::default();
        let poller = Poller::new()?;
        let now = clock.now();
        Ok(Self { poller, clock, now, timers: Timers::default(), buffers, last_serial: 0 })
    }

    /// Returns the serial number for a descriptor that is about to be registered.
    pub(crate) fn next_serial(&mut self) -> u32 {
        self.last_serial = (self.last_serial + 1) % SERIAL_COUNT;
        self.last_serial
    }
}

/// A socket that is registered with the poller.
pub(crate) struct RegisteredSocket {
    pub socket: Socket,
    pub token: Token,
    interest: Interest,
}

impl RegisteredSocket {
    pub(crate) fn new(
        reactor: &Reactor, socket: Socket, token: Token, interest: Interest,
    ) -> std::io::Result<Self> {
        reactor.poller.add(&socket, token.pack(), interest)?;
        Ok(Self { socket, token, interest })
    }

    /// Changes which readiness is reported, if that differs from the registration.
    pub(crate) fn set_interest(&mut self, reactor: &Reactor, read: bool, write: bool) {
        let interest = Interest { read, write, ..self.interest };
        if interest != self.interest {
            self.interest = interest;
            // Fails only for a closed descriptor, which reports nothing.
            let _ = reactor.poller.change(&self.socket, self.token.pack(), interest);
        }
    }
}
