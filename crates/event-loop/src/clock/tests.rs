use super::*;

#[test]
fn only_the_wall_at_the_start_counts() {
    let (start, wall) = (Instant::now(), UNIX_EPOCH + Duration::from_secs(100));
    let clock = Clock::new(wall, start);
    assert_eq!(clock.at(start), 100_000.0);
    // The wall clock is not read again, and an instant before the start does not move the time back.
    assert_eq!(clock.at(start + Duration::from_millis(5)), 100_005.0);
    assert_eq!(clock.at(start - Duration::from_millis(5)), 100_000.0);
}
