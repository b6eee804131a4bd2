//! Arbitrary bytes as httpd's main file; the part after a form feed is a file that it may include.
#![no_main]

use doorcourse_import::{ImportRequest, InMemory, Limits, import};
use libfuzzer_sys::fuzz_target;

fuzz_target!(|data: &[u8]| {
    let mut parts = data.splitn(2, |b| *b == 0x0c);
    let (main, other) = (parts.next().unwrap_or(b""), parts.next().unwrap_or(b""));
    let files = InMemory([("main".to_owned(), main.to_vec()), ("other".to_owned(), other.to_vec())].into());
    let mut request = ImportRequest { apache_files: vec!["main".into()], ..ImportRequest::default() };
    // Small limits keep a run short and are reached by the fuzzer.
    request.apache_options.limits = Limits { directives: 5000, line_bytes: 4096, all_bytes: 1 << 20, ..Limits::default() };
    request.apache_options.version = Some("2.4.58".into());
    check_settings_accept(import(&files, &request).0);
});

/// The settings must accept every node list that is written.
fn check_settings_accept(node_list: Option<doorcourse_import::NodeList>) {
    let Some(node_list) = node_list.filter(|c| c.nodes.iter().any(|n| n.resolved)) else { return };
    let list = node_list.to_text();
    let read = doorcourse_config::read_nodes("list", &list);
    assert!(read.is_ok(), "{list}\n{:?}", read.err());
}
