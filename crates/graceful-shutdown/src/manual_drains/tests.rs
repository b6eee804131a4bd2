use super::*;
use doorcourse::Placement;

fn entry(state: BackendState) -> BackendEntry {
    BackendEntry {
        name: "a".into(),
        zone: Name::default(),
        cell: 0,
        state,
        started: None,
        placement: Placement::default(),
    }
}

fn applied_state(drains: &ManualDrains, listed: BackendState) -> BackendState {
    drains.apply([entry(listed)])[0].state
}

#[test]
fn a_manual_drain_holds_while_its_backend_is_not_listed_until_it_is_ended() {
    let mut drains = ManualDrains::default();
    let backend: Name = "a".into();
    assert_eq!(applied_state(&drains, BackendState::Ready), BackendState::Ready);
    assert!(drains.set_drained(&backend, true) && !drains.set_drained(&backend, true));
    assert_eq!(applied_state(&drains, BackendState::Ready), BackendState::Draining);
    assert_eq!(applied_state(&drains, BackendState::Removed), BackendState::Removed);
    assert!(drains.apply([]).is_empty() && drains.is_drained(&backend));
    assert!(drains.set_drained(&backend, false) && !drains.set_drained(&backend, false));
    assert_eq!(applied_state(&drains, BackendState::Ready), BackendState::Ready);
}
