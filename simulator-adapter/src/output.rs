//! Writes actions as the simulator's messages.

use base64::Engine as _;
use base64::engine::general_purpose::STANDARD;
use doorcourse::Action;
use std::fmt::{Result, Write};

/// Appends the line of an action of gateway `instance`.
pub(crate) fn write_action(reply: &mut String, instance: u64, action: &Action) -> Result {
    match action {
        Action::SendAttempt { id, backend, timeout, .. } => {
            let timeout_ms = timeout.unwrap_or(0.0);
            writeln!(reply, "HAND_OFF\t{instance}\t{id}\t{backend}\t{timeout_ms:.3}")
        }
        Action::Reject { id, retry_after, .. } => {
            writeln!(reply, "SHED\t{instance}\t{id}\t{retry_after:.3}")
        }
        Action::Fail { id } => writeln!(reply, "DROP_REQUEST\t{instance}\t{id}"),
        Action::CancelAttempt { id, attempt } => writeln!(reply, "CALL_OFF\t{instance}\t{id}\t{attempt}"),
        Action::SetTimer { after, token } => writeln!(reply, "NOTIFY_ME\t{instance}\t{after:.3}\t{token}"),
        Action::CheckHealth { backend } => writeln!(reply, "TEST\t{instance}\t{backend}"),
        Action::AddToCounter { counter, amount, time_to_live } => {
            writeln!(reply, "CHARGE_COUNTER\t{instance}\t{counter}\t{amount:.6}\t{time_to_live:.3}")
        }
        Action::Gossip { bytes } => {
            writeln!(reply, "SHARE\t{instance}\tall\t{}", STANDARD.encode(bytes))
        }
        Action::WatchBackends => writeln!(reply, "WATCH\t{instance}\t1"),
        Action::Log(text) => {
            writeln!(reply, "SAY_LOG\t{instance}\t{}", text.replace(['\n', '\t'], " "))
        }
    }
}

/// Appends the line that ends the reply to a batch.
pub(crate) fn write_end(reply: &mut String) {
    reply.push_str("READY\n");
}
