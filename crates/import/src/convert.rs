//! Converts the model to a node list and reports what cannot be converted. Every parameter of the chosen
//! balancer is either in `HANDLED_PARAMETERS`, which names the exceptions, or reported from `PARAMETERS`.

use crate::apache;
use crate::files::SourceLocation;
use crate::finding::Findings;
use crate::model::{Balancer, Member, Model, Mount, Protocol, Value};
use crate::table::{Conversion, Scope, Source, find_parameter};
use std::collections::{BTreeMap, BTreeSet, HashMap, HashSet};
use std::fmt::Write;
use std::net::IpAddr;

/// Options of the conversion.
#[derive(Clone, Debug, Default)]
pub struct ConvertOptions {
    /// The balancer to convert; required if there are several.
    pub balancer: Option<String>,
    /// Addresses by host name.
    pub hosts: BTreeMap<String, IpAddr>,
}

/// The role of a node in balancing, as in the settings.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub enum Role {
    /// Takes its share of the requests.
    #[default]
    Active,
    /// Replaces a node that is unavailable.
    Spare,
    /// Used when no other node of its priority level is available.
    Standby,
    /// Takes only requests of its own sessions.
    StickyOnly,
}

impl Role {
    /// The name of the role in the settings.
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

/// A node of the node list.
#[derive(Clone, Debug, PartialEq)]
pub struct Node {
    /// The name of the node.
    pub name: String,
    /// `address:port`. If the address of a host name is not known, this holds the host name and the node is
    /// written as a comment.
    pub address: String,
    /// Whether `address` holds an IP address.
    pub resolved: bool,
    /// Its share of the requests of its priority level.
    pub weight: f64,
    /// Its priority level; `tier` in the node list.
    pub priority_level: u32,
    /// Its role in balancing.
    pub role: Role,
    /// Whether it is sent no requests.
    pub draining: bool,
    /// The route by which session ids name it.
    pub route: String,
    /// The route of the node that takes over its sessions.
    pub redirect: String,
    /// Its failover group.
    pub group: String,
    /// Where the member was defined.
    pub location: SourceLocation,
}

/// How a node is chosen for a request.
#[derive(Clone, Debug, PartialEq)]
pub struct Routing {
    /// The load balancing method: OUTSTANDING, REQUESTS or BUSYNESS.
    pub balance: &'static str,
    /// The cookie that holds the session id.
    pub cookie: String,
    /// The path or query parameter that holds the session id.
    pub parameter: String,
    /// Whether a request of a session is refused rather than sent to another node.
    pub strict: bool,
}

/// A node list, ready to be written.
#[derive(Clone, Debug, PartialEq)]
pub struct NodeList {
    /// The name of the balancer that was converted.
    pub balancer: String,
    /// Where the balancer was defined.
    pub location: SourceLocation,
    /// The nodes, sorted by priority level, role and name.
    pub nodes: Vec<Node>,
    /// How a node is chosen for a request.
    pub routing: Routing,
    /// Lines for the settings, for what a node list cannot express.
    pub hints: Vec<String>,
}

/// Converts the chosen balancer to a node list; `None` after an error, which is added to the findings. `main`
/// is the first file, to which findings without a line refer.
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
    // After an error of the readers the model is incomplete.
    if findings.any_at_least(crate::Severity::Error) {
        return None;
    }
    let first_file = SourceLocation { file: main.into(), line: 0 };
    let known_names = || {
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
                    format!("no balancer is named {name}; the balancers are: {}", known_names()),
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
            let text = format!("there are several balancers; choose one with --balancer: {}", known_names());
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
                format!("balancer {} with {n} members was not chosen", other.name),
            ),
        }
    }
    if chosen.members.is_empty() {
        findings.add("C002", &chosen.location, format!("balancer {} has no members", chosen.name));
        return None;
    }
    Some(chosen)
}

/// Parameters whose values the readers or the conversion use. All others are reported from the table, unless it says
/// that they are carried over; `type`, `retries` and `lb_retries` are never reported from it. [`settings_hints`] reports
/// a balancer's `lb_retries` or else its `retries`; a worker's `retries` is not converted and has no finding.
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

/// Parses a number within a range; an invalid one is reported and left out.
fn parse_number(
    name: &str, value: Option<&Value>, range: std::ops::RangeInclusive<f64>, findings: &mut Findings,
) -> Option<f64> {
    let value = value?;
    match value.text.trim().parse::<f64>() {
        Ok(number) if range.contains(&number) => Some(number),
        _ => {
            let (low, high) = (range.start(), range.end());
            let text = format!("{name}={}: expected a number from {low} to {high}", clip(&value.text));
            findings.add("B001", &value.location, text);
            None
        }
    }
}

/// Parses a name that the settings accept; an invalid one is reported and left out.
fn parse_name(name: &str, value: Option<&Value>, findings: &mut Findings) -> Option<String> {
    let value = value?;
    let text = value.text.trim();
    if text.contains(|c: char| c.is_whitespace() || c.is_control()) {
        findings.add(
            "B001",
            &value.location,
            format!("{name}=`{}`: expected a name without white space", clip(text)),
        );
        return None;
    }
    Some(text.to_owned()).filter(|t| !t.is_empty())
}

/// Parses a boolean in the spellings of httpd (On, Off) and mod_jk (true, t, yes, y, on, 1 ...).
fn parse_flag(name: &str, value: Option<&Value>, findings: &mut Findings) -> Option<bool> {
    let value = value?;
    match value.text.trim().to_ascii_lowercase().as_str() {
        "on" | "true" | "t" | "yes" | "y" | "1" => Some(true),
        "off" | "false" | "f" | "no" | "n" | "0" => Some(false),
        _ => {
            findings.add(
                "B001",
                &value.location,
                format!("{name}={}: expected on or off", clip(&value.text)),
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
            // mod_jk recognizes a method by its first letter, httpd by the whole name.
            let initial: String = text.chars().take(1).collect();
            let text = if balancer.source == Source::ModJk { initial } else { text };
            match known.iter().position(|k| *k == text) {
                Some(0) => "REQUESTS",
                Some(1) => "BUSYNESS",
                Some(2) => {
                    approximate(
                        value,
                        "by traffic: bytes are not counted; requests are distributed by weight",
                    );
                    "REQUESTS"
                }
                Some(3) if balancer.source == Source::Apache => {
                    approximate(
                        value,
                        "heartbeat: none received; the node with the fewest outstanding requests is chosen",
                    );
                    "OUTSTANDING"
                }
                Some(3) => {
                    approximate(
                        value,
                        "by sessions: sessions are not counted; requests are distributed by weight",
                    );
                    "REQUESTS"
                }
                _ if balancer.source == Source::ModJk && text == "n" => {
                    approximate(
                        value,
                        "by next (by sessions): sessions are not counted; requests are distributed by weight",
                    );
                    "REQUESTS"
                }
                _ => {
                    let text = format!(
                        "`{}` is not a known method: requests are distributed by weight",
                        clip(&value.text)
                    );
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
    // The settings accept only some characters in these names.
    let token = |c: char| c.is_ascii_graphic() && !"()<>@,;:\\\"/[]?={}&%+".contains(c);
    for (what, name) in [("cookie", &mut cookie), ("parameter", &mut parameter)] {
        if !name.chars().all(token) {
            let text =
                format!("`{}` is not a valid {what} name: it is not used for sticky sessions", clip(name));
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
            format!("{name}: TLS to nodes is not supported; set its HTTP port"),
        ),
        Protocol::Ajp => findings.add(
            "C003",
            location,
            format!("{name}: AJP is not supported; set the port of its HTTP connector"),
        ),
        Protocol::Other(scheme) => {
            findings.add(
                "C006",
                location,
                format!("{name}: {} is not HTTP over TCP: left out", clip(scheme)),
            );
            return None;
        }
    }
    if !member.path.trim_matches('/').is_empty() {
        let text = format!(
            "{name}: the path {} is not carried over; all nodes serve the gateway's own path",
            clip(&member.path)
        );
        findings.add("C007", location, text);
    }
    let is_jk = balancer.source == Source::ModJk;
    let weight = match is_jk {
        true => parse_number("lbfactor", of("lbfactor"), 1.0..=1e5, findings),
        false => parse_number("loadfactor", of("loadfactor"), 1.0..=100.0, findings),
    };
    let priority_level = match is_jk {
        true => parse_number("distance", of("distance"), 0.0..=1000.0, findings),
        false => parse_number("lbset", of("lbset"), 0.0..=99.0, findings),
    };
    let (role, draining) =
        if is_jk { role_from_activation(member, findings) } else { role_from_status(member, findings) };
    let mut parsed = |name: &str| parse_name(name, of(name), findings);
    let (redirect, group) = (parsed("redirect").unwrap_or_default(), parsed("domain").unwrap_or_default());
    let worker_name = || is_jk.then(|| member.name.clone());
    let route = parsed("route")
        .or_else(|| parsed("jvm_route"))
        .or_else(worker_name)
        .filter(|_| sticky)
        .unwrap_or_default();
    if is_jk && member.name.contains(|c: char| c.is_whitespace() || c.is_control()) {
        findings.add("C006", location, format!("`{}` is not a valid node name: left out", clip(name)));
        return None;
    }
    if !sticky && let Some(value) = of("route") {
        findings.add("C012", &value.location, "route without sticky sessions: it has no effect");
    }
    let (host, port) = (member.host.as_str(), member.port);
    let ip = host.parse::<IpAddr>().ok().or_else(|| options.hosts.get(host).copied()).or_else(|| {
        // The only host name with the same address everywhere (RFC 6761 section 6.3).
        (host == "localhost").then_some(IpAddr::from([127, 0, 0, 1]))
    });
    let address = match ip {
        Some(ip) => std::net::SocketAddr::new(ip, port).to_string(),
        None => {
            let text =
                format!("{name}: the address of {} is not known: set it with --host {0}=ADDRESS", clip(host));
            findings.add("C005", location, text);
            format!("{host}:{port}")
        }
    };
    Some(Node {
        name: if is_jk { member.name.clone() } else { String::new() },
        address,
        resolved: ip.is_some(),
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

/// Derives role and state from httpd's status flags, of which the last setting applies.
fn role_from_status(member: &Member, findings: &mut Findings) -> (Role, bool) {
    let mut last_settings: BTreeMap<char, (bool, &SourceLocation)> = BTreeMap::new();
    for (flag, on, location) in &member.flags {
        last_settings.insert(*flag, (*on, location));
    }
    let is_set = |flag: char| last_settings.get(&flag).is_some_and(|(on, _)| *on);
    let mut report = |flag: char, code, text: &str| {
        if let Some((true, location)) = last_settings.get(&flag) {
            findings.add(code, location, format!("status {flag}: {text}"));
        }
    };
    report('I', "B003", "errors are never ignored: a node that fails is not used for a while");
    report('E', "B004", "the node starts as usable and is not used once it fails");
    report('C', "B004", "there are no health checks: the outcomes of requests decide");
    report(
        'D',
        "C010",
        "httpd tries it again after `retry`; the gateway sends it nothing until the node list changes",
    );
    let spare = match parse_flag("spare", member.parameters.get("spare"), findings) {
        Some(spare) => spare,
        None => is_set('R'),
    };
    if is_set('H') && spare {
        let location = last_settings.get(&'H').map_or(&member.location, |(_, p)| p);
        findings.add("C010", location, "both hot standby and hot spare: treated as hot standby");
    }
    let role = match () {
        () if is_set('N') => Role::StickyOnly,
        () if is_set('H') => Role::Standby,
        () if spare => Role::Spare,
        () => Role::Active,
    };
    if is_set('N') && (is_set('H') || spare) {
        let location = last_settings.get(&'N').map_or(&member.location, |(_, p)| p);
        findings.add(
            "C010",
            location,
            "draining and also standby or spare: it takes only requests of its own sessions",
        );
    }
    (role, is_set('S') || is_set('D'))
}

/// Derives role and state from mod_jk's activation and the older `disabled` and `stopped`.
fn role_from_activation(member: &Member, findings: &mut Findings) -> (Role, bool) {
    let of = |name: &str| member.parameters.get(name);
    let activation = of("activation").map(|v| (v, v.text.trim().to_ascii_lowercase()));
    let state = match activation.as_ref().map(|(v, t)| (v, t.chars().next())) {
        None => None,
        Some((_, Some('a'))) => Some('a'),
        Some((_, Some('d'))) => Some('d'),
        Some((_, Some('s'))) => Some('s'),
        Some((value, _)) => {
            findings.add(
                "B001",
                &value.location,
                format!("activation={}: expected A, D or S", clip(&value.text)),
            );
            None
        }
    };
    let deprecated = |name: &str, findings: &mut Findings| {
        let value = of(name)?;
        findings.add("J006", &value.location, format!("{name} is replaced by activation"));
        parse_flag(name, Some(value), findings)
    };
    let (stopped, disabled) =
        (deprecated("stopped", findings) == Some(true), deprecated("disabled", findings) == Some(true));
    match state {
        Some('s') => (Role::Active, true),
        Some('d') => (Role::StickyOnly, false),
        Some(_) => (Role::Active, false),
        None if stopped => (Role::Active, true),
        None if disabled => (Role::StickyOnly, false),
        None => (Role::Active, false),
    }
}

/// Names httpd's members, which have no names: by route if it is unique, else by address and port.
fn assign_names(nodes: &mut [Node]) {
    let mut routes: HashMap<String, usize> = HashMap::new();
    nodes.iter().for_each(|n| *routes.entry(n.route.clone()).or_default() += 1);
    let mut used_names: HashSet<String> = nodes.iter().map(|n| n.name.clone()).collect();
    for node in nodes.iter_mut().filter(|n| n.name.is_empty()) {
        let has_unique_route = !node.route.is_empty() && routes[&node.route] == 1;
        let mut name = if has_unique_route { node.route.clone() } else { node.address.clone() };
        while !used_names.insert(name.clone()) {
            name.push('+');
        }
        node.name = name;
    }
}

/// Replaces each redirect by the route of the node that it names. httpd names routes, mod_jk workers or routes.
fn resolve_redirects(balancer: &Balancer, nodes: &mut [Node], findings: &mut Findings) {
    let by_name: HashMap<String, String> = nodes.iter().map(|n| (n.name.clone(), n.route.clone())).collect();
    let routes: BTreeSet<String> = nodes.iter().map(|n| n.route.clone()).collect();
    for node in nodes.iter_mut().filter(|n| !n.redirect.is_empty()) {
        let is_jk = balancer.source == Source::ModJk;
        if let Some(route) = by_name.get(&node.redirect).filter(|r| is_jk && !r.is_empty()) {
            node.redirect.clone_from(route);
        } else if !routes.contains(&node.redirect) || node.redirect.is_empty() {
            let text =
                format!("{}: it redirects to route {}, which no node has", node.name, clip(&node.redirect));
            findings.add("C009", &node.location, text);
            node.redirect.clear();
        }
    }
}

/// Removes nodes with an address that is already listed: such a node would be counted twice.
fn remove_duplicate_addresses(nodes: &mut Vec<Node>, findings: &mut Findings) {
    let mut seen: HashMap<String, SourceLocation> = HashMap::new();
    nodes.retain(|node| match seen.get(&node.address) {
        None => {
            seen.insert(node.address.clone(), node.location.clone());
            true
        }
        Some(first) => {
            let text = format!("{} is already the address of the node of {first}: left out", node.address);
            findings.add("C011", &node.location, text);
            false
        }
    });
}

/// Lines for what belongs in the settings rather than in a node list.
fn settings_hints(balancer: &Balancer, findings: &mut Findings) -> Vec<String> {
    let mut hints = Vec::new();
    let (name, first_attempt) = match balancer.source {
        // httpd's maxattempts counts failover attempts, without the first; mod_jk's retries count all attempts.
        Source::Apache => ("maxattempts", 1.0),
        Source::ModJk if balancer.parameters.contains_key("lb_retries") => ("lb_retries", 0.0),
        Source::ModJk => ("retries", 0.0),
    };
    let value = balancer.parameters.get(name);
    if let (Some(attempts), Some(value)) = (parse_number(name, value, 0.0..=99.0, findings), value) {
        let max_attempts = (attempts + first_attempt).max(1.0);
        hints.push(format!("attempts {{ most: {max_attempts} }}"));
        findings.add(
            "B004",
            &value.location,
            format!("{name}={}: set attempts {{ most: {max_attempts} }} in the settings", clip(&value.text)),
        );
    }
    hints
}

fn report_mounts(model: &Model, balancer: &Balancer, hints: &mut Vec<String>, findings: &mut Findings) {
    let path =
        |m: &Mount| format!("{}{}{}", m.context, if m.context.is_empty() { "" } else { " " }, clip(&m.path));
    let balancer_names: HashSet<String> =
        model.balancers.iter().map(|b| b.name.to_ascii_lowercase()).collect();
    let own_mounts: Vec<&Mount> = model
        .mounts
        .iter()
        .filter(|m| m.target.as_ref().is_some_and(|t| t.eq_ignore_ascii_case(&balancer.name)))
        .collect();
    for mount in &model.mounts {
        let text = match &mount.target {
            None => format!(
                "{} is excluded from the balancer: the gateway serves one endpoint and nothing else",
                path(mount)
            ),
            Some(target) if target.eq_ignore_ascii_case(&balancer.name) => match &own_mounts[..] {
                [_] => format!("{}: the gateway serves one endpoint (`path` in the settings)", path(mount)),
                _ => {
                    format!(
                        "{}: the gateway serves one endpoint; this is one of {} mounts",
                        path(mount),
                        own_mounts.len()
                    )
                }
            },
            Some(target) if balancer_names.contains(&target.to_ascii_lowercase()) => continue,
            Some(target) => format!("{} is sent to {}: not a balancer, left out", path(mount), clip(target)),
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

/// Quotes a string for protobuf's text format.
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
    /// Writes the node list in protobuf text format. The same model always gives the same bytes.
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
            let comment_mark = if node.resolved { "" } else { "# " };
            if !node.resolved {
                text.push_str("# Its address is not known: set it and take the marks away.\n");
            }
            let _ = writeln!(text, "{comment_mark}nodes {{");
            let _ = writeln!(text, "{comment_mark}  name: {}", quote(&node.name));
            let _ = writeln!(text, "{comment_mark}  address: {}", quote(&node.address));
            let mut field = |present: bool, name: &str, value: String| {
                if present {
                    let _ = writeln!(text, "{comment_mark}  {name}: {value}");
                }
            };
            field(node.weight != 1.0, "weight", node.weight.to_string());
            field(node.priority_level != 0, "tier", node.priority_level.to_string());
            field(node.role != Role::Active, "role", node.role.name().into());
            field(node.draining, "state", "DRAINING".into());
            field(!node.route.is_empty(), "route", quote(&node.route));
            field(!node.redirect.is_empty(), "redirect", quote(&node.redirect));
            field(!node.group.is_empty(), "group", quote(&node.group));
            let _ = writeln!(text, "{comment_mark}}}");
        }
        text
    }
}

/// Reports the number of directives that belong to other modules.
pub(crate) fn report_other_directives(config: &apache::HttpdConfig, file: &str, findings: &mut Findings) {
    if config.other_directives > 0 {
        let location = SourceLocation { file: file.into(), line: 0 };
        findings.add(
            "B009",
            &location,
            format!("{} directives of other modules were not examined", config.other_directives),
        );
    }
}
