use super::*;

#[test]
fn every_limit_leaves_descriptors_for_clients_backends_and_the_program() {
    for descriptors in [1, 8, 64, 256, 1024, 4096] {
        let budget = DescriptorBudget::for_limit(descriptors);
        assert!(budget.clients >= 1 && budget.backends >= 1);
        assert!(descriptors < 64 || budget.clients + budget.backends + PROGRAM_DESCRIPTORS <= descriptors);
        assert!(descriptors < 256 || budget.backends * 3 > descriptors, "a third for requests");
    }
}
