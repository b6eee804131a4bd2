use super::*;

#[test]
fn the_next_slot_is_the_first_at_or_after_a_time() {
    assert_eq!(next_slot(100, 10, 3), 103);
    assert_eq!(next_slot(103, 10, 3), 103);
    assert_eq!(next_slot(104, 10, 3), 113);
    assert_eq!(next_slot(0, 10, 3), 3, "a time before the first slot");
}

#[test]
fn gateways_of_a_fleet_have_slots_of_their_own() {
    let offsets: Vec<Millis> = (0..5).map(|gateway| slot_offset(gateway, 5, 100)).collect();
    assert_eq!(offsets, [0, 20, 40, 60, 80]);
    assert_eq!(slot_offset(7, 0, 10), 0, "no gateway is known");
}

#[test]
fn random_numbers_are_below_their_bound_and_repeat_with_their_seed() {
    for draw in 1..100 {
        assert!(random_below(10, 7, draw) < 10);
        assert_eq!(random_below(10, 7, draw), random_below(10, 7, draw));
        assert_eq!(random_below(0, 7, draw), 0);
    }
}
