use super::*;
use std::fs::{File, create_dir, read_dir, remove_dir, remove_file};
use std::io::Write;

/// A folder in place of the file has its metadata and cannot be read; the file that follows has the same size and time.
#[test]
fn list_that_could_not_be_read_for_a_moment_is_read_at_the_next_poll() {
    let path = std::env::temp_dir().join(format!("doorcourse-list-{}", std::process::id()));
    create_dir(&path).unwrap();
    assert_eq!(read_dir(&path).unwrap().count(), 0);
    let metadata = path.metadata().unwrap();
    let mut list = EndpointList::new(path.clone(), 10.0);
    assert!(list.read_if_changed().is_some_and(|read| read.is_err()));
    assert!(list.read_if_changed().is_none(), "reported once");
    remove_dir(&path).unwrap();
    let mut file = File::create(&path).unwrap();
    let text = "nodes { name: \"n1\" address: \"127.0.0.1:1\" }\n";
    let padding = "\n".repeat((metadata.len() as usize).saturating_sub(text.len()));
    file.write_all(format!("{text}{padding}").as_bytes()).unwrap();
    file.set_modified(metadata.modified().unwrap()).unwrap();
    let read = list.read_if_changed().expect("the file is read");
    remove_file(&path).unwrap();
    assert_eq!(read.unwrap().nodes.len(), 1);
}
