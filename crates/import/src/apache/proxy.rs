//! Collects balancers and mounts from the directives of mod_proxy and mod_jk.

use super::read::{Directive, DirectiveHandler, Options, Section, read};
use crate::files::{Files, SourceLocation};
use crate::finding::Findings;
use crate::jk;
use crate::model::{Member, Model, Mount, Protocol, Value};
use crate::table::{Conversion, Scope, Source, find_parameter};
use std::collections::{BTreeMap, HashMap};

/// What an httpd configuration contributes to mod_jk: files to read, and properties and mounts of its own.
#[derive(Clone, Debug, Default)]
pub struct JkDirectives {
    /// Files named by JkWorkersFile.
    pub worker_files: Vec<Value>,
    /// Files named by JkMountFile.
    pub uri_map_files: Vec<Value>,
    /// Lines given by JkWorkerProperty.
    pub properties: Vec<Value>,
    /// Mounts and exclusions from JkMount and JkUnMount.
    pub mounts: Vec<Mount>,
}

/// The result of reading an httpd configuration.
#[derive(Clone, Debug, Default)]
pub struct HttpdConfig {
    /// The balancers of mod_proxy and mod_jk.
    pub model: Model,
    /// The number of directives that belong to other modules.
    pub other_directives: usize,
}

/// Reads httpd configuration files and the mod_jk files that they name.
pub fn import(files: &dyn Files, main: &[String], options: &Options, findings: &mut Findings) -> HttpdConfig {
    let mut collector = BalancerCollector::default();
    read(files, main, options, findings, &mut collector);
    let mut model = collector.model;
    let jk = collector.jk;
    if !jk.worker_files.is_empty() || !jk.properties.is_empty() || !jk.mounts.is_empty() {
        jk::from_apache(files, &jk, options.limits, &mut model, findings);
    }
    HttpdConfig { model, other_directives: collector.other_directives }
}

#[derive(Default)]
struct BalancerCollector {
    model: Model,
    jk: JkDirectives,
    other_directives: usize,
    /// Indices into the model by name, so that reading takes linear time in the number of lines.
    balancer_indices: HashMap<String, usize>,
    member_indices: HashMap<(usize, String), usize>,
    /// For each member URL, the balancers that contain it.
    balancers_by_url: HashMap<String, Vec<usize>>,
}

/// Splits `balancer://name/path` into name and path.
fn parse_balancer_url(url: &str) -> Option<(String, &str)> {
    let rest = url.get(..11).filter(|s| s.eq_ignore_ascii_case("balancer://")).map(|_| &url[11..])?;
    let (name, path) = rest.split_once('/').map_or((rest, ""), |(n, p)| (n, p));
    Some((name.to_ascii_lowercase(), path))
}

/// Parses a member's URL; `None` if it is not valid.
fn parse_member_url(url: &str, location: &SourceLocation) -> Option<Member> {
    let (scheme, rest) = url.split_once("://").or_else(|| url.strip_prefix("unix:").map(|r| ("unix", r)))?;
    let scheme = scheme.to_ascii_lowercase();
    let (protocol, default_port) = match scheme.as_str() {
        // `unix:/socket|http://host/`: everything before `://`, with the path of the socket.
        _ if scheme.starts_with("unix:") => (Protocol::Other("unix".into()), 0),
        "http" | "h2c" | "ws" => (Protocol::Http, 80),
        "https" | "h2" | "wss" => (Protocol::Https, 443),
        "ajp" => (Protocol::Ajp, 8009),
        other => (Protocol::Other(other.into()), 0),
    };
    let (address, path) = rest.find('/').map_or((rest, ""), |at| (&rest[..at], &rest[at..]));
    let address = address.rsplit_once('@').map_or(address, |(_, a)| a);
    let (host, port) = if let Some(inner) = address.strip_prefix('[') {
        let (host, rest) = inner.split_once(']')?;
        (host, rest.strip_prefix(':'))
    } else {
        address.rsplit_once(':').map_or((address, None), |(h, p)| (h, Some(p)))
    };
    let port = match port {
        None => default_port,
        Some(port) => port.parse().ok().filter(|p| *p > 0)?,
    };
    if host.is_empty() && !matches!(protocol, Protocol::Other(_)) {
        return None;
    }
    let (parameters, flags) = (BTreeMap::new(), Vec::new());
    let (host, path) = (host.to_ascii_lowercase(), path.to_owned());
    Some(Member {
        name: url.to_owned(),
        protocol,
        host,
        port,
        path,
        parameters,
        flags,
        location: location.clone(),
    })
}

impl BalancerCollector {
    fn balancer_index(&mut self, name: &str, location: &SourceLocation) -> usize {
        let new_index = self.model.balancers.len();
        let model = &mut self.model;
        *self.balancer_indices.entry(name.to_owned()).or_insert_with(|| {
            let (name, members, parameters) = (name.to_owned(), Vec::new(), BTreeMap::new());
            let (location, source) = (location.clone(), Source::Apache);
            model.balancers.push(crate::Balancer { name, members, parameters, location, source });
            new_index
        })
    }

    /// Applies `key=value` arguments to the member with index `at`, or to the balancer itself if that is `None`.
    /// ProxyPass also accepts some arguments without `=`.
    fn set_parameters(
        &mut self, balancer: usize, at: Option<usize>, arguments: &[String], location: &SourceLocation,
        findings: &mut Findings,
    ) {
        for argument in arguments {
            let Some((key, text)) = argument.split_once('=') else {
                if !["nocanon", "interpolate", "noquery"].contains(&argument.to_ascii_lowercase().as_str()) {
                    findings.add("B001", location, format!("`{argument}` is not key=value"));
                }
                continue;
            };
            let key = key.to_ascii_lowercase();
            let target = &mut self.model.balancers[balancer];
            let known = |scope| find_parameter(Source::Apache, scope, &key);
            let value = Value { text: text.to_owned(), location: location.clone() };
            match at {
                Some(at) => {
                    if known(Scope::Member).is_none() {
                        findings.add("B002", location, format!("{key}: not a known parameter of a member"));
                    } else if key == "status" {
                        parse_status_flags(&mut target.members[at].flags, text, location, findings);
                    } else {
                        target.members[at].parameters.insert(key, value);
                    }
                }
                None if known(Scope::Balancer).is_some() => {
                    target.parameters.insert(key, value);
                }
                // httpd applies a member's parameter that is set on a balancer to all of its members; it is
                // not carried over.
                None if known(Scope::Member).is_some() => {
                    let note = known(Scope::Member).map_or("", |r| r.note);
                    findings.add("B003", location, format!("{key} on a balancer: {note}"));
                }
                None => {
                    findings.add("B002", location, format!("{key}: not a known parameter of the balancer"));
                }
            }
        }
    }

    /// Adds a member to a balancer, or sets parameters of the member with this URL. `is_definition` is false for
    /// ProxySet, which may set parameters again without a finding.
    fn add_member(
        &mut self, balancer: usize, url: &str, arguments: &[String], location: &SourceLocation,
        is_definition: bool, findings: &mut Findings,
    ) {
        let Some(member) = parse_member_url(url, location) else {
            return findings.add("C006", location, format!("`{url}` is not a valid member URL: left out"));
        };
        let target = &mut self.model.balancers[balancer];
        let url_key = url.trim_end_matches('/').to_ascii_lowercase();
        let new_index = target.members.len();
        let at = *self.member_indices.entry((balancer, url_key.clone())).or_insert(new_index);
        if at == new_index {
            self.balancers_by_url.entry(url_key).or_default().push(balancer);
            target.members.push(member);
        } else if is_definition {
            let first = &target.members[at].location;
            findings.add(
                "B006",
                location,
                format!(
                    "{url} was already defined at {first}: parameters set here override the earlier ones"
                ),
            );
        }
        self.set_parameters(balancer, Some(at), arguments, location, findings);
    }

    /// Adds a mount of a path, or an exclusion if the URL is `!`.
    fn add_mount(
        &mut self, path: &str, url: &str, arguments: &[String], context: String, location: &SourceLocation,
        findings: &mut Findings,
    ) {
        let (path, location) = (path.to_owned(), location.clone());
        if url == "!" {
            return self.model.mounts.push(Mount { path, target: None, context, location });
        }
        let target = match parse_balancer_url(url) {
            Some((name, _)) => {
                let at = self.balancer_index(&name, &location);
                self.set_parameters(at, None, arguments, &location, findings);
                name
            }
            // A URL that is not a balancer: a worker of its own, without members to choose from.
            None => url.to_owned(),
        };
        self.model.mounts.push(Mount { path, target: Some(target), context, location });
    }
}

/// Parses status flags such as `D`, `+H-D` and `DS`. As in httpd, a sign applies to all letters that follow
/// it.
fn parse_status_flags(
    flags: &mut Vec<(char, bool, SourceLocation)>, text: &str, location: &SourceLocation,
    findings: &mut Findings,
) {
    let mut set = true;
    for c in text.chars() {
        match c.to_ascii_uppercase() {
            '+' => set = true,
            '-' => set = false,
            c @ ('D' | 'S' | 'I' | 'H' | 'R' | 'E' | 'N' | 'C') => flags.push((c, set, location.clone())),
            c => findings.add("B007", location, format!("status {c}: unknown flag")),
        }
    }
}

fn context(sections: &[Section]) -> String {
    let one = |s: &Section| {
        let arguments: String = s.arguments.join(" ").chars().take(60).collect();
        format!("<{} {arguments}>", s.name)
    };
    let is_context = |s: &&Section| s.name.starts_with("virtualhost") || s.name.starts_with("location");
    sections.iter().filter(is_context).map(one).collect::<Vec<_>>().join(" ")
}

/// The path of the innermost Location section, for directives that omit their own path.
fn innermost_location_path(sections: &[Section]) -> Option<String> {
    let last = sections.iter().rev().find(|s| s.name.starts_with("location"))?;
    last.arguments.iter().rfind(|w| *w != "~").cloned()
}

impl DirectiveHandler for BalancerCollector {
    fn handle(&mut self, sections: &[Section], directive: &Directive, findings: &mut Findings) {
        let Directive { name, arguments, location } = directive;
        let enclosing_balancer =
            sections.iter().rev().find(|s| s.name == "proxy").and_then(|s| s.arguments.first());
        let enclosing_balancer =
            enclosing_balancer.and_then(|url| parse_balancer_url(url)).map(|(name, _)| name);
        let missing = |findings: &mut Findings, what: &str| {
            findings.add("B001", location, format!("{name} needs {what}"));
        };
        match name.as_str() {
            "balancermember" => {
                let named_balancer = arguments.first().and_then(|w| parse_balancer_url(w)).map(|(n, _)| n);
                let (balancer, arguments) = match (named_balancer, &enclosing_balancer) {
                    (Some(balancer), _) => (balancer, &arguments[1..]),
                    (None, Some(balancer)) => (balancer.clone(), &arguments[..]),
                    (None, None) => return missing(findings, "a balancer before the URL outside <Proxy>"),
                };
                let Some((url, rest)) = arguments.split_first() else { return missing(findings, "a URL") };
                let balancer = self.balancer_index(&balancer, location);
                self.add_member(balancer, url, rest, location, true, findings);
            }
            "proxyset" => {
                let url = arguments.first().filter(|w| w.contains("://") && !w.contains('=')).cloned();
                let rest = if url.is_some() { &arguments[1..] } else { &arguments[..] };
                match (url.as_deref().map(|u| (u, parse_balancer_url(u))), &enclosing_balancer) {
                    (Some((_, Some((name, _)))), _) => {
                        let balancer = self.balancer_index(&name, location);
                        self.set_parameters(balancer, None, rest, location, findings);
                    }
                    (None, Some(name)) => {
                        let balancer = self.balancer_index(name, location);
                        self.set_parameters(balancer, None, rest, location, findings);
                    }
                    (Some((url, None)), _) => {
                        let key = url.trim_end_matches('/').to_ascii_lowercase();
                        let balancers = self.balancers_by_url.get(&key).cloned().unwrap_or_default();
                        if balancers.is_empty() {
                            findings.add(
                                "B005",
                                location,
                                format!("ProxySet of {url}, which is not a member of a balancer"),
                            );
                        }
                        for balancer in balancers {
                            self.add_member(balancer, url, rest, location, false, findings);
                        }
                    }
                    (None, None) => findings.add("B005", location, "ProxySet outside a balancer"),
                }
            }
            "proxypass" | "proxypassmatch" => {
                let path_given = arguments.len() > 1 && (arguments[1] == "!" || arguments[1].contains("://"));
                let (path, arguments) = match (path_given, innermost_location_path(sections)) {
                    (true, _) => (arguments[0].clone(), &arguments[1..]),
                    (false, Some(path)) => (path, &arguments[..]),
                    (false, None) => return missing(findings, "a path and a URL"),
                };
                let Some((url, rest)) = arguments.split_first() else { return missing(findings, "a URL") };
                self.add_mount(&path, url, rest, context(sections), location, findings);
            }
            "header" | "requestheader" if arguments.iter().any(|w| w.contains("BALANCER_")) => {
                let sets_cookie = arguments.iter().any(|w| w.eq_ignore_ascii_case("set-cookie"));
                let what = if sets_cookie {
                    "sets the session cookie from the route: the gateway sets none, the nodes must"
                } else {
                    "uses the balancer's choice: the gateway sets no such header field"
                };
                findings.add("B005", location, format!("{name} {what}"));
            }
            "rewriterule" if arguments.iter().any(|w| w.to_ascii_lowercase().contains("balancer://")) => {
                findings.add(
                    "B005",
                    location,
                    "RewriteRule to a balancer: rules that depend on the request are not carried over",
                );
            }
            "jkworkersfile" | "jkmountfile" | "jkworkerproperty" => {
                let Some(text) = arguments.first() else { return missing(findings, "an argument") };
                // A property may contain unquoted spaces.
                let value = Value { text: arguments.join(" "), location: location.clone() };
                match name.as_str() {
                    "jkworkersfile" => self.jk.worker_files.push(Value { text: text.clone(), ..value }),
                    "jkmountfile" => self.jk.uri_map_files.push(Value { text: text.clone(), ..value }),
                    _ => self.jk.properties.push(value),
                }
            }
            "jkmount" | "jkunmount" => {
                let (path, target) = match (&arguments[..], innermost_location_path(sections)) {
                    ([path, target], _) => (path.clone(), target.clone()),
                    ([target], Some(path)) => (path, target.clone()),
                    _ => return missing(findings, "a path and a worker"),
                };
                let target = (name == "jkmount").then_some(target);
                let mount = Mount { path, target, context: context(sections), location: location.clone() };
                self.jk.mounts.push(mount);
            }
            _ => {
                let row = find_parameter(Source::Apache, Scope::Directive, name)
                    .or_else(|| find_parameter(Source::ModJk, Scope::Directive, name));
                match row {
                    Some(row) if row.conversion == Conversion::Approximated => {
                        findings.add("B004", location, format!("{name}: {}", row.note));
                    }
                    Some(row) => findings.add("B005", location, format!("{name}: {}", row.note)),
                    None if name.starts_with("proxy")
                        || name.starts_with("balancer")
                        || name.starts_with("jk") =>
                    {
                        findings.add("B005", location, format!("{name}: unknown directive"));
                    }
                    None => self.other_directives += 1,
                }
            }
        }
    }
}
