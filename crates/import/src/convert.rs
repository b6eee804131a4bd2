//! From the model to a node list, and what has to be said on the way. Every parameter of the balancer that is taken
//! passes through `PARAMETERS`: none is dropped without a word.

use crate::apache;
use crate::files::SourceLocation;
use crate::finding::Findings;
use crate::model::{Balancer, Member, Model, Mount, Protocol, Value};
use crate::table::{Conversion, Scope, Source, find_parameter};
use std::collections::{BTreeMap, BTreeSet, HashMap, HashSet};
use std::fmt::Write;
use std::net::IpAddr;

/// What is wanted of the files.
#[derive(Clone, Debug, Default)]
pub struct ConvertOptions {
    /// The balancer; needed where there are several.
    pub balancer: Option<String>,
    /// Addresses of host names.
    pub hosts: BTreeMap<String, IpAddr>,
}

/// What a node is there for; as in the settings.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub enum Role {
    /// It takes its part.
    #[default]
    Active,
    /// Stands in for one that is away.
    Spare,
    /// Used when its tier has nothing else.
    Standby,
    /// Takes only its own sessions.
    StickyOnly,
}

impl Role {
    /// Its name in the settings.
    #[must_use]
    pub fn name(self) -> &'static str {
        match self {
            Self::Active => "ACTIVE",
            Self::Spare => "SPARE",
            Self::Standby => "STANDBY",
            Self::StickyOnly => "BOUND",
        }
    }
}

/// A node of the list.
#[derive(Clone, Debug, PartialEq)]
pub struct Node {
    /// Its name.
    pub name: String,
    /// "address:port"; a host name where no address is known, and then the node is printed as a comment.
    pub address: String,
    /// Whether the address is one.
    pub resolved: bool,
    /// Its part of its tier.
    pub weight: f64,
    /// Its tier.
    pub priority_level: u32,
    /// What it is there for.
    pub role: Role,
    /// Whether it is sent nothing.
    pub draining: bool,
    /// What its sessions name it by.
    pub route: String,
    /// The route that takes its sessions.
    pub redirect: String,
    /// Its group.
    pub group: String,
    /// Where it came from.
    pub location: SourceLocation,
}

/// How nodes are chosen.
#[derive(Clone, Debug, PartialEq)]
pub struct Routing {
    /// OUTSTANDING, REQUESTS or BUSYNESS.
    pub balance: &'static str,
    /// The cookie with a session's id.
    pub cookie: String,
    /// The parameter with it.
    pub parameter: String,
    /// Whether bound requests are refused rather than served elsewhere.
    pub strict: bool,
}

/// A node list, to be printed.
#[derive(Clone, Debug, PartialEq)]
pub struct NodeList {
    /// The balancer that it was.
    pub balancer: String,
    /// Where that is defined.
    pub location: SourceLocation,
    /// Its nodes by tier, role and name.
    pub nodes: Vec<Node>,
    /// How they are chosen.
    pub routing: Routing,
    /// Lines for the settings that a node list cannot hold.
    pub hints: Vec<String>,
}

/// Turns the balancer that is wanted, of the files that begin with `main`, into a node list; `None` after an error, which is told.
pub fn convert(
    model: &Model, main: &str, options: &ConvertOptions, findings: &mut Findings,
) -> Option<NodeList> {
    let balancer = select_balancer(model, main, options, findings)?;
    let mut node_list = NodeList {
        balancer: balancer.name.clone(),
        location: balancer.location.clone(),
        nodes: Vec::new(),
        routing: convert_routing(balancer, findings),
        hints: Vec::new(),
    };
    let sticky = !node_list.routing.cookie.is_empty() || !node_list.routing.parameter.is_empty();
    for member in &balancer.members {
        report_unconverted(balancer.source, Scope::Member, &member.parameters, findings);
        node_list.nodes.extend(convert_member(balancer, member, sticky, options, findings));
    }
    report_unconverted(balancer.source, Scope::Balancer, &balancer.parameters, findings);
    remove_duplicate_addresses(&mut node_list.nodes, findings);
    assign_names(&mut node_list.nodes);
    resolve_redirects(balancer, &mut node_list.nodes, findings);
    node_list.hints = settings_hints(balancer, findings);
    report_mounts(model, balancer, &mut node_list.hints, findings);
    let key = |n: &Node| (n.priority_level, n.role, n.name.clone());
    node_list.nodes.sort_by_cached_key(key);
    Some(node_list)
}

fn select_balancer<'a>(
    model: &'a Model, main: &str, options: &ConvertOptions, findings: &mut Findings,
) -> Option<&'a Balancer> {
    // Errors of the readers come first: what they left is not the whole of it.
    if findings.any_at_least(crate::Severity::Error) {
        return None;
    }
    let first_file = SourceLocation { file: main.into(), line: 0 };
    let known = || {
        let names: Vec<&str> = model.balancers.iter().map(|b| b.name.as_str()).take(20).collect();
        names.join(", ")
    };
    let candidates: Vec<&Balancer> = model.balancers.iter().filter(|b| !b.members.is_empty()).collect();
    let chosen = match (&options.balancer, &candidates[..]) {
        (Some(name), _) => {
            let name = name.to_ascii_lowercase();
            let name = name.strip_prefix("balancer://").unwrap_or(&name);
            let found = model.balancers.iter().find(|b| b.name.eq_ignore_ascii_case(name));
            if found.is_none() {
                findings.add(
                    "C002",
                    &first_file,
                    format!("there is no balancer {name}; there are: {}", known()),
                );
            }
            found?
        }
        (None, []) => {
            let location = model.balancers.first().map_or(&first_file, |b| &b.location);
            findings.add("C002", location, "there is no balancer with members in these files");
            return None;
        }
        (None, [one]) => one,
        (None, [first, ..]) => {
            let text = format!("there are several balancers, name one by --balancer: {}", known());
            findings.add("C001", &first.location, text);
            return None;
        }
    };
    for other in model.balancers.iter().filter(|b| b.name != chosen.name) {
        match other.members.len() {
            0 => findings.add("B008", &other.location, format!("balancer {} has no members", other.name)),
            n => findings.add(
                "C008",
                &other.location,
                format!("balancer {} with {n} members was not asked for", other.name),
            ),
        }
    }
    if chosen.members.is_empty() {
        findings.add("C002", &chosen.location, format!("balancer {} has no members", chosen.name));
        return None;
    }
    Some(chosen)
}

/// What is read below for its value; all else is told by the table.
const HANDLED_PARAMETERS: [&str; 23] = [
    "loadfactor",
    "lbset",
    "route",
    "redirect",
    "status",
    "spare",
    "lbmethod",
    "stickysession",
    "nofailover",
    "scolonpathdelim",
    "maxattempts",
    "host",
    "port",
    "lbfactor",
    "activation",
    "disabled",
    "stopped",
    "distance",
    "domain",
    "jvm_route",
    "sticky_session",
    "sticky_session_force",
    "method",
];

fn report_unconverted(
    source: Source, scope: Scope, parameters: &BTreeMap<String, Value>, findings: &mut Findings,
) {
    for (name, value) in parameters {
        let Some(row) = find_parameter(source, scope, name) else { continue };
        let text = || format!("{name}={}: {}", clip(&value.text), row.note);
        match row.conversion {
            _ if HANDLED_PARAMETERS.contains(&name.as_str())
                || ["type", "retries", "lb_retries"].contains(&name.as_str()) => {}
            Conversion::Carried => {}
            Conversion::Approximated => findings.add("B004", &value.location, text()),
            Conversion::LeftOut => findings.add("B003", &value.location, text()),
        }
    }
}

fn clip(text: &str) -> String {
    text.chars().filter(|c| !c.is_control()).take(60).collect()
}

/// A figure within a range; one that cannot be read is told and left out.
fn parse_number(
    name: &str, value: Option<&Value>, range: std::ops::RangeInclusive<f64>, findings: &mut Findings,
) -> Option<f64> {
    let value = value?;
    match value.text.trim().parse::<f64>() {
        Ok(number) if range.contains(&number) => Some(number),
        _ => {
            let (low, high) = (range.start(), range.end());
            let text = format!("{name}={}: a number from {low} to {high} is wanted", clip(&value.text));
            findings.add("B001", &value.location, text);
            None
        }
    }
}

/// A name that the settings take; one that they do not is told and left out.
fn parse_name(name: &str, value: Option<&Value>, findings: &mut Findings) -> Option<String> {
    let value = value?;
    let text = value.text.trim();
    if text.contains(|c: char| c.is_whitespace() || c.is_control()) {
        findings.add(
            "B001",
            &value.location,
            format!("{name}=`{}`: a name without white space is wanted", clip(text)),
        );
        return None;
    }
    Some(text.to_owned()).filter(|t| !t.is_empty())
}

/// On and off, as httpd (On, Off) and mod_jk (true, t, yes, y, on, 1 ...) have them.
fn parse_flag(name: &str, value: Option<&Value>, findings: &mut Findings) -> Option<bool> {
    let value = value?;
    match value.text.trim().to_ascii_lowercase().as_str() {
        "on" | "true" | "t" | "yes" | "y" | "1" => Some(true),
        "off" | "false" | "f" | "no" | "n" | "0" => Some(false),
        _ => {
            findings.add(
                "B001",
                &value.location,
                format!("{name}={}: on or off is wanted", clip(&value.text)),
            );
            None
        }
    }
}

fn convert_routing(balancer: &Balancer, findings: &mut Findings) -> Routing {
    let of = |name: &str| balancer.parameters.get(name);
    let mut approximate = |value: &Value, text: &str| findings.add("B004", &value.location, text);
    let (method, known) = match balancer.source {
        Source::Apache => (of("lbmethod"), ["byrequests", "bybusyness", "bytraffic", "heartbeat"]),
        Source::ModJk => (of("method"), ["r", "b", "t", "s"]),
    };
    let balance = match method.map(|m| (m, m.text.trim().to_ascii_lowercase())) {
        None => "REQUESTS",
        Some((value, text)) => {
            // mod_jk tells methods by their first letter, httpd by the whole name.
            let initial: String = text.chars().take(1).collect();
            let text = if balancer.source == Source::ModJk { initial } else { text };
            match known.iter().position(|k| *k == text) {
                Some(0) => "REQUESTS",
                Some(1) => "BUSYNESS",
                Some(2) => {
                    approximate(value, "by traffic: bytes are not counted, requests are spread by weight");
                    "REQUESTS"
                }
                Some(3) if balancer.source == Source::Apache => {
                    approximate(
                        value,
                        "by heartbeat: nodes are not heard, the one with the fewest requests out is taken",
                    );
                    "OUTSTANDING"
                }
                Some(3) => {
                    approximate(value, "by sessions: they are not counted, requests are spread by weight");
                    "REQUESTS"
                }
                _ if balancer.source == Source::ModJk && text == "n" => {
                    approximate(
                        value,
                        "by sessions to the next: they are not counted, requests are spread by weight",
                    );
                    "REQUESTS"
                }
                _ => {
                    let text = format!("`{}` is no method: requests are spread by weight", clip(&value.text));
                    findings.add("B001", &value.location, text);
                    "REQUESTS"
                }
            }
        }
    };
    let (mut cookie, mut parameter) = (String::new(), String::new());
    let strict = match balancer.source {
        Source::Apache => {
            if let Some(value) = of("stickysession") {
                let (first, second) = value.text.split_once('|').unwrap_or((&value.text, &value.text));
                (cookie, parameter) = (first.trim().to_owned(), second.trim().to_owned());
            }
            parse_flag("nofailover", of("nofailover"), findings)
        }
        Source::ModJk => {
            if parse_flag("sticky_session", of("sticky_session"), findings).unwrap_or(true) {
                let named =
                    |name: &str, default: &str| of(name).map_or(default, |v| v.text.trim()).to_owned();
                cookie = named("session_cookie", "JSESSIONID");
                parameter = named("session_path", ";jsessionid").trim_matches([';', '=']).to_owned();
            }
            parse_flag("sticky_session_force", of("sticky_session_force"), findings)
        }
    };
    // The names must be such as the settings take.
    let token = |c: char| c.is_ascii_graphic() && !"()<>@,;:\\\"/[]?={}&%+".contains(c);
    for (what, name) in [("cookie", &mut cookie), ("parameter", &mut parameter)] {
        if !name.chars().all(token) {
            let text =
                format!("`{}` is no name of a {what}: sessions do not keep to nodes by it", clip(name));
            findings.add("C012", &balancer.location, text);
            name.clear();
        }
    }
    Routing { balance, cookie, parameter, strict: strict.unwrap_or(false) }
}

fn convert_member(
    balancer: &Balancer, member: &Member, sticky: bool, options: &ConvertOptions, findings: &mut Findings,
) -> Option<Node> {
    let (location, of) = (&member.location, |name: &str| member.parameters.get(name));
    let name = &member.name;
    match &member.protocol {
        Protocol::Http => {}
        Protocol::Https => findings.add(
            "C004",
            location,
            format!("{name}: nodes are spoken to without TLS; give its HTTP port"),
        ),
        Protocol::Ajp => findings.add(
            "C003",
            location,
            format!("{name}: AJP is not spoken; give the port of its HTTP connector"),
        ),
        Protocol::Other(scheme) => {
            findings.add(
                "C006",
                location,
                format!("{name}: {} is no TCP address with HTTP: left out", clip(scheme)),
            );
            return None;
        }
    }
    if !member.path.trim_matches('/').is_empty() {
        let text =
            format!("{name}: the path {} is not kept; all nodes serve the gateway's own", clip(&member.path));
        findings.add("C007", location, text);
    }
    let jk = balancer.source == Source::ModJk;
    let weight = match jk {
        true => parse_number("lbfactor", of("lbfactor"), 1.0..=1e5, findings),
        false => parse_number("loadfactor", of("loadfactor"), 1.0..=100.0, findings),
    };
    let priority_level = match jk {
        true => parse_number("distance", of("distance"), 0.0..=1000.0, findings),
        false => parse_number("lbset", of("lbset"), 0.0..=99.0, findings),
    };
    let (role, draining) =
        if jk { role_from_activation(member, findings) } else { role_from_status(member, findings) };
    let mut parsed = |name: &str| parse_name(name, of(name), findings);
    let (redirect, group) = (parsed("redirect").unwrap_or_default(), parsed("domain").unwrap_or_default());
    let own = || jk.then(|| member.name.clone());
    let route =
        parsed("route").or_else(|| parsed("jvm_route")).or_else(own).filter(|_| sticky).unwrap_or_default();
    if jk && member.name.contains(|c: char| c.is_whitespace() || c.is_control()) {
        findings.add("C006", location, format!("`{}` is no name of a node: left out", clip(name)));
        return None;
    }
    if !sticky && let Some(value) = of("route") {
        findings.add("C012", &value.location, "route without sticky sessions: nothing is bound by it");
    }
    let (host, port) = (member.host.as_str(), member.port);
    let known = host.parse::<IpAddr>().ok().or_else(|| options.hosts.get(host).copied()).or_else(|| {
        // The one name whose address is the same everywhere (RFC 6761 section 6.3).
        (host == "localhost").then_some(IpAddr::from([127, 0, 0, 1]))
    });
    let address = match known {
        Some(ip) => std::net::SocketAddr::new(ip, port).to_string(),
        None => {
            let text = format!("{name}: the address of {} is needed: --host {0}=ADDRESS", clip(host));
            findings.add("C005", location, text);
            format!("{host}:{port}")
        }
    };
    Some(Node {
        name: if jk { member.name.clone() } else { String::new() },
        address,
        resolved: known.is_some(),
        weight: weight.unwrap_or(1.0),
        priority_level: priority_level.unwrap_or(0.0) as u32,
        role,
        draining,
        route,
        redirect,
        group,
        location: location.clone(),
    })
}

/// httpd's flags, the last word of each.
fn role_from_status(member: &Member, findings: &mut Findings) -> (Role, bool) {
    let mut set: BTreeMap<char, (bool, &SourceLocation)> = BTreeMap::new();
    for (flag, on, location) in &member.flags {
        set.insert(*flag, (*on, location));
    }
    let on = |flag: char| set.get(&flag).is_some_and(|(on, _)| *on);
    let mut report = |flag: char, code, text: &str| {
        if let Some((true, location)) = set.get(&flag) {
            findings.add(code, location, format!("status {flag}: {text}"));
        }
    };
    report('I', "B003", "errors are never ignored: a node that fails is left alone for a while");
    report('E', "B004", "the node begins as usable and is left alone once it fails");
    report('C', "B004", "nodes are not probed: outcomes of requests tell");
    report(
        'D',
        "C010",
        "httpd tries it again behind `retry`; here it is sent nothing until the list says otherwise",
    );
    let spare = match parse_flag("spare", member.parameters.get("spare"), findings) {
        Some(spare) => spare,
        None => on('R'),
    };
    if on('H') && spare {
        let location = set.get(&'H').map_or(&member.location, |(_, p)| p);
        findings.add("C010", location, "both hot standby and hot spare: taken as hot standby");
    }
    let role = match () {
        () if on('N') => Role::StickyOnly,
        () if on('H') => Role::Standby,
        () if spare => Role::Spare,
        () => Role::Active,
    };
    if on('N') && (on('H') || spare) {
        let location = set.get(&'N').map_or(&member.location, |(_, p)| p);
        findings.add("C010", location, "draining, and standby or spare: it takes only its own sessions");
    }
    (role, on('S') || on('D'))
}

/// mod_jk's activation, and the older `disabled` and `stopped`.
fn role_from_activation(member: &Member, findings: &mut Findings) -> (Role, bool) {
    let of = |name: &str| member.parameters.get(name);
    let first = of("activation").map(|v| (v, v.text.trim().to_ascii_lowercase()));
    let state = match first.as_ref().map(|(v, t)| (v, t.chars().next())) {
        None => None,
        Some((_, Some('a'))) => Some('a'),
        Some((_, Some('d'))) => Some('d'),
        Some((_, Some('s'))) => Some('s'),
        Some((value, _)) => {
            findings.add(
                "B001",
                &value.location,
                format!("activation={}: A, D or S is wanted", clip(&value.text)),
            );
            None
        }
    };
    let old = |name: &str, findings: &mut Findings| {
        let value = of(name)?;
        findings.add("J006", &value.location, format!("{name} is activation now"));
        parse_flag(name, Some(value), findings)
    };
    let (stopped, disabled) =
        (old("stopped", findings) == Some(true), old("disabled", findings) == Some(true));
    match state {
        Some('s') => (Role::Active, true),
        Some('d') => (Role::StickyOnly, false),
        Some(_) => (Role::Active, false),
        None if stopped => (Role::Active, true),
        None if disabled => (Role::StickyOnly, false),
        None => (Role::Active, false),
    }
}

/// Names for httpd's members, which have none: the route where it is one of its own, else address and port.
fn assign_names(nodes: &mut [Node]) {
    let mut routes: HashMap<String, usize> = HashMap::new();
    nodes.iter().for_each(|n| *routes.entry(n.route.clone()).or_default() += 1);
    let mut used_names: HashSet<String> = nodes.iter().map(|n| n.name.clone()).collect();
    for node in nodes.iter_mut().filter(|n| n.name.is_empty()) {
        let own = !node.route.is_empty() && routes[&node.route] == 1;
        let mut name = if own { node.route.clone() } else { node.address.clone() };
        while !used_names.insert(name.clone()) {
            name.push('+');
        }
        node.name = name;
    }
}

/// Successors by the route of the node that they name: httpd names routes, mod_jk names workers or routes.
fn resolve_redirects(balancer: &Balancer, nodes: &mut [Node], findings: &mut Findings) {
    let by_name: HashMap<String, String> = nodes.iter().map(|n| (n.name.clone(), n.route.clone())).collect();
    let routes: BTreeSet<String> = nodes.iter().map(|n| n.route.clone()).collect();
    for node in nodes.iter_mut().filter(|n| !n.redirect.is_empty()) {
        let jk = balancer.source == Source::ModJk;
        if let Some(route) = by_name.get(&node.redirect).filter(|r| jk && !r.is_empty()) {
            node.redirect.clone_from(route);
        } else if !routes.contains(&node.redirect) || node.redirect.is_empty() {
            let text = format!(
                "{}: no node has the route {} that it is redirected to",
                node.name,
                clip(&node.redirect)
            );
            findings.add("C009", &node.location, text);
            node.redirect.clear();
        }
    }
}

/// One address given twice would be a node that is counted twice.
fn remove_duplicate_addresses(nodes: &mut Vec<Node>, findings: &mut Findings) {
    let mut seen: HashMap<String, SourceLocation> = HashMap::new();
    nodes.retain(|node| match seen.get(&node.address) {
        None => {
            seen.insert(node.address.clone(), node.location.clone());
            true
        }
        Some(first) => {
            let text = format!("{} is the address of the node of {first} already: left out", node.address);
            findings.add("C011", &node.location, text);
            false
        }
    });
}

/// What belongs into the settings rather than into a node list.
fn settings_hints(balancer: &Balancer, findings: &mut Findings) -> Vec<String> {
    let mut hints = Vec::new();
    let (name, more) = match balancer.source {
        // maxattempts counts attempts behind the first (failover attempts); mod_jk's retries count all.
        Source::Apache => ("maxattempts", 1.0),
        Source::ModJk if balancer.parameters.contains_key("lb_retries") => ("lb_retries", 0.0),
        Source::ModJk => ("retries", 0.0),
    };
    let value = balancer.parameters.get(name);
    if let (Some(attempts), Some(value)) = (parse_number(name, value, 0.0..=99.0, findings), value) {
        let most = (attempts + more).max(1.0);
        hints.push(format!("attempts {{ most: {most} }}"));
        findings.add(
            "B004",
            &value.location,
            format!("{name}={}: set attempts {{ most: {most} }} in the settings", clip(&value.text)),
        );
    }
    hints
}

fn report_mounts(model: &Model, balancer: &Balancer, hints: &mut Vec<String>, findings: &mut Findings) {
    let path =
        |m: &Mount| format!("{}{}{}", m.context, if m.context.is_empty() { "" } else { " " }, clip(&m.path));
    let known: HashSet<String> = model.balancers.iter().map(|b| b.name.to_ascii_lowercase()).collect();
    let own_mounts: Vec<&Mount> = model
        .mounts
        .iter()
        .filter(|m| m.target.as_ref().is_some_and(|t| t.eq_ignore_ascii_case(&balancer.name)))
        .collect();
    for mount in &model.mounts {
        let text = match &mount.target {
            None => format!(
                "{} is kept from the balancer: the gateway serves one endpoint and nothing else",
                path(mount)
            ),
            Some(target) if target.eq_ignore_ascii_case(&balancer.name) => match &own_mounts[..] {
                [_] => format!("{}: the gateway serves one endpoint, `path` in the settings", path(mount)),
                _ => {
                    format!(
                        "{}: the gateway serves one endpoint, this is one of {}",
                        path(mount),
                        own_mounts.len()
                    )
                }
            },
            Some(target) if known.contains(&target.to_ascii_lowercase()) => continue,
            Some(target) => format!("{} goes to {}: no balancer, left out", path(mount), clip(target)),
        };
        findings.add("C007", &mount.location, text);
    }
    if let [mount] = &own_mounts[..]
        && mount.path.starts_with('/')
        && !mount.path.contains(['*', '?', ' ', '"', '(', '$', '^'])
        && mount.path != "/"
    {
        hints.push(format!("path: \"{}\"", mount.path.trim_end_matches('/')));
    }
}

/// A string of protobuf's text format.
fn quote(text: &str) -> String {
    let mut escaped = String::from("\"");
    for c in text.chars() {
        match c {
            '"' | '\\' => {
                escaped.push('\\');
                escaped.push(c);
            }
            c if c.is_control() => {
                let mut bytes = [0; 4];
                c.encode_utf8(&mut bytes).bytes().for_each(|b| escaped.push_str(&format!("\\{b:03o}")));
            }
            c => escaped.push(c),
        }
    }
    escaped.push('"');
    escaped
}

impl NodeList {
    /// The node list in protobuf text format: the same model gives the same bytes.
    #[must_use]
    pub fn to_text(&self) -> String {
        let comment = |text: &str| text.chars().filter(|c| !c.is_control()).collect::<String>();
        let mut text = format!(
            "# Node list of balancer {}, from {}.\n",
            comment(&self.balancer),
            comment(&self.location.to_string())
        );
        if !self.hints.is_empty() {
            text.push_str("# For the settings:\n");
            for hint in &self.hints {
                let _ = writeln!(text, "#   {}", comment(hint));
            }
        }
        let Routing { balance, cookie, parameter, strict } = &self.routing;
        let _ = writeln!(text, "routing {{\n  balance: {balance}");
        if !cookie.is_empty() || !parameter.is_empty() {
            text.push_str("  sticky {");
            for (name, value) in [("cookie", cookie), ("parameter", parameter)] {
                if !value.is_empty() {
                    let _ = write!(text, " {name}: {}", quote(value));
                }
            }
            let _ = writeln!(text, "{} }}", if *strict { " strict: true" } else { "" });
        }
        text.push_str("}\n");
        for node in &self.nodes {
            let _ = write!(text, "\n# {}\n", comment(&node.location.to_string()));
            let mark = if node.resolved { "" } else { "# " };
            if !node.resolved {
                text.push_str("# Its address is not known: set it and take the marks away.\n");
            }
            let _ = writeln!(text, "{mark}nodes {{");
            let _ = writeln!(text, "{mark}  name: {}", quote(&node.name));
            let _ = writeln!(text, "{mark}  address: {}", quote(&node.address));
            let mut field = |is: bool, name: &str, value: String| {
                if is {
                    let _ = writeln!(text, "{mark}  {name}: {value}");
                }
            };
            field(node.weight != 1.0, "weight", node.weight.to_string());
            field(node.priority_level != 0, "tier", node.priority_level.to_string());
            field(node.role != Role::Active, "role", node.role.name().into());
            field(node.draining, "state", "DRAINING".into());
            field(!node.route.is_empty(), "route", quote(&node.route));
            field(!node.redirect.is_empty(), "redirect", quote(&node.redirect));
            field(!node.group.is_empty(), "group", quote(&node.group));
            let _ = writeln!(text, "{mark}}}");
        }
        text
    }
}

/// Notes how many directives there were of other modules.
pub(crate) fn report_other_directives(config: &apache::HttpdConfig, file: &str, findings: &mut Findings) {
    if config.other_directives > 0 {
        let location = SourceLocation { file: file.into(), line: 0 };
        findings.add(
            "B009",
            &location,
            format!("{} directives of other modules: not looked at", config.other_directives),
        );
    }
}
