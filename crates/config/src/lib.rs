//! Parses settings in protobuf text format (`proto/settings.proto`), checks them as a whole, and converts them to the
//! settings of the decision library and of the gateway. This crate opens no files: the caller passes in their texts.

#[allow(missing_docs, unreachable_pub, reason = "generated from `proto/settings.proto`")]
mod raw {
    include!(concat!(env!("OUT_DIR"), "/doorcourse.settings.rs"));
}

mod change;
mod check;
mod fleet;
mod locate;

pub use change::{SettingsDiff, compare};
pub use check::{is_node_list, parse_text, read, read_nodes};
pub use fleet::{LeaseConfig, LinkConfig, OUTLIER_PROBE_TASK, OutlierGossipConfig, TaskConfig};
pub use locate::FieldPositions;

use doorcourse::{BackendEntry, Name};
pub use doorcourse::{BackendRole, BackendState};
use doorcourse_graphql::{Limits as QueryLimits, OperationKind, Schema};
use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::sync::Arc;

/// A fault in a settings file.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("{file}{}: {field}{message}", line.map_or(String::new(), |(l, c)| format!(":{l}:{c}")))]
pub struct Fault {
    /// The name of the file.
    pub file: String,
    /// The line and column from 1, if known.
    pub line: Option<(usize, usize)>,
    /// The path of the field followed by `: `, or empty if the fault is of no single field.
    pub field: String,
    /// What is wrong, and what is allowed.
    pub message: String,
}

/// The connection to the shared counter; times in ms.
#[derive(Clone, Debug)]
pub struct CounterConfig {
    /// The address of the counter's server.
    pub address: SocketAddr,
    /// The password for AUTH.
    pub password: Option<String>,
    /// A call without an answer fails after this.
    pub call_timeout: f64,
    /// A connection on which nothing is answered for this long is replaced.
    pub unresponsive_timeout: f64,
    /// The longest backoff before a new connection.
    pub max_backoff: f64,
}

/// A node of the settings.
#[derive(Clone, Debug)]
pub struct Node {
    /// Its entry in the backend list of the decision library.
    pub entry: BackendEntry,
    /// The address to connect to.
    pub address: SocketAddr,
}

/// How nodes are chosen, and where a request carries the id of its sticky session.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Routing {
    /// How a node is chosen among those that may serve a request.
    pub load_balancing: doorcourse::LoadBalancing,
    /// Whether a request is refused rather than served by a node outside its route, failover route and group.
    pub strict_affinity: bool,
    /// The name of the cookie with the session id; empty for none.
    pub cookie: String,
    /// The name of the URL parameter with the session id; empty for none.
    pub parameter: String,
}

/// The form in which a reload and `import diff` report it. It keeps the names of the settings.
impl std::fmt::Display for Routing {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        let Self { load_balancing, strict_affinity, cookie, parameter } = self;
        let balance = match load_balancing {
            doorcourse::LoadBalancing::LeastInFlight => "Outstanding",
            doorcourse::LoadBalancing::WeightedRoundRobin => "Requests",
            doorcourse::LoadBalancing::WeightedLeastInFlight => "Busyness",
        };
        write!(
            f,
            "Routing {{ balance: {balance}, strict: {strict_affinity}, cookie: {cookie:?}, parameter: {parameter:?} }}"
        )
    }
}

/// The content of a node list file.
#[derive(Clone, Debug)]
pub struct NodeList {
    /// All nodes.
    pub nodes: Vec<Node>,
    /// The routing of the file. It takes precedence over the routing of the settings.
    pub routing: Option<Routing>,
}

/// A customer.
#[derive(Clone, Debug)]
pub struct Customer {
    /// Its name.
    pub name: Name,
    /// The index of its plan in the settings.
    pub plan_index: usize,
    /// The number of the first gateway that its requests arrive at.
    pub first_gateway: u32,
    /// How many gateways its requests arrive at, counted from the first.
    pub gateway_count: u32,
}

/// The limits of the gateway; times are in ms. `proto/settings.proto` describes each. A reload reports them in their
/// `Debug` form, so the names of the fields are part of the admin replies.
#[derive(Clone, Debug)]
#[allow(missing_docs)]
pub struct Limits {
    pub connections: usize,
    pub requests: usize,
    pub buffered: u64,
    pub line: usize,
    pub head: usize,
    pub fields: usize,
    pub body: u64,
    pub answer: u64,
    pub held_answer: usize,
    pub client_buffer: usize,
    pub head_time: f64,
    pub body_time: f64,
    pub idle_time: f64,
    pub node_idle_time: f64,
    pub longest_deadline: f64,
    pub answer_margin: f64,
    pub customer_bytes: u64,
    pub unread_time: f64,
}

/// The file in which a gateway saves what it has learnt of the nodes; times in ms.
#[derive(Clone, Debug, PartialEq)]
pub struct StateFileConfig {
    /// The path of the file, relative to the settings file.
    pub file: String,
    /// The interval between two saves.
    pub save_interval: f64,
    /// An older file is not used.
    pub max_age: f64,
}

/// The times of a drain and of a takeover, in ms. A reload reports them in their `Debug` form, so the names of the
/// fields are part of the admin replies.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Life {
    /// The time between the report "not ready" and the closing of the listeners.
    pub notice: f64,
    /// The time that requests in flight have to finish at a drain, from the closing of the listeners.
    pub drain: f64,
    /// The time that a process that takes over has until it serves.
    pub handover: f64,
    /// At a drain, idle connections are closed once no client has sent a byte for this long.
    pub quiet: f64,
    /// The time that quota leases have to be returned to the counter.
    pub give_back: f64,
}

/// Settings that have passed all checks.
#[derive(Clone, Debug)]
pub struct Config {
    /// The settings of the decision library.
    pub decisions: doorcourse::Settings,
    /// The addresses that clients connect to.
    pub listen: Vec<SocketAddr>,
    /// The path of the GraphQL endpoint.
    pub endpoint_path: String,
    /// The connection to the shared counter; `None` if the process counts alone.
    pub counter: Option<CounterConfig>,
    /// The nodes in the settings; empty if they are in a node list file.
    pub nodes: Vec<Node>,
    /// The path of the node list file, and the interval in ms at which it is checked for a change.
    pub node_list: Option<(String, f64)>,
    /// How nodes are chosen, and where a request carries its session id.
    pub routing: Routing,
    /// How long a client of each class waits for its response if it states no deadline, in ms.
    pub client_timeouts: Vec<f64>,
    /// The index of the class of each root field of queries.
    pub query_classes: BTreeMap<String, usize>,
    /// The index of the class of each root field of mutations.
    pub mutation_classes: BTreeMap<String, usize>,
    /// The customers by the SHA-256 of their keys.
    pub customers_by_key: HashMap<[u8; 32], Arc<Customer>>,
    /// The GraphQL schema.
    pub schema: Arc<Schema>,
    /// The limits of a GraphQL document.
    pub query_limits: QueryLimits,
    /// How deep a response of a node may nest.
    pub max_response_depth: usize,
    /// Whether introspection queries are allowed.
    pub introspection: bool,
    /// The limits of the gateway.
    pub limits: Limits,
    /// The address that serves health checks and metrics.
    pub health_listen: Option<SocketAddr>,
    /// The path of the admin socket, relative to the settings file.
    pub admin_socket: Option<String>,
    /// The file that keeps what the gateway has learnt of the nodes.
    pub state_file: Option<StateFileConfig>,
    /// The times of a drain and of a takeover.
    pub life: Life,
    /// The link to the other gateways; `None` if there is none.
    pub link: Option<LinkConfig>,
    /// The leases and the work that needs them.
    pub leases: Option<LeaseConfig>,
}

impl Config {
    /// Replaces the routing with that of a node list file, which takes precedence over that of the settings.
    pub fn set_routing(&mut self, routing: Routing) {
        (self.decisions.routing.load_balancing, self.decisions.routing.strict_affinity) =
            (routing.load_balancing, routing.strict_affinity);
        self.routing = routing;
    }

    /// The customer that a key belongs to.
    #[must_use]
    pub fn customer_of_key(&self, key: &[u8]) -> Option<&Arc<Customer>> {
        use sha2::Digest;
        self.customers_by_key.get::<[u8; 32]>(&sha2::Sha256::digest(key).into())
    }

    /// The index of the class of a root field.
    #[must_use]
    pub fn class_of_root_field(&self, kind: OperationKind, field: &str) -> Option<usize> {
        match kind {
            OperationKind::Query => self.query_classes.get(field).copied(),
            OperationKind::Mutation => self.mutation_classes.get(field).copied(),
            OperationKind::Subscription => None,
        }
    }
}
