//! Whether a plan can ever admit a request of a given cost.

use doorcourse::Plan;

/// A request costs more units than its plan can ever hold: waiting does not help.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ExceedsPlanCapacity {
    /// The most units that the plan can hold.
    pub capacity: f64,
}

/// Checks whether a plan can ever hold a cost of `units`.
///
/// The check precedes the admission, so that such a request takes no quota lease from others. A lease larger than the
/// burst is never granted, so without the check the client would be told to retry forever.
///
/// # Errors
/// [`ExceedsPlanCapacity`] where it cannot.
pub fn check_plan_capacity(plan: &Plan, units: f64) -> Result<(), ExceedsPlanCapacity> {
    let capacity = plan_capacity(plan);
    if units <= capacity { Ok(()) } else { Err(ExceedsPlanCapacity { capacity }) }
}

/// The most units that a plan's quota and ceiling can hold; infinite for a plan without either.
fn plan_capacity(plan: &Plan) -> f64 {
    // The whole burst counts even under a ceiling: a gateway without a counter total starts with half of the burst, but
    // the rate fills the other half.
    plan.enforced_quota().map_or(f64::INFINITY, |quota| quota.burst)
}

#[cfg(test)]
mod tests;
