use super::*;
use doorcourse::{DeduplicationScope, Millis};

fn class(idempotency: Idempotency, latency_objective: Millis) -> RequestClass {
    RequestClass {
        name: "c".into(),
        latency_objective,
        idempotency,
        deduplication_scope: DeduplicationScope::All,
        deduplication_window: 0.0,
        priority_weight: 1.0,
        late_response_value: 0.0,
    }
}

#[test]
fn the_strictest_class_is_chosen_and_of_equals_the_one_with_the_shortest_objective() {
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
    assert_eq!(operation_class(&classes, []), Some(4), "introspection");
    assert_eq!(operation_class(&classes[1..4], []), None, "no class is idempotent");
}
