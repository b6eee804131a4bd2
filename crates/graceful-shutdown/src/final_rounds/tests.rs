use super::*;

#[test]
fn rounds_end_also_for_what_never_does() {
    let mut rounds = FinalRounds::new(2);
    for _ in 0..3 {
        assert_eq!(rounds.next(vec![7]), FinalRound::ExpireAttempts(vec![7]));
    }
    assert_eq!(rounds.next(vec![7]), FinalRound::ResetClients(vec![7]));
    assert_eq!(rounds.next(Vec::new()), FinalRound::Finished);
}
