use super::*;

/// Operators' charts match these names, so they must not change.
#[test]
fn each_reason_is_counted_under_its_name() {
    let names = [
        "too_long",
        "unreadable",
        "foreign",
        "forged",
        "version",
        "sender",
        "receiver",
        "stale",
        "replayed",
        "too_many",
    ];
    for (at, reason) in DropReason::ALL.into_iter().enumerate() {
        let mut counters = DropCounters::default();
        counters.record(reason);
        assert_eq!(counters.count(reason), 1, "{reason:?}");
        let expected: Vec<_> =
            names.iter().enumerate().map(|(n, name)| (*name, u64::from(n == at))).collect();
        assert_eq!(counters.by_name().collect::<Vec<_>>(), expected, "{reason:?}");
    }
}
