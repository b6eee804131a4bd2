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

const FAILURE_HANDLING: &str =
    "a failing node is taken out of use by its own results and retried automatically";
const CONNECTION_POOL: &str =
    "connections to nodes are kept as needed: limits.node_idle_ms in the settings limits idle ones";
const TIMEOUT: &str = "how long a request may take is set by its class: classes.give_up_ms in the settings";
const HEALTH_CHECK: &str = "there are no health checks: the outcomes of requests decide";
const AJP: &str = "concerns AJP, which is not supported";
const HEADER_FIELDS: &str = "the gateway passes on the header fields that its HTTP front end knows";
const LOGGING: &str = "logging is set by --log";
const ADMIN_INTERFACE: &str = "`doorcourse ctl` shows and drains nodes";
const OTHER_PROXYING: &str = "concerns proxying other than to balancers";

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
        "outstanding requests to a node are limited by its response times, and by `open` of each plan",
    ),
    row(Apache, Member, "min", LeftOut, CONNECTION_POOL),
    row(Apache, Member, "smax", LeftOut, CONNECTION_POOL),
    row(Apache, Member, "acquire", LeftOut, "a request waits for a node for a share of its class's aim"),
    row(Apache, Member, "ttl", Approximated, CONNECTION_POOL),
    row(Apache, Member, "keepalive", LeftOut, "connections are kept open; TCP's own probes are not set"),
    row(Apache, Member, "disablereuse", LeftOut, "connections are reused"),
    row(Apache, Member, "enablereuse", Carried, "connections are reused"),
    row(Apache, Member, "addressttl", LeftOut, "addresses are not resolved again: the node list states them"),
    row(
        Apache,
        Member,
        "flushpackets",
        LeftOut,
        "responses above limits.held_answer_bytes are passed on as they arrive",
    ),
    row(
        Apache,
        Member,
        "flushwait",
        LeftOut,
        "responses above limits.held_answer_bytes are passed on as they arrive",
    ),
    row(Apache, Member, "iobuffersize", LeftOut, "limits.client_buffer_bytes in the settings"),
    row(Apache, Member, "receivebuffersize", LeftOut, "the operating system's sizes are used"),
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
        "routing.sticky: cookie, and parameter after `|` or the same name",
    ),
    row(Apache, Balancer, "nofailover", Carried, "routing.sticky.strict"),
    row(Apache, Balancer, "scolonpathdelim", Carried, "parameters after ; in the path are always considered"),
    row(Apache, Balancer, "maxattempts", Approximated, "attempts.most in the settings: one more than this"),
    row(Apache, Balancer, "timeout", LeftOut, "a request waits for a node for a share of its class's aim"),
    row(Apache, Balancer, "failonstatus", Approximated, FAILURE_HANDLING),
    row(Apache, Balancer, "failontimeout", Approximated, FAILURE_HANDLING),
    row(
        Apache,
        Balancer,
        "forcerecovery",
        Approximated,
        "a failed node is retried automatically, also when all have failed",
    ),
    row(Apache, Balancer, "growth", LeftOut, "the size of a node list is not limited"),
    row(Apache, Balancer, "nonce", LeftOut, ADMIN_INTERFACE),
    row(Apache, Balancer, "secret", LeftOut, AJP),
    row(Apache, Balancer, "stickysessionsep", Approximated, "the route follows the first dot"),
    row(Apache, Balancer, "lbset", LeftOut, "concerns members"),
    // ---- httpd: directives ----
    row(Apache, Directive, "balancermember", Carried, "a node"),
    row(Apache, Directive, "proxyset", Carried, "by its parameters"),
    row(Apache, Directive, "proxypass", Approximated, "the gateway serves one endpoint: see C007"),
    row(Apache, Directive, "proxypassmatch", Approximated, "the gateway serves one endpoint: see C007"),
    row(Apache, Directive, "balancergrowth", LeftOut, "the size of a node list is not limited"),
    row(
        Apache,
        Directive,
        "balancerpersist",
        LeftOut,
        "a manually drained node stays drained until the process ends",
    ),
    row(Apache, Directive, "balancerinherit", LeftOut, "a node list contains what its file says"),
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
        "settings that depend on the request are not carried over",
    ),
    row(
        Apache,
        Directive,
        "proxyerroroverride",
        LeftOut,
        "responses are those of the nodes, or the gateway's own with its stable codes",
    ),
    row(Apache, Directive, "proxybadheader", LeftOut, "a response that is not HTTP counts as an error"),
    row(Apache, Directive, "proxystatus", LeftOut, ADMIN_INTERFACE),
    row(Apache, Directive, "proxyiobuffersize", LeftOut, "limits.client_buffer_bytes in the settings"),
    row(Apache, Directive, "proxyreceivebuffersize", LeftOut, "the operating system's sizes are used"),
    row(Apache, Directive, "proxysourceaddress", LeftOut, "the operating system's choice is used"),
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
    row(ModJk, Directive, "jkstripsession", LeftOut, "session parameters are removed from the path"),
    row(ModJk, Directive, "jklogfile", LeftOut, LOGGING),
    row(ModJk, Directive, "jkloglevel", LeftOut, LOGGING),
    row(ModJk, Directive, "jklogstampformat", LeftOut, LOGGING),
    row(ModJk, Directive, "jkrequestlogformat", LeftOut, LOGGING),
    row(
        ModJk,
        Directive,
        "jkshmfile",
        LeftOut,
        "a gateway keeps its own state; `state.file` in the settings preserves it across a kill",
    ),
    row(ModJk, Directive, "jkshmsize", LeftOut, "a gateway keeps its own state"),
    row(ModJk, Directive, "jkwatchdoginterval", LeftOut, HEALTH_CHECK),
    row(ModJk, Directive, "jkextractssl", LeftOut, "TLS to clients is not supported yet"),
    row(ModJk, Directive, "jkhttpsindicator", LeftOut, "TLS to clients is not supported yet"),
    row(ModJk, Directive, "jkcertsindicator", LeftOut, "TLS to clients is not supported yet"),
    row(ModJk, Directive, "jkcertchainprefix", LeftOut, "TLS to clients is not supported yet"),
    row(ModJk, Directive, "jkcipherindicator", LeftOut, "TLS to clients is not supported yet"),
    row(ModJk, Directive, "jksessionindicator", LeftOut, "TLS to clients is not supported yet"),
    row(ModJk, Directive, "jkkeysizeindicator", LeftOut, "TLS to clients is not supported yet"),
    row(ModJk, Directive, "jksslprotocolindicator", LeftOut, "TLS to clients is not supported yet"),
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
        "ajp13 and ajp14: the node is carried over with C003; lb: a balancer; others: J003",
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
        "the other worker's parameters apply to this one unless it sets its own",
    ),
    row(ModJk, Member, "source", LeftOut, "the operating system's choice is used"),
    row(ModJk, Member, "prefer_ipv6", LeftOut, "addresses are given explicitly"),
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
    row(ModJk, Member, "socket_buffer", LeftOut, "the operating system's sizes are used"),
    row(ModJk, Member, "connection_pool_size", LeftOut, CONNECTION_POOL),
    row(ModJk, Member, "connection_pool_minsize", LeftOut, CONNECTION_POOL),
    row(ModJk, Member, "connection_pool_timeout", Approximated, CONNECTION_POOL),
    row(
        ModJk,
        Member,
        "connection_acquire_timeout",
        LeftOut,
        "a request waits for a node for a share of its class's aim",
    ),
    row(ModJk, Member, "cachesize", LeftOut, CONNECTION_POOL),
    row(ModJk, Member, "cache_timeout", Approximated, CONNECTION_POOL),
    row(ModJk, Member, "recycle_timeout", Approximated, CONNECTION_POOL),
    row(ModJk, Member, "retries", Approximated, "attempts.most in the settings"),
    row(ModJk, Member, "retry_interval", LeftOut, "another attempt goes to another node immediately"),
    row(
        ModJk,
        Member,
        "recovery_options",
        Approximated,
        "the effect of each class decides what is retried: classes.effect in the settings",
    ),
    row(ModJk, Member, "fail_on_status", Approximated, FAILURE_HANDLING),
    row(ModJk, Member, "max_reply_timeouts", Approximated, FAILURE_HANDLING),
    row(
        ModJk,
        Member,
        "busy_limit",
        Approximated,
        "outstanding requests to a node are limited by its response times",
    ),
    row(ModJk, Member, "mount", Approximated, "the gateway serves one endpoint: see C007"),
    // ---- mod_jk: balancers ----
    row(ModJk, Balancer, "type", Carried, "lb: a balancer"),
    row(
        ModJk,
        Balancer,
        "reference",
        Carried,
        "the other worker's parameters apply to this one unless it sets its own",
    ),
    row(ModJk, Balancer, "balance_workers", Carried, "its nodes"),
    row(ModJk, Balancer, "balanced_workers", Carried, "its nodes"),
    row(ModJk, Balancer, "sticky_session", Carried, "routing.sticky"),
    row(ModJk, Balancer, "sticky_session_force", Carried, "routing.sticky.strict"),
    row(ModJk, Balancer, "session_cookie", Carried, "routing.sticky.cookie"),
    row(ModJk, Balancer, "session_path", Carried, "routing.sticky.parameter, without its `;` and `=`"),
    row(ModJk, Balancer, "set_session_cookie", LeftOut, "the gateway sets no cookie: the nodes must set it"),
    row(ModJk, Balancer, "session_cookie_path", LeftOut, "the gateway sets no cookie: the nodes must set it"),
    row(ModJk, Balancer, "method", Carried, "R: REQUESTS; B: BUSYNESS; others: see B004"),
    row(ModJk, Balancer, "lock", LeftOut, "each gateway keeps its own exact counts"),
    row(ModJk, Balancer, "retries", Approximated, "attempts.most in the settings"),
    row(ModJk, Balancer, "retry_interval", LeftOut, "another attempt goes to another node immediately"),
    row(ModJk, Balancer, "recover_time", Approximated, FAILURE_HANDLING),
    row(ModJk, Balancer, "error_escalation_time", Approximated, FAILURE_HANDLING),
    row(ModJk, Balancer, "max_reply_timeouts", Approximated, FAILURE_HANDLING),
    row(ModJk, Balancer, "lb_retries", Approximated, "attempts.most in the settings"),
    row(ModJk, Balancer, "mount", Approximated, "the gateway serves one endpoint: see C007"),
    // ---- mod_jk: properties that belong to no worker, and extensions of rules ----
    row(ModJk, Directive, "worker.list", Carried, "which balancers are reachable from outside"),
    row(ModJk, Directive, "worker.maintain", LeftOut, "the state of nodes is updated as requests arrive"),
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
        "responses are those of the nodes, or the gateway's own with its stable codes",
    ),
    row(ModJk, Rule, "session_cookie", LeftOut, "sticky sessions are the same for all requests"),
    row(ModJk, Rule, "session_path", LeftOut, "sticky sessions are the same for all requests"),
    row(ModJk, Rule, "set_session_cookie", LeftOut, "the gateway sets no cookie: the nodes must set it"),
    row(ModJk, Rule, "session_cookie_path", LeftOut, "the gateway sets no cookie: the nodes must set it"),
];

/// Finds the row of a parameter.
#[must_use]
pub fn find_parameter(source: Source, scope: Scope, name: &str) -> Option<&'static Parameter> {
    PARAMETERS.iter().find(|p| p.source == source && p.scope == scope && p.name == name)
}
