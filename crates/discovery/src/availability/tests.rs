use super::SourceAvailability;

#[test]
fn a_loss_is_reported_where_none_was_reported_or_it_ends_the_availability() {
    // Both flags before the loss, whether the connection was a silent watch, whether the loss is reported, and whether
    // the source stays available.
    for (available, loss_reported, silent_watch, is_reported, stays_available) in [
        (false, false, false, true, false),
        (false, false, true, true, false),
        (false, true, false, false, false),
        (false, true, true, false, false),
        (true, false, false, true, false),
        (true, false, true, true, true),
        (true, true, false, true, false),
        (true, true, true, false, true),
    ] {
        let mut availability = SourceAvailability { available, loss_reported };
        let case = format!("{availability:?}, silent watch: {silent_watch}");
        assert_eq!(availability.connection_lost(silent_watch), is_reported, "{case}");
        assert!(availability.loss_reported, "{case}");
        assert_eq!(availability.list_applied(), !stays_available, "{case}");
    }
}
