//! What becomes of every parameter and directive: the one place that says it, for the importer and for the docs.

use serde::Serialize;

/// Where a parameter comes from.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize)]
pub enum Source {
    /// Apache httpd's mod_proxy.
    Apache,
    /// mod_jk.
    ModJk,
}

/// What it belongs to.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize)]
pub enum Scope {
    /// A member of a balancer.
    Member,
    /// A balancer.
    Balancer,
    /// A directive of httpd's, or a property of mod_jk's that belongs to no worker.
    Directive,
    /// An extension of a line of uriworkermap.properties.
    Rule,
}

/// What becomes of it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
pub enum Fate {
    /// It is carried over with the same meaning.
    Carried,
    /// It is carried over with a difference.
    Approximated,
    /// It is not carried over.
    LeftOut,
}

/// One row.
#[derive(Clone, Copy, Debug, Serialize)]
pub struct Parameter {
    /// Whose.
    pub source: Source,
    /// Of what.
    pub scope: Scope,
    /// Its name in lower case.
    pub name: &'static str,
    /// What becomes of it.
    pub fate: Fate,
    /// How, or why not and what to do instead.
    pub note: &'static str,
}

const fn row(source: Source, scope: Scope, name: &'static str, fate: Fate, note: &'static str) -> Parameter {
    Parameter { source, scope, name, fate, note }
}

use Fate::{Approximated as About, Carried as Kept, LeftOut as Left};
use Scope::{Balancer as Set, Directive as Word, Member as One, Rule};
use Source::{Apache as A, ModJk as J};

const EJECT: &str = "a node that fails is left alone by what it does, and tried again by itself";
const POOL: &str =
    "connections to nodes are kept as they are needed: limits.node_idle_ms in the settings bounds idle ones";
const TIME: &str = "how long a request may take is its class's: classes.give_up_ms in the settings";
const PROBE: &str = "nodes are not probed: outcomes of requests tell";
const AJP: &str = "concerns AJP, which is not spoken";
const HEADERS: &str = "the gateway passes on the fields that its front knows";
const LOGS: &str = "logs are set by --log";
const MANAGER: &str = "`doorcourse ctl` shows and drains nodes";
const PROXY: &str = "concerns proxying beside balancers";

/// Every parameter and directive that is known.
pub const TABLE: &[Parameter] = &[
    // ---- mod_proxy: members ----
    row(A, One, "loadfactor", Kept, "weight"),
    row(A, One, "lbset", Kept, "tier"),
    row(A, One, "route", Kept, "route"),
    row(A, One, "redirect", Kept, "redirect, by the route that it names"),
    row(
        A,
        One,
        "status",
        Kept,
        "D and S: state DRAINING; N: role BOUND; H: role STANDBY; R: role SPARE; I, E, C: see B003, B004",
    ),
    row(A, One, "spare", Kept, "role SPARE, as status=+R"),
    row(A, One, "retry", About, EJECT),
    row(A, One, "timeout", Left, TIME),
    row(A, One, "connectiontimeout", Left, TIME),
    row(A, One, "ping", Left, PROBE),
    row(
        A,
        One,
        "max",
        About,
        "what is out at a node is bounded by how late its answers are, and by `open` of each plan",
    ),
    row(A, One, "min", Left, POOL),
    row(A, One, "smax", Left, POOL),
    row(A, One, "acquire", Left, "a request waits for a node a share of its class's aim"),
    row(A, One, "ttl", About, POOL),
    row(A, One, "keepalive", Left, "connections are kept open; TCP's own probes are not set"),
    row(A, One, "disablereuse", Left, "connections are used again"),
    row(A, One, "enablereuse", Kept, "connections are used again"),
    row(A, One, "addressttl", Left, "addresses are not looked up again: the list states them"),
    row(A, One, "flushpackets", Left, "answers above limits.held_answer_bytes are passed on as they come"),
    row(A, One, "flushwait", Left, "answers above limits.held_answer_bytes are passed on as they come"),
    row(A, One, "iobuffersize", Left, "limits.client_buffer_bytes in the settings"),
    row(A, One, "receivebuffersize", Left, "the system's sizes are used"),
    row(A, One, "responsefieldsize", Left, "limits.head_bytes in the settings"),
    row(A, One, "failontimeout", About, EJECT),
    row(A, One, "failonstatus", About, EJECT),
    row(A, One, "secret", Left, AJP),
    row(A, One, "upgrade", Left, "connections are not upgraded"),
    row(A, One, "mapping", Left, AJP),
    row(A, One, "hcmethod", Left, PROBE),
    row(A, One, "hcinterval", Left, PROBE),
    row(A, One, "hcpasses", Left, PROBE),
    row(A, One, "hcfails", Left, PROBE),
    row(A, One, "hcuri", Left, PROBE),
    row(A, One, "hcexpr", Left, PROBE),
    row(A, One, "hctemplate", Left, PROBE),
    // ---- mod_proxy: balancers ----
    row(A, Set, "lbmethod", Kept, "byrequests: REQUESTS; bybusyness: BUSYNESS; others: see B004"),
    row(A, Set, "stickysession", Kept, "routing.sticky: cookie, and parameter behind `|` or the same name"),
    row(A, Set, "nofailover", Kept, "routing.sticky.strict"),
    row(A, Set, "scolonpathdelim", Kept, "parameters behind ; in the path are always looked at"),
    row(A, Set, "maxattempts", About, "attempts.most in the settings: one more than this"),
    row(A, Set, "timeout", Left, "a request waits for a node a share of its class's aim"),
    row(A, Set, "failonstatus", About, EJECT),
    row(A, Set, "failontimeout", About, EJECT),
    row(
        A,
        Set,
        "forcerecovery",
        About,
        "a node that failed is tried again by itself, also when all have failed",
    ),
    row(A, Set, "growth", Left, "a list may grow as it likes"),
    row(A, Set, "nonce", Left, MANAGER),
    row(A, Set, "secret", Left, AJP),
    row(A, Set, "stickysessionsep", About, "the route stands behind the first dot"),
    row(A, Set, "lbset", Left, "concerns members"),
    // ---- httpd: directives ----
    row(A, Word, "balancermember", Kept, "a node"),
    row(A, Word, "proxyset", Kept, "by its parameters"),
    row(A, Word, "proxypass", About, "the gateway serves one endpoint: see C007"),
    row(A, Word, "proxypassmatch", About, "the gateway serves one endpoint: see C007"),
    row(A, Word, "balancergrowth", Left, "a list may grow as it likes"),
    row(A, Word, "balancerpersist", Left, "a node drained by hand is drained until the process ends"),
    row(A, Word, "balancerinherit", Left, "a list is as its file says"),
    row(A, Word, "proxyhcexpr", Left, PROBE),
    row(A, Word, "proxyhctemplate", Left, PROBE),
    row(A, Word, "proxyhctpsize", Left, PROBE),
    row(A, Word, "proxytimeout", Left, TIME),
    row(A, Word, "proxypassreverse", Left, HEADERS),
    row(A, Word, "proxypassreversecookiedomain", Left, HEADERS),
    row(A, Word, "proxypassreversecookiepath", Left, HEADERS),
    row(A, Word, "proxypreservehost", Left, HEADERS),
    row(A, Word, "proxyaddheaders", Left, HEADERS),
    row(A, Word, "proxyvia", Left, HEADERS),
    row(A, Word, "proxypassinherit", Left, "the gateway serves one endpoint"),
    row(A, Word, "proxypassinterpolateenv", Left, "what depends on each request is not carried over"),
    row(
        A,
        Word,
        "proxyerroroverride",
        Left,
        "answers are the nodes' own, or the gateway's with its stable codes",
    ),
    row(A, Word, "proxybadheader", Left, "an answer that is no HTTP counts as an error"),
    row(A, Word, "proxystatus", Left, MANAGER),
    row(A, Word, "proxyiobuffersize", Left, "limits.client_buffer_bytes in the settings"),
    row(A, Word, "proxyreceivebuffersize", Left, "the system's sizes are used"),
    row(A, Word, "proxysourceaddress", Left, "the system's choice is used"),
    row(A, Word, "proxymaxforwards", Left, PROXY),
    row(A, Word, "proxyblock", Left, PROXY),
    row(A, Word, "proxydomain", Left, PROXY),
    row(A, Word, "proxyremote", Left, PROXY),
    row(A, Word, "proxyremotematch", Left, PROXY),
    row(A, Word, "proxyrequests", Left, PROXY),
    row(A, Word, "proxywebsocketfallbacktoproxyhttp", Left, "connections are not upgraded"),
    row(A, Word, "noproxy", Left, PROXY),
    row(A, Word, "allowconnect", Left, PROXY),
    // ---- mod_jk in httpd ----
    row(J, Word, "jkworkersfile", Kept, "read as workers.properties"),
    row(J, Word, "jkworkerproperty", Kept, "one line of workers.properties"),
    row(J, Word, "jkmount", About, "the gateway serves one endpoint: see C007"),
    row(J, Word, "jkunmount", About, "the gateway serves one endpoint: see C007"),
    row(
        J,
        Word,
        "jkmountfile",
        About,
        "read as uriworkermap.properties; the gateway serves one endpoint: see C007",
    ),
    row(
        J,
        Word,
        "jkmountfilereload",
        About,
        "node lists and settings are read again when they change, or at `doorcourse ctl reload`",
    ),
    row(J, Word, "jkmountcopy", Left, "the gateway serves one endpoint"),
    row(J, Word, "jkautoalias", Left, "files are not served"),
    row(J, Word, "jkoptions", Left, HEADERS),
    row(J, Word, "jkenvvar", Left, AJP),
    row(J, Word, "jkstripsession", Left, "session parameters are taken off the path"),
    row(J, Word, "jklogfile", Left, LOGS),
    row(J, Word, "jkloglevel", Left, LOGS),
    row(J, Word, "jklogstampformat", Left, LOGS),
    row(J, Word, "jkrequestlogformat", Left, LOGS),
    row(
        J,
        Word,
        "jkshmfile",
        Left,
        "a gateway keeps what it knows itself; `state.file` in the settings keeps it over a kill",
    ),
    row(J, Word, "jkshmsize", Left, "a gateway keeps what it knows itself"),
    row(J, Word, "jkwatchdoginterval", Left, PROBE),
    row(J, Word, "jkextractssl", Left, "TLS is not spoken to clients yet"),
    row(J, Word, "jkhttpsindicator", Left, "TLS is not spoken to clients yet"),
    row(J, Word, "jkcertsindicator", Left, "TLS is not spoken to clients yet"),
    row(J, Word, "jkcertchainprefix", Left, "TLS is not spoken to clients yet"),
    row(J, Word, "jkcipherindicator", Left, "TLS is not spoken to clients yet"),
    row(J, Word, "jksessionindicator", Left, "TLS is not spoken to clients yet"),
    row(J, Word, "jkkeysizeindicator", Left, "TLS is not spoken to clients yet"),
    row(J, Word, "jksslprotocolindicator", Left, "TLS is not spoken to clients yet"),
    row(J, Word, "jkremoteaddrindicator", Left, HEADERS),
    row(J, Word, "jkremotehostindicator", Left, HEADERS),
    row(J, Word, "jkremoteportindicator", Left, HEADERS),
    row(J, Word, "jkremoteuserindicator", Left, HEADERS),
    row(J, Word, "jkauthtypeindicator", Left, HEADERS),
    row(J, Word, "jklocaladdrindicator", Left, HEADERS),
    row(J, Word, "jklocalnameindicator", Left, HEADERS),
    row(J, Word, "jklocalportindicator", Left, HEADERS),
    row(J, Word, "jkignorecloptheader", Left, HEADERS),
    row(J, Word, "jkallowcl", Left, HEADERS),
    row(J, Word, "jkignorecl", Left, HEADERS),
    // ---- mod_jk: workers ----
    row(
        J,
        One,
        "type",
        About,
        "ajp13 and ajp14: the node comes over with C003; lb: a balancer; others: J003",
    ),
    row(J, One, "host", Kept, "address"),
    row(J, One, "port", Kept, "address"),
    row(J, One, "lbfactor", Kept, "weight"),
    row(J, One, "activation", Kept, "D: role BOUND; S: state DRAINING"),
    row(J, One, "disabled", Kept, "activation=D"),
    row(J, One, "stopped", Kept, "activation=S"),
    row(J, One, "distance", Kept, "tier"),
    row(J, One, "domain", Kept, "group"),
    row(J, One, "redirect", Kept, "redirect, by the route of the worker that it names"),
    row(J, One, "route", Kept, "route"),
    row(J, One, "jvm_route", Kept, "route"),
    row(J, One, "reference", Kept, "what the other worker says goes for this one, unless it says otherwise"),
    row(J, One, "source", Left, "the system's choice is used"),
    row(J, One, "prefer_ipv6", Left, "addresses are stated"),
    row(J, One, "max_packet_size", Left, AJP),
    row(J, One, "secret", Left, AJP),
    row(J, One, "secretkey", Left, AJP),
    row(J, One, "login_service", Left, AJP),
    row(J, One, "socket_timeout", Left, TIME),
    row(J, One, "socket_connect_timeout", Left, TIME),
    row(J, One, "connect_timeout", Left, TIME),
    row(J, One, "prepost_timeout", Left, TIME),
    row(J, One, "reply_timeout", Left, TIME),
    row(J, One, "ping_mode", Left, PROBE),
    row(J, One, "ping_timeout", Left, PROBE),
    row(J, One, "connection_ping_interval", Left, PROBE),
    row(J, One, "socket_keepalive", Left, "connections are kept open; TCP's own probes are not set"),
    row(J, One, "socket_buffer", Left, "the system's sizes are used"),
    row(J, One, "connection_pool_size", Left, POOL),
    row(J, One, "connection_pool_minsize", Left, POOL),
    row(J, One, "connection_pool_timeout", About, POOL),
    row(J, One, "connection_acquire_timeout", Left, "a request waits for a node a share of its class's aim"),
    row(J, One, "cachesize", Left, POOL),
    row(J, One, "cache_timeout", About, POOL),
    row(J, One, "recycle_timeout", About, POOL),
    row(J, One, "retries", About, "attempts.most in the settings"),
    row(J, One, "retry_interval", Left, "another attempt goes to another node at once"),
    row(
        J,
        One,
        "recovery_options",
        About,
        "the effect of each class rules what is tried again: classes.effect in the settings",
    ),
    row(J, One, "fail_on_status", About, EJECT),
    row(J, One, "max_reply_timeouts", About, EJECT),
    row(J, One, "busy_limit", About, "what is out at a node is bounded by how late its answers are"),
    row(J, One, "mount", About, "the gateway serves one endpoint: see C007"),
    // ---- mod_jk: balancers ----
    row(J, Set, "type", Kept, "lb: a balancer"),
    row(J, Set, "reference", Kept, "what the other worker says goes for this one, unless it says otherwise"),
    row(J, Set, "balance_workers", Kept, "its nodes"),
    row(J, Set, "balanced_workers", Kept, "its nodes"),
    row(J, Set, "sticky_session", Kept, "routing.sticky"),
    row(J, Set, "sticky_session_force", Kept, "routing.sticky.strict"),
    row(J, Set, "session_cookie", Kept, "routing.sticky.cookie"),
    row(J, Set, "session_path", Kept, "routing.sticky.parameter, without its `;` and `=`"),
    row(J, Set, "set_session_cookie", Left, "the gateway sets no cookie: the nodes must"),
    row(J, Set, "session_cookie_path", Left, "the gateway sets no cookie: the nodes must"),
    row(J, Set, "method", Kept, "R: REQUESTS; B: BUSYNESS; others: see B004"),
    row(J, Set, "lock", Left, "a gateway counts alone, exactly"),
    row(J, Set, "retries", About, "attempts.most in the settings"),
    row(J, Set, "retry_interval", Left, "another attempt goes to another node at once"),
    row(J, Set, "recover_time", About, EJECT),
    row(J, Set, "error_escalation_time", About, EJECT),
    row(J, Set, "max_reply_timeouts", About, EJECT),
    row(J, Set, "lb_retries", About, "attempts.most in the settings"),
    row(J, Set, "mount", About, "the gateway serves one endpoint: see C007"),
    // ---- mod_jk: properties that belong to no worker, and rules ----
    row(J, Word, "worker.list", Kept, "which balancers are reached from outside"),
    row(J, Word, "worker.maintain", Left, "what is known of nodes is kept up as requests come"),
    row(J, Rule, "reply_timeout", Left, TIME),
    row(J, Rule, "sticky_ignore", Left, "sticky sessions are the same for all requests"),
    row(J, Rule, "stateless", Left, "sticky sessions are the same for all requests"),
    row(J, Rule, "active", Left, "the state of a node is the same for all requests"),
    row(J, Rule, "disabled", Left, "the state of a node is the same for all requests"),
    row(J, Rule, "stopped", Left, "the state of a node is the same for all requests"),
    row(J, Rule, "fail_on_status", Left, "the same for all requests"),
    row(
        J,
        Rule,
        "use_server_errors",
        Left,
        "answers are the nodes' own, or the gateway's with its stable codes",
    ),
    row(J, Rule, "session_cookie", Left, "sticky sessions are the same for all requests"),
    row(J, Rule, "session_path", Left, "sticky sessions are the same for all requests"),
    row(J, Rule, "set_session_cookie", Left, "the gateway sets no cookie: the nodes must"),
    row(J, Rule, "session_cookie_path", Left, "the gateway sets no cookie: the nodes must"),
];

/// The row of a parameter.
#[must_use]
pub fn parameter(source: Source, scope: Scope, name: &str) -> Option<&'static Parameter> {
    TABLE.iter().find(|p| p.source == source && p.scope == scope && p.name == name)
}
