use super::*;

fn round() -> QuorumRound {
    QuorumRound { number: 4, started_at: 100, grants: BTreeSet::new(), refusals: BTreeMap::new() }
}

fn held_by(holder: GatewayNumber, remaining: Millis) -> Refusal {
    Refusal::HeldByOther { holder, remaining }
}

#[test]
fn a_reply_counts_only_for_its_round_its_token_and_from_a_voter() {
    let voters = VoterConfiguration::first(0..3);
    let reply = VoteReply { voter: 1, round: 4, task: 1, token: 9, vote: Vote::Granted };
    assert!(round().accepts(&reply, 9, &voters));
    assert!(!round().accepts(&reply, 8, &voters), "another token");
    assert!(!round().accepts(&VoteReply { round: 3, ..reply }, 9, &voters), "an earlier round");
    assert!(!round().accepts(&VoteReply { voter: 3, ..reply }, 9, &voters), "not a voter");
    let mut invalid = round();
    invalid.invalidate();
    assert!(!invalid.accepts(&reply, 9, &voters), "the voters have changed");
}

#[test]
fn a_majority_of_grants_or_of_refusals_decides_a_round() {
    let voters = VoterConfiguration::first(0..3);
    let mut granted = round();
    granted.grants.insert(0);
    assert!(matches!(granted.outcome(&voters), RoundOutcome::Open));
    granted.grants.insert(1);
    assert!(matches!(granted.outcome(&voters), RoundOutcome::Granted));
    let mut refused = round();
    refused.record_refusal(0, Refusal::NotVoting, 100);
    assert!(matches!(refused.outcome(&voters), RoundOutcome::Open));
    refused.record_refusal(1, Refusal::NotVoting, 100);
    assert!(matches!(refused.outcome(&voters), RoundOutcome::Rejected));
}

#[test]
fn a_candidate_waits_for_a_holder_that_a_majority_names() {
    let voters = VoterConfiguration::first(0..3);
    let mut competing = round();
    competing.record_refusal(0, held_by(2, 40), 100);
    competing.record_refusal(1, held_by(1, 90), 100);
    assert_eq!(competing.competing_lease_remaining(&voters), 0, "no majority names one holder");
    competing.record_refusal(1, held_by(2, 60), 100);
    assert_eq!(competing.competing_lease_remaining(&voters), 60, "the longer of both");
    competing.record_refusal(1, held_by(2, 1_000), 100);
    assert_eq!(competing.competing_lease_remaining(&voters), 100, "at most the longest lease");
}
