//! The state file: what was learnt of the nodes, kept over a kill. Two lines: a head with version, gateway, time and
//! checksum, and JSON. Written beside its place and moved there, so that a reader finds an old one or a new one.

use doorcourse::{BackendStatus, Name};
use serde_json::{Value, json};
use sha2::{Digest, Sha256};
use std::io::Write;
use std::path::{Path, PathBuf};

const VERSION: u64 = 1;
/// A file larger than this is none of ours.
const LARGEST: u64 = 16 << 20;
/// A clock of the writer's that was ahead by more than this, in ms, tells nothing about ages.
const AHEAD: f64 = 2000.0;

/// Where it is, and how old one may be.
#[derive(Clone, Debug)]
pub(crate) struct StateFile {
    pub path: PathBuf,
    pub max_age: f64,
    pub gateway_index: u32,
}

/// Where a file is written before it is moved to its place.
pub(crate) fn beside(path: &Path) -> PathBuf {
    let mut name = path.as_os_str().to_owned();
    name.push(".new");
    name.into()
}

fn digest(text: &str) -> String {
    Sha256::digest(text).iter().map(|b| format!("{b:02x}")).collect()
}

impl StateFile {
    /// Writes what is known now.
    pub fn write(&self, now: f64, nodes: impl Iterator<Item = BackendStatus>) -> std::io::Result<()> {
        let node = |b: BackendStatus| {
            json!({"name": &*b.name, "room": b.concurrency_limit, "failures": b.consecutive_failures, "eject_until": b.ejected_until,
                "started": b.started})
        };
        let body = json!({"nodes": nodes.map(node).collect::<Vec<_>>()}).to_string();
        let head = json!({"doorcourse_state": VERSION, "number": self.gateway_index, "written_ms": now, "sha256": digest(&body)});
        let beside = beside(&self.path);
        let mut file = std::fs::File::create(&beside)?;
        file.write_all(format!("{head}\n{body}\n").as_bytes())?;
        // On the disk before it takes the old one's place: a power cut must not leave an empty file there.
        file.sync_data()?;
        std::fs::rename(&beside, &self.path)
    }

    /// Reads what an earlier process knew: `Ok(None)` where there is no file, an error says why it is left aside.
    pub fn read(&self, now: f64) -> Result<Option<Vec<BackendStatus>>, String> {
        let size = match std::fs::metadata(&self.path) {
            Ok(found) => found.len(),
            Err(error) if error.kind() == std::io::ErrorKind::NotFound => return Ok(None),
            Err(error) => return Err(error.to_string()),
        };
        if size > LARGEST {
            return Err(format!("{size} bytes, at most {LARGEST}"));
        }
        let text = std::fs::read_to_string(&self.path).map_err(|e| e.to_string())?;
        let (head, rest) = text.split_once('\n').ok_or("torn: it has no second line")?;
        let body = rest.strip_suffix('\n').ok_or("torn: its second line has no end")?;
        let head: Value = serde_json::from_str(head).map_err(|_| "its head is no JSON")?;
        match head["doorcourse_state"].as_u64() {
            Some(VERSION) => {}
            Some(other) => return Err(format!("of version {other}, this is {VERSION}")),
            None => return Err("no state file".into()),
        }
        if head["sha256"].as_str() != Some(&digest(body)) {
            return Err("torn: its checksum does not fit".into());
        }
        if head["number"].as_u64() != Some(self.gateway_index.into()) {
            return Err(format!("of gateway {}, this is {}", head["number"], self.gateway_index));
        }
        let age = now - head["written_ms"].as_f64().unwrap_or(f64::NAN);
        if age.is_nan() || age < -AHEAD {
            return Err("written by a clock that is ahead".into());
        }
        if age > self.max_age {
            return Err(format!("{:.0} s old, at most {:.0}", age / 1000.0, self.max_age / 1000.0));
        }
        let body: Value = serde_json::from_str(body).map_err(|e| e.to_string())?;
        let node = |v: &Value| {
            Some(BackendStatus {
                name: Name::from(v["name"].as_str()?),
                ready: true,
                in_flight: 0,
                concurrency_limit: v["room"].as_f64()?,
                started: v["started"].as_f64(),
                consecutive_failures: u32::try_from(v["failures"].as_u64()?).ok()?,
                ejected_until: v["eject_until"].as_f64()?,
            })
        };
        let nodes = body["nodes"].as_array().ok_or("it holds no nodes")?;
        nodes
            .iter()
            .map(node)
            .collect::<Option<Vec<_>>>()
            .map(Some)
            .ok_or_else(|| "a node in it is malformed".into())
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn view(name: &str) -> BackendStatus {
        let (name, started) = (Name::from(name), Some(5.0));
        BackendStatus {
            name,
            ready: true,
            in_flight: 0,
            concurrency_limit: 2.5,
            started,
            consecutive_failures: 3,
            ejected_until: 99.0,
        }
    }

    fn file(name: &str) -> StateFile {
        let folder = std::env::temp_dir().join(format!("doorcourse-state-{}-{name}", std::process::id()));
        std::fs::create_dir_all(&folder).expect("a folder");
        StateFile { path: folder.join("state"), max_age: 60_000.0, gateway_index: 2 }
    }

    #[test]
    fn what_is_written_is_read_and_a_missing_file_is_no_fault() {
        let file = file("good");
        assert_eq!(file.read(0.0), Ok(None));
        file.write(1000.0, [view("a"), view("b")].into_iter()).expect("written");
        assert_eq!(file.read(2000.0), Ok(Some(vec![view("a"), view("b")])));
    }

    #[test]
    fn a_file_cut_at_any_byte_or_with_any_byte_changed_is_left_aside() {
        let file = file("torn");
        file.write(1000.0, [view("a")].into_iter()).expect("written");
        let whole = std::fs::read(&file.path).expect("read");
        for cut in 0..whole.len() {
            std::fs::write(&file.path, &whole[..cut]).expect("cut");
            assert!(file.read(2000.0).is_err(), "cut at {cut}");
        }
        let end = whole.iter().position(|b| *b == b'\n').expect("a head");
        for at in end + 1..whole.len() {
            let mut spoiled = whole.clone();
            spoiled[at] ^= 1;
            std::fs::write(&file.path, &spoiled).expect("spoiled");
            assert!(file.read(2000.0).is_err(), "spoiled at {at}");
        }
    }

    #[test]
    fn old_foreign_and_future_files_are_told_and_left_aside() {
        let file = file("foreign");
        file.write(1000.0, [view("a")].into_iter()).expect("written");
        let told = |file: &StateFile, now| file.read(now).expect_err("left aside");
        assert!(told(&file, 62_000.0).contains("61 s old, at most 60"));
        assert!(told(&file, -5000.0).contains("clock that is ahead"));
        assert!(
            told(&StateFile { gateway_index: 1, ..file.clone() }, 2000.0).contains("of gateway 2, this is 1")
        );
        let text = std::fs::read_to_string(&file.path).expect("read");
        std::fs::write(&file.path, text.replace("\"doorcourse_state\":1", "\"doorcourse_state\":9"))
            .expect("write");
        assert!(told(&file, 2000.0).contains("of version 9, this is 1"));
        // A process that died between the two steps leaves one beside: the old file still holds.
        file.write(1000.0, [view("a")].into_iter()).expect("written");
        std::fs::write(beside(&file.path), "half").expect("write");
        assert!(file.read(2000.0).is_ok_and(|v| v.is_some()));
    }

    #[test]
    fn a_folder_that_takes_nothing_leaves_the_old_file() {
        let file = file("full");
        file.write(1000.0, [view("a")].into_iter()).expect("written");
        // Where the file beside cannot be made, as on a full disk, nothing is lost.
        std::fs::create_dir_all(beside(&file.path)).expect("a folder in its way");
        assert!(file.write(2000.0, [view("b")].into_iter()).is_err());
        assert_eq!(file.read(2000.0), Ok(Some(vec![view("a")])));
        std::fs::remove_dir(beside(&file.path)).expect("removed");
    }

    #[test]
    fn a_recorded_file_is_read_and_written_byte_for_byte() {
        let (file, recorded) = (file("recorded"), include_str!("../tests/recorded/state-file-1.txt"));
        std::fs::write(&file.path, recorded).expect("write");
        let nodes = file.read(6000.0).expect("usable").expect("there");
        let first = BackendStatus { name: "node-1".into(), ..view("node-1") };
        let (room, failures, eject_until, started) = (1.75, 0, 0.0, None);
        let second = BackendStatus {
            concurrency_limit: room,
            consecutive_failures: failures,
            ejected_until: eject_until,
            started,
            ..view("node-2")
        };
        assert_eq!(nodes, [first, second]);
        file.write(5000.5, nodes.into_iter()).expect("written");
        assert_eq!(std::fs::read_to_string(&file.path).expect("read"), recorded);
    }
}
