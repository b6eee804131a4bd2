use super::*;

#[test]
fn a_connect_takes_half_of_what_is_left_of_the_first_half_within_its_bounds() {
    assert_eq!(connect_timeout(250.0, 400.0, 0.0), 100.0);
    assert_eq!(connect_timeout(250.0, 400.0, 100.0), 50.0);
    assert_eq!(connect_timeout(250.0, 2500.0, 0.0), 250.0);
    assert_eq!(connect_timeout(250.0, 400.0, 399.0), 25.0, "never without any time");
    assert_eq!(connect_timeout(5.0, 400.0, 0.0), 25.0, "nor less than a connect may need");
}

#[test]
fn a_request_timeout_leaves_the_margin_for_its_response() {
    assert_eq!(request_timeout(1000.0, None, 5000.0, 20.0), Some(980.0));
    assert_eq!(request_timeout(1000.0, Some(400.0), 5000.0, 20.0), Some(380.0));
    assert_eq!(request_timeout(1000.0, Some(9000.0), 5000.0, 20.0), Some(4980.0));
    assert_eq!(request_timeout(1000.0, Some(8.0), 5000.0, 20.0), Some(6.0));
    assert_eq!(request_timeout(1000.0, Some(0.0), 5000.0, 20.0), None);
    assert_eq!(request_timeout(1000.0, Some(-3.0), 5000.0, 20.0), None);
}
