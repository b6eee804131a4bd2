//! Encodes counter calls as RESP transactions, so that the addition and the expiry of a new counter succeed or fail
//! together.

use crate::call::{CallOutcome, CounterCall, CounterReply};
use crate::codec::{CodecError, CounterCodec};
use doorcourse_resp::{Value, decode, encode_command};

/// Replies to one call: MULTI, QUEUED twice, EXEC.
const REPLIES_PER_CALL: u32 = 4;

/// The codec of a counter that speaks RESP.
#[derive(Clone, Debug, Default)]
pub struct RespCodec {
    password: Option<String>,
    /// Whether the reply to AUTH is still due.
    awaits_auth_reply: bool,
    /// Replies read so far of the oldest call's transaction.
    replies_read: u32,
}

impl RespCodec {
    /// A codec that sends AUTH with this password; it sends no AUTH without a password.
    #[must_use]
    pub fn new(password: Option<String>) -> Self {
        Self { password, ..Self::default() }
    }
}

impl CounterCodec for RespCodec {
    fn connection_opened(&mut self, output: &mut Vec<u8>) {
        self.replies_read = 0;
        self.awaits_auth_reply = self.password.is_some();
        if let Some(password) = &self.password {
            encode_command(output, &["AUTH", password]);
        }
    }

    fn encode_call(&mut self, call: &CounterCall, output: &mut Vec<u8>) {
        let key = format!("doorcourse:{:x}", call.counter);
        let amount = call.amount.to_string();
        let time_to_live_ms = (call.time_to_live.ceil().max(1.0) as u64).to_string();
        encode_command(output, &["MULTI"]);
        encode_command(output, &["INCRBYFLOAT", &key, &amount]);
        // NX sets the expiry only where there is none, so that further calls do not extend the time to live of a
        // window's counter.
        encode_command(output, &["PEXPIRE", &key, &time_to_live_ms, "NX"]);
        encode_command(output, &["EXEC"]);
    }

    fn awaits_greeting(&self) -> bool {
        self.awaits_auth_reply
    }

    fn decode_reply(&mut self, input: &[u8]) -> Result<(usize, Option<CounterReply>), CodecError> {
        let mut consumed = 0;
        loop {
            let next =
                decode(&input[consumed..]).map_err(|error| CodecError::InvalidReply(error.to_string()))?;
            let Some((value, length)) = next else {
                return Ok((consumed, None));
            };
            consumed += length;
            if std::mem::take(&mut self.awaits_auth_reply) {
                if let Value::Error(error) = value {
                    return Err(CodecError::AuthenticationRefused(error));
                }
                continue;
            }
            self.replies_read += 1;
            if self.replies_read < REPLIES_PER_CALL {
                // An error reply here leads to an error in the reply to EXEC (EXECABORT).
                continue;
            }
            self.replies_read = 0;
            let reply = CounterReply { outcome: exec_outcome(&value), closes_connection: false };
            return Ok((consumed, Some(reply)));
        }
    }
}

/// The outcome of the call that the reply to EXEC reports.
fn exec_outcome(reply: &Value) -> CallOutcome {
    match reply {
        // The transaction was refused: none of its commands was executed.
        Value::Error(_) | Value::Null => CallOutcome::NotAdded,
        Value::Array(values) => match values.first() {
            Some(Value::Error(_)) => CallOutcome::NotAdded,
            first => first.and_then(Value::number).map_or(CallOutcome::Unknown, CallOutcome::Total),
        },
        _ => CallOutcome::Unknown,
    }
}
