//! Emulator of the shared counter, without I/O: the commands that a gateway sends, after the public specifications of
//! RESP and of the commands INCRBYFLOAT, PEXPIRE, MULTI, EXEC, DISCARD, AUTH, HELLO, CLIENT, SELECT, PING and GET.

use doorcourse_resp::Value;
use std::collections::HashMap;

/// A fault to inject into the counter, or the end of one.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum CounterFault {
    /// The counter does not reply, while set; commands sent meanwhile take effect when the fault ends.
    Silent(bool),
    /// Replies are delayed by this time, in ms.
    Slow(f64),
    /// The counter restarts: its connections are closed and all counts are lost.
    Restart,
}

/// The counts, each with its value and its expiry time, if it has one.
#[derive(Debug, Default)]
pub struct Counter {
    counts: HashMap<String, (f64, Option<f64>)>,
    pub silent: bool,
    pub reply_delay_ms: f64,
    pub password: Option<String>,
}

/// State of one connection.
#[derive(Debug, Default)]
pub struct Session {
    /// Commands queued since MULTI; `None` outside a transaction.
    queued: Option<Vec<Vec<String>>>,
    authenticated: bool,
    /// Whether the client selected RESP3.
    resp3: bool,
    /// Name that the client set for the connection.
    name: String,
}

impl Counter {
    pub fn new(password: Option<String>) -> Self {
        Self { password, ..Self::default() }
    }

    pub fn apply_fault(&mut self, fault: CounterFault) {
        match fault {
            CounterFault::Silent(on) => self.silent = on,
            CounterFault::Slow(ms) => self.reply_delay_ms = ms,
            CounterFault::Restart => self.counts.clear(),
        }
    }

    /// Handles one command of a connection and returns the reply.
    pub fn command(&mut self, now: f64, session: &mut Session, words: &Value) -> Value {
        let Value::Array(words) = words else { return error("ERR a command is an array") };
        let text = |v: &Value| if let Value::Bulk(b) = v { String::from_utf8(b.clone()).ok() } else { None };
        let Some(words) = words.iter().map(text).collect::<Option<Vec<_>>>().filter(|w| !w.is_empty()) else {
            return error("ERR a command is an array of bulk strings");
        };
        let name = words[0].to_ascii_uppercase();
        if name == "HELLO" {
            return self.hello(session, &words[1..]);
        }
        if name == "AUTH" {
            // Without a user name, the default user is meant.
            return match &words[1..] {
                [password] => self.auth(session, "default", password),
                [user, password] => self.auth(session, user, password),
                _ => error("ERR wrong number of arguments for 'auth' command"),
            };
        }
        if self.password.is_some() && !session.authenticated {
            return error("NOAUTH Authentication required.");
        }
        match name.as_str() {
            "CLIENT" => client(session, &words[1..]),
            "SELECT" if words.len() == 2 => match words[1].parse::<u8>() {
                Ok(0) => ok(),
                Ok(_) => error("ERR DB index is out of range"),
                Err(_) => error("ERR value is not an integer or out of range"),
            },
            "DISCARD" => match session.queued.take() {
                Some(_) => ok(),
                None => error("ERR DISCARD without MULTI"),
            },
            "MULTI" if session.queued.is_some() => error("ERR MULTI calls can not be nested"),
            "MULTI" => {
                session.queued = Some(Vec::new());
                ok()
            }
            "EXEC" => match session.queued.take() {
                None => error("ERR EXEC without MULTI"),
                Some(queued) => Value::Array(queued.iter().map(|w| self.execute(now, w)).collect()),
            },
            _ => match &mut session.queued {
                Some(queued) => {
                    queued.push(words);
                    Value::Simple("QUEUED".into())
                }
                None => self.execute(now, &words),
            },
        }
    }

    fn auth(&self, session: &mut Session, user: &str, password: &str) -> Value {
        match &self.password {
            None => error("ERR AUTH <password> called without any password configured for the default user"),
            Some(expected) if user == "default" && expected == password => {
                session.authenticated = true;
                ok()
            }
            Some(_) => error("WRONGPASS invalid username-password pair or user is disabled."),
        }
    }

    /// Handles `HELLO [protover [AUTH username password] [SETNAME name]]`, with which client libraries begin.
    fn hello(&self, session: &mut Session, words: &[String]) -> Value {
        let mut resp3 = session.resp3;
        let mut rest = words;
        if let [version, more @ ..] = words {
            resp3 = match version.as_str() {
                "2" => false,
                "3" => true,
                _ => return error("NOPROTO unsupported protocol version"),
            };
            rest = more;
        }
        let mut new_name = None;
        while let [word, more @ ..] = rest {
            rest = match (word.to_ascii_uppercase().as_str(), more) {
                ("AUTH", [user, password, more @ ..]) => {
                    if let rejection @ Value::Error(_) = self.auth(session, user, password) {
                        return rejection;
                    }
                    more
                }
                ("SETNAME", [name, more @ ..]) => {
                    new_name = Some(name.clone());
                    more
                }
                _ => return error(&format!("ERR Syntax error in HELLO option '{word}'")),
            };
        }
        if self.password.is_some() && !session.authenticated {
            return error("NOAUTH HELLO must be called with the client already authenticated");
        }
        session.resp3 = resp3;
        session.name = new_name.unwrap_or_else(|| std::mem::take(&mut session.name));
        let bulk = |text: &str| Value::Bulk(text.into());
        let properties = vec![
            (bulk("server"), bulk("redis")),
            (bulk("version"), bulk("7.4.0")),
            (bulk("proto"), Value::Integer(if resp3 { 3 } else { 2 })),
            (bulk("id"), Value::Integer(1)),
            (bulk("mode"), bulk("standalone")),
            (bulk("role"), bulk("master")),
            (bulk("modules"), Value::Array(Vec::new())),
        ];
        let properties = properties.into_iter().flat_map(|(k, v)| [k, v]).collect();
        if resp3 { Value::Map(properties) } else { Value::Array(properties) }
    }

    fn execute(&mut self, now: f64, words: &[String]) -> Value {
        let name = words[0].to_ascii_uppercase();
        let expired =
            |key: &&String| self.counts.get(*key).is_some_and(|(_, until)| until.is_some_and(|u| u <= now));
        if let Some(key) = words.get(1).filter(expired) {
            self.counts.remove(key);
        }
        match (name.as_str(), &words[1..]) {
            ("PING", []) => Value::Simple("PONG".into()),
            ("GET", [key]) => {
                self.counts.get(key).map_or(Value::Null, |(n, _)| Value::Bulk(n.to_string().into()))
            }
            ("INCRBYFLOAT", [key, delta]) => match delta.parse::<f64>().ok().filter(|a| a.is_finite()) {
                None => error("ERR value is not a valid float"),
                Some(delta) => {
                    let entry = self.counts.entry(key.clone()).or_insert((0.0, None));
                    entry.0 += delta;
                    Value::Bulk(entry.0.to_string().into())
                }
            },
            ("PEXPIRE", [key, ms, rest @ ..]) => {
                let Ok(ms) = ms.parse::<f64>() else { return error("ERR value is not an integer") };
                let only_without_expiry = rest.first().is_some_and(|w| w.eq_ignore_ascii_case("NX"));
                match self.counts.get_mut(key) {
                    Some(entry) if entry.1.is_none() || !only_without_expiry => {
                        entry.1 = Some(now + ms);
                        Value::Integer(1)
                    }
                    _ => Value::Integer(0),
                }
            }
            _ => error("ERR unknown command or wrong number of arguments"),
        }
    }
}

/// Handles `CLIENT`, with which client libraries describe themselves.
fn client(session: &mut Session, words: &[String]) -> Value {
    let word = words.first().map(|w| w.to_ascii_uppercase()).unwrap_or_default();
    match (word.as_str(), &words[words.len().min(1)..]) {
        ("SETINFO", [what, _]) if ["lib-name", "lib-ver"].iter().any(|k| what.eq_ignore_ascii_case(k)) => {
            ok()
        }
        ("SETINFO", [what, _]) => error(&format!("ERR Unrecognized option '{what}'")),
        ("SETNAME", [name]) => {
            session.name.clone_from(name);
            ok()
        }
        ("GETNAME", []) if session.name.is_empty() => Value::Null,
        ("GETNAME", []) => Value::Bulk(session.name.clone().into()),
        ("ID", []) => Value::Integer(1),
        _ => error("ERR unknown subcommand or wrong number of arguments for 'client' command"),
    }
}

fn ok() -> Value {
    Value::Simple("OK".into())
}

fn error(text: &str) -> Value {
    Value::Error(text.into())
}

#[cfg(test)]
mod tests;
