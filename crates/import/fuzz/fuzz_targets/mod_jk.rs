//! Arbitrary bytes as workers.properties; the part after a form feed is uriworkermap.properties.
#![no_main]

use doorcourse_import::{ImportRequest, InMemory, Limits, import};
use libfuzzer_sys::fuzz_target;

fuzz_target!(|data: &[u8]| {
    let mut parts = data.splitn(2, |b| *b == 0x0c);
    let (workers, map) = (parts.next().unwrap_or(b""), parts.next().unwrap_or(b""));
    let files = InMemory([("w".to_owned(), workers.to_vec()), ("u".to_owned(), map.to_vec())].into());
    let mut request = ImportRequest { worker_files: vec!["w".into()], uri_map_files: vec!["u".into()], ..ImportRequest::default() };
    request.apache_options.limits = Limits { line_bytes: 4096, all_bytes: 1 << 20, ..Limits::default() };
    let Some(node_list) = import(&files, &request).0.filter(|c| c.nodes.iter().any(|n| n.resolved)) else { return };
    let list = node_list.to_text();
    let read = doorcourse_config::read_nodes("list", &list);
    assert!(read.is_ok(), "{list}\n{:?}", read.err());
});
