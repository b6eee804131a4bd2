use super::*;

/// Operators and their scripts read these texts in the reply of `ctl leases`.
#[test]
fn each_refusal_keeps_its_text_in_admin_replies() {
    assert_eq!(refusal_text(Refusal::NotVoting), "Silent");
    assert_eq!(refusal_text(Refusal::VersionMismatch), "Version");
    assert_eq!(
        refusal_text(Refusal::HeldByOther { holder: 2, remaining: 1234 }),
        "Held { by: 2, left: 1234 }"
    );
    assert_eq!(refusal_text(Refusal::StaleToken), "Token");
    assert_eq!(refusal_text(Refusal::LeaseTooLong), "Length");
    assert_eq!(refusal_text(Refusal::TooManyTasks), "Full");
}
