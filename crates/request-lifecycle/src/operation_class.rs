//! Which request class a GraphQL operation belongs to.

use doorcourse::{Idempotency, RequestClass};
use std::cmp::Ordering;

/// The class of an operation, as an index into `classes`, from the classes of its root fields.
///
/// It is the class with the strictest idempotency among `field_classes`, since the operation is sent and retried as a
/// whole. Among equally strict classes it is the one with the shortest latency objective, since the response arrives as
/// a whole. An operation of which no root field has a class (introspection) gets the idempotent class with the longest
/// latency objective, or `None` where no class is idempotent. Indices beyond `classes` are ignored.
#[must_use]
pub fn operation_class(
    classes: &[RequestClass], field_classes: impl IntoIterator<Item = usize>,
) -> Option<usize> {
    let known = field_classes.into_iter().filter_map(|index| Some((index, classes.get(index)?)));
    let strictest = known.max_by(|(_, a), (_, b)| compare_strictness(a, b));
    match strictest {
        Some((index, _)) => Some(index),
        None => longest_idempotent_class(classes),
    }
}

/// Orders classes by strictness: by their idempotency, then by a shorter latency objective.
fn compare_strictness(a: &RequestClass, b: &RequestClass) -> Ordering {
    idempotency_strictness(a.idempotency)
        .cmp(&idempotency_strictness(b.idempotency))
        .then(b.latency_objective.total_cmp(&a.latency_objective))
}

fn idempotency_strictness(idempotency: Idempotency) -> u8 {
    match idempotency {
        Idempotency::Idempotent => 0,
        Idempotency::WithKey => 1,
        Idempotency::NonIdempotent => 2,
    }
}

fn longest_idempotent_class(classes: &[RequestClass]) -> Option<usize> {
    let idempotent =
        classes.iter().enumerate().filter(|(_, class)| class.idempotency == Idempotency::Idempotent);
    let longest = idempotent.max_by(|(_, a), (_, b)| a.latency_objective.total_cmp(&b.latency_objective));
    longest.map(|(index, _)| index)
}

#[cfg(test)]
mod tests;
