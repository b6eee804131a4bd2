//! Calls as RESP transactions: the add and the life of a new name come or fail together.

use crate::link::{Call, Codec, Ended, Reply};
use doorcourse_resp::{Value, command, decode};

/// Replies of one call: MULTI, two times QUEUED, EXEC's own.
const REPLIES: u32 = 4;

/// The codec of a counter that speaks RESP.
#[derive(Clone, Debug, Default)]
pub struct RespCodec {
    password: Option<String>,
    /// Whether the reply to AUTH is still to come.
    greeting: bool,
    /// Replies of the first call's transaction so far.
    step: u32,
}

impl RespCodec {
    /// A codec that sends AUTH with a password, where one is needed.
    #[must_use]
    pub fn new(password: Option<String>) -> Self {
        Self { password, ..Self::default() }
    }
}

impl Codec for RespCodec {
    fn open(&mut self, out: &mut Vec<u8>) {
        (self.step, self.greeting) = (0, self.password.is_some());
        if let Some(password) = &self.password {
            command(out, &["AUTH", password]);
        }
    }

    fn call(&mut self, call: &Call, out: &mut Vec<u8>) {
        let (name, amount) = (format!("doorcourse:{:x}", call.name), call.amount.to_string());
        let keep = (call.keep.ceil().max(1.0) as u64).to_string();
        // The expiry is set only where there is none (NX): a window's name must not live on by being used.
        command(out, &["MULTI"]);
        command(out, &["INCRBYFLOAT", &name, &amount]);
        command(out, &["PEXPIRE", &name, &keep, "NX"]);
        command(out, &["EXEC"]);
    }

    fn waits(&self) -> bool {
        self.greeting
    }

    fn read(&mut self, input: &[u8]) -> Result<(usize, Option<Reply>), String> {
        let mut used = 0;
        loop {
            let Some((value, took)) = decode(&input[used..]).map_err(|e| e.to_string())? else {
                return Ok((used, None));
            };
            used += took;
            if std::mem::take(&mut self.greeting) {
                if let Value::Error(error) = value {
                    return Err(format!("authentication refused: {error}"));
                }
                continue;
            }
            self.step += 1;
            if self.step < REPLIES {
                // An error here shows again in the transaction's own reply (EXECABORT).
                continue;
            }
            self.step = 0;
            let total = match &value {
                Value::Array(values) => values.first().and_then(Value::number),
                _ => None,
            };
            let ended = match (total, &value) {
                (Some(total), _) => Ended::Total(total),
                // The transaction was refused whole: nothing of it ran.
                (None, Value::Error(_) | Value::Null) => Ended::NotAdded,
                (None, Value::Array(v)) if matches!(v.first(), Some(Value::Error(_))) => Ended::NotAdded,
                _ => Ended::Unknown,
            };
            return Ok((used, Some(Reply { ended, last: false })));
        }
    }
}
