//! A call to the shared counter, its reply and its outcome.

use doorcourse::{CounterOutcome, Millis};

/// One call: adds an amount to a counter.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct CounterCall {
    /// The counter's name.
    pub counter: u64,
    /// What to add, in units; negative to return units.
    pub amount: f64,
    /// How long the counter lives if this call creates it, in ms.
    pub time_to_live: Millis,
}

/// How a call ended.
///
/// Each call ends exactly once, with one of the first three; [`Late`](Self::Late) may follow a call that ended as
/// [`Unknown`](Self::Unknown). A codec reports [`AddedWithoutTotal`](Self::AddedWithoutTotal), which the link turns into
/// `Unknown` and a `Late` that follows at once.
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
    /// What the decisions receive. A call that was added without a total is unknown to them; a `Late` follows it.
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
    /// What the reply says of the call.
    pub outcome: CallOutcome,
    /// Whether the connection is of no use after this reply.
    pub closes_connection: bool,
}
