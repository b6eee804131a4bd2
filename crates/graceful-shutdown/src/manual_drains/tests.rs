use super::*;
use doorcourse::Placement;

#[test]
fn a_hand_s_word_outlives_the_list() {
    let entry = |state| BackendEntry {
        name: "a".into(),
        zone: Name::default(),
        cell: 0,
        state,
        started: None,
        placement: Placement::default(),
    };
    let mut drains = ManualDrains::default();
    let state = |d: &ManualDrains, s| d.apply([entry(s)])[0].state;
    assert_eq!(state(&drains, BackendState::Ready), BackendState::Ready);
    assert!(drains.set_drained(&"a".into(), true) && !drains.set_drained(&"a".into(), true));
    assert_eq!(state(&drains, BackendState::Ready), BackendState::Draining);
    assert_eq!(state(&drains, BackendState::Removed), BackendState::Removed);
    assert!(drains.apply([]).is_empty() && drains.is_drained(&"a".into()));
    assert!(drains.set_drained(&"a".into(), false) && !drains.set_drained(&"a".into(), false));
    assert_eq!(state(&drains, BackendState::Ready), BackendState::Ready);
}
