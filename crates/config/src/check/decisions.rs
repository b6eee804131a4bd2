//! Checks the settings of the decision library that are not lists of their own.

use super::Checker;
use crate::{Routing, raw};
use doorcourse::{Plan, RequestClass};

/// The gateway's place in its fleet.
#[derive(Clone, Copy, Debug)]
pub(super) struct FleetPlace {
    /// How many gateways the fleet has.
    pub gateways: u32,
    /// The number of this one.
    pub number: u32,
    /// The price of a request to another zone.
    pub cross_zone_price: f64,
}

/// Checks the gateway's place in its fleet.
pub(super) fn fleet_place(raw: &raw::Fleet, checker: &mut Checker<'_>) -> FleetPlace {
    let gateways = checker.integer("fleet.gateways", raw.gateways.unwrap_or(1).into(), 1..=10_000) as u32;
    let number = raw.number.unwrap_or(0);
    if number >= gateways {
        checker.fault("fleet.number", format!("{number} is not below the number of gateways, {gateways}"));
    }
    let cross_zone_price =
        checker.number("fleet.price_cross_zone", raw.price_cross_zone.unwrap_or(0.0), 0.0..=100.0);
    FleetPlace { gateways, number, cross_zone_price }
}

/// What the decision library gets from other parts of the settings.
pub(super) struct DecisionParts<'a> {
    pub place: FleetPlace,
    pub classes: Vec<RequestClass>,
    pub plans: Vec<Plan>,
    /// How long a call to the counter may take, in ms.
    pub counter_timeout: f64,
    pub routing: &'a Routing,
}

/// Returns the settings of the decision library, which checks them as a whole where nothing else is wrong.
pub(super) fn decisions(
    raw: &raw::Settings, parts: DecisionParts<'_>, checker: &mut Checker<'_>,
) -> doorcourse::Settings {
    let slow_start = raw.cold_nodes.unwrap_or_default();
    // The decisions do not use this: the gateway compares the cost of a request with its plan.
    let max_request_units = parts.plans.iter().map(|plan| plan.burst).fold(1.0, f64::max);
    let mut settings = doorcourse::Settings {
        gateway_count: parts.place.gateways,
        gateway_index: parts.place.number,
        zone: raw.fleet.as_ref().and_then(|fleet| fleet.zone.clone()).unwrap_or_default().into(),
        tick: 1.0,
        classes: parts.classes,
        plans: parts.plans,
        // Without a shared counter, the process counts in itself.
        has_counter: true,
        counter_timeout: parts.counter_timeout,
        responses_report_units: true,
        max_request_units,
        // The settings name every customer.
        max_customers: None,
        cross_zone_price: parts.place.cross_zone_price,
        routing: doorcourse::Routing {
            load_balancing: parts.routing.load_balancing,
            strict_affinity: parts.routing.strict_affinity,
            assume_restart: slow_start.assume_restart.unwrap_or(true),
        },
        ..doorcourse::Settings::default()
    };
    apply_retries(raw.attempts.unwrap_or_default(), &mut settings, checker);
    apply_slow_start(slow_start, &mut settings, checker);
    if checker.faults.is_empty()
        && let Err(error) = doorcourse::Gateway::new(settings.clone(), 1)
    {
        checker.fault("", error.to_string());
    }
    settings
}

fn apply_retries(raw: raw::Attempts, settings: &mut doorcourse::Settings, checker: &mut Checker<'_>) {
    settings.max_attempts = checker.integer("attempts.most", raw.most.unwrap_or(3).into(), 1..=100) as u32;
    let max_retry_after = raw.longest_advice_ms.unwrap_or(10_000.0);
    settings.max_retry_after = checker.number("attempts.longest_advice_ms", max_retry_after, 0.0..=3.6e6);
}

fn apply_slow_start(raw: raw::ColdNodes, settings: &mut doorcourse::Settings, checker: &mut Checker<'_>) {
    let mut number = |field: &str, value: Option<f64>, default: f64, range| {
        checker.number(&format!("cold_nodes.{field}"), value.unwrap_or(default), range)
    };
    settings.slow_start_share = number("share", raw.share, 0.2, 0.0..=1.0);
    settings.slow_start_duration = number("warm_ms", raw.warm_ms, 20_000.0, 0.0..=3.6e6);
    settings.overload_multiple = number("fall_multiple", raw.fall_multiple, 2.0, 1.0..=100.0);
    settings.overload_window = number("fall_ms", raw.fall_ms, 1000.0, 1.0..=6e5);
}
