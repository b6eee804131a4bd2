//! Hosts doorcourse gateways on the simulator's wire: translation only, no decisions.

#![forbid(unsafe_code)]
#![warn(missing_docs)]

use base64::Engine as _;
use base64::engine::general_purpose::STANDARD;
use doorcourse::{
    Action, AttemptEnd, AttemptOutcome, BackendEntry, BackendState, CounterOutcome, Event, Gateway,
    IncomingRequest, LoadReport, Millis, Name, Placement,
};
use std::collections::BTreeMap;
use std::fmt::{self, Write as _};
use std::io::{BufRead, Write};

/// What went wrong: a malformed line, or the streams themselves.
#[derive(Debug)]
pub enum HostError {
    /// A line that cannot be read, with its number.
    Line(u64, String),
    /// The input ended inside a batch.
    Ended(u64),
    /// Reading or writing failed.
    Io(std::io::Error),
}

impl fmt::Display for HostError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Line(number, what) => write!(f, "line {number}: {what}"),
            Self::Ended(number) => write!(f, "line {number}: input ended inside a batch"),
            Self::Io(error) => write!(f, "input or output: {error}"),
        }
    }
}

impl std::error::Error for HostError {}

impl From<std::io::Error> for HostError {
    fn from(error: std::io::Error) -> Self {
        Self::Io(error)
    }
}

/// The values of one line, read in order.
struct Fields<'a>(std::str::Split<'a, char>);

impl<'a> Fields<'a> {
    fn text(&mut self, what: &str) -> Result<&'a str, String> {
        self.0.next().ok_or_else(|| format!("{what} is missing"))
    }

    fn optional<T: std::str::FromStr>(&mut self, what: &str) -> Result<Option<T>, String> {
        let text = self.text(what)?;
        if text == "-" || text.is_empty() {
            return Ok(None);
        }
        text.parse().map(Some).map_err(|_| format!("{what} is not a number: {text}"))
    }

    fn number<T: std::str::FromStr>(&mut self, what: &str) -> Result<T, String> {
        self.optional(what)?.ok_or_else(|| format!("{what} is missing"))
    }

    fn millis(&mut self, what: &str) -> Result<Millis, String> {
        let value: f64 = self.number(what)?;
        if value.is_finite() { Ok(value) } else { Err(format!("{what} is not finite")) }
    }

    fn flag(&mut self, what: &str) -> Result<bool, String> {
        match self.text(what)? {
            "1" => Ok(true),
            "0" | "-" => Ok(false),
            other => Err(format!("{what} is not 0 or 1: {other}")),
        }
    }

    fn name(&mut self, what: &str) -> Result<Name, String> {
        let text = self.text(what)?;
        if text.is_empty() { Err(format!("{what} is missing")) } else { Ok(Name::from(text)) }
    }

    fn rest(&mut self) -> String {
        self.0.by_ref().collect::<Vec<_>>().join("\t")
    }
}

fn outcome(text: &str) -> Result<AttemptOutcome, String> {
    Ok(match text {
        "delivered" => AttemptOutcome::Served,
        "app_error" => AttemptOutcome::Error,
        "shed" => AttemptOutcome::Rejected,
        "expired" => AttemptOutcome::TimedOut,
        "dial_failed" => AttemptOutcome::ConnectFailed,
        "dropped" => AttemptOutcome::ConnectionLost,
        "revoked" => AttemptOutcome::Cancelled,
        "unused" => AttemptOutcome::NeverSent,
        other => return Err(format!("unknown outcome {other}")),
    })
}

fn load(text: &str) -> Result<Option<LoadReport>, String> {
    if text == "-" || text.is_empty() { Ok(None) } else { doorcourse_deployment::report(text, ':').map(Some) }
}

fn entry(line: &str) -> Result<BackendEntry, String> {
    let mut fields = Fields(line.split('\t'));
    if fields.text("message")? != "ENTRY" {
        return Err(format!("expected an ENTRY line: {line}"));
    }
    let name = fields.name("backend")?;
    let zone = Name::from(fields.text("az")?);
    fields.text("family-type")?;
    let cell = fields.number("block")?;
    let state = match fields.text("readiness")? {
        "IN" => BackendState::Ready,
        "LAME" => BackendState::Draining,
        "OUT" => BackendState::Removed,
        other => return Err(format!("unknown readiness {other}")),
    };
    fields.optional::<f64>("rating")?;
    let started = fields.optional::<f64>("born-ms")?.filter(|at| *at > 0.0);
    Ok(BackendEntry { name, zone, cell, state, started, placement: Placement::default() })
}

/// All gateways that one process hosts.
#[derive(Default)]
pub struct Host {
    gateways: BTreeMap<u64, Gateway>,
    lists: BTreeMap<u64, Vec<BackendEntry>>,
    /// Entries of the list now being read: its number and how many are still to come.
    reading: Option<(u64, usize)>,
    now: Option<Millis>,
    reply: String,
    actions: Vec<Action>,
}

impl Host {
    /// Reads batches until the input ends and answers each.
    ///
    /// # Errors
    /// On the first line that cannot be read, and when the input ends inside a batch.
    pub fn run(&mut self, input: &mut impl BufRead, output: &mut impl Write) -> Result<(), HostError> {
        let (mut bytes, mut number) = (Vec::new(), 0);
        loop {
            bytes.clear();
            if input.read_until(b'\n', &mut bytes)? == 0 {
                return if self.now.is_some() { Err(HostError::Ended(number)) } else { Ok(()) };
            }
            number += 1;
            let fault = |what: String| HostError::Line(number, what);
            let line = std::str::from_utf8(&bytes).map_err(|_| fault("not UTF-8".into()))?;
            let line = line.trim_end_matches(['\n', '\r']);
            if self.take(line).map_err(fault)? {
                self.reply.push_str("READY\n");
                output.write_all(self.reply.as_bytes())?;
                output.flush()?;
                self.reply.clear();
            }
        }
    }

    /// Takes one line; true when it ended a batch.
    fn take(&mut self, line: &str) -> Result<bool, String> {
        if let Some((list, left)) = self.reading {
            self.lists.entry(list).or_default().push(entry(line)?);
            self.reading = (left > 1).then_some((list, left - 1));
            return Ok(false);
        }
        let mut fields = Fields(line.split('\t'));
        let message = fields.text("message")?;
        let Some(now) = self.now else {
            if message != "BATCH" {
                return Err(format!("expected a BATCH line: {line}"));
            }
            self.now = Some(fields.millis("clock")?);
            return Ok(false);
        };
        match message {
            "YOUR_TURN" => {
                self.now = None;
                return Ok(true);
            }
            "TABLE" => {
                let list = fields.number("roster-id")?;
                let rows: usize = fields.number("rows")?;
                self.lists.insert(list, Vec::new());
                self.reading = (rows > 0).then_some((list, rows));
            }
            "START" => {
                let instance = fields.number("i")?;
                let seed = fields.number("init-seed")?;
                let settings = doorcourse_deployment::parse(&fields.rest())?.settings;
                let gateway = Gateway::new(settings, seed).map_err(|e| e.to_string())?;
                self.gateways.insert(instance, gateway);
            }
            "EXIT" => {
                let instance: u64 = fields.number("i")?;
                self.gateways
                    .remove(&instance)
                    .ok_or_else(|| format!("gateway {instance} was never started"))?;
            }
            _ => {
                let instance: u64 = fields.number("i")?;
                let event = self.event(message, &mut fields)?;
                let gateway = self.gateways.get_mut(&instance);
                let gateway = gateway.ok_or_else(|| format!("gateway {instance} was never started"))?;
                gateway.handle(now, event, &mut self.actions);
                for action in self.actions.drain(..) {
                    write_action(&mut self.reply, instance, &action).map_err(|e| e.to_string())?;
                }
            }
        }
        Ok(false)
    }

    fn event(&self, message: &str, fields: &mut Fields<'_>) -> Result<Event, String> {
        Ok(match message {
            "ANNOUNCE" => {
                let kind = fields.text("kind")?;
                fields.text("gen")?;
                let list = fields.optional::<u64>("roster-id")?;
                if kind == "refused" {
                    return Ok(Event::BackendListFailed);
                }
                let list = list.and_then(|n| self.lists.get(&n)).ok_or("no such list of backends")?.clone();
                match kind {
                    "changes" => Event::BackendChanges(list),
                    "all" | "remembered" => Event::BackendList(list),
                    other => return Err(format!("unknown kind of list {other}")),
                }
            }
            "ORDER" => {
                let id = fields.number("id")?;
                let customer = fields.name("account")?;
                fields.flag("write")?;
                let patience = fields.millis("patience-left-ms")?;
                let class = fields.name("band")?;
                let repeat = fields.flag("again-by-client")?;
                let first = fields.optional("base")?.unwrap_or(0);
                let spread = fields.optional("spread")?.unwrap_or(0);
                let units = fields.optional("units")?.unwrap_or(1.0);
                let plan = fields.name("package")?;
                let bound = Name::default();
                Event::RequestReceived(IncomingRequest {
                    id,
                    customer,
                    plan,
                    class,
                    units,
                    client_retry: repeat,
                    timeout: patience,
                    first_gateway: first,
                    gateway_count: spread,
                    sticky_route: bound,
                })
            }
            "UNDER_WAY" => Event::StreamStarted { id: fields.number("id")? },
            "ATTEMPT_END" => {
                let id = fields.number("id")?;
                let latency = fields.millis("latency-ms")?;
                let backend = fields.name("backend")?;
                let outcome = outcome(fields.text("rc")?)?;
                fields.optional::<f64>("seen-use")?;
                let attempt = fields.number("go")?;
                let true_units = fields.optional::<f64>("true-units")?.filter(|units| *units > 0.0);
                let finished = fields.flag("finished")?;
                let load = load(fields.text("metrics")?)?;
                Event::AttemptEnded(AttemptEnd {
                    id,
                    attempt,
                    backend,
                    outcome,
                    latency,
                    true_units,
                    final_response_sent: finished,
                    load_report: load,
                })
            }
            "GONE" => Event::ClientDisconnected { id: fields.number("id")? },
            "DUE" => Event::TimerExpired { token: fields.number("tag")? },
            "SAMPLED" => {
                let latency = fields.millis("latency-ms")?;
                let backend = fields.name("backend")?;
                let outcome = outcome(fields.text("rc")?)?;
                let load = load(fields.text("metrics")?)?;
                Event::HealthCheckEnded { backend, outcome, latency, load_report: load }
            }
            "INBOX" => {
                let from = fields.number("neighbour")?;
                let bytes = from_base64(fields.text("msg")?)?;
                Event::GossipReceived { from, bytes }
            }
            "TOTAL" => {
                let code = fields.text("rc")?;
                let name = fields.number("counter-key")?;
                let latency = fields.millis("latency-ms")?;
                let total = fields.optional::<f64>("result-value")?;
                let outcome = match (code, total) {
                    ("delivered", Some(total)) => CounterOutcome::Total(total),
                    ("delivered", None) => return Err("result-value is missing".into()),
                    ("shed" | "dial_failed", _) => CounterOutcome::NotAdded,
                    ("expired", _) => CounterOutcome::Unknown,
                    (other, _) => return Err(format!("unknown outcome {other}")),
                };
                Event::CounterCallEnded { counter: name, outcome, latency }
            }
            other => return Err(format!("unknown message {other}")),
        })
    }
}

fn write_action(reply: &mut String, i: u64, action: &Action) -> fmt::Result {
    match action {
        Action::SendAttempt { id, backend, timeout, .. } => {
            writeln!(reply, "HAND_OFF\t{i}\t{id}\t{backend}\t{:.3}", timeout.unwrap_or(0.0))
        }
        Action::Reject { id, retry_after, .. } => writeln!(reply, "SHED\t{i}\t{id}\t{retry_after:.3}"),
        Action::Fail { id } => writeln!(reply, "DROP_REQUEST\t{i}\t{id}"),
        Action::CancelAttempt { id, attempt } => writeln!(reply, "CALL_OFF\t{i}\t{id}\t{attempt}"),
        Action::SetTimer { after, token } => writeln!(reply, "NOTIFY_ME\t{i}\t{after:.3}\t{token}"),
        Action::CheckHealth { backend } => writeln!(reply, "TEST\t{i}\t{backend}"),
        Action::AddToCounter { counter: name, amount, time_to_live: keep } => {
            writeln!(reply, "CHARGE_COUNTER\t{i}\t{name}\t{amount:.6}\t{keep:.3}")
        }
        Action::Gossip { bytes } => writeln!(reply, "SHARE\t{i}\tall\t{}", STANDARD.encode(bytes)),
        Action::WatchBackends => writeln!(reply, "WATCH\t{i}\t1"),
        Action::Log(text) => writeln!(reply, "SAY_LOG\t{i}\t{}", text.replace(['\n', '\t'], " ")),
    }
}

fn from_base64(text: &str) -> Result<Vec<u8>, String> {
    if text == "-" {
        return Ok(Vec::new());
    }
    STANDARD.decode(text).map_err(|_| "msg is not base64".into())
}
