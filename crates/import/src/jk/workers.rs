//! From properties to workers: references followed, balancers filled.

use super::properties::{Properties, Property, short};
use crate::files::SourceLocation;
use crate::finding::Findings;
use crate::model::{Balancer, Member, Model, Protocol, Value};
use crate::table::{Scope, Source, find_parameter};
use std::collections::{BTreeMap, HashMap, HashSet};

/// Longer chains of references, and balancers within balancers, are taken for circles.
const CHAIN: usize = 64;

type Attributes<'a> = BTreeMap<&'a str, &'a Property>;

struct Workers<'a> {
    /// What is said of each worker itself.
    own: HashMap<&'a str, Attributes<'a>>,
    /// In the order in which they were named first.
    order: Vec<&'a str>,
    /// Where that was.
    begins: HashMap<&'a str, &'a SourceLocation>,
}

/// Names in a list: commas and white space part them.
fn names(text: &str) -> impl Iterator<Item = &str> {
    text.split([',', ' ', '\t']).filter(|n| !n.is_empty())
}

pub(super) fn model(properties: &Properties, model: &mut Model, findings: &mut Findings) {
    let mut workers = Workers { own: HashMap::new(), order: Vec::new(), begins: HashMap::new() };
    for (name, property) in properties.iter() {
        let Some(rest) = name.strip_prefix("worker.") else {
            // Anything else is there for macros, or is told to nobody.
            if name.contains('.') {
                findings.add(
                    "J005",
                    &property.location,
                    format!("{}: neither a worker's property nor a macro", short(name)),
                );
            }
            continue;
        };
        match rest.rsplit_once('.') {
            Some((worker, attribute)) => {
                let own = workers.own.entry(worker).or_insert_with(|| {
                    workers.order.push(worker);
                    workers.begins.insert(worker, &property.first);
                    BTreeMap::new()
                });
                own.insert(attribute, property);
            }
            None if rest == "list" => {}
            None => match find_parameter(Source::ModJk, Scope::Directive, name) {
                Some(row) => findings.add("B005", &property.location, format!("{name}: {}", row.note)),
                None => findings.add("B002", &property.location, format!("{}: not known here", short(name))),
            },
        }
    }
    let listed = properties.get("worker.list");
    let mut reached: HashSet<&str> = HashSet::new();
    if let Some(listed) = listed {
        for name in names(&listed.text) {
            if !workers.own.contains_key(name) && name != "status" {
                findings.add(
                    "J001",
                    &listed.location,
                    format!("worker.list names {name}, of which nothing is said"),
                );
            }
            reached.insert(name);
        }
    }
    let mut attributes: HashMap<&str, Attributes> = HashMap::new();
    for name in &workers.order {
        match workers.whole(name, findings) {
            Some(whole) => drop(attributes.insert(name, whole)),
            None => return,
        }
    }
    let worker_type =
        |name: &str| attributes.get(name).and_then(|a| a.get("type")).map_or("ajp13", |p| p.text.as_str());
    let mut within: HashSet<&str> = HashSet::new();
    for name in &workers.order {
        let whole = &attributes[name];
        let location = workers.begins[name].clone();
        match worker_type(name).to_ascii_lowercase().as_str() {
            "lb" => {
                let mut members = Vec::new();
                let Some(lists) = workers.members(
                    name,
                    &attributes,
                    &mut Vec::new(),
                    &mut HashSet::new(),
                    &mut members,
                    findings,
                ) else {
                    return;
                };
                within.extend(&members);
                let mut parameters = BTreeMap::new();
                for (attribute, property) in whole {
                    if find_parameter(Source::ModJk, Scope::Balancer, attribute).is_none() {
                        let text = format!("{}: no parameter of a balancer", short(attribute));
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
                if listed.is_some() && !reached.contains(name) {
                    findings.add("J004", &location, format!("worker.list does not name {name}"));
                }
                let members = members
                    .iter()
                    .filter_map(|m| member(m, &attributes[m], workers.begins[m].clone(), findings))
                    .collect();
                let (name, source) = ((*name).to_owned(), Source::ModJk);
                model.balancers.push(Balancer { name, members, parameters, location, source });
            }
            "ajp13" | "ajp14" | "ajp12" => {}
            "status" => {
                let text = format!("status worker {name}: `doorcourse ctl` shows and drains nodes");
                findings.add("J003", &location, text);
            }
            other => findings.add(
                "J003",
                &location,
                format!("worker {name} is of type {}: left out", short(other)),
            ),
        }
    }
    // A worker that requests reach by itself is a balancer of one.
    let alone = workers.order.iter().filter(|n| reached.contains(**n) && worker_type(n).starts_with("ajp"));
    for name in alone.filter(|n| !within.contains(**n)) {
        let whole = &attributes[name];
        let location = workers.begins[name].clone();
        let members = member(name, whole, location.clone(), findings).into_iter().collect();
        let (name, source, parameters) = ((*name).to_owned(), Source::ModJk, BTreeMap::new());
        model.balancers.push(Balancer { name, members, parameters, location, source });
    }
}

impl<'a> Workers<'a> {
    /// What is said of a worker and of those that it refers to, its own word first.
    fn whole(&self, name: &str, findings: &mut Findings) -> Option<Attributes<'a>> {
        let mut whole = self.own.get(name)?.clone();
        let mut seen = vec![name];
        let mut next = whole.get("reference").copied();
        while let Some(reference) = next {
            let target = reference.text.strip_prefix("worker.").unwrap_or(&reference.text);
            if seen.contains(&target) || seen.len() > CHAIN {
                let chain = seen.join(" -> ");
                findings.add(
                    "J002",
                    &reference.location,
                    format!("references go round: {chain} -> {target}"),
                );
                return None;
            }
            let Some(of) = self.own.get(target) else {
                let text = format!("reference to {}, of which nothing is said", short(target));
                findings.add("J001", &reference.location, text);
                return None;
            };
            seen.push(target);
            next = of.get("reference").copied();
            for (attribute, property) in of {
                whole.entry(attribute).or_insert(property);
            }
        }
        Some(whole)
    }

    /// The members of a balancer, those of balancers within it taken in; gives how many lists it has.
    fn members(
        &self, name: &str, attributes: &HashMap<&'a str, Attributes<'a>>, open: &mut Vec<String>,
        done: &mut HashSet<&'a str>, members: &mut Vec<&'a str>, findings: &mut Findings,
    ) -> Option<usize> {
        let whole = &attributes[name];
        let lists: Vec<&&Property> =
            ["balance_workers", "balanced_workers"].iter().filter_map(|l| whole.get(l)).collect();
        let mut had: HashSet<&str> = members.iter().copied().collect();
        open.push(name.to_owned());
        for list in &lists {
            if whole.get("balanced_workers").is_some_and(|l| l.location == list.location) {
                findings.add("J006", &list.location, "balanced_workers is balance_workers now");
            }
            for member in names(&list.text) {
                let Some((known, of)) = attributes.get_key_value(member) else {
                    let text = format!("balancer {name} names {}, of which nothing is said", short(member));
                    findings.add("J001", &list.location, text);
                    return None;
                };
                if of.get("type").is_some_and(|t| t.text.eq_ignore_ascii_case("lb")) {
                    if open.iter().any(|o| o == member) || open.len() > CHAIN {
                        let text = format!("balancers go round: {} -> {member}", open.join(" -> "));
                        findings.add("J002", &list.location, text);
                        return None;
                    }
                    let text = format!(
                        "{member} is a balancer itself: its members are taken in with their own parameters"
                    );
                    findings.add("J008", &list.location, text);
                    // Each once: balancers that hold each other twice would double at each step.
                    if done.insert(known) {
                        self.members(member, attributes, open, done, members, findings)?;
                        had.extend(members.iter());
                    }
                } else if had.insert(known) {
                    members.push(known);
                } else {
                    findings.add("B006", &list.location, format!("balancer {name} names {member} twice"));
                }
            }
        }
        open.pop();
        Some(lists.len())
    }
}

fn member(
    name: &str, whole: &Attributes, location: SourceLocation, findings: &mut Findings,
) -> Option<Member> {
    let of = |attribute: &str| whole.get(attribute).map(|p| p.text.as_str());
    let worker_type = of("type").unwrap_or("ajp13").to_ascii_lowercase();
    if !worker_type.starts_with("ajp") {
        findings.add(
            "J003",
            &location,
            format!("member {name} is of type {}: left out", short(&worker_type)),
        );
        return None;
    }
    let host = of("host").unwrap_or("localhost").to_ascii_lowercase();
    let usual = if worker_type == "ajp14" { 8011 } else { 8009 };
    let port = match of("port").map(str::parse::<u16>) {
        None => usual,
        Some(Ok(port)) if port > 0 => port,
        Some(_) => {
            let at = &whole["port"].location;
            findings.add(
                "C006",
                at,
                format!("worker {name}: `{}` is no port: left out", short(&whole["port"].text)),
            );
            return None;
        }
    };
    let mut parameters = BTreeMap::new();
    for (attribute, property) in whole {
        match find_parameter(Source::ModJk, Scope::Member, attribute) {
            Some(_) => {
                let value = Value { text: property.text.clone(), location: property.location.clone() };
                parameters.insert((*attribute).to_owned(), value);
            }
            None => {
                let text = format!("{}: no parameter of a worker", short(attribute));
                findings.add("B002", &property.location, text);
            }
        }
    }
    let (flags, path, protocol) = (Vec::new(), String::new(), Protocol::Ajp);
    let host = host.trim_start_matches('[').trim_end_matches(']').to_owned();
    Some(Member { name: name.to_owned(), protocol, host, port, path, parameters, flags, location })
}
