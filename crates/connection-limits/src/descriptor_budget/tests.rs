use super::*;

#[test]
fn shares_leave_room_for_all() {
    for descriptors in [1, 8, 64, 256, 1024, 4096] {
        let shares = DescriptorBudget::for_limit(descriptors);
        assert!(shares.clients >= 1 && shares.backends >= 1);
        assert!(descriptors < 64 || shares.clients + shares.backends + NEEDED <= descriptors);
        assert!(descriptors < 256 || shares.backends * 3 > descriptors, "a third for requests");
    }
}
