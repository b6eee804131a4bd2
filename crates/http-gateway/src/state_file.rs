//! The state file: the state of backends that the decisions have learnt, kept across a restart.
//!
//! The file has two lines of JSON: a head with version, gateway, time and checksum, then the state. It is written at
//! another path and renamed, so that a reader finds either the old file or the new one. The JSON keys are a stable
//! format; [`encode_backend`] and [`decode_backend`] map them.

#[cfg(test)]
mod tests;
mod writer;

pub(crate) use writer::{StateFileWriter, WriterProgress};

use doorcourse::{BackendStatus, Millis, Name};
use serde_json::{Value, json};
use sha2::{Digest, Sha256};
use std::io::Write;
use std::path::{Path, PathBuf};

/// The version of the format that is written and read.
const VERSION: u64 = 1;
/// The largest file that is read. A larger one cannot be a state file.
const MAX_FILE_BYTES: u64 = 16 << 20;
/// The most by which the clock of the file's writer may be ahead, in ms. Beyond it, the ages in the file are
/// meaningless.
const MAX_CLOCK_AHEAD: Millis = 2000.0;

/// The reason why a state file cannot be used. The texts are logged.
#[derive(Debug, PartialEq, thiserror::Error)]
pub(crate) enum StateFileError {
    #[error("{0}")]
    Unreadable(String),
    #[error("{bytes} bytes, at most {limit}")]
    TooLarge { bytes: u64, limit: u64 },
    #[error("torn: it has no second line")]
    SecondLineMissing,
    #[error("torn: its second line has no end")]
    SecondLineIncomplete,
    #[error("torn: its checksum does not fit")]
    ChecksumMismatch,
    #[error("its head is no JSON")]
    MalformedHead,
    #[error("no state file")]
    NotAStateFile,
    #[error("of version {found}, this is {expected}")]
    OtherVersion { found: u64, expected: u64 },
    #[error("of gateway {found}, this is {expected}")]
    OtherGateway { found: String, expected: u32 },
    #[error("written by a clock that is ahead")]
    ClockAhead,
    #[error("{:.0} s old, at most {:.0}", age / 1000.0, limit / 1000.0)]
    TooOld { age: Millis, limit: Millis },
    #[error("it holds no nodes")]
    BackendsMissing,
    #[error("a node in it is malformed")]
    MalformedBackend,
}

/// A state file, and the conditions for accepting its contents.
#[derive(Clone, Debug)]
pub(crate) struct StateFile {
    pub path: PathBuf,
    /// An older file is not used.
    pub max_age: Millis,
    /// The number of this gateway: the file of another one is not used.
    pub gateway_index: u32,
}

/// The path at which a file is written before it is renamed to `path`.
pub(crate) fn temporary_path(path: &Path) -> PathBuf {
    let mut name = path.as_os_str().to_owned();
    name.push(".new");
    name.into()
}

fn checksum(text: &str) -> String {
    Sha256::digest(text).iter().map(|byte| format!("{byte:02x}")).collect()
}

impl StateFile {
    /// Writes the state of the backends, as of `now`.
    ///
    /// # Errors
    /// When the file cannot be written; an earlier file is then unchanged.
    pub(crate) fn write(
        &self, now: Millis, backends: impl Iterator<Item = BackendStatus>,
    ) -> std::io::Result<()> {
        let body = json!({"nodes": backends.map(encode_backend).collect::<Vec<_>>()}).to_string();
        let head = json!({
            "doorcourse_state": VERSION,
            "number": self.gateway_index,
            "written_ms": now,
            "sha256": checksum(&body),
        });
        let temporary = temporary_path(&self.path);
        let mut file = std::fs::File::create(&temporary)?;
        file.write_all(format!("{head}\n{body}\n").as_bytes())?;
        // The data must be on disk before the rename, or a power failure could leave an empty file.
        file.sync_data()?;
        std::fs::rename(&temporary, &self.path)
    }

    /// Reads the state that an earlier process wrote; `None` if there is no file.
    ///
    /// # Errors
    /// The reason why the file cannot be used.
    pub(crate) fn read(&self, now: Millis) -> Result<Option<Vec<BackendStatus>>, StateFileError> {
        let Some(text) = self.read_text()? else { return Ok(None) };
        let (head, rest) = text.split_once('\n').ok_or(StateFileError::SecondLineMissing)?;
        let body = rest.strip_suffix('\n').ok_or(StateFileError::SecondLineIncomplete)?;
        self.check_head(now, head, body)?;
        decode_body(body).map(Some)
    }

    fn read_text(&self) -> Result<Option<String>, StateFileError> {
        let unreadable = |error: std::io::Error| StateFileError::Unreadable(error.to_string());
        let bytes = match std::fs::metadata(&self.path) {
            Ok(metadata) => metadata.len(),
            Err(error) if error.kind() == std::io::ErrorKind::NotFound => return Ok(None),
            Err(error) => return Err(unreadable(error)),
        };
        if bytes > MAX_FILE_BYTES {
            return Err(StateFileError::TooLarge { bytes, limit: MAX_FILE_BYTES });
        }
        std::fs::read_to_string(&self.path).map(Some).map_err(unreadable)
    }

    /// Checks version, checksum, gateway and age, in this order.
    fn check_head(&self, now: Millis, head: &str, body: &str) -> Result<(), StateFileError> {
        let head: Value = serde_json::from_str(head).map_err(|_| StateFileError::MalformedHead)?;
        match head["doorcourse_state"].as_u64() {
            Some(VERSION) => {}
            Some(found) => return Err(StateFileError::OtherVersion { found, expected: VERSION }),
            None => return Err(StateFileError::NotAStateFile),
        }
        if head["sha256"].as_str() != Some(&checksum(body)) {
            return Err(StateFileError::ChecksumMismatch);
        }
        if head["number"].as_u64() != Some(self.gateway_index.into()) {
            let found = head["number"].to_string();
            return Err(StateFileError::OtherGateway { found, expected: self.gateway_index });
        }
        let age = now - head["written_ms"].as_f64().unwrap_or(Millis::NAN);
        if age.is_nan() || age < -MAX_CLOCK_AHEAD {
            return Err(StateFileError::ClockAhead);
        }
        if age > self.max_age {
            return Err(StateFileError::TooOld { age, limit: self.max_age });
        }
        Ok(())
    }
}

fn decode_body(body: &str) -> Result<Vec<BackendStatus>, StateFileError> {
    let body: Value =
        serde_json::from_str(body).map_err(|error| StateFileError::Unreadable(error.to_string()))?;
    let backends = body["nodes"].as_array().ok_or(StateFileError::BackendsMissing)?;
    let decoded: Option<Vec<_>> = backends.iter().map(decode_backend).collect();
    decoded.ok_or(StateFileError::MalformedBackend)
}

fn encode_backend(backend: BackendStatus) -> Value {
    json!({
        "name": &*backend.name,
        "room": backend.concurrency_limit,
        "failures": backend.consecutive_failures,
        "eject_until": backend.ejected_until,
        "started": backend.started,
    })
}

fn decode_backend(value: &Value) -> Option<BackendStatus> {
    Some(BackendStatus {
        name: Name::from(value["name"].as_str()?),
        ready: true,
        in_flight: 0,
        concurrency_limit: value["room"].as_f64()?,
        started: value["started"].as_f64(),
        consecutive_failures: u32::try_from(value["failures"].as_u64()?).ok()?,
        ejected_until: value["eject_until"].as_f64()?,
    })
}
