use super::*;

#[test]
fn a_sequence_number_is_accepted_once_and_late_ones_within_the_window() {
    let mut peer = Peer::new(0);
    for sequence in [5, 7, 6, 100, 99, 37] {
        assert!(peer.accept_sequence(sequence), "{sequence}");
        assert!(!peer.accept_sequence(sequence), "{sequence} again");
    }
    assert!(!peer.accept_sequence(36) && !peer.accept_sequence(0), "below the window");
    assert_eq!(peer.status(1, 0).lost, 96 - 6);
    assert!(peer.accept_incarnation(9) && peer.accept_sequence(1));
    assert_eq!((peer.status(1, 0).received, peer.status(1, 0).lost), (7, 90));
}

#[test]
fn a_former_incarnation_is_remembered() {
    let mut peer = Peer::new(0);
    assert!(peer.accept_incarnation(1) && !peer.accept_incarnation(1) && peer.accept_incarnation(2));
    assert!(peer.is_former_incarnation(1) && !peer.is_former_incarnation(2));
    assert!((3..100).all(|start| peer.accept_incarnation(start)));
    assert!(peer.former_incarnations.len() <= MAX_FORMER_INCARNATIONS && peer.is_former_incarnation(98));
}
