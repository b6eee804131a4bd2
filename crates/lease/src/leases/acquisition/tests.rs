use super::*;

#[test]
fn a_new_token_is_above_the_highest_and_not_below_the_wall_clock() {
    let first = token_after(0, 1_000, 3);
    assert_eq!(first, 1_000 << TOKEN_GATEWAY_BITS | 3);
    let second = token_after(first, 1_000, 2);
    assert!(second > first, "the wall clock did not advance");
    assert_eq!(second, 1_001 << TOKEN_GATEWAY_BITS | 2);
    assert!(token_after(second, 500, 0) > second, "the wall clock was set back");
}

#[test]
fn gateways_make_different_tokens_at_the_same_time() {
    assert_ne!(token_after(0, 1_000, 3), token_after(0, 1_000, 2));
}
