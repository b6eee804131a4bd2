//! The timeout of a request, and of a connect for one of its attempts.

use doorcourse::Millis;

/// The timeout of a request that is passed to the decision library, in ms: the client's timeout, less a margin in which
/// the response travels to the client. `None` where nothing is left: no response would reach the client in time.
///
/// `class_timeout` applies where the client names no finite `client_timeout`; both are limited to `max_timeout`. The
/// `response_margin` is limited to a quarter of the timeout, so that requests with a short timeout can be served at
/// all.
#[must_use]
pub fn request_timeout(
    class_timeout: Millis, client_timeout: Option<Millis>, max_timeout: Millis, response_margin: Millis,
) -> Option<Millis> {
    let timeout =
        client_timeout.filter(|timeout| timeout.is_finite()).unwrap_or(class_timeout).min(max_timeout);
    let remaining = timeout - response_margin.min(timeout / 4.0);
    if remaining > 0.0 { Some(remaining) } else { None }
}

/// The timeout of a connect for an attempt, in ms.
///
/// It is half of the time that remains until half of the request's timeout has passed, at most `max_connect_timeout`,
/// and at least a sixteenth of the request's timeout; the lower bound takes precedence over `max_connect_timeout`. So a
/// request that reaches no backend ends before half of its timeout has passed, with time for a second connect where the
/// first backend does not answer. `elapsed` is the age of the request, in ms.
#[must_use]
pub fn connect_timeout(max_connect_timeout: Millis, request_timeout: Millis, elapsed: Millis) -> Millis {
    let timeout = (request_timeout / 2.0 - elapsed) / 2.0;
    let min_connect_timeout = request_timeout / 16.0;
    timeout.clamp(min_connect_timeout, max_connect_timeout.max(min_connect_timeout))
}

#[cfg(test)]
mod tests;
