//! How long the decisions and an attempt's connect have for a request.

use doorcourse::Millis;

/// How long the decisions have for a request: until the client gives up, by its own word or its class, less the
/// margin in which the answer travels. `None` when nothing is left: the client will not hear any answer.
#[must_use]
pub fn request_timeout(
    give_up: Millis, asked: Option<Millis>, longest: Millis, margin: Millis,
) -> Option<Millis> {
    let whole = asked.filter(|a| a.is_finite()).unwrap_or(give_up).min(longest);
    // A margin that is most of a short deadline would refuse what could be answered: a quarter at most.
    let left = whole - margin.min(whole / 4.0);
    if left > 0.0 { Some(left) } else { None }
}

/// How long an attempt waits for its connection: no longer than the host's limit, and by halves of what is left of the
/// first half of the request's time, so that one which reaches no node is given up before that half is over, with a
/// second try behind a node that has vanished.
#[must_use]
pub fn connect_timeout(limit: Millis, patience: Millis, passed: Millis) -> Millis {
    let left = (patience / 2.0 - passed) / 2.0;
    left.clamp(patience / 16.0, limit.max(patience / 16.0))
}

#[cfg(test)]
mod tests;
