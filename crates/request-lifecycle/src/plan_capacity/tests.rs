use super::*;

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
    assert_eq!(check_plan_capacity(&plan(5.0, 40.0, 0.0), 40.5), Err(ExceedsPlanCapacity { capacity: 40.0 }));
    assert_eq!(check_plan_capacity(&plan(0.0, 0.0, 0.0), 1e9), Ok(()));
    assert!(check_plan_capacity(&plan(5.0, 40.0, 64.0), f64::NAN).is_err());
}
