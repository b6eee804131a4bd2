//! The class of an operation.

use doorcourse::{Idempotency, RequestClass};

/// The class of an operation, by those of its root fields: the strictest effect among them, since the whole
/// operation is sent and repeated as one; of equals the most urgent aim, since its answer comes as one. An
/// operation of meta fields alone (introspection) is the most patient of the safe classes.
#[must_use]
pub fn operation_class(classes: &[RequestClass], fields: impl IntoIterator<Item = usize>) -> Option<usize> {
    let strictness = |effect: Idempotency| match effect {
        Idempotency::Idempotent => 0,
        Idempotency::WithKey => 1,
        Idempotency::NonIdempotent => 2,
    };
    let known = fields.into_iter().filter_map(|at| Some((at, classes.get(at)?)));
    let order = |(_, a): &(usize, &RequestClass), (_, b): &(usize, &RequestClass)| {
        strictness(a.idempotency)
            .cmp(&strictness(b.idempotency))
            .then(b.latency_objective.total_cmp(&a.latency_objective))
    };
    let of_fields = known.max_by(order).map(|(at, _)| at);
    of_fields.or_else(|| {
        let safe = classes.iter().enumerate().filter(|(_, c)| c.idempotency == Idempotency::Idempotent);
        safe.max_by(|a, b| a.1.latency_objective.total_cmp(&b.1.latency_objective)).map(|(at, _)| at)
    })
}

#[cfg(test)]
mod tests;
