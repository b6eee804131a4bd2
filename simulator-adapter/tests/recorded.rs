//! Runs a small fleet over the simulator's wire in a closed loop and compares every line in and out, byte for byte,
//! with the recorded transcript. `DOORCOURSE_RECORD=FILE` writes the transcript instead, and fails. Record it again
//! only with a change that is meant to change a decision.

use doorcourse_simulator_adapter::Host;
use std::collections::{BTreeMap, HashMap};

const RECORD: &str = include_str!("recorded/fleet.txt");
const GATEWAYS: u64 = 3;
const BATCHES: usize = 260;
const PLANS: [&str; 4] = ["small", "plain", "ceiling", "capped"];
const CLASSES: [&str; 3] = ["safe", "keyed", "unsafe"];
const BACKENDS: [&str; 4] = ["a1", "a2", "b1", "b2"];
const SETTINGS: &str = r#"{"classes":[
{"name":"safe","effect":"idempotent","goal-time-ms":800.0,"hard-limit-ms":2000.0,"worth":1.0,"late-value":0.2},
{"name":"keyed","effect":"deduplicated","dedup-scope":"cell","window-ms":4000.0,"goal-time-ms":400.0,
"hard-limit-ms":1500.0,"worth":3.0},
{"name":"unsafe","effect":"at_most_once","goal-time-ms":800.0,"hard-limit-ms":2000.0,"worth":2.0}],
"plans":[{"name":"small","refill":0.4,"burst":1.0,"worth-factor":1.0,"over-worth":0.1,"overrun-cost":0.9},
{"name":"plain","refill":5.0,"burst":10.0,"worth-factor":1.0,"overrun-cost":1.0},
{"name":"ceiling","refill":5.0,"burst":10.0,"cap-rate":8.0,"ceiling-burst":16.0,"ceiling-slack":1.6,
"worth-factor":2.0,"overrun-cost":1.0},
{"name":"capped","refill":5.0,"burst":10.0,"parallel":2,"worth-factor":1.0,"overrun-cost":1.0}],
"fleet-size":3,"my-number":NUMBER,"locality":"z","period-ms":4.0,"discovery":"on_request",
"extra":{"has-counter":true,"count-limit-ms":50.0,"units-top":3,"trued-up":true},"load-info":{"source":"inline"},
"permissions":{"most-tries":4,"may-cancel":true,"peers":true,"probes":true,"max-retry-after-ms":2000.0},
"rules":{"cold-from":0.2,"cold-ms":9000.0,"overload-factor":2.0,"fall-ms":3000.0},"prices":{"cross-zone":0.5}}"#;

/// A linear congruential generator: the same choices on every machine.
struct Random(u64);

impl Random {
    fn below(&mut self, bound: u64) -> u64 {
        self.0 = self.0.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1_442_695_040_888_963_407);
        (self.0 >> 33) % bound
    }

    fn one_of<'a>(&mut self, of: &[&'a str]) -> &'a str {
        of[self.below(of.len() as u64) as usize]
    }
}

/// The simulated environment of the gateways: clients, backends, the counter and the clock.
struct Fleet {
    random: Random,
    now_ms: u64,
    /// Scheduled lines, by time in ms and order.
    due: BTreeMap<(u64, u64), String>,
    scheduled: u64,
    totals: HashMap<String, f64>,
    attempts: HashMap<String, u32>,
    requests: u64,
    lists: u64,
}

impl Fleet {
    fn new() -> Self {
        Self {
            random: Random(41),
            now_ms: 1000,
            due: BTreeMap::new(),
            scheduled: 0,
            totals: HashMap::new(),
            attempts: HashMap::new(),
            requests: 0,
            lists: 0,
        }
    }

    fn schedule(&mut self, after_ms: u64, line: String) {
        self.scheduled += 1;
        self.due.insert((self.now_ms + after_ms, self.scheduled), line);
    }

    fn opening_batch(&mut self) -> Vec<String> {
        let mut lines = vec![format!("BATCH\t{}", self.now_ms)];
        lines.extend(self.list_of(BACKENDS.iter().map(|name| Self::entry(name, "IN", "-")).collect()));
        for gateway in 0..GATEWAYS {
            let settings = SETTINGS.replace('\n', "").replace("NUMBER", &gateway.to_string());
            lines.push(format!("START\t{gateway}\t{}\t{settings}", 70 + gateway));
            lines.push(format!("ANNOUNCE\t{gateway}\tall\t1\t1"));
        }
        lines.push("YOUR_TURN".into());
        lines
    }

    fn entry(name: &str, readiness: &str, born_ms: &str) -> String {
        let cell = u64::from(!name.starts_with('a'));
        format!("ENTRY\t{name}\tz{cell}\tk\t{cell}\t{readiness}\t1\t{born_ms}")
    }

    fn list_of(&mut self, entries: Vec<String>) -> Vec<String> {
        self.lists += 1;
        let mut lines = vec![format!("TABLE\t{}\t{}", self.lists, entries.len())];
        lines.extend(entries);
        lines
    }

    fn next_batch(&mut self) -> Vec<String> {
        self.now_ms += 1 + self.random.below(40);
        let mut lines = vec![format!("BATCH\t{}", self.now_ms)];
        while let Some(first) = self.due.first_entry().filter(|first| first.key().0 <= self.now_ms) {
            lines.push(first.remove());
        }
        match self.random.below(30) {
            0 => lines.extend(self.changed_backend()),
            1 if self.requests > 0 => {
                let id = 1 + self.random.below(self.requests);
                lines.push(format!("GONE\t{}\t{id}", id % GATEWAYS));
            }
            _ => lines.push(self.request()),
        }
        lines.push("YOUR_TURN".into());
        lines
    }

    fn changed_backend(&mut self) -> Vec<String> {
        let name = self.random.one_of(&BACKENDS);
        let readiness = self.random.one_of(&["IN", "IN", "LAME", "OUT"]);
        let born_ms = if self.random.below(2) == 0 { "-".into() } else { self.now_ms.to_string() };
        let mut lines = self.list_of(vec![Self::entry(name, readiness, &born_ms)]);
        let list = self.lists;
        lines.extend((0..GATEWAYS).map(|gateway| format!("ANNOUNCE\t{gateway}\tchanges\t{list}\t{list}")));
        lines
    }

    fn request(&mut self) -> String {
        self.requests += 1;
        let id = self.requests;
        let plan = self.random.one_of(&PLANS);
        let class = self.random.one_of(&CLASSES);
        let customer = self.random.below(3);
        let timeout_ms = 300 + self.random.below(1500);
        let again = u64::from(self.random.below(5) == 0);
        let units = 1 + self.random.below(3);
        let gateway = id % GATEWAYS;
        format!(
            "ORDER\t{gateway}\t{id}\t{plan}-{customer}\t0\t{timeout_ms}.0\t{class}\t{again}\t0\t{GATEWAYS}\t{units}\t{plan}"
        )
    }

    /// Executes one line of a gateway's reply.
    fn execute(&mut self, line: &str) {
        let fields: Vec<&str> = line.split('\t').collect();
        match fields[0] {
            "HAND_OFF" => self.end_attempt(fields[1], fields[2], fields[3]),
            "NOTIFY_ME" => {
                let after: f64 = fields[2].parse().expect("a span");
                self.schedule(after.ceil() as u64, format!("DUE\t{}\t{}", fields[1], fields[3]));
            }
            "CHARGE_COUNTER" => self.add_to_counter(fields[1], fields[2], fields[3]),
            "SHARE" => {
                let from: u64 = fields[1].parse().expect("a gateway");
                for to in (0..GATEWAYS).filter(|to| *to != from) {
                    self.schedule(2, format!("INBOX\t{to}\t{from}\t{}", fields[3]));
                }
            }
            _ => {}
        }
    }

    fn end_attempt(&mut self, gateway: &str, id: &str, backend: &str) {
        let attempt = self.attempts.entry(id.to_owned()).or_default();
        let number = *attempt;
        *attempt += 1;
        let codes = [
            "delivered",
            "delivered",
            "delivered",
            "delivered",
            "app_error",
            "shed",
            "dial_failed",
            "dropped",
        ];
        let code = self.random.one_of(&codes);
        let latency_ms =
            if code == "delivered" { 20 + self.random.below(500) } else { 5 + self.random.below(40) };
        let finished = u64::from(code == "delivered");
        let units = self.random.below(4);
        let line = format!(
            "ATTEMPT_END\t{gateway}\t{id}\t{latency_ms}.0\t{backend}\t{code}\t-\t{number}\t{units}\t{finished}\t-"
        );
        self.schedule(latency_ms, line);
    }

    fn add_to_counter(&mut self, gateway: &str, name: &str, amount: &str) {
        let is_unavailable = self.now_ms % 4000 > 3000;
        if is_unavailable {
            return self.schedule(50, format!("TOTAL\t{gateway}\texpired\t{name}\t50.0\t-"));
        }
        let total = self.totals.entry(name.to_owned()).or_default();
        *total += amount.parse::<f64>().expect("an amount");
        let total = *total;
        let latency_ms = 1 + self.random.below(30);
        self.schedule(latency_ms, format!("TOTAL\t{gateway}\tdelivered\t{name}\t{latency_ms}.0\t{total:.6}"));
    }
}

fn transcript() -> String {
    let mut fleet = Fleet::new();
    let mut host = Host::default();
    let mut text = String::new();
    let mut batch = fleet.opening_batch();
    for _ in 0..BATCHES {
        let input = batch.join("\n") + "\n";
        let mut output = Vec::new();
        host.run(&mut input.as_bytes(), &mut output).expect("a reply");
        let output = String::from_utf8(output).expect("text");
        input.lines().for_each(|line| text.push_str(&format!("> {line}\n")));
        output.lines().for_each(|line| text.push_str(&format!("< {line}\n")));
        output.lines().for_each(|line| fleet.execute(line));
        batch = fleet.next_batch();
    }
    text
}

#[test]
fn every_line_on_the_simulators_wire_matches_the_record() {
    let played = transcript();
    if let Some(file) = std::env::var_os("DOORCOURSE_RECORD") {
        std::fs::write(file, &played).expect("written");
        panic!("recorded, not compared: run again without DOORCOURSE_RECORD");
    }
    for (number, (recorded, line)) in RECORD.lines().zip(played.lines()).enumerate() {
        assert_eq!(recorded, line, "line {}", number + 1);
    }
    assert_eq!(RECORD.lines().count(), played.lines().count());
    for message in
        ["HAND_OFF", "SHED", "DROP_REQUEST", "NOTIFY_ME", "CHARGE_COUNTER", "SHARE", "WATCH", "SAY_LOG"]
    {
        assert!(
            RECORD.lines().any(|line| line.starts_with(&format!("< {message}\t"))),
            "no {message} in the record"
        );
    }
}
