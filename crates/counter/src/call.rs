//! A call to the shared counter, its reply and its outcome.

use doorcourse::{CounterOutcome, Millis};

/// One call: adds an amount to a counter.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct CounterCall {
    /// The counter's name.
    pub counter: u64,
    /// What to add, in units; negative to return units.
    pub amount: f64,
    /// After how many ms the counter expires if this call creates it.
    pub time_to_live: Millis,
}

/// How a call ended.
///
/// Each call ends exactly once, with one of the first three outcomes. [`Late`](Self::Late) may follow a call that ended
/// as [`Unknown`](Self::Unknown). [`AddedWithoutTotal`](Self::AddedWithoutTotal) is reported only by a codec; the link
/// turns it into `Unknown`, followed at once by `Late`.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum CallOutcome {
    /// The total after the addition.
    Total(f64),
    /// Nothing was added.
    NotAdded,
    /// The amount may have been added.
    Unknown,
    /// The amount was added; the reply holds no total.
    AddedWithoutTotal,
    /// The reply to a call that had ended as unknown.
    Late {
        /// Whether the amount was added.
        added: bool,
        /// The total after the addition, where the reply holds it.
        total: Option<f64>,
    },
}

impl From<CallOutcome> for CounterOutcome {
    /// The outcome that the decision library receives. A call that was added without a total counts as unknown; a
    /// `Late` follows it.
    fn from(outcome: CallOutcome) -> Self {
        match outcome {
            CallOutcome::Total(total) => Self::Total(total),
            CallOutcome::NotAdded => Self::NotAdded,
            CallOutcome::Unknown | CallOutcome::AddedWithoutTotal => Self::Unknown,
            CallOutcome::Late { added, total } => Self::Late { added, total },
        }
    }
}

/// The reply to one call.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct CounterReply {
    /// The outcome of the call that the reply reports.
    pub outcome: CallOutcome,
    /// Whether the connection has to be closed after this reply.
    pub closes_connection: bool,
}
