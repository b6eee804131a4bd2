//! What a client asks: a command's words checked against the settings and the protocol, and the same command as it goes
//! to a backend.

use doorcourse::{Idempotency, Millis, Name};
use doorcourse_deployment::Site;
use std::io::Write;
use std::ops::Range;

/// Whatever customer numbers may not reach.
const CUSTOMERS: u64 = 1 << 33;
/// The longest key in bytes.
const KEY: usize = 64;

/// A command whose framing is good and whose content is not: answered with an error, and the connection goes on.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Wrong {
    /// No such command.
    #[error("unknown command")]
    Command,
    /// Too few or too many words.
    #[error("wrong number of arguments")]
    Words,
    /// The customer is not 16 hex digits of a number below 2^33.
    #[error("invalid customer")]
    Customer,
    /// The id is not 16 hex digits.
    #[error("invalid request id")]
    Id,
    /// The list of names and values cannot be read.
    #[error("invalid list of fields")]
    Fields,
    /// No such class, or the class belongs to the other command.
    #[error("unknown class for this command")]
    Class,
    /// No such plan.
    #[error("unknown plan")]
    Plan,
    /// The units are missing or out of range.
    #[error("invalid units")]
    Units,
    /// The customer's set is missing or out of range.
    #[error("invalid set of gateways")]
    Set,
    /// The time for the answer is missing or not a number of milliseconds.
    #[error("invalid deadline")]
    Deadline,
    /// A keyed class without a key, or a key elsewhere.
    #[error("invalid key")]
    Key,
    /// A request with this id is open.
    #[error("a request with this id is open")]
    Open,
}

/// A request as it goes to a backend: all as it came, but for the time, which is what is left.
#[derive(Clone, Debug, PartialEq)]
pub struct Passed {
    head: Box<[u8]>,
    before: Box<str>,
    after: Box<str>,
    body: Option<Box<[u8]>>,
}

impl Passed {
    /// Appends the command with the time that is left for its answer.
    pub fn encode(&self, left: Millis, out: &mut Vec<u8>) {
        let mut digits = [0; 12];
        let mut room = &mut digits[..];
        let _ = write!(room, "{}", left.clamp(1.0, 1e9) as u64);
        let unused = room.len();
        let digits = &digits[..12 - unused];
        let words = 4 + usize::from(self.body.is_some());
        let list = self.before.len() + digits.len() + self.after.len();
        let _ = write!(out, "*{words}\r\n");
        out.extend_from_slice(&self.head);
        let _ = write!(out, "${list}\r\n{}", self.before);
        out.extend_from_slice(digits);
        let _ = write!(out, "{}\r\n", self.after);
        if let Some(body) = &self.body {
            let _ = write!(out, "${}\r\n", body.len());
            out.extend_from_slice(body);
            out.extend_from_slice(b"\r\n");
        }
    }
}

/// A request.
#[derive(Clone, Debug, PartialEq)]
pub struct Ask {
    /// The id that its client gave it.
    pub id: u64,
    /// Whose it is.
    pub customer: Name,
    /// Where its class stands among the settings'.
    pub class: usize,
    /// Where its plan stands among the settings'.
    pub plan: usize,
    /// The units it draws.
    pub units: f64,
    /// The customer's set of gateways.
    pub spread: u32,
    /// The first of them.
    pub first: u32,
    /// For how long its client waits.
    pub deadline: Millis,
    /// Whether its client marks it as a retry.
    pub repeat: bool,
    /// The command for backends.
    pub passed: Passed,
}

/// What a command is.
#[derive(Clone, Debug, PartialEq)]
pub enum Said {
    /// `PING`
    Ping,
    /// `Q.ASK` and `Q.DO`
    Request(Box<Ask>),
}

/// Reads a command.
///
/// # Errors
/// When it is none that can be taken.
pub fn read(site: &Site, input: &[u8], words: &[Range<usize>]) -> Result<Said, Wrong> {
    let word = |at: usize| &input[words[at].clone()];
    let command = word(0);
    if command.eq_ignore_ascii_case(b"PING") {
        return if words.len() == 1 { Ok(Said::Ping) } else { Err(Wrong::Words) };
    }
    let safe = match command {
        b"Q.ASK" => true,
        b"Q.DO" => false,
        _ => return Err(Wrong::Command),
    };
    if !(4..=5).contains(&words.len()) {
        return Err(Wrong::Words);
    }
    hex(word(1)).filter(|n| *n < CUSTOMERS).ok_or(Wrong::Customer)?;
    let id = hex(word(2)).ok_or(Wrong::Id)?;
    let list = std::str::from_utf8(word(3)).map_err(|_| Wrong::Fields)?;
    let fields = Fields::read(list)?;
    let settings = &site.settings;
    let class = settings.classes.iter().position(|c| Some(&*c.name) == fields.class).ok_or(Wrong::Class)?;
    let effect = settings.classes[class].idempotency;
    if (effect == Idempotency::Idempotent) != safe {
        return Err(Wrong::Class);
    }
    let plan = settings.plans.iter().position(|p| Some(&*p.name) == fields.plan).ok_or(Wrong::Plan)?;
    let most = if settings.max_request_units > 0.0 { settings.max_request_units } else { f64::MAX };
    let units = fields.units.and_then(decimal).filter(|u| *u > 0.0 && *u <= most).ok_or(Wrong::Units)?;
    let whole =
        |text: Option<&str>| text.filter(|t| t.len() < 10).and_then(|t| digits(t).then(|| t.parse().ok())?);
    let spread =
        whole(fields.spread).filter(|s| (1..=settings.gateway_count).contains(s)).ok_or(Wrong::Set)?;
    let first = whole(fields.first).filter(|f| *f < settings.gateway_count).ok_or(Wrong::Set)?;
    let deadline = fields.deadline.and_then(decimal).filter(|d| *d > 0.0).ok_or(Wrong::Deadline)?;
    let key_is_good = match fields.key {
        None => effect != Idempotency::WithKey,
        Some(key) => {
            let plain = |b: u8| b.is_ascii_alphanumeric() || b == b'-' || b == b'_';
            effect == Idempotency::WithKey && !key.is_empty() && key.len() <= KEY && key.bytes().all(plain)
        }
    };
    if !key_is_good {
        return Err(Wrong::Key);
    }
    let mut head = Vec::with_capacity(64);
    for at in 0..3 {
        let _ = write!(head, "${}\r\n", word(at).len());
        head.extend_from_slice(word(at));
        head.extend_from_slice(b"\r\n");
    }
    let (before, after) = fields.around;
    let body = (words.len() == 5).then(|| word(4).into());
    let passed = Passed { head: head.into(), before: before.into(), after: after.into(), body };
    let customer = Name::from(std::str::from_utf8(word(1)).map_err(|_| Wrong::Customer)?);
    let repeat = fields.repeat;
    Ok(Said::Request(Box::new(Ask {
        id,
        customer,
        class,
        plan,
        units,
        spread,
        first,
        deadline,
        repeat,
        passed,
    })))
}

fn hex(word: &[u8]) -> Option<u64> {
    let plain = word.len() == 16 && word.iter().all(|b| b.is_ascii_digit() || (b'a'..=b'f').contains(b));
    if plain { u64::from_str_radix(std::str::from_utf8(word).ok()?, 16).ok() } else { None }
}

fn digits(text: &str) -> bool {
    !text.is_empty() && text.bytes().all(|b| b.is_ascii_digit())
}

/// A number without a sign or an exponent: what Rust reads beside it (inf, nan, 1e9) is no number here.
fn decimal(text: &str) -> Option<f64> {
    let plain = text.len() <= 20 && text.bytes().all(|b| b.is_ascii_digit() || b == b'.');
    if plain { text.parse().ok() } else { None }
}

/// The list of names and values, each once; what stands before and behind the time's value.
#[derive(Default)]
struct Fields<'a> {
    class: Option<&'a str>,
    plan: Option<&'a str>,
    deadline: Option<&'a str>,
    key: Option<&'a str>,
    units: Option<&'a str>,
    spread: Option<&'a str>,
    first: Option<&'a str>,
    repeat: bool,
    around: (&'a str, &'a str),
}

impl<'a> Fields<'a> {
    fn read(list: &'a str) -> Result<Self, Wrong> {
        let mut fields = Self::default();
        let mut at = 0;
        for pair in list.split(',') {
            let (name, value) = pair.split_once('=').ok_or(Wrong::Fields)?;
            let place = match name {
                "c" => &mut fields.class,
                "t" => &mut fields.plan,
                "d" => {
                    fields.around = (&list[..at + 2], &list[at + pair.len()..]);
                    &mut fields.deadline
                }
                "k" => &mut fields.key,
                "units" => &mut fields.units,
                "spread" => &mut fields.spread,
                "first" => &mut fields.first,
                "r" if !fields.repeat && matches!(value, "0" | "1") => {
                    fields.repeat = value == "1";
                    at += pair.len() + 1;
                    continue;
                }
                _ => return Err(Wrong::Fields),
            };
            if place.replace(value).is_some() {
                return Err(Wrong::Fields);
            }
            at += pair.len() + 1;
        }
        Ok(fields)
    }
}
