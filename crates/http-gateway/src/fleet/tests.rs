use super::*;

/// Operators and their scripts read these texts in the reply of `ctl leases`.
#[test]
fn each_refusal_keeps_its_text_in_admin_replies() {
    assert_eq!(refusal_text(Refusal::Silent), "Silent");
    assert_eq!(refusal_text(Refusal::Version), "Version");
    assert_eq!(refusal_text(Refusal::Held { by: 2, left: 1234 }), "Held { by: 2, left: 1234 }");
    assert_eq!(refusal_text(Refusal::Token), "Token");
    assert_eq!(refusal_text(Refusal::Length), "Length");
    assert_eq!(refusal_text(Refusal::Full), "Full");
}
