//! Checks request classes, plans and customers.

use super::Checker;
use crate::Customer;
use crate::raw::{self, class};
use doorcourse::{DeduplicationScope, Idempotency, MIN_CEILING_FACTOR, Plan, RequestClass};
use std::collections::{HashMap, HashSet};
use std::sync::Arc;

/// Checks the classes. Returns them and the client timeout of each, in ms.
pub(super) fn classes(raw: &[raw::Class], checker: &mut Checker<'_>) -> (Vec<RequestClass>, Vec<f64>) {
    if raw.is_empty() {
        checker.fault("classes", "at least one class is required");
    }
    let (mut seen, mut client_timeouts) = (HashSet::new(), Vec::new());
    let mut classes = Vec::new();
    for (index, raw) in raw.iter().enumerate() {
        let path = |field: &str| format!("classes[{index}].{field}");
        let name = checker.unique_name(&path("name"), &raw.name, &mut seen);
        let latency_objective = checker.number(&path("aim_ms"), raw.aim_ms, 1.0..=6e5);
        client_timeouts.push(checker.number(
            &path("give_up_ms"),
            raw.give_up_ms,
            latency_objective.max(1.0)..=3.6e6,
        ));
        let idempotency = match raw.effect() {
            class::Effect::Unstated => {
                checker.fault(&path("effect"), "one of SAFE, KEYED and UNSAFE is required");
                Idempotency::NonIdempotent
            }
            class::Effect::Safe => Idempotency::Idempotent,
            class::Effect::Keyed => Idempotency::WithKey,
            class::Effect::Unsafe => Idempotency::NonIdempotent,
        };
        let deduplication_scope = match raw.group() {
            class::Group::All => DeduplicationScope::All,
            class::Group::Zone => DeduplicationScope::Zone,
            class::Group::Cell => DeduplicationScope::Cell,
        };
        let deduplication_window = checker.number(&path("memory_ms"), raw.memory_ms, 0.0..=3.6e6);
        if idempotency == Idempotency::WithKey && deduplication_window == 0.0 {
            checker.fault(&path("memory_ms"), "a KEYED class needs a memory_ms above 0");
        }
        let priority_weight = checker.number(&path("worth"), raw.worth.unwrap_or(1.0), 0.0..=1e6);
        let late_response_value = checker.number(&path("late_worth"), raw.late_worth, 0.0..=1.0);
        classes.push(RequestClass {
            name,
            latency_objective,
            idempotency,
            deduplication_scope,
            deduplication_window,
            priority_weight,
            late_response_value,
        });
    }
    (classes, client_timeouts)
}

/// Checks the plans.
pub(super) fn plans(raw: &[raw::Plan], checker: &mut Checker<'_>) -> Vec<Plan> {
    if raw.is_empty() {
        checker.fault("plans", "at least one plan is required");
    }
    let mut seen = HashSet::new();
    let mut plans = Vec::new();
    for (index, raw) in raw.iter().enumerate() {
        let path = |field: &str| format!("plans[{index}].{field}");
        let name = checker.unique_name(&path("name"), &raw.name, &mut seen);
        let rate = checker.number(&path("rate"), raw.rate, 0.0..=1e9);
        let burst = checker.number(&path("burst"), raw.burst, 0.0..=1e9);
        if rate > 0.0 && burst <= 0.0 {
            checker.fault(&path("burst"), "a plan with a rate needs a burst above 0");
        }
        let ceiling_rate = checker.number(&path("ceiling_rate"), raw.ceiling_rate, 0.0..=1e9);
        let ceiling_burst = checker.number(&path("ceiling_burst"), raw.ceiling_burst, 0.0..=1e9);
        if ceiling_rate > 0.0 {
            // Below these ratios the decisions cannot guarantee that the ceiling is kept, so such a plan is rejected.
            if ceiling_rate < rate * MIN_CEILING_FACTOR {
                checker.fault(
                    &path("ceiling_rate"),
                    format!("{ceiling_rate} is below {MIN_CEILING_FACTOR} times the rate"),
                );
            }
            if ceiling_burst < burst * MIN_CEILING_FACTOR {
                checker.fault(
                    &path("ceiling_burst"),
                    format!("{ceiling_burst} is below {MIN_CEILING_FACTOR} times the burst"),
                );
            }
            if ceiling_burst <= 0.0 {
                checker.fault(&path("ceiling_burst"), "a plan with a ceiling needs a ceiling burst above 0");
            }
        }
        plans.push(Plan {
            name,
            rate,
            burst,
            ceiling_rate,
            ceiling_burst,
            max_in_flight: checker.integer(&path("open"), raw.open.into(), 0..=1_000_000) as u32,
            ceiling_slack: checker.number(&path("ceiling_slack"), raw.ceiling_slack, 0.0..=1e9),
            priority_factor: checker.number(&path("price"), raw.price.unwrap_or(1.0), 0.0..=1e6),
            over_quota_value: checker.number(&path("over_worth"), raw.over_worth, 0.0..=1.0),
            over_quota_cost: checker.number(&path("over_cost"), raw.over_cost.unwrap_or(1.0), 0.0..=100.0),
        });
    }
    plans
}

/// Checks the customers. Returns them by the SHA-256 of each of their keys.
pub(super) fn customers_by_key(
    raw: &raw::Settings, gateways: u32, plans: &[Plan], checker: &mut Checker<'_>,
) -> HashMap<[u8; 32], Arc<Customer>> {
    let (mut seen, mut keys) = (HashSet::new(), HashMap::new());
    for (index, raw) in raw.customers.iter().enumerate() {
        let path = |field: &str| format!("customers[{index}].{field}");
        let name = checker.unique_name(&path("name"), &raw.name, &mut seen);
        let plan_index = plans.iter().position(|p| *p.name == *raw.plan);
        if plan_index.is_none() {
            let plan_names: Vec<&str> = plans.iter().map(|p| &*p.name).collect();
            checker.fault(
                &path("plan"),
                format!("`{}` is not a plan: the plans are {}", raw.plan, plan_names.join(", ")),
            );
        }
        let first_gateway = raw.first_gateway.unwrap_or(0);
        if first_gateway >= gateways {
            checker.fault(
                &path("first_gateway"),
                format!("{first_gateway} is not below the number of gateways, {gateways}"),
            );
        }
        let gateway_count = raw.gateways.unwrap_or(gateways);
        checker.integer(&path("gateways"), gateway_count.into(), 1..=gateways.into());
        if raw.key_sha256.is_empty() {
            checker.fault(&path("key_sha256"), "at least one key is required");
        }
        let customer =
            Arc::new(Customer { name, plan_index: plan_index.unwrap_or(0), first_gateway, gateway_count });
        for (key_index, digits) in raw.key_sha256.iter().enumerate() {
            let path = path(&format!("key_sha256[{key_index}]"));
            match key_hash(digits) {
                Some(hash) => {
                    if keys.insert(hash, Arc::clone(&customer)).is_some() {
                        checker.fault(&path, "this key is listed twice");
                    }
                }
                None => {
                    checker
                        .fault(&path, "64 hex digits of a SHA-256 are expected: printf %s KEY | sha256sum");
                }
            }
        }
    }
    keys
}

fn key_hash(digits: &str) -> Option<[u8; 32]> {
    if digits.len() != 64 || !digits.bytes().all(|b| b.is_ascii_hexdigit()) {
        return None;
    }
    let mut hash = [0; 32];
    for (byte, start) in hash.iter_mut().zip((0..64).step_by(2)) {
        *byte = u8::from_str_radix(&digits[start..start + 2], 16).ok()?;
    }
    Some(hash)
}
