//! What is settled before the decision library hears of a request.

use doorcourse::{Idempotency, Millis, Plan, RequestClass};

/// What a request asks for, as far as admission goes.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Offer {
    /// The class.
    pub class: usize,
    /// The units.
    pub units: f64,
}

/// The class of an operation, by those of its root fields: the strictest effect among them, since the whole
/// operation is sent and repeated as one; of equals the most urgent aim, since its answer comes as one. An
/// operation of meta fields alone (introspection) is the most patient of the safe classes.
#[must_use]
pub fn operation_class(classes: &[RequestClass], fields: impl IntoIterator<Item = usize>) -> Option<usize> {
    let strictness = |effect: Idempotency| match effect {
        Idempotency::Idempotent => 0,
        Idempotency::WithKey => 1,
        Idempotency::NonIdempotent => 2,
    };
    let known = fields.into_iter().filter_map(|at| Some((at, classes.get(at)?)));
    let order = |(_, a): &(usize, &RequestClass), (_, b): &(usize, &RequestClass)| {
        strictness(a.idempotency)
            .cmp(&strictness(b.idempotency))
            .then(b.latency_objective.total_cmp(&a.latency_objective))
    };
    let of_fields = known.max_by(order).map(|(at, _)| at);
    of_fields.or_else(|| {
        let safe = classes.iter().enumerate().filter(|(_, c)| c.idempotency == Idempotency::Idempotent);
        safe.max_by(|a, b| a.1.latency_objective.total_cmp(&b.1.latency_objective)).map(|(at, _)| at)
    })
}

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

/// How long the decisions have for a request: until the client gives up, by its own word or its class, less the
/// margin in which the answer travels. `None` when nothing is left: the client will not hear any answer.
#[must_use]
pub fn request_timeout(
    give_up: Millis, asked: Option<Millis>, longest: Millis, margin: Millis,
) -> Option<Millis> {
    let whole = asked.filter(|a| a.is_finite()).unwrap_or(give_up).min(longest);
    // A margin that is most of a short deadline would refuse what could be answered: a quarter at most.
    let left = whole - margin.min(whole / 4.0);
    if left > 0.0 { Some(left) } else { None }
}

/// How long an attempt waits for its connection: no longer than the host's limit, and by halves of what is left of the
/// first half of the request's time, so that one which reaches no node is given up before that half is over, with a
/// second try behind a node that has vanished.
#[must_use]
pub fn connect_timeout(limit: Millis, patience: Millis, passed: Millis) -> Millis {
    let left = (patience / 2.0 - passed) / 2.0;
    left.clamp(patience / 16.0, limit.max(patience / 16.0))
}

#[cfg(test)]
mod tests {
    use super::*;
    use doorcourse::DeduplicationScope;

    fn class(effect: Idempotency, aim: Millis) -> RequestClass {
        let (name, group) = ("c".into(), DeduplicationScope::All);
        RequestClass {
            name,
            latency_objective: aim,
            idempotency: effect,
            deduplication_scope: group,
            deduplication_window: 0.0,
            priority_weight: 1.0,
            late_response_value: 0.0,
        }
    }

    #[test]
    fn the_strictest_effect_and_of_equals_the_most_urgent() {
        let classes = [
            class(Idempotency::Idempotent, 100.0),
            class(Idempotency::WithKey, 900.0),
            class(Idempotency::NonIdempotent, 500.0),
            class(Idempotency::NonIdempotent, 300.0),
            class(Idempotency::Idempotent, 2000.0),
        ];
        assert_eq!(operation_class(&classes, [0, 1]), Some(1));
        assert_eq!(operation_class(&classes, [0, 2, 1, 3]), Some(3));
        assert_eq!(operation_class(&classes, [4, 0]), Some(0));
        assert_eq!(operation_class(&classes, []), Some(4));
        assert_eq!(operation_class(&classes[1..4], []), None);
    }

    fn plan(rate: f64, burst: f64, ceiling: f64) -> Plan {
        Plan {
            name: "p".into(),
            rate,
            burst,
            max_in_flight: 0,
            ceiling_rate: if ceiling > 0.0 { rate * 2.0 } else { 0.0 },
            ceiling_burst: ceiling,
            ceiling_slack: 1.0,
            priority_factor: 1.0,
            over_quota_value: 0.0,
            over_quota_cost: 1.0,
        }
    }

    #[test]
    fn what_no_window_can_hold() {
        assert_eq!(check_plan_capacity(&plan(5.0, 40.0, 0.0), 40.0), Ok(()));
        assert_eq!(
            check_plan_capacity(&plan(5.0, 40.0, 0.0), 40.5),
            Err(ExceedsPlanCapacity { capacity: 40.0 })
        );
        assert_eq!(check_plan_capacity(&plan(0.0, 0.0, 0.0), 1e9), Ok(()));
        assert!(check_plan_capacity(&plan(5.0, 40.0, 64.0), f64::NAN).is_err());
    }

    #[test]
    fn a_dial_never_takes_the_first_half_of_the_time() {
        assert_eq!(connect_timeout(250.0, 400.0, 0.0), 100.0);
        assert_eq!(connect_timeout(250.0, 400.0, 100.0), 50.0);
        assert_eq!(connect_timeout(250.0, 2500.0, 0.0), 250.0);
        assert_eq!(connect_timeout(250.0, 400.0, 399.0), 25.0, "never nothing at all");
        assert_eq!(connect_timeout(5.0, 400.0, 0.0), 25.0, "nor less than a connection may take");
    }

    #[test]
    fn patience_leaves_time_for_the_answer() {
        assert_eq!(request_timeout(1000.0, None, 5000.0, 20.0), Some(980.0));
        assert_eq!(request_timeout(1000.0, Some(400.0), 5000.0, 20.0), Some(380.0));
        assert_eq!(request_timeout(1000.0, Some(9000.0), 5000.0, 20.0), Some(4980.0));
        assert_eq!(request_timeout(1000.0, Some(8.0), 5000.0, 20.0), Some(6.0));
        assert_eq!(request_timeout(1000.0, Some(0.0), 5000.0, 20.0), None);
        assert_eq!(request_timeout(1000.0, Some(-3.0), 5000.0, 20.0), None);
    }
}
