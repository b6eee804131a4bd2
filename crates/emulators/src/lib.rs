//! Emulators of a gateway's environment, with fault injection: nodes that serve a music catalogue, the shared counter,
//! the node list, clients, the network between gateways and the endpoint that tasks call. They listen on loopback
//! unless an address is set. Nodes, counter, node list and clients write a common traffic record.

mod catalogue;
mod client;
mod counter;
mod load;
mod node;
mod node_list;
mod recorder;
mod relay;
mod server;
mod task_endpoint;

pub use catalogue::{CATALOGUE, Operation, operations};
pub use client::{ClientEmulator, RequestOutcome, RequestSource, ScheduledRequest};
pub use counter::CounterFault;
pub use load::{FixedRateLoad, LoadReport};
pub use node::{NodeFault, NodeSpec};
pub use node_list::{ListedNode, NodeListFile};
pub use recorder::Recorder;
pub use relay::{LinkFaults, Relay};
pub use server::{Command, EmulatorServer, EmulatorServerSpec};
pub use task_endpoint::TaskEndpoint;
