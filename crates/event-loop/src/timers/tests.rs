use super::*;

#[test]
fn timers_of_what_has_ended_do_not_add_up() {
    let mut timers = Timers::default();
    let open = 100;
    let mut most = 0;
    for number in 0..100_000_u32 {
        timers.schedule(1e9 - f64::from(number), number);
        timers.remove_unneeded(|timer| timer + open > number);
        most = most.max(timers.len());
    }
    assert!(most <= MIN_EXAMINED, "{most} timers");
    timers.remove_unneeded(|_| true);
    let mut expired: Vec<u32> = std::iter::from_fn(|| timers.pop_expired(1e9)).collect();
    assert_eq!(expired.len(), timers_left(&expired));
    expired.truncate(open as usize);
    assert!(expired.iter().copied().eq((100_000 - open..100_000).rev()), "the needed ones expire in order");
    assert!(timers.is_empty());
}

fn timers_left(expired: &[u32]) -> usize {
    expired.windows(2).filter(|pair| pair[0] > pair[1]).count() + 1
}
