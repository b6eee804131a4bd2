//! Runs a drill: starts its fleet and clients, carries out its steps at their times, and checks the rules from the recorded
//! traffic.

use crate::clients::{ClientBehavior, Clients, customers, plan_bounds};
use crate::fleet::{DRAIN_GRACE_MS, FALL_MULTIPLE, FALL_WINDOW_MS, Fleet, FleetSpec, LIST_POLL_MS};
use crate::script::{Drill, Expect, NodeWhat, Share, Suspects, Until, Wait, What};
use doorcourse_conformance::{
    Bounds, Event, Kind, Record, Recovery, Report, ResponseCounts, measure_recoveries, summarize,
};
use doorcourse_emulators::{ClientEmulator, Command, CounterFault, NodeFault};
use std::collections::BTreeMap;
use std::path::PathBuf;
use std::sync::{Arc, Mutex};
use std::time::Duration;

/// Options of a drill run.
#[derive(Clone, Debug)]
pub struct DrillOptions {
    /// The gateway's binary.
    pub binary: PathBuf,
    /// Whether to run the short form, which CI runs on each change.
    pub short: bool,
    /// Seed of clients, nodes and gateways.
    pub seed: u64,
    /// Folder in which settings, logs and the traffic record are kept. Without it they are removed if the drill passes.
    pub keep: Option<PathBuf>,
}

/// Result of a drill run.
#[derive(Debug)]
pub struct DrillOutcome {
    /// Result of the checks, and the counts.
    pub report: Report,
    /// Descriptions of all expectations that were not met.
    pub unmet_expectations: Vec<String>,
    /// Folder with the traffic record and the logs, if they were kept.
    pub folder: Option<PathBuf>,
    /// The traffic record.
    pub records: Vec<Record>,
    /// Recovery from each fault, if the drill measures it.
    pub recoveries: Vec<Recovery>,
}

impl DrillOutcome {
    /// Returns whether every rule was kept and every expectation was met.
    #[must_use]
    pub fn passed(&self) -> bool {
        self.report.rules_kept && self.unmet_expectations.is_empty()
    }

    /// Returns how each request ended, by its id: the kind of the final response with its code, or another end.
    #[must_use]
    pub fn outcomes_by_request(&self) -> BTreeMap<&str, String> {
        fn outcome_of(record: &Record) -> Option<(&str, String)> {
            match &record.event {
                Event::ResponseReceived { id, kind, code, .. } => {
                    Some((id.as_str(), format!("{kind:?} {code}").trim().to_lowercase()))
                }
                Event::ResponseTruncated { id } => Some((id.as_str(), "cut".into())),
                Event::ConnectionLost { id } => Some((id.as_str(), "lost".into())),
                Event::TimedOut { id } => Some((id.as_str(), "gave up".into())),
                Event::Cancelled { id } => Some((id.as_str(), "left".into())),
                _ => None,
            }
        }
        self.records.iter().filter_map(outcome_of).collect()
    }
}

/// Bound of docs/design.md: one burst, and a second one after the counter was restarted without counts.
const ALLOWED_BURSTS: f64 = 2.0;
/// Highest number of units of one request.
const MAX_REQUEST_UNITS: f64 = 10.0;
/// How long after a client's timeout a response may still be recorded: the load of the machine may delay the client.
pub(crate) const RESPONSE_SLACK_MS: f64 = 150.0;

/// Returns the bounds for the check of the rules, with the limits of all plans multiplied by `plan_factor`.
pub(crate) fn bounds(plan_factor: f64) -> Event {
    Event::Bounds(Bounds {
        plans: plan_bounds(plan_factor),
        response_slack_ms: RESPONSE_SLACK_MS,
        drain_grace_ms: LIST_POLL_MS + DRAIN_GRACE_MS,
        allowed_bursts: ALLOWED_BURSTS,
        max_request_units: MAX_REQUEST_UNITS,
        fall_multiple: FALL_MULTIPLE,
        fall_window_ms: FALL_WINDOW_MS,
    })
}

/// A running fleet with clients, on which acts are carried out.
pub(crate) struct ActiveDrill {
    pub fleet: Fleet,
    pub behavior: Arc<Mutex<ClientBehavior>>,
    pub nodes: usize,
}

impl ActiveDrill {
    /// Carries out an act of the script.
    pub fn apply(&mut self, what: &What) -> anyhow::Result<()> {
        let fleet = &mut self.fleet;
        let counter = |fault| Command::Counter(fault);
        match what {
            What::KillNode(n) => fleet.inject_node_fault(*n as usize, NodeFault::Kill),
            What::StartNode(n) => fleet.inject_node_fault(*n as usize, NodeFault::Start { cold: true }),
            What::UnlistNode(n) => fleet.list.update_node(*n as usize, |node| node.listed = false)?,
            What::ListNode(n) => {
                let now = fleet.clock.now();
                fleet.list.update_node(*n as usize, |node| {
                    (node.listed, node.draining, node.started_ms) = (true, false, Some(now));
                })?;
            }
            What::DrainNode(n) => fleet.list.update_node(*n as usize, |node| node.draining = true)?,
            What::UndrainNode(n) => fleet.list.update_node(*n as usize, |node| node.draining = false)?,
            What::StallCell(cell) | What::ResumeCell(cell) => {
                let fault = NodeFault::Stall(matches!(what, What::StallCell(_)));
                (0..self.nodes)
                    .filter(|n| n % 2 == *cell as usize)
                    .for_each(|n| fleet.inject_node_fault(n, fault));
            }
            What::NodeFault(fault) => {
                let node_fault = match &fault.what {
                    Some(NodeWhat::Refuse(on)) => NodeFault::Refuse(*on),
                    Some(NodeWhat::Stall(on)) => NodeFault::Stall(*on),
                    Some(NodeWhat::Slow(times)) => NodeFault::Slow(*times),
                    Some(NodeWhat::Reset(share)) => NodeFault::Reset(*share),
                    Some(NodeWhat::Malformed(share)) => NodeFault::Malformed(*share),
                    Some(NodeWhat::Claim(times)) => NodeFault::MisreportCost(*times),
                    Some(NodeWhat::Oversize(bytes)) => NodeFault::Oversize(*bytes as usize),
                    None => anyhow::bail!("node_fault: no fault given"),
                };
                fleet.inject_node_fault(fault.node as usize, node_fault);
            }
            What::StateOf(state) => fleet.change_state_file(state.gateway as usize, state.what.as_ref())?,
            What::CounterSilent(on) => fleet.emulators.send(counter(CounterFault::Silent(*on))),
            What::CounterSlowMs(ms) => fleet.emulators.send(counter(CounterFault::Slow(*ms))),
            What::CounterRestart(_) => fleet.emulators.send(counter(CounterFault::Restart)),
            What::KillGateway(g) => fleet.kill_gateway(*g as usize)?,
            What::StartGateway(g) => fleet.start_gateways(&[*g as usize])?,
            What::StartGateways(all) => {
                fleet.start_gateways(&all.gateway.iter().map(|g| *g as usize).collect::<Vec<_>>())?;
            }
            What::StopGateway(g) => fleet.stop_gateway(*g as usize, 1)?,
            What::StopGatewayTwice(g) => fleet.stop_gateway(*g as usize, 2)?,
            What::TakeOverGateway(g) => fleet.take_over_gateway(*g as usize)?,
            What::ReloadPlans(times) => fleet.reload(*times)?,
            What::ReloadBad(_) => fleet.reload_invalid()?,
            What::SpoilState(g) => fleet.block_state_file(*g as usize, true)?,
            What::MendState(g) => fleet.block_state_file(*g as usize, false)?,
            What::SpoilList(_) => fleet.corrupt_node_list()?,
            What::Import(more) => fleet.import_node_list(more)?,
            What::Mood(mood) => {
                let behavior = ClientBehavior {
                    flood: mood.flood_customer.map(|c| (c as usize, mood.flood_times)),
                    cancel_share: mood.leaving,
                    timeout_factor: mood.patience.unwrap_or(1.0),
                    mispriced_share: mood.odd_costs.unwrap_or(ClientBehavior::default().mispriced_share),
                    rate_factor: mood.rate.unwrap_or(1.0),
                    licence_share: mood.licences,
                    stopped: false,
                };
                self.change_behavior(|m| *m = behavior);
            }
        }
        Ok(())
    }

    /// Changes the behavior of the clients.
    pub fn change_behavior(&self, change: impl FnOnce(&mut ClientBehavior)) {
        change(&mut self.behavior.lock().unwrap_or_else(std::sync::PoisonError::into_inner));
    }
}

/// Runs a drill and checks the rules. `on_progress` is called regularly with the current phase, the elapsed part of the
/// drill and the fleet.
///
/// # Errors
/// Fails when the fleet cannot be started or a step cannot be carried out. Violations are not errors; they are in the report.
pub fn run_drill(
    drill: &Drill, options: &DrillOptions, on_progress: &mut dyn FnMut(&str, f64, &Fleet),
) -> anyhow::Result<DrillOutcome> {
    if !drill.recovery {
        return run_once(drill, options, on_progress);
    }
    let mut baseline = drill.clone();
    (baseline.steps, baseline.expects) = (Vec::new(), Vec::new());
    let keep = options.keep.as_ref().map(|folder| folder.join("without-faults"));
    let baseline = run_once(&baseline, &DrillOptions { keep, ..options.clone() }, on_progress)?;
    anyhow::ensure!(
        baseline.passed(),
        "the run without faults did not pass, so there is no baseline to compare with"
    );
    let mut outcome = run_once(drill, options, on_progress)?;
    outcome.recoveries = measure_recoveries(&outcome.records, &baseline.records);
    Ok(outcome)
}

fn run_once(
    drill: &Drill, options: &DrillOptions, on_progress: &mut dyn FnMut(&str, f64, &Fleet),
) -> anyhow::Result<DrillOutcome> {
    let length = if options.short { drill.short_s } else { drill.length_s } * 1000.0;
    let folder = options.keep.clone().unwrap_or_else(|| {
        std::env::temp_dir().join(format!("doorcourse-drill-{}-{}", std::process::id(), options.seed))
    });
    let spec = drill.fleet.unwrap_or_default();
    let fleet = Fleet::start(FleetSpec {
        binary: options.binary.clone(),
        folder: folder.clone(),
        gateways: drill.gateways(),
        nodes: drill.nodes(),
        seed: options.seed,
        warm_up_ms: length * spec.warm.unwrap_or(0.15),
        notice_ms: spec.notice_ms.unwrap_or(100.0),
        drain_ms: spec.drain_ms.unwrap_or(2000.0),
        keep_state: !spec.without_state,
        httpd: drill.httpd.clone(),
        suspects: match spec.suspects() {
            Suspects::NotTried => None,
            Suspects::Told => Some(false),
            Suspects::Applied => Some(true),
        },
        customers: customers(),
    })?;
    let recorder = fleet.recorder.clone();
    // Plans that are changed during the run are checked against the largest factor in the script.
    let plan_factors = drill.steps.iter().flat_map(|s| &s.r#do).filter_map(|a| match a.what {
        Some(What::ReloadPlans(factor)) => Some(factor),
        _ => None,
    });
    recorder.record(bounds(plan_factors.fold(1.0, f64::max)));
    let clock = fleet.clock;
    let start = clock.now();
    let behavior = Arc::new(Mutex::new(ClientBehavior::default()));
    let load = spec.load.unwrap_or(0.6);
    let mut clients =
        Clients::new(options.seed, Arc::clone(&fleet.accepting), Arc::clone(&behavior), start, load)?;
    let mut emulator = ClientEmulator::new(
        clock,
        Arc::clone(&fleet.addresses),
        Some(recorder.clone()),
        2.0 * RESPONSE_SLACK_MS,
    )?;
    let client_thread =
        std::thread::Builder::new().name("clients".into()).spawn(move || emulator.run(&mut clients))?;
    let mut active = ActiveDrill { fleet, behavior, nodes: drill.nodes() };
    let steps_result = run_steps(drill, &mut active, start, length, on_progress);
    active.change_behavior(|m| m.stopped = true);
    let clients_result =
        client_thread.join().map_err(|_| anyhow::anyhow!("the thread of the clients panicked"))?;
    // Nodes may record their last events after the clients have ended.
    std::thread::sleep(Duration::from_millis(50));
    steps_result?;
    clients_result?;
    let records = recorder.records();
    drop(active);
    let report = summarize(&records);
    let sent = requests_by_node(&records);
    let mut unmet_expectations: Vec<String> =
        drill.expects.iter().flat_map(|e| unmet_counts(e, &report)).collect();
    unmet_expectations.extend(drill.expects.iter().flat_map(|e| unmet_shares(e, &sent)));
    let mut outcome =
        DrillOutcome { report, unmet_expectations, folder: None, records, recoveries: Vec::new() };
    if options.keep.is_some() || !outcome.passed() {
        recorder.save(&folder.join("traffic.jsonl"))?;
        outcome.folder = Some(folder);
    } else {
        std::fs::remove_dir_all(&folder)?;
    }
    Ok(outcome)
}

/// Carries out the steps of a drill at their times.
fn run_steps(
    drill: &Drill, active: &mut ActiveDrill, start: f64, length: f64,
    on_progress: &mut dyn FnMut(&str, f64, &Fleet),
) -> anyhow::Result<()> {
    let clock = active.fleet.clock;
    let mut phase = String::from("start");
    let mut wait_until_time = |active: &ActiveDrill, phase: &str, at: f64| {
        while clock.now() < at {
            std::thread::sleep(clock.until(at.min(clock.now() + 250.0)));
            on_progress(phase, (clock.now() - start) / length, &active.fleet);
        }
    };
    for step in &drill.steps {
        wait_until_time(active, &phase, start + step.at * length);
        if !step.phase.is_empty() {
            phase.clone_from(&step.phase);
            active.fleet.recorder.record(Event::Phase { name: phase.clone() });
        }
        if !step.r#do.is_empty() {
            active.fleet.recorder.record(Event::Fault { what: phase.clone() });
        }
        step.r#do.iter().filter_map(|a| a.what.as_ref()).try_for_each(|what| active.apply(what))?;
        if let Some(wait) = &step.wait_until {
            wait_until(wait, &active.fleet)?;
        }
    }
    wait_until_time(active, &phase, start + length);
    Ok(())
}

/// Waits until a condition holds; fails after its time limit.
fn wait_until(wait: &Wait, fleet: &Fleet) -> anyhow::Result<()> {
    let served = || {
        let records = fleet.recorder.records();
        records
            .iter()
            .filter(|r| matches!(r.event, Event::ResponseReceived { kind: Kind::Served, .. }))
            .count()
    };
    let (before, limit) = (served(), wait.limit_s.unwrap_or(10.0));
    let deadline = fleet.clock.now() + limit * 1000.0;
    loop {
        let reached = match wait.until {
            Some(Until::GatewayServing(g)) => {
                fleet.call_gateway(g as usize, "status").is_ok_and(|v| v["result"]["state"] == "serving")
            }
            Some(Until::Served(count)) => served() >= before + count as usize,
            None => true,
        };
        if reached {
            return Ok(());
        }
        anyhow::ensure!(fleet.clock.now() < deadline, "not reached within {limit} s: {wait:?}");
        std::thread::sleep(Duration::from_millis(50));
    }
}

/// Returns the number of requests that each node read, by phase and node.
fn requests_by_node(records: &[Record]) -> BTreeMap<(String, String), u64> {
    let mut phase = String::from("start");
    let mut sent: BTreeMap<(String, String), u64> = BTreeMap::new();
    for record in records {
        match &record.event {
            Event::Phase { name } => phase.clone_from(name),
            Event::RequestRead { node, .. } => *sent.entry((phase.clone(), node.clone())).or_default() += 1,
            _ => {}
        }
    }
    sent
}

/// Returns descriptions of the shares of an expectation that were not met.
fn unmet_shares(expect: &Expect, sent: &BTreeMap<(String, String), u64>) -> Vec<String> {
    let in_phase = || sent.iter().filter(|((phase, _), _)| expect.phase.is_empty() || *phase == expect.phase);
    let total: u64 = in_phase().map(|(_, n)| n).sum();
    let unmet = |share: &Share| {
        let selected = |node: &str| share.nodes.iter().any(|n| node == format!("node-{n}"));
        let matching: u64 = in_phase().filter(|((_, node), _)| selected(node)).map(|(_, n)| n).sum();
        let (fraction, low, high) = (
            matching as f64 / total.max(1) as f64,
            share.at_least.unwrap_or(0.0),
            share.at_most.unwrap_or(1.0),
        );
        let (nodes, phase) = (&share.nodes, &expect.phase);
        (total == 0 || !(low..=high).contains(&fraction)).then(|| {
            format!(
                "in `{phase}`: nodes {nodes:?} were sent {fraction:.3} of {total}, {low} to {high} expected"
            )
        })
    };
    expect.shares.iter().filter_map(unmet).collect()
}

/// Returns descriptions of the counts and worth of an expectation that were not met.
fn unmet_counts(expect: &Expect, report: &Report) -> Vec<String> {
    let mut total = ResponseCounts::default();
    for (_, counts) in
        report.phases.iter().filter(|(name, _)| expect.phase.is_empty() || *name == expect.phase)
    {
        total.requests += counts.requests;
        total.served += counts.served;
        total.failed += counts.failed + counts.truncated;
        total.connection_lost += counts.connection_lost;
    }
    let place = if expect.phase.is_empty() { "in all".to_owned() } else { format!("in `{}`", expect.phase) };
    let share = |n: u64| n as f64 / total.requests.max(1) as f64;
    let mut unmet = Vec::new();
    if let Some(least) = expect.served_at_least.filter(|least| share(total.served) < *least) {
        unmet.push(format!("{place}: {:.3} served, at least {least} expected", share(total.served)));
    }
    if let Some(most) = expect.failed_at_most.filter(|most| share(total.failed) > *most) {
        unmet.push(format!("{place}: {:.3} failed, at most {most} expected", share(total.failed)));
    }
    if let Some(most) = expect.lost_at_most.filter(|most| total.connection_lost > u64::from(*most)) {
        unmet.push(format!("{place}: {} lost, at most {most} expected", total.connection_lost));
    }
    if let Some(least) = expect.worth_at_least {
        let (in_time, requested) = report.worth.get(&expect.plan).copied().unwrap_or_default();
        if in_time < least * requested {
            unmet.push(format!(
                "{}: {:.3} of its worth in time, at least {least} expected",
                expect.plan,
                in_time / requested
            ));
        }
    }
    unmet
}

#[cfg(test)]
mod tests;
