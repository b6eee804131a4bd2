//! The model that both the httpd reader and the mod_jk reader produce.

use crate::files::SourceLocation;
use std::collections::BTreeMap;

/// A value as written and where it was set.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Value {
    /// The text as written, without quotes and escapes.
    pub text: String,
    /// Where it was set.
    pub location: SourceLocation,
}

/// The protocol of a member.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Protocol {
    /// HTTP.
    Http,
    /// HTTP over TLS.
    Https,
    /// AJP/1.3 (and /1.4).
    Ajp,
    /// Any other protocol, by name.
    Other(String),
}

/// A backend server of a balancer.
#[derive(Clone, Debug, PartialEq)]
pub struct Member {
    /// The name: the mod_jk worker, or the URL of the BalancerMember.
    pub name: String,
    /// The protocol of its address.
    pub protocol: Protocol,
    /// Host name or address, without brackets; empty if the member has no TCP address.
    pub host: String,
    /// TCP port.
    pub port: u16,
    /// The path that follows the address, if any.
    pub path: String,
    /// The last value of each parameter by name; names as in `PARAMETERS`.
    pub parameters: BTreeMap<String, Value>,
    /// Status flags in the order in which they were set: the letter, and whether it is set or cleared.
    pub flags: Vec<(char, bool, SourceLocation)>,
    /// Where it was first defined.
    pub location: SourceLocation,
}

/// A balancer and its members.
#[derive(Clone, Debug, PartialEq)]
pub struct Balancer {
    /// The name without the scheme.
    pub name: String,
    /// Members in file order.
    pub members: Vec<Member>,
    /// Parameters of the balancer itself.
    pub parameters: BTreeMap<String, Value>,
    /// Where it was first named.
    pub location: SourceLocation,
    /// The module that defines it.
    pub source: crate::table::Source,
}

/// A path that is sent to a balancer or excluded from it.
#[derive(Clone, Debug, PartialEq)]
pub struct Mount {
    /// A path or pattern.
    pub path: String,
    /// The balancer or worker; `None` for an exclusion.
    pub target: Option<String>,
    /// The enclosing virtual host and location sections; empty if there are none.
    pub context: String,
    /// The line of the mount.
    pub location: SourceLocation,
}

/// The balancers and mounts of a configuration.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Model {
    /// Balancers in the order in which they were first named.
    pub balancers: Vec<Balancer>,
    /// Mounts in the order in which they are evaluated.
    pub mounts: Vec<Mount>,
}
