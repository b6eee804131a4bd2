//! Compares the settings in service with new ones. The differences are reported to the operator; a field that cannot
//! change in service makes a reload fail.

mod text;

use crate::{Config, Customer};
use std::collections::BTreeMap;

/// The differences between the settings in service and new ones.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct SettingsDiff {
    /// Fields that differ but cannot change in service, each with the reason.
    pub refused: Vec<String>,
    /// All differences, one line each.
    pub changes: Vec<String>,
}

/// Compares the settings in service with new ones.
#[must_use]
pub fn compare(old: &Config, new: &Config) -> SettingsDiff {
    let mut changes = changed_values(old, new);
    changes.extend(changed_items(old, new));
    SettingsDiff { refused: refused_fields(old, new), changes }
}

/// Fields that differ but cannot change in service, each with the reason.
fn refused_fields(old: &Config, new: &Config) -> Vec<String> {
    let counter = |c: &Config| c.counter.as_ref().map(|c| (c.address, c.password.clone()));
    let state_file = |c: &Config| c.state_file.as_ref().map(|s| s.file.clone());
    let own_link = |c: &Config| c.link.as_ref().map(|l| (l.listen, l.fleet.clone()));
    let lease = |c: &Config| c.leases.as_ref().map(|l| (l.lease_duration_ms, l.clock_drift_ppm));
    let fields = [
        (
            "fleet.number",
            old.decision_settings.gateway_index == new.decision_settings.gateway_index,
            "the counter and the other gateways identify this one by it",
        ),
        (
            "fleet.zone",
            old.decision_settings.zone == new.decision_settings.zone,
            "a gateway stays in its zone",
        ),
        ("listen", old.listen == new.listen, "start a new process that takes over"),
        ("health.listen", old.health_listen == new.health_listen, "start a new process that takes over"),
        ("admin.socket", old.admin_socket == new.admin_socket, "reloads are requested on it"),
        ("counter", counter(old) == counter(new), "two counters would each grant the quota"),
        ("state.file", state_file(old) == state_file(new), "start a new process that takes over"),
        (
            "node_list",
            old.node_list.is_some() == new.node_list.is_some(),
            "nodes come either from the settings or from a file",
        ),
        (
            "fleet.link",
            own_link(old) == own_link(new),
            "start a new process: the peers identify this one by it",
        ),
        ("leases", lease(old) == lease(new), "leases granted for one length cannot be kept with another"),
        (
            "leases.voters",
            is_valid_voter_change(old, new),
            "each change raises the version by one and changes one voter (docs/leases.md)",
        ),
    ];
    let differs = fields.into_iter().filter(|(_, is_same, _)| !is_same);
    differs.map(|(field, _, reason)| format!("{field}: cannot change in service: {reason}")).collect()
}

/// Whether the new voter configuration is the old one or a valid successor of it. A configuration that is two or more
/// versions ahead is accepted too: a gateway that missed versions takes it as after a start.
fn is_valid_voter_change(old: &Config, new: &Config) -> bool {
    match (&old.leases, &new.leases) {
        (Some(old), Some(new)) if new.voters.version <= old.voters.version + 1 => {
            old.voters.check_successor(&new.voters).is_ok()
        }
        _ => true,
    }
}

/// Single values that differ: the field with the old and the new value.
fn changed_values(old: &Config, new: &Config) -> Vec<String> {
    let value = |field: &str, text: &dyn Fn(&Config) -> String| compare_value(field, text(old), text(new));
    let secrets = |c: &Config| c.link.as_ref().map(|l| l.secrets.clone());
    let secrets_changed = secrets(old) != secrets(new);
    let schema_changed = format!("{:?}", old.schema) != format!("{:?}", new.schema);
    let lines = [
        value("fleet.gateways", &|c| c.decision_settings.gateway_count.to_string()),
        value("limits", &|c| format!("{:?}", c.limits)),
        value("graphql limits", &|c| format!("{:?}", c.query_limits)),
        value("life", &|c| format!("{:?}", c.life)),
        value("routing", &|c| c.routing.to_string()),
        value("fleet.link.peers", &|c| c.link.as_ref().map_or(String::new(), text::peers)),
        secrets_changed.then(|| "fleet.link.secret_file: the old secrets -> new ones".to_owned()),
        value("leases.voters", &|c| c.leases.as_ref().map_or(String::new(), |l| text::voters(&l.voters))),
        value("leases.tasks", &|c| c.leases.as_ref().map_or(String::new(), |l| text::tasks(&l.tasks))),
        value("leases.suspects", &|c| text::suspects(c.leases.as_ref().and_then(|l| l.outlier_gossip))),
        value("node_list", &|c| format!("{:?}", c.node_list)),
        schema_changed.then(|| "schema: changed".to_owned()),
    ];
    lines.into_iter().flatten().collect()
}

fn compare_value(field: &str, old: String, new: String) -> Option<String> {
    (old != new).then(|| format!("{field}: {old} -> {new}"))
}

/// The items of one kind: for each name a text that changes when the item does.
type ItemTexts = fn(&Config) -> BTreeMap<String, String>;

/// Named items (plans, classes, root fields, nodes, customers) that are new, changed or removed.
fn changed_items(old: &Config, new: &Config) -> Vec<String> {
    let kinds: [(&str, ItemTexts); 5] = [
        ("plan", |c| {
            c.decision_settings.plans.iter().map(|p| (p.name.to_string(), format!("{p:?}"))).collect()
        }),
        ("class", |c| {
            c.decision_settings.classes.iter().map(|p| (p.name.to_string(), format!("{p:?}"))).collect()
        }),
        ("root field", class_of_each_root_field),
        ("node", |c| c.nodes.iter().map(|n| (n.entry.name.to_string(), format!("{n:?}"))).collect()),
        ("customer", keys_of_each_customer),
    ];
    kinds.iter().flat_map(|(kind, items)| compare_items(kind, &items(old), &items(new))).collect()
}

fn class_of_each_root_field(config: &Config) -> BTreeMap<String, String> {
    let fields = config.query_classes.iter().chain(&config.mutation_classes);
    fields
        .map(|(field, class)| (field.clone(), config.decision_settings.classes[*class].name.to_string()))
        .collect()
}

fn keys_of_each_customer(config: &Config) -> BTreeMap<String, String> {
    let mut by_name: BTreeMap<String, Vec<String>> = BTreeMap::new();
    for (key, customer) in &config.customers_by_key {
        let Customer { name, plan_index, first_gateway, gateway_count } = &**customer;
        let plan = &config.decision_settings.plans[*plan_index].name;
        let text = format!(
            "{plan} from {first_gateway} through {gateway_count}, key {:02x}{:02x}..",
            key[0], key[1]
        );
        by_name.entry(name.to_string()).or_default().push(text);
    }
    let joined = |mut keys: Vec<String>| {
        keys.sort();
        keys.join("; ")
    };
    by_name.into_iter().map(|(name, keys)| (name, joined(keys))).collect()
}

/// One line for each item that is new, changed or removed. `old` and `new` have a text for each name.
fn compare_items(kind: &str, old: &BTreeMap<String, String>, new: &BTreeMap<String, String>) -> Vec<String> {
    let mut lines = Vec::new();
    for (name, text) in new {
        match old.get(name) {
            None => lines.push(format!("{kind} {name}: new")),
            Some(before) if before != text => lines.push(format!("{kind} {name}: changed")),
            Some(_) => {}
        }
    }
    let removed = old.keys().filter(|name| !new.contains_key(*name));
    lines.extend(removed.map(|name| format!("{kind} {name}: gone")));
    lines
}
