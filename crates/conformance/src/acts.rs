//! Checks the rules of fleet-wide tasks from the acts that the task endpoints recorded, all on one clock.

use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// An act of a lease holder as the task endpoint recorded it. Times are in ms on the clock of the endpoint.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Act {
    /// Name of the task.
    pub task: String,
    /// Number of the gateway that acted.
    pub gateway: u32,
    /// Fencing token of the call.
    pub token: u64,
    /// Time at which the endpoint accepted or rejected the call.
    pub begin: f64,
    /// Time at which the effect ended.
    pub end: f64,
    /// Time by which the act had to end, as the sender stated it.
    pub deadline: f64,
    /// Whether the effect took place.
    pub accepted: bool,
}

/// Checks the acts of each task and returns a description of each violation: acts under different tokens must not overlap,
/// tokens must not decrease, and, if `deadlines` is set, no act may last beyond its deadline.
#[must_use]
pub fn check_acts(acts: &[Act], deadlines: bool) -> Vec<String> {
    let mut tasks = BTreeMap::<&str, Vec<&Act>>::new();
    for act in acts.iter().filter(|a| a.accepted) {
        tasks.entry(&act.task).or_default().push(act);
    }
    let mut violations = Vec::new();
    for (task, mut acts) in tasks {
        acts.sort_by(|a, b| a.begin.total_cmp(&b.begin));
        let (mut previous, mut latest_ending) = (None::<&Act>, None::<&Act>);
        for act in acts {
            if let Some(earlier) = previous.filter(|p| p.token > act.token) {
                violations.push(format!(
                    "{task}: token {} of gateway {} at {:.1} ms behind token {} of gateway {}",
                    act.token, act.gateway, act.begin, earlier.token, earlier.gateway
                ));
            }
            // The act with the latest end so far must have ended, unless it has the same token.
            if let Some(other) = latest_ending.filter(|u| u.token != act.token && u.end > act.begin) {
                violations.push(format!(
                    "{task}: gateway {} acts from {:.1} ms while gateway {} acts until {:.1} ms",
                    act.gateway, act.begin, other.gateway, other.end
                ));
            }
            if deadlines && act.end > act.deadline {
                let (late, gateway) = (act.end - act.deadline, act.gateway);
                violations
                    .push(format!("{task}: gateway {gateway} acts until {late:.1} ms behind its deadline"));
            }
            previous = Some(act);
            latest_ending = latest_ending.filter(|u| u.end >= act.end).or(Some(act));
        }
    }
    violations
}

#[cfg(test)]
mod tests;
