//! The table of all known parameters and directives and how they are converted, for the importer and for the
//! documentation.

use serde::Serialize;

/// The module that a parameter belongs to.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize)]
pub enum Source {
    /// Apache httpd's mod_proxy.
    Apache,
    /// mod_jk.
    ModJk,
}

/// What a parameter applies to.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize)]
pub enum Scope {
    /// A member of a balancer.
    Member,
    /// A balancer.
    Balancer,
    /// A directive of httpd, or a property of mod_jk that belongs to no worker.
    Directive,
    /// An extension of a rule in uriworkermap.properties.
    Rule,
}

/// How a parameter is converted.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
pub enum Conversion {
    /// Carried over with the same meaning.
    Carried,
    /// Carried over with a difference in meaning.
    Approximated,
    /// Not carried over.
    LeftOut,
}

/// A row of the table.
#[derive(Clone, Copy, Debug, Serialize)]
pub struct Parameter {
    /// The module that it belongs to.
    pub source: Source,
    /// What it applies to.
    pub scope: Scope,
    /// The name in lower case.
    pub name: &'static str,
    /// How it is converted.
    #[serde(rename = "fate")]
    pub conversion: Conversion,
    /// What it becomes, or why it is left out and what to do instead.
    pub note: &'static str,
}

const fn row(
    source: Source, scope: Scope, name: &'static str, conversion: Conversion, note: &'static str,
) -> Parameter {
    Parameter { source, scope, name, conversion, note }
}

use Conversion::{Approximated, Carried, LeftOut};
use Scope::{Balancer, Directive, Member, Rule};
use Source::{Apache, ModJk};

const FAILURE_HANDLING: &str = "a node that fails is left alone by what it does, and tried again by itself";
const CONNECTION_POOL: &str =
    "connections to nodes are kept as they are needed: limits.node_idle_ms in the settings bounds idle ones";
const TIMEOUT: &str = "how long a request may take is its class's: classes.give_up_ms in the settings";
const HEALTH_CHECK: &str = "nodes are not probed: outcomes of requests tell";
const AJP: &str = "concerns AJP, which is not spoken";
const HEADER_FIELDS: &str = "the gateway passes on the fields that its front knows";
const LOGGING: &str = "logs are set by --log";
const ADMIN_INTERFACE: &str = "`doorcourse ctl` shows and drains nodes";
const OTHER_PROXYING: &str = "concerns proxying beside balancers";

/// All known parameters and directives.
pub const PARAMETERS: &[Parameter] = &[
    // ---- mod_proxy: members ----
    row(Apache, Member, "loadfactor", Carried, "weight"),
    row(Apache, Member, "lbset", Carried, "tier"),
    row(Apache, Member, "route", Carried, "route"),
    row(Apache, Member, "redirect", Carried, "redirect, by the route that it names"),
    row(
        Apache,
        Member,
        "status",
        Carried,
        "D and S: state DRAINING; N: role BOUND; H: role STANDBY; R: role SPARE; I, E, C: see B003, B004",
    ),
    row(Apache, Member, "spare", Carried, "role SPARE, as status=+R"),
    row(Apache, Member, "retry", Approximated, FAILURE_HANDLING),
    row(Apache, Member, "timeout", LeftOut, TIMEOUT),
    row(Apache, Member, "connectiontimeout", LeftOut, TIMEOUT),
    row(Apache, Member, "ping", LeftOut, HEALTH_CHECK),
    row(
        Apache,
        Member,
        "max",
        Approximated,
        "what is out at a node is bounded by how late its answers are, and by `open` of each plan",
    ),
    row(Apache, Member, "min", LeftOut, CONNECTION_POOL),
    row(Apache, Member, "smax", LeftOut, CONNECTION_POOL),
    row(Apache, Member, "acquire", LeftOut, "a request waits for a node a share of its class's aim"),
    row(Apache, Member, "ttl", Approximated, CONNECTION_POOL),
    row(Apache, Member, "keepalive", LeftOut, "connections are kept open; TCP's own probes are not set"),
    row(Apache, Member, "disablereuse", LeftOut, "connections are used again"),
    row(Apache, Member, "enablereuse", Carried, "connections are used again"),
    row(Apache, Member, "addressttl", LeftOut, "addresses are not looked up again: the list states them"),
    row(
        Apache,
        Member,
        "flushpackets",
        LeftOut,
        "answers above limits.held_answer_bytes are passed on as they come",
    ),
    row(
        Apache,
        Member,
        "flushwait",
        LeftOut,
        "answers above limits.held_answer_bytes are passed on as they come",
    ),
    row(Apache, Member, "iobuffersize", LeftOut, "limits.client_buffer_bytes in the settings"),
    row(Apache, Member, "receivebuffersize", LeftOut, "the system's sizes are used"),
    row(Apache, Member, "responsefieldsize", LeftOut, "limits.head_bytes in the settings"),
    row(Apache, Member, "failontimeout", Approximated, FAILURE_HANDLING),
    row(Apache, Member, "failonstatus", Approximated, FAILURE_HANDLING),
    row(Apache, Member, "secret", LeftOut, AJP),
    row(Apache, Member, "upgrade", LeftOut, "connections are not upgraded"),
    row(Apache, Member, "mapping", LeftOut, AJP),
    row(Apache, Member, "hcmethod", LeftOut, HEALTH_CHECK),
    row(Apache, Member, "hcinterval", LeftOut, HEALTH_CHECK),
    row(Apache, Member, "hcpasses", LeftOut, HEALTH_CHECK),
    row(Apache, Member, "hcfails", LeftOut, HEALTH_CHECK),
    row(Apache, Member, "hcuri", LeftOut, HEALTH_CHECK),
    row(Apache, Member, "hcexpr", LeftOut, HEALTH_CHECK),
    row(Apache, Member, "hctemplate", LeftOut, HEALTH_CHECK),
    // ---- mod_proxy: balancers ----
    row(
        Apache,
        Balancer,
        "lbmethod",
        Carried,
        "byrequests: REQUESTS; bybusyness: BUSYNESS; others: see B004",
    ),
    row(
        Apache,
        Balancer,
        "stickysession",
        Carried,
        "routing.sticky: cookie, and parameter behind `|` or the same name",
    ),
    row(Apache, Balancer, "nofailover", Carried, "routing.sticky.strict"),
    row(Apache, Balancer, "scolonpathdelim", Carried, "parameters behind ; in the path are always looked at"),
    row(Apache, Balancer, "maxattempts", Approximated, "attempts.most in the settings: one more than this"),
    row(Apache, Balancer, "timeout", LeftOut, "a request waits for a node a share of its class's aim"),
    row(Apache, Balancer, "failonstatus", Approximated, FAILURE_HANDLING),
    row(Apache, Balancer, "failontimeout", Approximated, FAILURE_HANDLING),
    row(
        Apache,
        Balancer,
        "forcerecovery",
        Approximated,
        "a node that failed is tried again by itself, also when all have failed",
    ),
    row(Apache, Balancer, "growth", LeftOut, "a list may grow as it likes"),
    row(Apache, Balancer, "nonce", LeftOut, ADMIN_INTERFACE),
    row(Apache, Balancer, "secret", LeftOut, AJP),
    row(Apache, Balancer, "stickysessionsep", Approximated, "the route stands behind the first dot"),
    row(Apache, Balancer, "lbset", LeftOut, "concerns members"),
    // ---- httpd: directives ----
    row(Apache, Directive, "balancermember", Carried, "a node"),
    row(Apache, Directive, "proxyset", Carried, "by its parameters"),
    row(Apache, Directive, "proxypass", Approximated, "the gateway serves one endpoint: see C007"),
    row(Apache, Directive, "proxypassmatch", Approximated, "the gateway serves one endpoint: see C007"),
    row(Apache, Directive, "balancergrowth", LeftOut, "a list may grow as it likes"),
    row(
        Apache,
        Directive,
        "balancerpersist",
        LeftOut,
        "a node drained by hand is drained until the process ends",
    ),
    row(Apache, Directive, "balancerinherit", LeftOut, "a list is as its file says"),
    row(Apache, Directive, "proxyhcexpr", LeftOut, HEALTH_CHECK),
    row(Apache, Directive, "proxyhctemplate", LeftOut, HEALTH_CHECK),
    row(Apache, Directive, "proxyhctpsize", LeftOut, HEALTH_CHECK),
    row(Apache, Directive, "proxytimeout", LeftOut, TIMEOUT),
    row(Apache, Directive, "proxypassreverse", LeftOut, HEADER_FIELDS),
    row(Apache, Directive, "proxypassreversecookiedomain", LeftOut, HEADER_FIELDS),
    row(Apache, Directive, "proxypassreversecookiepath", LeftOut, HEADER_FIELDS),
    row(Apache, Directive, "proxypreservehost", LeftOut, HEADER_FIELDS),
    row(Apache, Directive, "proxyaddheaders", LeftOut, HEADER_FIELDS),
    row(Apache, Directive, "proxyvia", LeftOut, HEADER_FIELDS),
    row(Apache, Directive, "proxypassinherit", LeftOut, "the gateway serves one endpoint"),
    row(
        Apache,
        Directive,
        "proxypassinterpolateenv",
        LeftOut,
        "what depends on each request is not carried over",
    ),
    row(
        Apache,
        Directive,
        "proxyerroroverride",
        LeftOut,
        "answers are the nodes' own, or the gateway's with its stable codes",
    ),
    row(Apache, Directive, "proxybadheader", LeftOut, "an answer that is no HTTP counts as an error"),
    row(Apache, Directive, "proxystatus", LeftOut, ADMIN_INTERFACE),
    row(Apache, Directive, "proxyiobuffersize", LeftOut, "limits.client_buffer_bytes in the settings"),
    row(Apache, Directive, "proxyreceivebuffersize", LeftOut, "the system's sizes are used"),
    row(Apache, Directive, "proxysourceaddress", LeftOut, "the system's choice is used"),
    row(Apache, Directive, "proxymaxforwards", LeftOut, OTHER_PROXYING),
    row(Apache, Directive, "proxyblock", LeftOut, OTHER_PROXYING),
    row(Apache, Directive, "proxydomain", LeftOut, OTHER_PROXYING),
    row(Apache, Directive, "proxyremote", LeftOut, OTHER_PROXYING),
    row(Apache, Directive, "proxyremotematch", LeftOut, OTHER_PROXYING),
    row(Apache, Directive, "proxyrequests", LeftOut, OTHER_PROXYING),
    row(Apache, Directive, "proxywebsocketfallbacktoproxyhttp", LeftOut, "connections are not upgraded"),
    row(Apache, Directive, "noproxy", LeftOut, OTHER_PROXYING),
    row(Apache, Directive, "allowconnect", LeftOut, OTHER_PROXYING),
    // ---- mod_jk in httpd ----
    row(ModJk, Directive, "jkworkersfile", Carried, "read as workers.properties"),
    row(ModJk, Directive, "jkworkerproperty", Carried, "one line of workers.properties"),
    row(ModJk, Directive, "jkmount", Approximated, "the gateway serves one endpoint: see C007"),
    row(ModJk, Directive, "jkunmount", Approximated, "the gateway serves one endpoint: see C007"),
    row(
        ModJk,
        Directive,
        "jkmountfile",
        Approximated,
        "read as uriworkermap.properties; the gateway serves one endpoint: see C007",
    ),
    row(
        ModJk,
        Directive,
        "jkmountfilereload",
        Approximated,
        "node lists and settings are read again when they change, or at `doorcourse ctl reload`",
    ),
    row(ModJk, Directive, "jkmountcopy", LeftOut, "the gateway serves one endpoint"),
    row(ModJk, Directive, "jkautoalias", LeftOut, "files are not served"),
    row(ModJk, Directive, "jkoptions", LeftOut, HEADER_FIELDS),
    row(ModJk, Directive, "jkenvvar", LeftOut, AJP),
    row(ModJk, Directive, "jkstripsession", LeftOut, "session parameters are taken off the path"),
    row(ModJk, Directive, "jklogfile", LeftOut, LOGGING),
    row(ModJk, Directive, "jkloglevel", LeftOut, LOGGING),
    row(ModJk, Directive, "jklogstampformat", LeftOut, LOGGING),
    row(ModJk, Directive, "jkrequestlogformat", LeftOut, LOGGING),
    row(
        ModJk,
        Directive,
        "jkshmfile",
        LeftOut,
        "a gateway keeps what it knows itself; `state.file` in the settings keeps it over a kill",
    ),
    row(ModJk, Directive, "jkshmsize", LeftOut, "a gateway keeps what it knows itself"),
    row(ModJk, Directive, "jkwatchdoginterval", LeftOut, HEALTH_CHECK),
    row(ModJk, Directive, "jkextractssl", LeftOut, "TLS is not spoken to clients yet"),
    row(ModJk, Directive, "jkhttpsindicator", LeftOut, "TLS is not spoken to clients yet"),
    row(ModJk, Directive, "jkcertsindicator", LeftOut, "TLS is not spoken to clients yet"),
    row(ModJk, Directive, "jkcertchainprefix", LeftOut, "TLS is not spoken to clients yet"),
    row(ModJk, Directive, "jkcipherindicator", LeftOut, "TLS is not spoken to clients yet"),
    row(ModJk, Directive, "jksessionindicator", LeftOut, "TLS is not spoken to clients yet"),
    row(ModJk, Directive, "jkkeysizeindicator", LeftOut, "TLS is not spoken to clients yet"),
    row(ModJk, Directive, "jksslprotocolindicator", LeftOut, "TLS is not spoken to clients yet"),
    row(ModJk, Directive, "jkremoteaddrindicator", LeftOut, HEADER_FIELDS),
    row(ModJk, Directive, "jkremotehostindicator", LeftOut, HEADER_FIELDS),
    row(ModJk, Directive, "jkremoteportindicator", LeftOut, HEADER_FIELDS),
    row(ModJk, Directive, "jkremoteuserindicator", LeftOut, HEADER_FIELDS),
    row(ModJk, Directive, "jkauthtypeindicator", LeftOut, HEADER_FIELDS),
    row(ModJk, Directive, "jklocaladdrindicator", LeftOut, HEADER_FIELDS),
    row(ModJk, Directive, "jklocalnameindicator", LeftOut, HEADER_FIELDS),
    row(ModJk, Directive, "jklocalportindicator", LeftOut, HEADER_FIELDS),
    row(ModJk, Directive, "jkignorecloptheader", LeftOut, HEADER_FIELDS),
    row(ModJk, Directive, "jkallowcl", LeftOut, HEADER_FIELDS),
    row(ModJk, Directive, "jkignorecl", LeftOut, HEADER_FIELDS),
    // ---- mod_jk: workers ----
    row(
        ModJk,
        Member,
        "type",
        Approximated,
        "ajp13 and ajp14: the node comes over with C003; lb: a balancer; others: J003",
    ),
    row(ModJk, Member, "host", Carried, "address"),
    row(ModJk, Member, "port", Carried, "address"),
    row(ModJk, Member, "lbfactor", Carried, "weight"),
    row(ModJk, Member, "activation", Carried, "D: role BOUND; S: state DRAINING"),
    row(ModJk, Member, "disabled", Carried, "activation=D"),
    row(ModJk, Member, "stopped", Carried, "activation=S"),
    row(ModJk, Member, "distance", Carried, "tier"),
    row(ModJk, Member, "domain", Carried, "group"),
    row(ModJk, Member, "redirect", Carried, "redirect, by the route of the worker that it names"),
    row(ModJk, Member, "route", Carried, "route"),
    row(ModJk, Member, "jvm_route", Carried, "route"),
    row(
        ModJk,
        Member,
        "reference",
        Carried,
        "what the other worker says goes for this one, unless it says otherwise",
    ),
    row(ModJk, Member, "source", LeftOut, "the system's choice is used"),
    row(ModJk, Member, "prefer_ipv6", LeftOut, "addresses are stated"),
    row(ModJk, Member, "max_packet_size", LeftOut, AJP),
    row(ModJk, Member, "secret", LeftOut, AJP),
    row(ModJk, Member, "secretkey", LeftOut, AJP),
    row(ModJk, Member, "login_service", LeftOut, AJP),
    row(ModJk, Member, "socket_timeout", LeftOut, TIMEOUT),
    row(ModJk, Member, "socket_connect_timeout", LeftOut, TIMEOUT),
    row(ModJk, Member, "connect_timeout", LeftOut, TIMEOUT),
    row(ModJk, Member, "prepost_timeout", LeftOut, TIMEOUT),
    row(ModJk, Member, "reply_timeout", LeftOut, TIMEOUT),
    row(ModJk, Member, "ping_mode", LeftOut, HEALTH_CHECK),
    row(ModJk, Member, "ping_timeout", LeftOut, HEALTH_CHECK),
    row(ModJk, Member, "connection_ping_interval", LeftOut, HEALTH_CHECK),
    row(
        ModJk,
        Member,
        "socket_keepalive",
        LeftOut,
        "connections are kept open; TCP's own probes are not set",
    ),
    row(ModJk, Member, "socket_buffer", LeftOut, "the system's sizes are used"),
    row(ModJk, Member, "connection_pool_size", LeftOut, CONNECTION_POOL),
    row(ModJk, Member, "connection_pool_minsize", LeftOut, CONNECTION_POOL),
    row(ModJk, Member, "connection_pool_timeout", Approximated, CONNECTION_POOL),
    row(
        ModJk,
        Member,
        "connection_acquire_timeout",
        LeftOut,
        "a request waits for a node a share of its class's aim",
    ),
    row(ModJk, Member, "cachesize", LeftOut, CONNECTION_POOL),
    row(ModJk, Member, "cache_timeout", Approximated, CONNECTION_POOL),
    row(ModJk, Member, "recycle_timeout", Approximated, CONNECTION_POOL),
    row(ModJk, Member, "retries", Approximated, "attempts.most in the settings"),
    row(ModJk, Member, "retry_interval", LeftOut, "another attempt goes to another node at once"),
    row(
        ModJk,
        Member,
        "recovery_options",
        Approximated,
        "the effect of each class rules what is tried again: classes.effect in the settings",
    ),
    row(ModJk, Member, "fail_on_status", Approximated, FAILURE_HANDLING),
    row(ModJk, Member, "max_reply_timeouts", Approximated, FAILURE_HANDLING),
    row(
        ModJk,
        Member,
        "busy_limit",
        Approximated,
        "what is out at a node is bounded by how late its answers are",
    ),
    row(ModJk, Member, "mount", Approximated, "the gateway serves one endpoint: see C007"),
    // ---- mod_jk: balancers ----
    row(ModJk, Balancer, "type", Carried, "lb: a balancer"),
    row(
        ModJk,
        Balancer,
        "reference",
        Carried,
        "what the other worker says goes for this one, unless it says otherwise",
    ),
    row(ModJk, Balancer, "balance_workers", Carried, "its nodes"),
    row(ModJk, Balancer, "balanced_workers", Carried, "its nodes"),
    row(ModJk, Balancer, "sticky_session", Carried, "routing.sticky"),
    row(ModJk, Balancer, "sticky_session_force", Carried, "routing.sticky.strict"),
    row(ModJk, Balancer, "session_cookie", Carried, "routing.sticky.cookie"),
    row(ModJk, Balancer, "session_path", Carried, "routing.sticky.parameter, without its `;` and `=`"),
    row(ModJk, Balancer, "set_session_cookie", LeftOut, "the gateway sets no cookie: the nodes must"),
    row(ModJk, Balancer, "session_cookie_path", LeftOut, "the gateway sets no cookie: the nodes must"),
    row(ModJk, Balancer, "method", Carried, "R: REQUESTS; B: BUSYNESS; others: see B004"),
    row(ModJk, Balancer, "lock", LeftOut, "a gateway counts alone, exactly"),
    row(ModJk, Balancer, "retries", Approximated, "attempts.most in the settings"),
    row(ModJk, Balancer, "retry_interval", LeftOut, "another attempt goes to another node at once"),
    row(ModJk, Balancer, "recover_time", Approximated, FAILURE_HANDLING),
    row(ModJk, Balancer, "error_escalation_time", Approximated, FAILURE_HANDLING),
    row(ModJk, Balancer, "max_reply_timeouts", Approximated, FAILURE_HANDLING),
    row(ModJk, Balancer, "lb_retries", Approximated, "attempts.most in the settings"),
    row(ModJk, Balancer, "mount", Approximated, "the gateway serves one endpoint: see C007"),
    // ---- mod_jk: properties that belong to no worker, and extensions of rules ----
    row(ModJk, Directive, "worker.list", Carried, "which balancers are reached from outside"),
    row(ModJk, Directive, "worker.maintain", LeftOut, "what is known of nodes is kept up as requests come"),
    row(ModJk, Rule, "reply_timeout", LeftOut, TIMEOUT),
    row(ModJk, Rule, "sticky_ignore", LeftOut, "sticky sessions are the same for all requests"),
    row(ModJk, Rule, "stateless", LeftOut, "sticky sessions are the same for all requests"),
    row(ModJk, Rule, "active", LeftOut, "the state of a node is the same for all requests"),
    row(ModJk, Rule, "disabled", LeftOut, "the state of a node is the same for all requests"),
    row(ModJk, Rule, "stopped", LeftOut, "the state of a node is the same for all requests"),
    row(ModJk, Rule, "fail_on_status", LeftOut, "the same for all requests"),
    row(
        ModJk,
        Rule,
        "use_server_errors",
        LeftOut,
        "answers are the nodes' own, or the gateway's with its stable codes",
    ),
    row(ModJk, Rule, "session_cookie", LeftOut, "sticky sessions are the same for all requests"),
    row(ModJk, Rule, "session_path", LeftOut, "sticky sessions are the same for all requests"),
    row(ModJk, Rule, "set_session_cookie", LeftOut, "the gateway sets no cookie: the nodes must"),
    row(ModJk, Rule, "session_cookie_path", LeftOut, "the gateway sets no cookie: the nodes must"),
];

/// Finds the row of a parameter.
#[must_use]
pub fn find_parameter(source: Source, scope: Scope, name: &str) -> Option<&'static Parameter> {
    PARAMETERS.iter().find(|p| p.source == source && p.scope == scope && p.name == name)
}
