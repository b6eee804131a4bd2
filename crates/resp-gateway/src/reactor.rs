//! What the rooms need of the loop: the poller, the time of this turn, and the names of descriptors.

use doorcourse_event_loop::{Clock, Interest, Poller, Socket, Timers};

/// Whose a descriptor is. The order is that of a turn: what was told is taken in before anything new is begun.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Kind {
    Signal,
    Discovery,
    Counter,
    Backend,
    Listener,
    Client,
}

const KINDS: [Kind; 6] =
    [Kind::Signal, Kind::Discovery, Kind::Counter, Kind::Backend, Kind::Listener, Kind::Client];

/// A descriptor's name: whose it is, its place there, and a serial number, so that what is told of a descriptor that
/// was closed is not taken for one that has its place now.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Token {
    pub kind: Kind,
    pub serial: u32,
    pub at: usize,
}

const SERIALS: u32 = 1 << 24;

impl Token {
    pub fn pack(self) -> u64 {
        let serial = u64::from(self.serial % SERIALS);
        (self.kind as u64) << 56 | serial << 32 | (self.at as u64 & 0xffff_ffff)
    }

    pub fn unpack(token: u64) -> Option<Self> {
        let kind = *KINDS.get((token >> 56) as usize)?;
        Some(Self { kind, serial: (token >> 32) as u32 % SERIALS, at: (token & 0xffff_ffff) as usize })
    }
}

/// What a timer is for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Alarm {
    /// The decisions asked for it.
    Decision(u64),
    /// A request's time is up.
    TimeUp(u64),
    /// An attempt's connection should be up: the request and the number of its attempt.
    Dial(u64, u32),
    /// The time is over in which an attempt is dropped as a repeat: it must not be written any more.
    Window(u64, u32),
    /// A probe should be answered.
    Probe(u64),
}

pub(crate) struct Io {
    pub poller: Poller,
    pub clock: Clock,
    /// The time of this turn, read once.
    pub now: f64,
    pub timers: Timers<Alarm>,
    serial: u32,
}

impl Io {
    pub fn new() -> std::io::Result<Self> {
        let clock = Clock::default();
        let (poller, now) = (Poller::new()?, clock.now());
        Ok(Self { poller, clock, now, timers: Timers::default(), serial: 0 })
    }

    pub fn serial(&mut self) -> u32 {
        self.serial = (self.serial + 1) % SERIALS;
        self.serial
    }
}

/// A socket in the poller, with what it is registered for.
pub(crate) struct Watched {
    pub socket: Socket,
    pub token: Token,
    interest: Interest,
}

impl Watched {
    pub fn new(io: &Io, socket: Socket, token: Token, interest: Interest) -> std::io::Result<Self> {
        io.poller.add(&socket, token.pack(), interest)?;
        Ok(Self { socket, token, interest })
    }

    /// Changes the registration where it differs.
    pub fn want(&mut self, io: &Io, read: bool, write: bool) {
        let interest = Interest { read, write, ..self.interest };
        if interest != self.interest {
            self.interest = interest;
            // It fails only for descriptors that are gone, which nothing is told of any more.
            let _ = io.poller.change(&self.socket, self.token.pack(), interest);
        }
    }
}
