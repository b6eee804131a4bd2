//! Load reports of backends, in the formats that the simulator and the platform send. The two use different separators
//! and names.

use crate::LoadReportError;
use doorcourse::LoadReport;

/// Parses a load report: pairs `name=value` or `name:value`, as `separator` says, joined by commas. Unknown names are
/// ignored.
///
/// # Errors
/// If a pair has no separator or a value is not a finite number.
pub fn report(text: &str, separator: char) -> Result<LoadReport, LoadReportError> {
    let mut report = LoadReport::default();
    for pair in text.split(',') {
        let (key, value) = pair
            .split_once(separator)
            .ok_or_else(|| LoadReportError::SeparatorMissing { separator, pair: pair.into() })?;
        let value = value.parse().ok().filter(|v: &f64| v.is_finite());
        let value = value.ok_or_else(|| LoadReportError::NotANumber(pair.into()))?;
        match key {
            "outstanding" | "inflight" => report.in_flight = Some(value),
            "backlog" | "queue" => report.queued = Some(value),
            "recent_ms" | "latency_ms" => report.service_time = Some(value),
            _ => {}
        }
    }
    Ok(report)
}

#[cfg(test)]
mod tests;
