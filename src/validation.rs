//! Checks whether settings can be used.
//!
//! The texts that name a value are frozen: hosts print them as part of error messages. They use the words of the
//! settings files ("aim", "worth", "fall time"), not the terms of the code; each check pairs a field with its text.

use crate::{Settings, SettingsError};

/// Checks all values of the settings.
///
/// # Errors
/// The first invalid value found.
pub(crate) fn validate(settings: &Settings) -> Result<(), SettingsError> {
    if settings.classes.is_empty() {
        return Err(SettingsError::NoClasses);
    }
    if settings.gateway_index >= settings.gateway_count {
        return Err(SettingsError::GatewayIndexOutOfRange);
    }
    let require = |value: f64, what| {
        if value.is_finite() && value >= 0.0 { Ok(()) } else { Err(SettingsError::InvalidValue(what)) }
    };
    for class in &settings.classes {
        require(class.latency_objective, "a class's aim")?;
        require(class.deduplication_window, "a class's memory")?;
        require(class.priority_weight, "a class's worth")?;
        require(class.late_response_value, "a class's late worth")?;
    }
    for plan in &settings.plans {
        require(plan.rate, "a plan's rate")?;
        require(plan.burst, "a plan's burst")?;
        require(plan.ceiling_rate, "a plan's ceiling rate")?;
        require(plan.ceiling_burst, "a plan's ceiling burst")?;
        require(plan.ceiling_slack, "a plan's ceiling slack")?;
        require(plan.priority_factor, "a plan's price")?;
        if plan.rate > 0.0 && plan.burst <= 0.0 {
            return Err(SettingsError::InvalidValue("a plan's burst"));
        }
        if plan.ceiling_rate > 0.0 && plan.ceiling_burst <= 0.0 {
            return Err(SettingsError::InvalidValue("a plan's ceiling burst"));
        }
    }
    require(settings.tick, "tick")?;
    require(settings.counter_timeout, "counter time-out")?;
    require(settings.max_request_units, "most units")?;
    require(settings.max_retry_after, "longest advice")?;
    require(settings.slow_start_share, "cold share")?;
    require(settings.slow_start_duration, "cold time")?;
    require(settings.overload_multiple, "fall multiple")?;
    require(settings.overload_window, "fall time")?;
    require(settings.cross_zone_price, "price of crossing zones")
}
