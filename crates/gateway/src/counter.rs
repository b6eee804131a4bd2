//! The counter: in this process, or behind a link that speaks RESP. Both end each call once.

use doorcourse_config::Counter as Settings;
use doorcourse_resp::{Call, Ended, Link, LinkAction, LinkSettings};
use std::collections::HashMap;

/// Counts in the process: a fleet of one.
#[derive(Debug, Default)]
pub(crate) struct Own {
    counts: HashMap<u64, (f64, f64)>,
    swept: f64,
}

/// How often names that are over are dropped, in ms.
const SWEEP: f64 = 1000.0;

impl Own {
    /// Adds and answers the total. A name's life is set when it is new, as the shared counter does.
    pub fn add(&mut self, now: f64, call: Call) -> f64 {
        if now >= self.swept + SWEEP {
            self.counts.retain(|_, (_, until)| *until > now);
            self.swept = now;
        }
        let entry = self.counts.entry(call.name).or_insert((0.0, now + call.keep));
        if entry.1 <= now {
            *entry = (0.0, now + call.keep);
        }
        entry.0 += call.amount;
        entry.0
    }
}

/// Makes the state of a link from settings.
pub(crate) fn link(settings: &Settings) -> Link {
    Link::new(LinkSettings {
        timeout: settings.timeout,
        first_wait: settings.first_wait(),
        longest_wait: settings.longest_wait,
        dead_after: settings.dead_after,
        password: settings.password.clone(),
    })
}

/// The end of a call in the words of the decisions.
pub(crate) fn counted(action: LinkAction) -> Option<doorcourse::Event> {
    let LinkAction::End { name, ended, latency } = action else { return None };
    let outcome = match ended {
        Ended::Total(total) => doorcourse::CountOutcome::Total(total),
        Ended::NotAdded => doorcourse::CountOutcome::NotAdded,
        Ended::Unknown => doorcourse::CountOutcome::Unknown,
    };
    Some(doorcourse::Event::Counted { name, outcome, latency })
}
