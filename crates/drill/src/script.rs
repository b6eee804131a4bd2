//! Parses drills from the protobuf text format and validates them before anything is started.

#[allow(missing_docs, clippy::all)]
mod raw {
    include!(concat!(env!("OUT_DIR"), "/doorcourse.drill.rs"));
}

mod validation;

use doorcourse_config::{Fault, parse_text};
pub use raw::act::What;
pub use raw::fleet::Suspects;
pub use raw::node_fault::What as NodeWhat;
pub use raw::state_of::What as StateWhat;
pub use raw::wait::Until;
pub use raw::{Act, Drill, Expect, Share, Wait};
use raw::{Mood, StateOf, Step};
use validation::Validator;

const DESCRIPTORS: &[u8] = include_bytes!(concat!(env!("OUT_DIR"), "/drill.bin"));

/// Name and text of each built-in drill.
pub const DRILLS: &[(&str, &str)] = &[
    ("bad-day", include_str!("../drills/bad-day.txtpb")),
    ("gateway-killed", include_str!("../drills/gateway-killed.txtpb")),
    ("rolling-restart", include_str!("../drills/rolling-restart.txtpb")),
    ("rolling-takeover", include_str!("../drills/rolling-takeover.txtpb")),
    ("reload-busy-season", include_str!("../drills/reload-busy-season.txtpb")),
    ("bad-configuration", include_str!("../drills/bad-configuration.txtpb")),
    ("state-lost", include_str!("../drills/state-lost.txtpb")),
    ("stop-with-licences", include_str!("../drills/stop-with-licences.txtpb")),
    ("counter-gone", include_str!("../drills/counter-gone.txtpb")),
    ("rack-lost", include_str!("../drills/rack-lost.txtpb")),
    ("disk-full", include_str!("../drills/disk-full.txtpb")),
    ("flood", include_str!("../drills/flood.txtpb")),
    ("reload-storm", include_str!("../drills/reload-storm.txtpb")),
    ("two-tiers", include_str!("../drills/two-tiers.txtpb")),
    ("most-gateways-lost", include_str!("../drills/most-gateways-lost.txtpb")),
    ("node-hangs", include_str!("../drills/node-hangs.txtpb")),
    ("quiet-day", include_str!("../drills/quiet-day.txtpb")),
];

impl Drill {
    /// Returns the number of gateways of the drill.
    #[must_use]
    pub fn gateways(&self) -> usize {
        self.fleet.and_then(|f| f.gateways).unwrap_or(3) as usize
    }

    /// Returns the number of nodes of the drill.
    #[must_use]
    pub fn nodes(&self) -> usize {
        self.fleet.and_then(|f| f.nodes).unwrap_or(10) as usize
    }
}

/// Parses one act, the argument of `fleet do`.
///
/// # Errors
/// Returns the first fault.
pub fn parse_act(text: &str) -> Result<Act, Vec<Fault>> {
    parse_text(DESCRIPTORS, "doorcourse.drill.Act", "act", text)
}

/// Parses and validates a drill.
///
/// # Errors
/// Returns all faults, each with file, line and field.
pub fn parse_drill(file: &str, text: &str) -> Result<Drill, Vec<Fault>> {
    let drill: Drill = parse_text(DESCRIPTORS, "doorcourse.drill.Drill", file, text)?;
    let faults = Validator::new(file, text, &drill).validate();
    if faults.is_empty() { Ok(drill) } else { Err(faults) }
}

#[cfg(test)]
mod tests;
