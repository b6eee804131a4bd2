//! An endpoint list in a file, which is read again when it has changed.

use doorcourse::Millis;
use doorcourse_config::{NodeList, Routing, read_nodes};
use std::path::PathBuf;
use std::time::SystemTime;

/// The properties by which a changed file is recognized.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum FileVersion {
    Present {
        modified: SystemTime,
        bytes: u64,
    },
    /// The file or its metadata cannot be read; this is reported once.
    Unavailable,
}

/// An endpoint list file.
#[derive(Debug)]
pub(crate) struct EndpointList {
    path: PathBuf,
    /// How often the file is checked for a change.
    pub poll_interval: Millis,
    last_version: Option<FileVersion>,
    /// The routing in the last list that was applied.
    pub routing: Option<Routing>,
}

impl EndpointList {
    /// A list that has not been read. `poll_interval` is in ms.
    pub(crate) fn new(path: PathBuf, poll_interval: Millis) -> Self {
        Self { path, poll_interval, last_version: None, routing: None }
    }

    /// The list, if the file has changed since it was last read.
    ///
    /// # Errors
    /// The reason why a changed file cannot be used. Each version of the file is reported once.
    pub(crate) fn read_if_changed(&mut self) -> Option<Result<NodeList, String>> {
        let version = match self.examine() {
            Ok(version) => version,
            Err(_) if self.last_version == Some(FileVersion::Unavailable) => return None,
            Err(error) => {
                self.last_version = Some(FileVersion::Unavailable);
                return Some(Err(format!("{}: {error}", self.path.display())));
            }
        };
        let last_version = self.last_version.replace(version);
        if last_version == Some(version) {
            return None;
        }
        let display_path = self.path.display().to_string();
        let text = match std::fs::read_to_string(&self.path) {
            Ok(text) => text,
            Err(error) => {
                // It is read again at the next poll, whether it changes or not: the disk may fail for a moment.
                self.last_version = Some(FileVersion::Unavailable);
                let is_reported = last_version == Some(FileVersion::Unavailable);
                return (!is_reported).then(|| Err(format!("{display_path}: {error}")));
            }
        };
        Some(
            read_nodes(&display_path, &text)
                .map_err(|errors| errors.iter().map(ToString::to_string).collect::<Vec<_>>().join("; ")),
        )
    }

    fn examine(&self) -> std::io::Result<FileVersion> {
        let metadata = std::fs::metadata(&self.path)?;
        Ok(FileVersion::Present { modified: metadata.modified()?, bytes: metadata.len() })
    }
}

#[cfg(test)]
mod tests;
