//! The rules of fleet-wide tasks, from what witnesses saw of each act alone, on one clock.

use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// One act as its receiver saw it. Times in ms on the witness's clock.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Act {
    /// The task.
    pub task: String,
    /// Which gateway acted.
    pub gateway: u32,
    /// Under which token.
    pub token: u64,
    /// When it came, and when its effect was over.
    pub begin: f64,
    /// See `begin`.
    pub end: f64,
    /// By when it was to be over, by its sender's word.
    pub deadline: f64,
    /// Whether its effect took place.
    pub accepted: bool,
}

/// Every way in which acts broke the rules: of one task, acts under different tokens never overlap in time, tokens never
/// go back, and no act lasts beyond its deadline (`deadlines`: for a receiver that goes by them).
#[must_use]
pub fn check_acts(acts: &[Act], deadlines: bool) -> Vec<String> {
    let mut tasks = BTreeMap::<&str, Vec<&Act>>::new();
    for act in acts.iter().filter(|a| a.accepted) {
        tasks.entry(&act.task).or_default().push(act);
    }
    let mut broken = Vec::new();
    for (task, mut acts) in tasks {
        acts.sort_by(|a, b| a.begin.total_cmp(&b.begin));
        let (mut last, mut until) = (None::<&Act>, None::<&Act>);
        for act in acts {
            if let Some(before) = last.filter(|b| b.token > act.token) {
                broken.push(format!(
                    "{task}: token {} of gateway {} at {:.1} ms behind token {} of gateway {}",
                    act.token, act.gateway, act.begin, before.token, before.gateway
                ));
            }
            // The one that lasted longest so far: of another token, it must be over.
            if let Some(other) = until.filter(|u| u.token != act.token && u.end > act.begin) {
                broken.push(format!(
                    "{task}: gateway {} acts from {:.1} ms while gateway {} acts until {:.1} ms",
                    act.gateway, act.begin, other.gateway, other.end
                ));
            }
            if deadlines && act.end > act.deadline {
                let (late, gateway) = (act.end - act.deadline, act.gateway);
                broken.push(format!("{task}: gateway {gateway} acts until {late:.1} ms behind its deadline"));
            }
            last = Some(act);
            until = until.filter(|u| u.end >= act.end).or(Some(act));
        }
    }
    broken
}

#[cfg(test)]
mod tests {
    use super::*;

    fn act(gateway: u32, token: u64, begin: f64, end: f64) -> Act {
        Act { task: "t".into(), gateway, token, begin, end, deadline: end + 1.0, accepted: true }
    }

    #[test]
    fn each_rule_is_caught_alone_and_good_acts_pass() {
        let good = [act(0, 1, 0.0, 9.0), act(0, 1, 10.0, 19.0), act(1, 2, 19.0, 30.0)];
        assert!(check_acts(&good, true).is_empty());
        let overlap = [act(0, 1, 0.0, 20.0), act(0, 1, 5.0, 6.0), act(1, 2, 19.0, 30.0)];
        assert!(check_acts(&overlap, true).iter().any(|b| b.contains("while gateway 0 acts until 20.0")));
        let back = [act(1, 2, 0.0, 9.0), act(0, 1, 10.0, 19.0)];
        assert!(check_acts(&back, true).iter().any(|b| b.contains("token 1 of gateway 0")));
        let late = [Act { deadline: 5.0, ..act(0, 1, 6.0, 7.0) }];
        assert_eq!((check_acts(&late, true).len(), check_acts(&late, false).len()), (1, 0));
        let refused = [act(1, 2, 0.0, 9.0), Act { accepted: false, ..act(0, 1, 3.0, 4.0) }];
        assert!(check_acts(&refused, true).is_empty(), "what was refused had no effect");
    }
}
