//! The order in which an iteration of the event loop handles what a poll has reported.

use crate::reactor::{Token, TokenKind};
use doorcourse_event_loop::Ready;

/// The ready descriptors of an iteration, in the order in which they are handled.
pub(super) struct ReadyOrder<'a> {
    /// Disconnected clients, then signals, discovery, the counter and backends.
    pub(super) before_timers: &'a [Ready],
    /// The listener and the other clients.
    pub(super) after_timers: &'a [Ready],
}

impl<'a> ReadyOrder<'a> {
    pub(super) fn sort(ready: &'a mut [Ready]) -> Self {
        let is_disconnect =
            |ready: &Ready| ready.peer_closed && Token::kind_of(ready.token) == Some(TokenKind::Client);
        let is_before_timers = |ready: &Ready| {
            is_disconnect(ready) || Token::kind_of(ready.token).is_some_and(|kind| kind < TokenKind::Listener)
        };
        ready.sort_unstable_by_key(|ready| (!is_disconnect(ready), ready.token));
        let split = ready.partition_point(is_before_timers);
        let (before_timers, after_timers) = ready.split_at(split);
        Self { before_timers, after_timers }
    }
}
