//! What differs between settings in service and new ones: told to people, and refused where it cannot change.

use crate::{Config, Customer};
use std::collections::BTreeMap;

/// The difference that a reload makes.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Change {
    /// Fields that cannot change in service, each with why.
    pub refused: Vec<String>,
    /// What changes, a line each.
    pub lines: Vec<String>,
}

/// Compares settings in service with new ones.
#[must_use]
pub fn compare(old: &Config, new: &Config) -> Change {
    let mut change = Change::default();
    let mut fixed = |field: &str, same: bool, why: &str| {
        if !same {
            change.refused.push(format!("{field}: cannot change in service: {why}"));
        }
    };
    fixed(
        "fleet.number",
        old.decisions.gateway_index == new.decisions.gateway_index,
        "the counter and the other gateways know it",
    );
    fixed("fleet.zone", old.decisions.zone == new.decisions.zone, "a gateway does not move");
    fixed("listen", old.listen == new.listen, "start a new process that takes over");
    fixed("health.listen", old.health == new.health, "start a new process that takes over");
    fixed("admin.socket", old.admin == new.admin, "it is the way this reload came");
    let counter = |c: &Config| c.counter.as_ref().map(|c| (c.address, c.password.clone()));
    fixed("counter", counter(old) == counter(new), "two counters would each grant the quota");
    let file = |c: &Config| c.state.as_ref().map(|s| s.file.clone());
    fixed("state.file", file(old) == file(new), "start a new process that takes over");
    fixed("node_list", old.node_list.is_some() == new.node_list.is_some(), "nodes come from one place");
    let own = |c: &Config| c.link.as_ref().map(|l| (l.listen, l.fleet.clone()));
    fixed("fleet.link", own(old) == own(new), "start a new process: the peers know this one by it");
    let lease = |c: &Config| c.leases.as_ref().map(|l| (l.lease_duration_ms, l.clock_drift_ppm));
    fixed("leases", lease(old) == lease(new), "what was promised for one length cannot be kept for another");
    let steps = match (&old.leases, &new.leases) {
        // One that missed versions begins as after a start; what is older or else is no step.
        (Some(old), Some(new)) if new.voters.version <= old.voters.version + 1 => {
            old.voters.may_follow(&new.voters).is_ok()
        }
        _ => true,
    };
    fixed("leases.voters", steps, "each change is one version on and of one voter (docs/leases.md)");
    let lines = &mut change.lines;
    let mut figure = |what: &str, old: String, new: String| {
        if old != new {
            lines.push(format!("{what}: {old} -> {new}"));
        }
    };
    figure(
        "fleet.gateways",
        old.decisions.gateway_count.to_string(),
        new.decisions.gateway_count.to_string(),
    );
    figure("limits", format!("{:?}", old.limits), format!("{:?}", new.limits));
    figure("graphql limits", format!("{:?}", old.query_limits), format!("{:?}", new.query_limits));
    figure("life", format!("{:?}", old.life), format!("{:?}", new.life));
    figure("routing", format!("{:?}", old.routing), format!("{:?}", new.routing));
    let peers = |c: &Config| {
        c.link.as_ref().map_or(String::new(), |l| format!("{:?} {}", l.peers, l.unreachable_after_ms))
    };
    figure("fleet.link.peers", peers(old), peers(new));
    let secrets = |c: &Config| c.link.as_ref().map(|l| l.secrets.clone());
    if secrets(old) != secrets(new) {
        figure("fleet.link.secret_file", "the old secrets".into(), "new ones".into());
    }
    let voters = |c: &Config| c.leases.as_ref().map_or(String::new(), |l| format!("{:?}", l.voters));
    figure("leases.voters", voters(old), voters(new));
    let tasks = |c: &Config| c.leases.as_ref().map_or(String::new(), |l| format!("{:?}", l.tasks));
    figure("leases.tasks", tasks(old), tasks(new));
    let suspects = |c: &Config| format!("{:?}", c.leases.as_ref().and_then(|l| l.suspects));
    figure("leases.suspects", suspects(old), suspects(new));
    figure("node_list", format!("{:?}", old.node_list), format!("{:?}", new.node_list));
    let schema = |c: &Config| format!("{:?}", c.schema);
    if schema(old) != schema(new) {
        lines.push("schema: changed".into());
    }
    let plans = |c: &Config| named(c.decisions.plans.iter().map(|p| (p.name.to_string(), format!("{p:?}"))));
    differ("plan", &plans(old), &plans(new), lines);
    let classes =
        |c: &Config| named(c.decisions.classes.iter().map(|p| (p.name.to_string(), format!("{p:?}"))));
    differ("class", &classes(old), &classes(new), lines);
    let fields = |c: &Config| {
        let of = c.query_classes.iter().chain(&c.mutation_classes);
        named(of.map(|(f, at)| (f.clone(), c.decisions.classes[*at].name.to_string())))
    };
    differ("root field", &fields(old), &fields(new), lines);
    let nodes = |c: &Config| named(c.nodes.iter().map(|n| (n.entry.name.to_string(), format!("{n:?}"))));
    differ("node", &nodes(old), &nodes(new), lines);
    let customers = |c: &Config| {
        let mut by_name: BTreeMap<String, Vec<String>> = BTreeMap::new();
        for (key, customer) in &c.customers {
            let Customer { name, plan, first, spread } = &**customer;
            let entry = by_name.entry(name.to_string()).or_default();
            let plan = &c.decisions.plans[*plan].name;
            entry.push(format!("{plan} from {first} through {spread}, key {:02x}{:02x}..", key[0], key[1]));
        }
        by_name.into_iter().map(|(n, mut k)| (n, (k.sort(), k.join("; ")).1)).collect::<BTreeMap<_, _>>()
    };
    differ("customer", &customers(old), &customers(new), lines);
    change
}

fn named(items: impl Iterator<Item = (String, String)>) -> BTreeMap<String, String> {
    items.collect()
}

fn differ(
    what: &str, old: &BTreeMap<String, String>, new: &BTreeMap<String, String>, lines: &mut Vec<String>,
) {
    for (name, text) in new {
        match old.get(name) {
            None => lines.push(format!("{what} {name}: new")),
            Some(was) if was != text => lines.push(format!("{what} {name}: changed")),
            Some(_) => {}
        }
    }
    lines.extend(old.keys().filter(|n| !new.contains_key(*n)).map(|n| format!("{what} {n}: gone")));
}
