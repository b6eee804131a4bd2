//! Checks a drill's script. All faults are reported, each with file, line and field.

use super::{Drill, Expect, Mood, StateOf, StateWhat, Step, Until, Wait, What};
use crate::clients::{PLANS, customers};
use doorcourse_config::{Fault, FieldPositions};

/// Collects the faults of a drill.
pub(super) struct Validator<'a> {
    file: &'a str,
    positions: FieldPositions,
    drill: &'a Drill,
    faults: Vec<Fault>,
}

impl<'a> Validator<'a> {
    pub(super) fn new(file: &'a str, text: &str, drill: &'a Drill) -> Self {
        Self { file, positions: FieldPositions::new(text), drill, faults: Vec::new() }
    }

    /// Checks the whole drill and returns its faults.
    pub(super) fn validate(mut self) -> Vec<Fault> {
        self.check_fleet();
        let mut previous_time = 0.0;
        for (index, step) in self.drill.steps.iter().enumerate() {
            let path = format!("steps[{index}]");
            self.check_range(&format!("{path}.at"), step.at, previous_time, 1.0);
            previous_time = step.at.max(previous_time);
            self.check_step(&path, step);
        }
        self.check_imports();
        for (index, expect) in self.drill.expects.iter().enumerate() {
            self.check_expect(&format!("expects[{index}]"), expect);
        }
        self.faults
    }

    fn fault(&mut self, path: &str, message: String) {
        let (file, line, field) = (self.file.to_owned(), self.positions.find(path), format!("{path}: "));
        self.faults.push(Fault { file, line, field, message });
    }

    fn check_range(&mut self, path: &str, value: f64, low: f64, high: f64) {
        if !(low..=high).contains(&value) {
            self.fault(path, format!("{value} is out of range: allowed is {low} to {high}"));
        }
    }

    /// Records that none of the values that a field may have is given.
    fn missing(&mut self, path: &str) {
        self.check_range(path, f64::NAN, 0.0, 0.0);
    }

    fn check_node(&mut self, path: &str, node: u32) {
        self.check_range(path, f64::from(node), 0.0, self.drill.nodes() as f64 - 1.0);
    }

    fn check_gateway(&mut self, path: &str, gateway: u32) {
        self.check_range(path, f64::from(gateway), 0.0, self.drill.gateways() as f64 - 1.0);
    }

    fn check_fleet(&mut self) {
        let drill = self.drill;
        let fleet = drill.fleet.unwrap_or_default();
        self.check_range("length_s", drill.length_s, 5.0, 3600.0);
        self.check_range("short_s", drill.short_s, 5.0, 3600.0);
        self.check_range("fleet.gateways", drill.gateways() as f64, 1.0, 16.0);
        self.check_range("fleet.nodes", drill.nodes() as f64, 2.0, 64.0);
        self.check_range("fleet.load", fleet.load.unwrap_or(0.6), 0.01, 4.0);
        self.check_range("fleet.warm", fleet.warm.unwrap_or(0.15), 0.01, 1.0);
        self.check_range("fleet.notice_ms", fleet.notice_ms.unwrap_or(100.0), 0.0, 60_000.0);
        self.check_range("fleet.drain_ms", fleet.drain_ms.unwrap_or(2000.0), 0.0, 60_000.0);
    }

    fn check_step(&mut self, path: &str, step: &Step) {
        if let Some(wait) = &step.wait_until {
            self.check_wait(&format!("{path}.wait_until"), wait);
        }
        for (number, act) in step.r#do.iter().enumerate() {
            let path = format!("{path}.do[{number}]");
            match &act.what {
                Some(what) => self.check_act(&path, what),
                None => self.missing(&path),
            }
        }
    }

    fn check_wait(&mut self, path: &str, wait: &Wait) {
        self.check_range(&format!("{path}.limit_s"), wait.limit_s.unwrap_or(10.0), 0.1, 600.0);
        match wait.until {
            Some(Until::GatewayServing(gateway)) => self.check_gateway(path, gateway),
            Some(Until::Served(count)) => self.check_range(path, f64::from(count), 1.0, 1e6),
            None => self.missing(path),
        }
    }

    fn check_act(&mut self, path: &str, what: &What) {
        match what {
            What::KillNode(node)
            | What::StartNode(node)
            | What::UnlistNode(node)
            | What::ListNode(node)
            | What::DrainNode(node)
            | What::UndrainNode(node) => self.check_node(path, *node),
            What::StallCell(cell) | What::ResumeCell(cell) => {
                self.check_range(path, f64::from(*cell), 0.0, 1.0);
            }
            What::NodeFault(fault) => self.check_node(&format!("{path}.node_fault.node"), fault.node),
            What::KillGateway(gateway)
            | What::StartGateway(gateway)
            | What::StopGateway(gateway)
            | What::StopGatewayTwice(gateway)
            | What::TakeOverGateway(gateway)
            | What::SpoilState(gateway)
            | What::MendState(gateway) => self.check_gateway(path, *gateway),
            What::StartGateways(all) => {
                all.gateway.iter().for_each(|gateway| self.check_gateway(path, *gateway));
            }
            What::StateOf(state) => self.check_state_file(&format!("{path}.state_of"), state),
            What::CounterSlowMs(ms) => self.check_range(path, *ms, 0.0, 10_000.0),
            What::ReloadPlans(factor) => self.check_range(path, *factor, 0.1, 10.0),
            What::Mood(mood) => self.check_mood(&format!("{path}.mood"), mood),
            What::CounterSilent(_)
            | What::CounterRestart(_)
            | What::ReloadBad(_)
            | What::SpoilList(_)
            | What::Import(_) => {}
        }
    }

    fn check_state_file(&mut self, path: &str, state: &StateOf) {
        self.check_gateway(&format!("{path}.gateway"), state.gateway);
        match state.what {
            Some(StateWhat::OldS(seconds)) => self.check_range(&format!("{path}.old_s"), seconds, 0.0, 1e9),
            Some(StateWhat::OfGateway(gateway)) => {
                self.check_gateway(&format!("{path}.of_gateway"), gateway);
            }
            Some(_) => {}
            None => self.missing(path),
        }
    }

    fn check_mood(&mut self, path: &str, mood: &Mood) {
        let last_customer = customers().len() as f64 - 1.0;
        let flood_customer = f64::from(mood.flood_customer.unwrap_or(0));
        self.check_range(&format!("{path}.flood_customer"), flood_customer, 0.0, last_customer);
        for (field, value, low, high) in [
            ("flood_times", mood.flood_times, 0.0, 100.0),
            ("leaving", mood.leaving, 0.0, 1.0),
            ("patience", mood.patience.unwrap_or(1.0), 0.05, 10.0),
            ("odd_costs", mood.odd_costs.unwrap_or(0.04), 0.0, 0.5),
            ("rate", mood.rate.unwrap_or(1.0), 0.0, 20.0),
            ("licences", mood.licences.unwrap_or(0.0), 0.0, 1.0),
        ] {
            self.check_range(&format!("{path}.{field}"), value, low, high);
        }
    }

    fn check_imports(&mut self) {
        if !self.drill.httpd.is_empty() {
            return;
        }
        for (index, step) in self.drill.steps.iter().enumerate() {
            if step.r#do.iter().any(|act| matches!(act.what, Some(What::Import(_)))) {
                let message = "import requires the field httpd of the drill";
                self.fault(&format!("steps[{index}].do"), message.into());
            }
        }
    }

    fn check_expect(&mut self, path: &str, expect: &Expect) {
        let is_known = expect.phase.is_empty() || self.drill.steps.iter().any(|s| s.phase == expect.phase);
        if !is_known {
            self.fault(&format!("{path}.phase"), format!("`{}` is no phase of the drill", expect.phase));
        }
        let nodes = self.drill.nodes() as u32;
        for (number, share) in expect.shares.iter().enumerate() {
            if share.nodes.is_empty() || share.nodes.iter().any(|node| *node >= nodes) {
                let message = format!("node numbers must be from 0 to {}", nodes - 1);
                self.fault(&format!("{path}.shares[{number}].nodes"), message);
            }
        }
        if !expect.plan.is_empty() && !PLANS.iter().any(|plan| plan.name == expect.plan) {
            self.fault(&format!("{path}.plan"), format!("`{}` is no plan of the drills", expect.plan));
        }
    }
}
