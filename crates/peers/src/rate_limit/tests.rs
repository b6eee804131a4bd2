use super::*;

#[test]
fn a_burst_is_allowed_and_then_the_rate() {
    let mut limit = RateLimit::new(0);
    let burst = (0..2_000).filter(|_| limit.try_take(0)).count();
    assert_eq!(burst, 800);
    let next_second = (1..=1_000).filter(|now| limit.try_take(*now)).count();
    assert_eq!(next_second, 400);
}

#[test]
fn an_earlier_time_refills_nothing() {
    let mut limit = RateLimit::new(1_000);
    while limit.try_take(1_000) {}
    assert!(!limit.try_take(0));
    assert!(!limit.try_take(1_000));
}
