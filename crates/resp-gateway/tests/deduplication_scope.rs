//! Where a request with an idempotency key is retried after an attempt that was executed: only at backends that share
//! the record of keys with the backend of that attempt, as the class and the endpoint list state it.

mod rig;

use rig::{Backend, Reply, Shared, TestGateway, endpoint, is_served, settings, value};
use serde_json::{Value as Json, json};
use std::collections::BTreeMap;
use std::sync::Arc;

/// The backends that share each record of keys.
const BACKENDS_PER_RECORD: usize = 3;
const REQUEST_COUNT: usize = 40;
/// The first attempt of one request in so many is reset after it was executed.
const RESET_INTERVAL: usize = 4;

/// By request id, the record of keys at each backend that executed the request, in order.
type Executions = Shared<BTreeMap<String, Vec<usize>>>;

/// Starts a backend that executes each command and then either serves it or resets the connection.
fn backend_of_record(record: usize, executions: &Arc<Executions>) -> Backend {
    let executions = executions.clone();
    Backend::start(move |command| {
        let (executions_of_request, request_count) = executions.update(|executions| {
            let records = executions.entry(command.arguments[2].clone()).or_default();
            records.push(record);
            (records.len(), executions.len())
        });
        if executions_of_request == 1 && request_count.is_multiple_of(RESET_INTERVAL) {
            Reply::Reset
        } else {
            Reply::Bytes(value("good"))
        }
    })
}

/// Plays keyed requests at backends of two records of keys, which `field` of the endpoint list tells apart by `names`.
fn executions(scope: &str, field: &str, names: [Json; 2]) -> BTreeMap<String, Vec<usize>> {
    let executions = Shared::new(BTreeMap::new());
    let records = (0..2 * BACKENDS_PER_RECORD).map(|number| number % 2);
    let backends: Vec<_> = records.map(|record| (record, backend_of_record(record, &executions))).collect();
    let endpoints = backends.iter().enumerate().map(|(number, (record, backend))| {
        let mut endpoint = endpoint(&format!("b{number}"), backend.address, "active");
        endpoint[field] = names[*record].clone();
        endpoint
    });
    let mut settings = settings();
    settings["classes"][1]["dedup-scope"] = scope.into();
    let rig = TestGateway::new(endpoints.collect(), settings, 1024);
    let mut client = rig.client();
    for _ in 0..REQUEST_COUNT {
        assert!(is_served(&client.request("save", 1500), "good"), "{scope}");
    }
    executions.update(std::mem::take)
}

/// Guards against an endpoint list whose zone or cell is not read: all backends then seem to share one record of keys,
/// and a request that was executed in one zone is executed again in another.
#[test]
fn keyed_request_that_was_executed_is_retried_only_where_its_key_is_recorded() {
    for (scope, field, names) in
        [("zone", "site", [json!("floor-2"), json!("floor-3")]), ("cell", "block", [json!(1), json!(2)])]
    {
        let executions = executions(scope, field, names);
        let retried: Vec<_> = executions.values().filter(|records| records.len() > 1).collect();
        assert_eq!(retried.len(), REQUEST_COUNT / RESET_INTERVAL, "{scope}: each reset request is retried");
        assert!(
            retried.iter().all(|records| records.iter().all(|record| *record == records[0])),
            "{scope}: executed where the key is not recorded: {retried:?}"
        );
    }
}
