//! A stand-in for the shared counter, without I/O: the commands that the link uses, by the public specification
//! of RESP and of the commands INCRBYFLOAT, PEXPIRE, MULTI, EXEC, AUTH, PING and GET.

use doorcourse_resp::Value;
use std::collections::HashMap;

/// What the counter may be made to do.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum CounterFault {
    /// It answers nothing; what was sent to it meanwhile takes effect once it is over.
    Silent(bool),
    /// Its answers take so many ms.
    Slow(f64),
    /// It starts again: its connections break and all counts are gone.
    Empty,
}

/// The counts, with the time at which each ends.
#[derive(Debug, Default)]
pub struct Counter {
    counts: HashMap<String, (f64, Option<f64>)>,
    pub silent: bool,
    pub slow: f64,
    pub password: Option<String>,
}

/// One connection's state.
#[derive(Debug, Default)]
pub struct Session {
    queued: Option<Vec<Vec<String>>>,
    known: bool,
}

impl Counter {
    pub fn new(password: Option<String>) -> Self {
        Self { password, ..Self::default() }
    }

    pub fn fault(&mut self, fault: CounterFault) {
        match fault {
            CounterFault::Silent(on) => self.silent = on,
            CounterFault::Slow(ms) => self.slow = ms,
            CounterFault::Empty => self.counts.clear(),
        }
    }

    /// One command of a connection, and its reply.
    pub fn command(&mut self, now: f64, session: &mut Session, words: &Value) -> Value {
        let Value::Array(words) = words else { return error("ERR a command is an array") };
        let text = |v: &Value| if let Value::Bulk(b) = v { String::from_utf8(b.clone()).ok() } else { None };
        let Some(words) = words.iter().map(text).collect::<Option<Vec<_>>>().filter(|w| !w.is_empty()) else {
            return error("ERR a command is an array of bulk strings");
        };
        let name = words[0].to_ascii_uppercase();
        if let Some(password) = self.password.as_ref().filter(|_| !session.known) {
            if name != "AUTH" {
                return error("NOAUTH Authentication required.");
            }
            session.known = words.get(1) == Some(password);
            return if session.known { ok() } else { error("WRONGPASS invalid password") };
        }
        match name.as_str() {
            "AUTH" => error("ERR no password is set"),
            "MULTI" if session.queued.is_some() => error("ERR MULTI calls can not be nested"),
            "MULTI" => {
                session.queued = Some(Vec::new());
                ok()
            }
            "EXEC" => match session.queued.take() {
                None => error("ERR EXEC without MULTI"),
                Some(queued) => Value::Array(queued.iter().map(|w| self.run(now, w)).collect()),
            },
            _ => match &mut session.queued {
                Some(queued) => {
                    queued.push(words);
                    Value::Simple("QUEUED".into())
                }
                None => self.run(now, &words),
            },
        }
    }

    fn run(&mut self, now: f64, words: &[String]) -> Value {
        let name = words[0].to_ascii_uppercase();
        let over =
            |key: &&String| self.counts.get(*key).is_some_and(|(_, until)| until.is_some_and(|u| u <= now));
        if let Some(key) = words.get(1).filter(over) {
            self.counts.remove(key);
        }
        match (name.as_str(), &words[1..]) {
            ("PING", []) => Value::Simple("PONG".into()),
            ("GET", [key]) => {
                self.counts.get(key).map_or(Value::Null, |(n, _)| Value::Bulk(n.to_string().into()))
            }
            ("INCRBYFLOAT", [key, amount]) => match amount.parse::<f64>().ok().filter(|a| a.is_finite()) {
                None => error("ERR value is not a valid float"),
                Some(amount) => {
                    let entry = self.counts.entry(key.clone()).or_insert((0.0, None));
                    entry.0 += amount;
                    Value::Bulk(entry.0.to_string().into())
                }
            },
            ("PEXPIRE", [key, ms, rest @ ..]) => {
                let Ok(ms) = ms.parse::<f64>() else { return error("ERR value is not an integer") };
                let only_new = rest.first().is_some_and(|w| w.eq_ignore_ascii_case("NX"));
                match self.counts.get_mut(key) {
                    Some(entry) if entry.1.is_none() || !only_new => {
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

fn ok() -> Value {
    Value::Simple("OK".into())
}

fn error(text: &str) -> Value {
    Value::Error(text.into())
}

#[cfg(test)]
mod tests {
    use super::*;

    fn run(counter: &mut Counter, session: &mut Session, now: f64, line: &str) -> Value {
        let words = line.split(' ').map(|w| Value::Bulk(w.into())).collect();
        counter.command(now, session, &Value::Array(words))
    }

    #[test]
    fn a_window_s_name_ends_when_it_was_told_first() {
        let (mut counter, mut session) = (Counter::default(), Session::default());
        let mut add = |now| {
            run(&mut counter, &mut session, now, "MULTI");
            run(&mut counter, &mut session, now, "INCRBYFLOAT k 2.5");
            run(&mut counter, &mut session, now, "PEXPIRE k 100 NX");
            run(&mut counter, &mut session, now, "EXEC")
        };
        assert_eq!(add(0.0), Value::Array(vec![Value::Bulk("2.5".into()), Value::Integer(1)]));
        assert_eq!(add(99.0), Value::Array(vec![Value::Bulk("5".into()), Value::Integer(0)]));
        assert_eq!(add(100.0), Value::Array(vec![Value::Bulk("2.5".into()), Value::Integer(1)]));
    }

    #[test]
    fn a_password_is_asked_for() {
        let mut counter = Counter { password: Some("x".into()), ..Counter::default() };
        let mut session = Session::default();
        assert!(
            matches!(run(&mut counter, &mut session, 0.0, "PING"), Value::Error(e) if e.starts_with("NOAUTH"))
        );
        assert!(matches!(run(&mut counter, &mut session, 0.0, "AUTH y"), Value::Error(_)));
        assert_eq!(run(&mut counter, &mut session, 0.0, "AUTH x"), Value::Simple("OK".into()));
        assert_eq!(run(&mut counter, &mut session, 0.0, "PING"), Value::Simple("PONG".into()));
    }
}
