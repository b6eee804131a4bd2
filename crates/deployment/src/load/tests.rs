//! Tests of `load`.

use super::*;

#[test]
fn reports_of_both_wires() {
    let wanted = LoadReport { in_flight: Some(7.0), queued: Some(2.0), service_time: None };
    assert_eq!(report("inflight=7,queue=2,util=0.61", '='), Ok(wanted));
    assert_eq!(report("outstanding:7,backlog:2,utilization:0.61", ':'), Ok(wanted));
    for bad in ["", "queue", "queue=", "queue=x", "queue=inf", "queue=1,,"] {
        assert!(report(bad, '=').is_err(), "{bad:?}");
    }
}
