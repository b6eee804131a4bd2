//! Whether a plan can ever hold a request's cost.

use doorcourse::Plan;

/// Why a request can never be let in, however long its client waits.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ExceedsPlanCapacity {
    /// The most that its plan can ever hold.
    pub capacity: f64,
}

/// Whether a plan can ever hold a cost. Asked first, so that such a request takes no block from the others: a
/// block larger than the burst is never granted, and its client would be told to come back for ever.
///
/// # Errors
/// When it cannot.
pub fn check_plan_capacity(plan: &Plan, units: f64) -> Result<(), ExceedsPlanCapacity> {
    // Under a ceiling a gateway that knows nothing starts with half the burst; the rate fills the rest.
    let quota = if plan.rate > 0.0 { plan.burst } else { f64::INFINITY };
    let ceiling =
        if plan.ceiling_rate > 0.0 { plan.ceiling_burst + plan.ceiling_slack } else { f64::INFINITY };
    let most = quota.min(ceiling);
    if units <= most { Ok(()) } else { Err(ExceedsPlanCapacity { capacity: most }) }
}

#[cfg(test)]
mod tests;
