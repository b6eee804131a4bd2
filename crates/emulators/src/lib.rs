//! Stand-ins for what surrounds a gateway: nodes that serve a music catalogue, the shared counter, the list of
//! nodes, and clients. All on loopback, each with faults to order, each writing a traffic record.

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
