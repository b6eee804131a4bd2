//! Builds balancers from mod_jk's properties: resolves references and collects the members of load balancer
//! workers.

use super::properties::{Properties, Property, clip};
use crate::files::SourceLocation;
use crate::finding::Findings;
use crate::model::{Balancer, Member, Model, Protocol, Value};
use crate::table::{Scope, Source, find_parameter};
use std::collections::{BTreeMap, HashMap, HashSet};

/// Longer chains of references, and deeper nesting of balancers, are treated as cycles.
const MAX_REFERENCE_DEPTH: usize = 64;

type Attributes<'a> = BTreeMap<&'a str, &'a Property>;

struct Workers<'a> {
    /// The attributes set on each worker itself.
    own: HashMap<&'a str, Attributes<'a>>,
    /// Worker names in order of first occurrence.
    order: Vec<&'a str>,
    /// Where each worker was first named.
    origins: HashMap<&'a str, &'a SourceLocation>,
}

/// Splits a list at commas and white space.
fn split_names(text: &str) -> impl Iterator<Item = &str> {
    text.split([',', ' ', '\t']).filter(|n| !n.is_empty())
}

pub(super) fn add_balancers(properties: &Properties, model: &mut Model, findings: &mut Findings) {
    let mut workers = Workers { own: HashMap::new(), order: Vec::new(), origins: HashMap::new() };
    for (name, property) in properties.iter() {
        let Some(rest) = name.strip_prefix("worker.") else {
            // Names without a dot are macros; any other name is unknown.
            if name.contains('.') {
                findings.add(
                    "J005",
                    &property.location,
                    format!("{}: neither a worker's property nor a macro", clip(name)),
                );
            }
            continue;
        };
        match rest.rsplit_once('.') {
            Some((worker, attribute)) => {
                let own = workers.own.entry(worker).or_insert_with(|| {
                    workers.order.push(worker);
                    workers.origins.insert(worker, &property.first_location);
                    BTreeMap::new()
                });
                own.insert(attribute, property);
            }
            None if rest == "list" => {}
            None => match find_parameter(Source::ModJk, Scope::Directive, name) {
                Some(row) => findings.add("B005", &property.location, format!("{name}: {}", row.note)),
                None => findings.add("B002", &property.location, format!("{}: unknown property", clip(name))),
            },
        }
    }
    let worker_list = properties.get("worker.list");
    let mut listed_names: HashSet<&str> = HashSet::new();
    if let Some(worker_list) = worker_list {
        for name in split_names(&worker_list.text) {
            if !workers.own.contains_key(name) && name != "status" {
                findings.add(
                    "J001",
                    &worker_list.location,
                    format!("worker.list names {name}, which is not defined"),
                );
            }
            listed_names.insert(name);
        }
    }
    let mut attributes: HashMap<&str, Attributes<'_>> = HashMap::new();
    for name in &workers.order {
        match workers.resolve_references(name, findings) {
            Some(resolved) => drop(attributes.insert(name, resolved)),
            None => return,
        }
    }
    let worker_type =
        |name: &str| attributes.get(name).and_then(|a| a.get("type")).map_or("ajp13", |p| p.text.as_str());
    let mut balanced: HashSet<&str> = HashSet::new();
    for name in &workers.order {
        let resolved = &attributes[name];
        let location = workers.origins[name].clone();
        match worker_type(name).to_ascii_lowercase().as_str() {
            "lb" => {
                let mut members = Vec::new();
                let Some(lists) = workers.collect_members(
                    name,
                    &attributes,
                    &mut Vec::new(),
                    &mut HashSet::new(),
                    &mut members,
                    findings,
                ) else {
                    return;
                };
                balanced.extend(&members);
                let mut parameters = BTreeMap::new();
                for (attribute, property) in resolved {
                    if find_parameter(Source::ModJk, Scope::Balancer, attribute).is_none() {
                        let text = format!("{}: not a known parameter of a balancer", clip(attribute));
                        findings.add("B002", &property.location, text);
                    } else if *attribute != "type" && *attribute != "reference" {
                        let value =
                            Value { text: property.text.clone(), location: property.location.clone() };
                        parameters.insert((*attribute).to_owned(), value);
                    }
                }
                if lists == 0 {
                    findings.add("B008", &location, format!("balancer {name} has no members"));
                }
                if worker_list.is_some() && !listed_names.contains(name) {
                    findings.add("J004", &location, format!("worker.list does not name {name}"));
                }
                let members = members
                    .iter()
                    .filter_map(|m| build_member(m, &attributes[m], workers.origins[m].clone(), findings))
                    .collect();
                let (name, source) = ((*name).to_owned(), Source::ModJk);
                model.balancers.push(Balancer { name, members, parameters, location, source });
            }
            "ajp13" | "ajp14" | "ajp12" => {}
            "status" => {
                let text = format!("status worker {name}: `doorcourse ctl` shows and drains nodes");
                findings.add("J003", &location, text);
            }
            other => {
                findings.add(
                    "J003",
                    &location,
                    format!("worker {name} is of type {}: left out", clip(other)),
                );
            }
        }
    }
    // A worker that is in worker.list but in no balancer becomes a balancer with one member.
    let standalone =
        workers.order.iter().filter(|n| listed_names.contains(**n) && worker_type(n).starts_with("ajp"));
    for name in standalone.filter(|n| !balanced.contains(**n)) {
        let resolved = &attributes[name];
        let location = workers.origins[name].clone();
        let members = build_member(name, resolved, location.clone(), findings).into_iter().collect();
        let (name, source, parameters) = ((*name).to_owned(), Source::ModJk, BTreeMap::new());
        model.balancers.push(Balancer { name, members, parameters, location, source });
    }
}

impl<'a> Workers<'a> {
    /// A worker's attributes together with those of the workers it references; its own attributes take
    /// precedence.
    fn resolve_references(&self, name: &str, findings: &mut Findings) -> Option<Attributes<'a>> {
        let mut resolved = self.own.get(name)?.clone();
        let mut seen = vec![name];
        let mut next = resolved.get("reference").copied();
        while let Some(reference) = next {
            let target = reference.text.strip_prefix("worker.").unwrap_or(&reference.text);
            if seen.contains(&target) || seen.len() > MAX_REFERENCE_DEPTH {
                let chain = seen.join(" -> ");
                findings.add(
                    "J002",
                    &reference.location,
                    format!("references are cyclic or too deep: {chain} -> {target}"),
                );
                return None;
            }
            let Some(inherited) = self.own.get(target) else {
                let text = format!("reference to {}, which is not defined", clip(target));
                findings.add("J001", &reference.location, text);
                return None;
            };
            seen.push(target);
            next = inherited.get("reference").copied();
            for (attribute, property) in inherited {
                resolved.entry(attribute).or_insert(property);
            }
        }
        Some(resolved)
    }

    /// Collects a balancer's members, with nested balancers flattened, and returns the number of its member
    /// lists.
    fn collect_members(
        &self, name: &str, attributes: &HashMap<&'a str, Attributes<'a>>, open_balancers: &mut Vec<String>,
        expanded: &mut HashSet<&'a str>, members: &mut Vec<&'a str>, findings: &mut Findings,
    ) -> Option<usize> {
        let resolved = &attributes[name];
        let lists: Vec<&&Property> =
            ["balance_workers", "balanced_workers"].iter().filter_map(|l| resolved.get(l)).collect();
        let mut seen_members: HashSet<&str> = members.iter().copied().collect();
        open_balancers.push(name.to_owned());
        for list in &lists {
            // Locations are compared to recognize the list that is set by the old name.
            if resolved.get("balanced_workers").is_some_and(|l| l.location == list.location) {
                findings.add("J006", &list.location, "balanced_workers is the old name of balance_workers");
            }
            for member in split_names(&list.text) {
                let Some((known, member_attributes)) = attributes.get_key_value(member) else {
                    let text = format!("balancer {name} names {}, which is not defined", clip(member));
                    findings.add("J001", &list.location, text);
                    return None;
                };
                if member_attributes.get("type").is_some_and(|t| t.text.eq_ignore_ascii_case("lb")) {
                    if open_balancers.iter().any(|o| o == member)
                        || open_balancers.len() > MAX_REFERENCE_DEPTH
                    {
                        let text = format!(
                            "balancers are cyclic or nest too deeply: {} -> {member}",
                            open_balancers.join(" -> ")
                        );
                        findings.add("J002", &list.location, text);
                        return None;
                    }
                    let text = format!(
                        "{member} is itself a balancer: its members are included with their own parameters"
                    );
                    findings.add("J008", &list.location, text);
                    // Expands each nested balancer once: balancers that list one another twice would grow
                    // exponentially.
                    if expanded.insert(known) {
                        self.collect_members(
                            member,
                            attributes,
                            open_balancers,
                            expanded,
                            members,
                            findings,
                        )?;
                        seen_members.extend(members.iter());
                    }
                } else if seen_members.insert(known) {
                    members.push(known);
                } else {
                    findings.add("B006", &list.location, format!("balancer {name} names {member} twice"));
                }
            }
        }
        open_balancers.pop();
        Some(lists.len())
    }
}

fn build_member(
    name: &str, resolved: &Attributes<'_>, location: SourceLocation, findings: &mut Findings,
) -> Option<Member> {
    let of = |attribute: &str| resolved.get(attribute).map(|p| p.text.as_str());
    let worker_type = of("type").unwrap_or("ajp13").to_ascii_lowercase();
    if !worker_type.starts_with("ajp") {
        findings.add("J003", &location, format!("member {name} is of type {}: left out", clip(&worker_type)));
        return None;
    }
    let host = of("host").unwrap_or("localhost").to_ascii_lowercase();
    let default_port = if worker_type == "ajp14" { 8011 } else { 8009 };
    let port = match of("port").map(str::parse::<u16>) {
        None => default_port,
        Some(Ok(port)) if port > 0 => port,
        Some(_) => {
            let at = &resolved["port"].location;
            findings.add(
                "C006",
                at,
                format!("worker {name}: `{}` is not a valid port: left out", clip(&resolved["port"].text)),
            );
            return None;
        }
    };
    let mut parameters = BTreeMap::new();
    for (attribute, property) in resolved {
        match find_parameter(Source::ModJk, Scope::Member, attribute) {
            Some(_) => {
                let value = Value { text: property.text.clone(), location: property.location.clone() };
                parameters.insert((*attribute).to_owned(), value);
            }
            None => {
                let text = format!("{}: not a known parameter of a worker", clip(attribute));
                findings.add("B002", &property.location, text);
            }
        }
    }
    let (flags, path, protocol) = (Vec::new(), String::new(), Protocol::Ajp);
    let host = host.trim_start_matches('[').trim_end_matches(']').to_owned();
    Some(Member { name: name.to_owned(), protocol, host, port, path, parameters, flags, location })
}
