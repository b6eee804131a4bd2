//! The counter link as a state machine: calls in, bytes out; bytes in, ends out. It decides when a call is given
//! up, when a connection is not worth keeping and how long to wait before the next one. It reads no clock.

use doorcourse::CounterOutcome;
use std::collections::VecDeque;

/// How the link behaves. Times in ms.
#[derive(Clone, Debug)]
pub struct LinkSettings {
    /// A call without an answer for this long ends as unknown.
    pub timeout: f64,
    /// The first wait before connecting again; doubled with each failure.
    pub first_wait: f64,
    /// The longest wait before connecting again.
    pub longest_wait: f64,
    /// A connection on which nothing was answered for this long, with calls out, is replaced; so is one that is not
    /// made by then.
    pub dead_after: f64,
    /// A connection without a call for this long is replaced before the counter closes it: a call written to one
    /// that just closed may have been added. Infinity where the counter keeps idle connections.
    pub idle_after: f64,
}

/// One call to the counter.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Call {
    /// The count's name.
    pub name: u64,
    /// What to add.
    pub amount: f64,
    /// How long a new name is kept, in ms.
    pub keep: f64,
}

/// How a call ended.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Ended {
    /// The total after the add.
    Total(f64),
    /// Nothing was added.
    NotAdded,
    /// It may have been added.
    Unknown,
    /// It was added; the reply does not tell the total.
    Added,
    /// A call that ended as unknown before.
    Late {
        /// Whether it was added.
        added: bool,
        /// The total after the add, where the reply tells it.
        total: Option<f64>,
    },
}

impl From<Ended> for CounterOutcome {
    /// What the decisions hear. A call that was added without a total is unknown to them; a `Late` follows.
    fn from(ended: Ended) -> Self {
        match ended {
            Ended::Total(total) => Self::Total(total),
            Ended::NotAdded => Self::NotAdded,
            Ended::Unknown | Ended::Added => Self::Unknown,
            Ended::Late { added, total } => Self::Late { added, total },
        }
    }
}

/// The reply to one call.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Reply {
    /// What it says of the call.
    pub ended: Ended,
    /// Whether nothing more is to be read from the connection.
    pub last: bool,
}

/// How calls look on the wire.
pub trait Codec {
    /// A connection is made: forgets the last one and writes what comes before calls.
    fn open(&mut self, out: &mut Vec<u8>);
    /// Writes one call.
    fn call(&mut self, call: &Call, out: &mut Vec<u8>);
    /// Whether a reply is to come before the first call's.
    fn waits(&self) -> bool;
    /// Reads on: how many bytes were consumed, and the reply that they held.
    ///
    /// # Errors
    /// When the bytes are of no meaning: the connection is of no further use.
    fn read(&mut self, input: &[u8]) -> Result<(usize, Option<Reply>), String>;
}

/// What the host is to do.
#[derive(Clone, Debug, PartialEq)]
pub enum LinkAction {
    /// Open a connection; then tell `connected` or `lost`.
    Connect,
    /// Close the connection, also one that is not made yet; no `lost` follows.
    Close,
    /// A call ended.
    End {
        /// The count's name.
        name: u64,
        /// How.
        ended: Ended,
        /// How long it took, in ms.
        latency: f64,
    },
    /// A line for the log: a change of state.
    Log(String),
}

#[derive(Debug, PartialEq)]
enum State {
    Waiting { until: f64 },
    Connecting { since: f64 },
    Ready,
}

#[derive(Debug)]
struct Out {
    call: Call,
    at: f64,
    /// Where the call ends among all bytes of the connection.
    end: u64,
    /// Whether the call was given up: its reply tells only whether it was added.
    over: bool,
}

/// The state of the link.
#[derive(Debug)]
pub struct Link<C> {
    settings: LinkSettings,
    codec: C,
    state: State,
    out: VecDeque<Out>,
    /// Bytes to write.
    pub output: Vec<u8>,
    /// Bytes of this connection before those in `output`, and how many of all are not written.
    passed: u64,
    unwritten: u64,
    input: Vec<u8>,
    wait: f64,
    /// When something was answered last, or the first of the calls now out was made.
    heard: f64,
    up: bool,
}

/// The most that a call may add: the counter turns away more.
const MOST: f64 = 1e9;

impl<C: Codec> Link<C> {
    /// A link that has never been connected.
    #[must_use]
    pub fn new(settings: LinkSettings, codec: C) -> Self {
        let (wait, state) = (settings.first_wait, State::Waiting { until: f64::NEG_INFINITY });
        let (out, output, input) = (VecDeque::new(), Vec::new(), Vec::new());
        let (passed, unwritten, heard, up) = (0, 0, 0.0, false);
        Self { settings, codec, state, out, output, passed, unwritten, input, wait, heard, up }
    }

    /// Calls out, those given up whose replies are still to come among them.
    #[must_use]
    pub fn load(&self) -> usize {
        self.out.len()
    }

    /// Whether calls can be written.
    #[must_use]
    pub fn is_ready(&self) -> bool {
        self.state == State::Ready
    }

    /// A call: written at once where there is a connection, else nothing was added. Holding it back would add
    /// to a window that may be over by then.
    pub fn call(&mut self, now: f64, call: Call, actions: &mut Vec<LinkAction>) {
        // Not a number is no amount either.
        if self.state != State::Ready || !matches!(call.amount.abs(), 0.0..=MOST) {
            let (name, ended) = (call.name, Ended::NotAdded);
            return actions.push(LinkAction::End { name, ended, latency: 0.0 });
        }
        if self.out.is_empty() {
            self.heard = now;
        }
        self.codec.call(&call, &mut self.output);
        let end = self.passed + self.output.len() as u64;
        self.out.push_back(Out { call, at: now, end, over: false });
    }

    /// The host takes the bytes to write.
    pub fn take_output(&mut self) -> Vec<u8> {
        self.passed += self.output.len() as u64;
        std::mem::take(&mut self.output)
    }

    /// How many of the bytes taken are not written yet; a call whose last byte is among them was not made.
    pub fn unwritten(&mut self, bytes: usize) {
        self.unwritten = bytes as u64;
    }

    /// Time passes: calls are given up, dead connections replaced. Answers when to come again at the latest.
    pub fn tick(&mut self, now: f64, actions: &mut Vec<LinkAction>) -> f64 {
        let timeout = self.settings.timeout;
        for out in self.out.iter_mut().filter(|o| !o.over && now >= o.at + timeout) {
            out.over = true;
            let (name, latency) = (out.call.name, now - out.at);
            actions.push(LinkAction::End { name, ended: Ended::Unknown, latency });
        }
        let asked = !self.out.is_empty() || self.codec.waits();
        let due = match self.state {
            State::Waiting { until } => until,
            State::Connecting { since } => since + self.settings.dead_after,
            State::Ready if asked => self.heard + self.settings.dead_after,
            State::Ready => self.heard + self.settings.idle_after,
        };
        if now < due {
            let first = self.out.iter().find(|o| !o.over).map_or(f64::INFINITY, |o| o.at + timeout);
            return first.min(due);
        }
        match self.state {
            State::Ready if !asked => actions.push(LinkAction::Close),
            State::Ready | State::Connecting { .. } => {
                actions.push(LinkAction::Close);
                self.lost(now, "nothing answered", actions);
                let State::Waiting { until } = self.state else { return now };
                return until;
            }
            State::Waiting { .. } => {}
        }
        self.state = State::Connecting { since: now };
        actions.push(LinkAction::Connect);
        now + self.settings.dead_after
    }

    /// The connection that was asked for is there.
    pub fn connected(&mut self, now: f64) {
        (self.state, self.heard) = (State::Ready, now);
        (self.passed, self.unwritten) = (0, 0);
        self.input.clear();
        self.output.clear();
        self.codec.open(&mut self.output);
    }

    /// The connection broke or was never made. Calls that were written whole may have been added.
    pub fn lost(&mut self, now: f64, why: &str, actions: &mut Vec<LinkAction>) {
        let written = self.passed.saturating_sub(self.unwritten);
        for out in self.out.drain(..).filter(|o| !o.over) {
            let (name, latency) = (out.call.name, now - out.at);
            let ended = if out.end > written { Ended::NotAdded } else { Ended::Unknown };
            actions.push(LinkAction::End { name, ended, latency });
        }
        self.output.clear();
        if std::mem::take(&mut self.up) || self.wait == self.settings.first_wait {
            actions.push(LinkAction::Log(format!("counter connection lost: {why}")));
        }
        self.state = State::Waiting { until: now + self.wait };
        self.wait = (self.wait * 2.0).min(self.settings.longest_wait);
    }

    /// Bytes came in.
    pub fn input(&mut self, now: f64, bytes: &[u8], actions: &mut Vec<LinkAction>) {
        if self.state != State::Ready {
            return;
        }
        self.input.extend_from_slice(bytes);
        let mut used = 0;
        let broken = loop {
            match self.codec.read(&self.input[used..]) {
                Ok((took, reply)) => {
                    used += took;
                    let Some(reply) = reply else { break None };
                    if let Some(why) = self.reply(now, reply, actions) {
                        break Some(why);
                    }
                }
                Err(why) => break Some(why),
            }
        };
        if let Some(why) = broken {
            actions.push(LinkAction::Close);
            return self.lost(now, &why, actions);
        }
        self.input.drain(..used);
    }

    /// One reply; a reason where the connection is of no further use.
    fn reply(&mut self, now: f64, reply: Reply, actions: &mut Vec<LinkAction>) -> Option<String> {
        let Some(out) = self.out.pop_front() else { return Some("a reply to no call".into()) };
        self.heard = now;
        if matches!(reply.ended, Ended::Total(_)) {
            self.wait = self.settings.first_wait;
            if !std::mem::replace(&mut self.up, true) {
                actions.push(LinkAction::Log("counter connection up".into()));
            }
        }
        let (name, latency) = (out.call.name, now - out.at);
        let mut end = |ended| actions.push(LinkAction::End { name, ended, latency });
        let word = match reply.ended {
            Ended::Total(total) => Some((true, Some(total))),
            Ended::Added => Some((true, None)),
            Ended::NotAdded => Some((false, None)),
            Ended::Unknown | Ended::Late { .. } => None,
        };
        if !out.over {
            end(if reply.ended == Ended::Added { Ended::Unknown } else { reply.ended });
        }
        if let Some((added, total)) = word.filter(|_| out.over || reply.ended == Ended::Added) {
            end(Ended::Late { added, total });
        }
        reply.last.then(|| "its last reply came".into())
    }
}

#[cfg(test)]
mod tests;
