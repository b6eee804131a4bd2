use super::*;

#[test]
fn a_request_that_never_ends_has_its_client_reset_after_one_round_more_than_its_attempts() {
    let mut rounds = FinalRounds::new(2);
    for _ in 0..3 {
        assert_eq!(rounds.next(vec![7]), FinalRound::ExpireAttempts(vec![7]));
    }
    assert_eq!(rounds.next(vec![7]), FinalRound::ResetClients(vec![7]));
    assert_eq!(rounds.next(Vec::new()), FinalRound::Finished);
}
