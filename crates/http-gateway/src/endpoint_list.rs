//! The node list as a file that is read again when it changes.

use doorcourse_config::{NodeFile, Routing, read_nodes};
use std::path::PathBuf;
use std::time::SystemTime;

/// A list file that is read again when it changes.
#[derive(Debug)]
pub(crate) struct EndpointList {
    path: PathBuf,
    pub poll_interval: f64,
    seen: Option<(SystemTime, u64)>,
    /// The routing that the list read last states.
    pub routing: Option<Routing>,
}

impl EndpointList {
    pub fn new(path: PathBuf, poll: f64) -> Self {
        Self { path, poll_interval: poll, seen: None, routing: None }
    }

    /// The list, if the file changed since it was read last; an error changes nothing and is told once.
    pub fn read_if_changed(&mut self) -> Option<Result<NodeFile, String>> {
        let stamp = std::fs::metadata(&self.path).and_then(|m| Ok((m.modified()?, m.len())));
        let stamp = match stamp {
            Ok(stamp) => stamp,
            Err(_) if self.seen.is_some_and(|(at, _)| at == SystemTime::UNIX_EPOCH) => return None,
            Err(error) => {
                self.seen = Some((SystemTime::UNIX_EPOCH, 0));
                return Some(Err(format!("{}: {error}", self.path.display())));
            }
        };
        if self.seen.replace(stamp) == Some(stamp) {
            return None;
        }
        let shown = self.path.display().to_string();
        let text = match std::fs::read_to_string(&self.path) {
            Ok(text) => text,
            Err(error) => return Some(Err(format!("{shown}: {error}"))),
        };
        Some(
            read_nodes(&shown, &text)
                .map_err(|faults| faults.iter().map(ToString::to_string).collect::<Vec<_>>().join("; ")),
        )
    }
}
