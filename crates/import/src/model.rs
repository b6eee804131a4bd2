//! What both kinds of file come down to.

use crate::files::SourceLocation;
use std::collections::BTreeMap;

/// A value as written, and where.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Value {
    /// As written, quotes and escapes taken off.
    pub text: String,
    /// Where.
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
    /// Anything else, by its name.
    Other(String),
}

/// One backend server of a balancer.
#[derive(Clone, Debug, PartialEq)]
pub struct Member {
    /// Its name: mod_jk's worker, or the URL of a BalancerMember.
    pub name: String,
    /// Its protocol.
    pub protocol: Protocol,
    /// Host name or address, without brackets; empty for what is no TCP address.
    pub host: String,
    /// TCP port.
    pub port: u16,
    /// The path behind the address, where there is one.
    pub path: String,
    /// Parameters by their name, the last word of each; names as in `PARAMETERS`.
    pub parameters: BTreeMap<String, Value>,
    /// Status flags in the order they were said: each letter, and whether it is set.
    pub flags: Vec<(char, bool, SourceLocation)>,
    /// Where it was defined first.
    pub location: SourceLocation,
}

/// A set of members.
#[derive(Clone, Debug, PartialEq)]
pub struct Balancer {
    /// Its name without the scheme.
    pub name: String,
    /// In the order of the files.
    pub members: Vec<Member>,
    /// Parameters of the balancer itself.
    pub parameters: BTreeMap<String, Value>,
    /// Where it was named first.
    pub location: SourceLocation,
    /// Which of the two it comes from.
    pub source: crate::table::Source,
}

/// A path that is, or is not, sent to a balancer.
#[derive(Clone, Debug, PartialEq)]
pub struct Mount {
    /// Path or pattern.
    pub path: String,
    /// The balancer or worker; none for an exclusion.
    pub target: Option<String>,
    /// The virtual host or location around it, or nothing.
    pub context: String,
    /// Where.
    pub location: SourceLocation,
}

/// All that the files say of balancers.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Model {
    /// In the order they were named.
    pub balancers: Vec<Balancer>,
    /// In the order that decides.
    pub mounts: Vec<Mount>,
}
