//! Formats reports as text.

use doorcourse_conformance::{Recovery, Report, Rule};
use std::fmt::Write;

fn rule_text(rule: Rule) -> &'static str {
    match rule {
        Rule::OneAnswer => "one final response, in time",
        Rule::NoEffectTwice => "no effect twice",
        Rule::DrainsKept => "drains kept",
        Rule::ColdNodes => "no cold node overloaded",
        Rule::Ceilings => "ceilings kept",
        Rule::Quotas => "quotas within their bound",
    }
}

/// Formats the recovery from each fault; empty if no recoveries were measured.
#[must_use]
pub fn format_recoveries(recoveries: &[Recovery]) -> String {
    let mut out = String::new();
    if recoveries.is_empty() {
        return out;
    }
    let time = |ms: &Option<f64>| ms.map_or_else(|| "never".into(), |ms| format!("{:.1} s", ms / 1000.0));
    let _ = writeln!(out, "time to full service (95% of the worth of the run without faults, over 2 s):");
    for r in recoveries {
        if !r.measured {
            let _ = writeln!(out, "  {:<40} not measured: the next step comes within 2 s", r.fault);
            continue;
        }
        let last_gateway = r.gateways.values().map(|g| g.unwrap_or(f64::INFINITY)).fold(0.0, f64::max);
        let last_gateway = time(&Some(last_gateway).filter(|w| w.is_finite()));
        let plans: Vec<String> = r.plans.iter().map(|(plan, ms)| format!("{plan} {}", time(ms))).collect();
        let _ = writeln!(
            out,
            "  {:<40} {:>7}  deepest {:>4.0}%  second dips {}  last gateway {last_gateway}  {}",
            r.fault,
            time(&r.full_service_ms),
            r.lowest_share * 100.0,
            r.second_dips,
            plans.join(", ")
        );
        let _ = writeln!(
            out,
            "  {:<40} per second, highest (without faults): counter calls {:.0} ({:.0}), new connections at one node {:.0} ({:.1})",
            "", r.counter_calls.0, r.counter_calls.1, r.connections.0, r.connections.1
        );
    }
    out.push('\n');
    out
}

/// Formats a report: phases, responses, worth, accounts and the result of each rule.
#[must_use]
pub fn format_report(report: &Report) -> String {
    let mut out = String::new();
    let _ = writeln!(
        out,
        "{:<42} {:>6} {:>7} {:>5} {:>8} {:>7} {:>5} {:>5} {:>5}",
        "phase", "asked", "served", "late", "refused", "failed", "cut", "lost", "left"
    );
    for (phase, a) in report.phases.iter().filter(|(_, a)| a.requests > 0) {
        let _ = writeln!(
            out,
            "{phase:<42} {:>6} {:>7} {:>5} {:>8} {:>7} {:>5} {:>5} {:>5}",
            a.requests, a.served, a.late, a.refused, a.failed, a.truncated, a.connection_lost, a.cancelled
        );
    }
    let _ = writeln!(out, "\nworth answered in time, as a share of the worth of all requests:");
    for (plan, (in_time, total)) in &report.worth {
        let _ = writeln!(out, "  {plan:<12} {:>5.1}%  of {total:.0}", 100.0 * in_time / total.max(1e-9));
    }
    let _ = writeln!(out, "\nresponses without data, by error code:");
    for (code, count) in &report.responses_by_code {
        let _ = writeln!(out, "  {code:<20} {count}");
    }
    let _ = writeln!(
        out,
        "\naccounts (units):\n  {:<14} {:>8} {:>8} {:>8} {:>10}",
        "account", "asked", "sent", "true", "quota"
    );
    for (account, usage) in &report.accounts {
        let _ = writeln!(
            out,
            "  {account:<14} {:>8.0} {:>8.0} {:>8.0} {:>10.0}",
            usage.requested_units, usage.forwarded_units, usage.true_units, usage.quota_units
        );
    }
    let (attempts, retries) = report.attempts;
    let _ = writeln!(
        out,
        "\n{attempts} attempts at nodes, {retries} of them retries; {:.1} s; latency p50 {:.1} ms, p99 {:.1} ms\n",
        report.duration_ms / 1000.0,
        report.latency_ms.0,
        report.latency_ms.1
    );
    for (rule, violations) in &report.violations {
        let result =
            if violations.is_empty() { "kept".into() } else { format!("BROKEN {} times", violations.len()) };
        let _ = writeln!(out, "{:<28} {result}", rule_text(*rule));
        for violation in violations.iter().take(5) {
            let _ = writeln!(out, "    at {:.3} s: {}", violation.t / 1000.0, violation.what);
        }
    }
    out
}
