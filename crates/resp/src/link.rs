//! The counter link as a state machine: calls in, bytes out; bytes in, ends out. It decides when a call is given
//! up, when a connection is not worth keeping and how long to wait before the next one. It reads no clock.

use crate::value::{Value, command, decode};
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
    /// A connection on which nothing was answered for this long, with calls out, is replaced.
    pub dead_after: f64,
    /// The password for AUTH, where one is needed.
    pub password: Option<String>,
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
}

/// What the host is to do.
#[derive(Clone, Debug, PartialEq)]
pub enum LinkAction {
    /// Open a connection; then tell `connected` or `lost`.
    Connect,
    /// Close the connection; no `lost` follows.
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
    Waiting {
        until: f64,
    },
    Connecting,
    /// AUTH was sent; calls may be behind it.
    Ready,
}

#[derive(Debug)]
struct Out {
    call: Call,
    at: f64,
    /// Whether the call's end was told: its reply is dropped then.
    over: bool,
}

/// The state of the link.
#[derive(Debug)]
pub struct Link {
    settings: LinkSettings,
    state: State,
    out: VecDeque<Out>,
    /// Replies to come before the first call's: AUTH.
    greeting: u32,
    /// Replies of the first call's transaction so far.
    step: u32,
    /// Bytes to write.
    pub output: Vec<u8>,
    input: Vec<u8>,
    wait: f64,
    heard: f64,
    up: bool,
}

const REPLIES: u32 = 4;

impl Link {
    /// A link that has never been connected.
    #[must_use]
    pub fn new(settings: LinkSettings) -> Self {
        let (wait, state) = (settings.first_wait, State::Waiting { until: f64::NEG_INFINITY });
        let (out, output, input) = (VecDeque::new(), Vec::new(), Vec::new());
        Self { settings, state, out, greeting: 0, step: 0, output, input, wait, heard: 0.0, up: false }
    }

    /// A call: written at once where there is a connection, else nothing was added. Holding it back would add
    /// to a window that may be over by then.
    pub fn call(&mut self, now: f64, call: Call, actions: &mut Vec<LinkAction>) {
        if self.state != State::Ready || !call.amount.is_finite() {
            let (name, ended) = (call.name, Ended::NotAdded);
            return actions.push(LinkAction::End { name, ended, latency: 0.0 });
        }
        if self.out.is_empty() {
            self.heard = now;
        }
        let (name, amount) = (format!("doorcourse:{:x}", call.name), call.amount.to_string());
        let keep = (call.keep.ceil().max(1.0) as u64).to_string();
        // The expiry is set only where there is none (NX): a window's name must not live on by being used.
        command(&mut self.output, &["MULTI"]);
        command(&mut self.output, &["INCRBYFLOAT", &name, &amount]);
        command(&mut self.output, &["PEXPIRE", &name, &keep, "NX"]);
        command(&mut self.output, &["EXEC"]);
        self.out.push_back(Out { call, at: now, over: false });
    }

    /// Time passes: calls are given up, dead connections replaced. Answers when to come again at the latest.
    pub fn tick(&mut self, now: f64, actions: &mut Vec<LinkAction>) -> f64 {
        let timeout = self.settings.timeout;
        for out in self.out.iter_mut().filter(|o| !o.over && now >= o.at + timeout) {
            out.over = true;
            let (name, latency) = (out.call.name, now - out.at);
            actions.push(LinkAction::End { name, ended: Ended::Unknown, latency });
        }
        let dead = !self.out.is_empty() || self.greeting > 0;
        if self.state == State::Ready && dead && now >= self.heard + self.settings.dead_after {
            actions.push(LinkAction::Close);
            self.lost(now, "nothing answered", actions);
        }
        match self.state {
            State::Waiting { until } if now >= until => {
                self.state = State::Connecting;
                actions.push(LinkAction::Connect);
                now + self.settings.dead_after
            }
            State::Waiting { until } => until,
            _ => {
                let first = self.out.iter().find(|o| !o.over).map_or(f64::INFINITY, |o| o.at + timeout);
                first.min(if dead { self.heard + self.settings.dead_after } else { f64::INFINITY })
            }
        }
    }

    /// The connection that was asked for is there.
    pub fn connected(&mut self, now: f64) {
        (self.state, self.heard, self.step) = (State::Ready, now, 0);
        self.input.clear();
        self.output.clear();
        self.greeting = 0;
        if let Some(password) = &self.settings.password {
            command(&mut self.output, &["AUTH", password]);
            self.greeting = 1;
        }
    }

    /// The connection broke or was never made. Calls out may have been added.
    pub fn lost(&mut self, now: f64, why: &str, actions: &mut Vec<LinkAction>) {
        for out in self.out.drain(..).filter(|o| !o.over) {
            let (name, latency) = (out.call.name, now - out.at);
            actions.push(LinkAction::End { name, ended: Ended::Unknown, latency });
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
        self.heard = now;
        let mut used = 0;
        loop {
            let broken = match decode(&self.input[used..]) {
                Ok(Some((value, took))) => {
                    used += took;
                    self.reply(now, value, actions)
                }
                Ok(None) => break,
                Err(error) => Some(error.to_string()),
            };
            if let Some(why) = broken {
                actions.push(LinkAction::Close);
                return self.lost(now, &why, actions);
            }
        }
        self.input.drain(..used);
    }

    /// One reply; a reason where the connection is of no further use.
    fn reply(&mut self, now: f64, value: Value, actions: &mut Vec<LinkAction>) -> Option<String> {
        if self.greeting > 0 {
            self.greeting -= 1;
            return match value {
                Value::Error(error) => Some(format!("authentication refused: {error}")),
                _ => None,
            };
        }
        if self.out.is_empty() {
            return Some("a reply to no call".into());
        }
        self.step += 1;
        if self.step < REPLIES {
            // An error here shows again in the transaction's own reply (EXECABORT).
            return None;
        }
        self.step = 0;
        let out = self.out.pop_front()?;
        let total = match &value {
            Value::Array(values) => values.first().and_then(Value::number),
            _ => None,
        };
        if total.is_some() {
            self.wait = self.settings.first_wait;
            if !std::mem::replace(&mut self.up, true) {
                actions.push(LinkAction::Log("counter connection up".into()));
            }
        }
        if !out.over {
            let ended = match (total, &value) {
                (Some(total), _) => Ended::Total(total),
                // The transaction was refused whole: nothing of it ran.
                (None, Value::Error(_) | Value::Null) => Ended::NotAdded,
                (None, Value::Array(v)) if matches!(v.first(), Some(Value::Error(_))) => Ended::NotAdded,
                _ => Ended::Unknown,
            };
            actions.push(LinkAction::End { name: out.call.name, ended, latency: now - out.at });
        }
        None
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn settings() -> LinkSettings {
        let (timeout, first_wait, longest_wait, dead_after) = (50.0, 100.0, 1000.0, 500.0);
        LinkSettings { timeout, first_wait, longest_wait, dead_after, password: None }
    }

    fn ready() -> Link {
        let mut link = Link::new(settings());
        let mut actions = Vec::new();
        link.tick(0.0, &mut actions);
        assert_eq!(actions, [LinkAction::Connect]);
        link.connected(0.0);
        link
    }

    fn ends(actions: &[LinkAction]) -> Vec<(u64, Ended)> {
        let one = |a: &LinkAction| match a {
            LinkAction::End { name, ended, .. } => Some((*name, *ended)),
            _ => None,
        };
        actions.iter().filter_map(one).collect()
    }

    const REPLY: &[u8] = b"+OK\r\n+QUEUED\r\n+QUEUED\r\n*2\r\n$3\r\n7.5\r\n:1\r\n";

    fn call(name: u64) -> Call {
        Call { name, amount: 2.5, keep: 1000.0 }
    }

    #[test]
    fn each_call_ends_once_in_order() {
        let (mut link, mut actions) = (ready(), Vec::new());
        link.call(0.0, call(1), &mut actions);
        link.call(1.0, call(2), &mut actions);
        for byte in [REPLY, REPLY].concat() {
            link.input(2.0, &[byte], &mut actions);
        }
        assert_eq!(ends(&actions), [(1, Ended::Total(7.5)), (2, Ended::Total(7.5))]);
    }

    #[test]
    fn a_late_total_is_dropped_and_the_next_call_has_its_own() {
        let (mut link, mut actions) = (ready(), Vec::new());
        link.call(0.0, call(1), &mut actions);
        link.tick(50.0, &mut actions);
        link.call(60.0, call(2), &mut actions);
        link.input(61.0, &[REPLY, REPLY].concat(), &mut actions);
        assert_eq!(ends(&actions), [(1, Ended::Unknown), (2, Ended::Total(7.5))]);
    }

    #[test]
    fn a_silent_connection_is_replaced_after_growing_waits() {
        let (mut link, mut actions) = (ready(), Vec::new());
        link.call(0.0, call(1), &mut actions);
        link.tick(499.0, &mut actions);
        assert!(!actions.contains(&LinkAction::Close));
        assert_eq!(link.tick(500.0, &mut actions), 600.0);
        assert!(actions.contains(&LinkAction::Close));
        assert_eq!(ends(&actions), [(1, Ended::Unknown)]);
        link.tick(600.0, &mut actions);
        link.lost(600.0, "refused", &mut actions);
        assert_eq!(link.tick(601.0, &mut actions), 800.0);
        actions.clear();
        link.call(602.0, call(2), &mut actions);
        assert_eq!(ends(&actions), [(2, Ended::NotAdded)]);
    }

    #[test]
    fn a_refused_transaction_adds_nothing_and_a_broken_one_may_have() {
        let (mut link, mut actions) = (ready(), Vec::new());
        link.call(0.0, call(1), &mut actions);
        let refused = b"+OK\r\n-ERR no\r\n+QUEUED\r\n-EXECABORT discarded\r\n";
        link.input(1.0, refused, &mut actions);
        link.call(2.0, call(2), &mut actions);
        link.lost(3.0, "reset", &mut actions);
        assert_eq!(ends(&actions), [(1, Ended::NotAdded), (2, Ended::Unknown)]);
    }

    #[test]
    fn junk_closes_the_connection_once() {
        let (mut link, mut actions) = (ready(), Vec::new());
        link.call(0.0, call(1), &mut actions);
        link.input(1.0, b"HTTP/1.1 400\r\n", &mut actions);
        link.input(1.0, REPLY, &mut actions);
        assert_eq!(actions.iter().filter(|a| **a == LinkAction::Close).count(), 1);
        assert_eq!(ends(&actions), [(1, Ended::Unknown)]);
    }

    #[test]
    fn a_refused_password_is_no_connection() {
        let mut link = Link::new(LinkSettings { password: Some("x".into()), ..settings() });
        let mut actions = Vec::new();
        link.tick(0.0, &mut actions);
        link.connected(0.0);
        link.call(0.0, call(1), &mut actions);
        link.input(1.0, b"-WRONGPASS\r\n", &mut actions);
        assert!(actions.contains(&LinkAction::Close));
        assert_eq!(ends(&actions), [(1, Ended::Unknown)]);
    }
}
