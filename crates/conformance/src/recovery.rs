//! Measures how a fleet recovers from each fault: the worth answered in time, compared with a run of the same seed
//! without faults (the baseline).

use crate::record::{Event, Kind, Record};
use serde::Serialize;
use std::collections::{BTreeMap, HashMap};

/// Worth is summed over windows of this length. They start at multiples of `BUCKET_MS`.
const WINDOW_MS: f64 = 2000.0;
const BUCKET_MS: f64 = 100.0;
/// Rates are counted over windows of this length.
const RATE_WINDOW_MS: f64 = 1000.0;
/// Share of the baseline's worth that counts as full service.
const FULL_SERVICE_SHARE: f64 = 0.95;
/// A share below this after full service counts as a second dip.
const DIP_SHARE: f64 = 0.9;

/// How the fleet recovered from one fault. Times to full service are in ms after the fault.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct Recovery {
    /// Description of the fault.
    pub fault: String,
    /// Time of the fault in ms on the clock of the record.
    #[serde(rename = "at")]
    pub at_ms: f64,
    /// Whether at least one window of two seconds fits before the next fault or the end. If not, the other fields have no
    /// meaning.
    pub measured: bool,
    /// Time to full service: the start of the first window of two seconds whose worth answered in time is at least 95% of
    /// the baseline; `None` if there is none before the next fault or the end.
    #[serde(rename = "full")]
    pub full_service_ms: Option<f64>,
    /// Time to full service by gateway.
    pub gateways: BTreeMap<usize, Option<f64>>,
    /// Time to full service by plan.
    pub plans: BTreeMap<String, Option<f64>>,
    /// Lowest share of the baseline's worth in any window of two seconds, at most 1.
    #[serde(rename = "deepest")]
    pub lowest_share: f64,
    /// How often the share fell below 90% again after full service.
    pub second_dips: u32,
    /// Counter calls of all gateways: the highest number in one second, and the baseline's mean per second.
    pub counter_calls: (f64, f64),
    /// New connections at a single node: the highest number in one second at any node, and the baseline's mean per node and
    /// second.
    pub connections: (f64, f64),
}

/// Totals per bucket of `BUCKET_MS`: the worth answered in time in all, by gateway and by plan.
#[derive(Default)]
struct Timeline {
    all: Vec<f64>,
    gateways: BTreeMap<usize, Vec<f64>>,
    plans: BTreeMap<String, Vec<f64>>,
    /// Number of counter calls.
    counter_calls: Vec<f64>,
    /// Number of new connections by node.
    nodes: BTreeMap<String, Vec<f64>>,
    /// Time of the last request, in ms.
    end: f64,
}

fn add(buckets: &mut Vec<f64>, t: f64, worth: f64) {
    let at = (t.max(0.0) / BUCKET_MS) as usize;
    if buckets.len() <= at {
        buckets.resize(at + 1, 0.0);
    }
    buckets[at] += worth;
}

impl Timeline {
    fn from_records(records: &[Record]) -> Self {
        let (mut sent, mut run) = (HashMap::new(), Self::default());
        for record in records {
            match &record.event {
                Event::RequestSent { id, gateway, plan, worth, target_ms, .. } => {
                    sent.insert(id.as_str(), (record.t, *gateway, plan, *worth, *target_ms));
                    run.end = run.end.max(record.t);
                }
                Event::CounterCall => add(&mut run.counter_calls, record.t, 1.0),
                Event::Connected { node } => add(run.nodes.entry(node.clone()).or_default(), record.t, 1.0),
                Event::ResponseReceived { id, kind: Kind::Served, .. } => {
                    let Some((sent_at, gateway, plan, worth, target_ms)) = sent.remove(id.as_str()) else {
                        continue;
                    };
                    if record.t - sent_at <= target_ms {
                        add(&mut run.all, record.t, worth);
                        add(run.gateways.entry(gateway).or_default(), record.t, worth);
                        add(run.plans.entry(plan.clone()).or_default(), record.t, worth);
                    }
                }
                _ => {}
            }
        }
        run
    }
}

/// Returns the worth in the window that starts at `from` as a share of the baseline; 1 where the baseline has none.
fn share_of_baseline(worth: &[f64], baseline: &[f64], from: f64) -> f64 {
    let sum = |buckets: &[f64]| {
        let (first, last) = ((from / BUCKET_MS) as usize, ((from + WINDOW_MS) / BUCKET_MS) as usize);
        buckets.iter().take(last).skip(first).sum::<f64>()
    };
    let expected = sum(baseline);
    if expected > 0.0 { sum(worth) / expected } else { 1.0 }
}

/// Returns the starts of all windows that fit between `from` and `until`.
fn window_starts(from: f64, until: f64) -> impl Iterator<Item = f64> {
    let first = (from / BUCKET_MS).ceil();
    (0..).map(move |n| (first + f64::from(n)) * BUCKET_MS).take_while(move |at| at + WINDOW_MS <= until)
}

/// Returns the highest number in any second between `from` and `until`.
fn peak_rate(buckets: &[f64], from: f64, until: f64) -> f64 {
    let (first, last) =
        ((from / BUCKET_MS).ceil() as usize, ((until / BUCKET_MS) as usize).min(buckets.len()));
    let second = (RATE_WINDOW_MS / BUCKET_MS) as usize;
    let part = buckets.get(first..last).unwrap_or_default();
    part.windows(second.min(part.len()).max(1)).map(|w| w.iter().sum()).fold(0.0, f64::max)
}

/// Returns the mean number per second from time 0 to `end`.
fn mean_rate(buckets: &[f64], end: f64) -> f64 {
    buckets.iter().sum::<f64>() / (end / RATE_WINDOW_MS).max(1e-9)
}

/// Returns the time from `from` to the first window with full service.
fn time_to_full(worth: &[f64], baseline: &[f64], from: f64, until: f64) -> Option<f64> {
    window_starts(from, until)
        .find(|at| share_of_baseline(worth, baseline, *at) >= FULL_SERVICE_SHARE)
        .map(|at| at - from)
}

/// Measures the recovery from each fault of a run. `baseline` is a run of the same seed without faults.
#[must_use]
pub fn measure_recoveries(records: &[Record], baseline: &[Record]) -> Vec<Recovery> {
    let faults: Vec<(f64, &String)> = records
        .iter()
        .filter_map(|r| if let Event::Fault { what } = &r.event { Some((r.t, what)) } else { None })
        .collect();
    let (run, baseline) = (Timeline::from_records(records), Timeline::from_records(baseline));
    let (end, empty) = (run.end.min(baseline.end), Vec::new());
    let recovery = |(number, (at, what)): (usize, &(f64, &String))| {
        let until = faults.get(number + 1).map_or(end, |f| f.0);
        let ms = |run: Option<&Vec<f64>>, base: &[f64]| time_to_full(run.unwrap_or(&empty), base, *at, until);
        let all = time_to_full(&run.all, &baseline.all, *at, until);
        let shares = || window_starts(*at, until).map(|m| (m, share_of_baseline(&run.all, &baseline.all, m)));
        let (mut second_dips, mut in_dip) = (0, false);
        for (moment, share) in shares() {
            let dips = share < DIP_SHARE && all.is_some_and(|after| moment > at + after);
            second_dips += u32::from(dips && !std::mem::replace(&mut in_dip, dips));
            in_dip &= share < FULL_SERVICE_SHARE;
        }
        Recovery {
            fault: (*what).clone(),
            at_ms: *at,
            // The first window starts at the next multiple of `BUCKET_MS`.
            measured: at + WINDOW_MS + BUCKET_MS <= until,
            full_service_ms: all,
            gateways: baseline.gateways.iter().map(|(g, q)| (*g, ms(run.gateways.get(g), q))).collect(),
            plans: baseline.plans.iter().map(|(p, q)| (p.clone(), ms(run.plans.get(p), q))).collect(),
            lowest_share: shares().map(|(_, share)| share).fold(1.0, f64::min),
            second_dips,
            counter_calls: (
                peak_rate(&run.counter_calls, *at, until),
                mean_rate(&baseline.counter_calls, baseline.end),
            ),
            connections: (
                run.nodes.values().map(|n| peak_rate(n, *at, until)).fold(0.0, f64::max),
                baseline.nodes.values().map(|n| mean_rate(n, baseline.end)).sum::<f64>()
                    / (baseline.nodes.len().max(1) as f64),
            ),
        }
    };
    faults.iter().enumerate().map(recovery).collect()
}

#[cfg(test)]
mod tests;
