use super::*;
use doorcourse::{DeduplicationScope, Millis};

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
