use super::*;

const MIB: u64 = 1 << 20;

#[test]
fn buffers_get_half_of_what_the_program_leaves() {
    for (memory_mib, limit_mib) in [(32, 10), (64, 26), (192, 90), (16, 4), (1, 0)] {
        assert_eq!(BufferBudget::for_memory(memory_mib * MIB).limit() / MIB, limit_mib, "{memory_mib} MiB");
    }
}

#[test]
fn large_requests_are_refused_before_small_ones() {
    let mut budget = BufferBudget::new(10 * MIB);
    budget.set_used(BufferHolder::Clients, 7 * MIB);
    assert!(budget.admits(64 << 10) && !budget.must_discard_partial_requests());
    budget.set_used(BufferHolder::Requests, 2 * MIB + (900 << 10));
    assert!(!budget.admits(64 << 10) && budget.admits(500));
    assert!(budget.must_discard_partial_requests() && !budget.is_exhausted());
    budget.set_used(BufferHolder::Backends, MIB);
    assert!(!budget.admits(0) && budget.is_exhausted());
    budget.set_used(BufferHolder::Clients, 0);
    assert_eq!(budget.used(), 3 * MIB + (900 << 10));
    assert!(budget.admits(64 << 10));
}

#[test]
fn commands_received_ahead_have_a_part_of_their_own() {
    let mut budget = BufferBudget::new(8 * MIB);
    budget.set_used(BufferHolder::Clients, 8 * MIB);
    assert_eq!(budget.read_ahead_limit(), 1 << 20);
}

#[test]
fn customers_get_a_quarter_of_what_the_program_leaves() {
    assert_eq!((max_customers(32 * MIB), max_customers(192 * MIB)), (8192, 73_728));
}
