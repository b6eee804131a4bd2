//! Large, hostile and invalid files must end in bounded time and memory with one clear error and no panic.

use doorcourse_import::{Findings, ImportRequest, InMemory, NodeList, import};
use proptest::prelude::*;
use std::fmt::Write;

fn apache(text: &[u8]) -> (Option<NodeList>, Findings) {
    let files = InMemory([("httpd.conf".to_owned(), text.to_vec())].into());
    import(&files, &ImportRequest { apache_files: vec!["httpd.conf".into()], ..ImportRequest::default() })
}

fn mod_jk(text: &[u8], map: &[u8]) -> (Option<NodeList>, Findings) {
    let files = InMemory([("w".to_owned(), text.to_vec()), ("u".to_owned(), map.to_vec())].into());
    import(
        &files,
        &ImportRequest {
            worker_files: vec!["w".into()],
            uri_map_files: vec!["u".into()],
            ..ImportRequest::default()
        },
    )
}

fn errors(findings: &Findings) -> Vec<&'static str> {
    let is_error = |f: &&doorcourse_import::Finding| f.severity == doorcourse_import::Severity::Error;
    findings.all().iter().filter(is_error).map(|f| f.code).collect()
}

#[test]
fn fifty_thousand_lines_are_read() {
    let mut text = String::from("<Proxy balancer://app>\n");
    for n in 0..50_000 {
        let (a, b) = (n / 250, n % 250 + 1);
        let _ = writeln!(
            text,
            "  BalancerMember http://10.0.{a}.{b}:8080 route=r{n} loadfactor={} lbset={}",
            n % 9 + 1,
            n % 3
        );
    }
    text.push_str("ProxySet stickysession=SID\n</Proxy>\n");
    let (node_list, findings) = apache(text.as_bytes());
    assert_eq!(node_list.expect("a node list").nodes.len(), 50_000);
    assert!(findings.all().is_empty());

    let mut text = String::from("worker.list=lb\nworker.lb.type=lb\n");
    for n in 0..25_000 {
        let _ = writeln!(
            text,
            "worker.lb.balance_workers=w{n}\nworker.w{n}.host=10.1.{}.{}",
            n / 250,
            n % 250 + 1
        );
    }
    let (node_list, _) = mod_jk(text.as_bytes(), b"");
    assert_eq!(node_list.expect("a node list").nodes.len(), 25_000);
}

/// Followed to its end, each of these files would take hours or all memory. The `Limits` are counts rather
/// than times, so each run ends with the same error.
#[test]
fn hostile_files_end_with_one_error() {
    let doubling = |n: usize| {
        let mut text = String::from("<Macro M0>\nServerName x\n</Macro>\n");
        for n in 1..n {
            let _ = writeln!(text, "<Macro M{n}>\nUse M{0}\nUse M{0}\n</Macro>", n - 1);
        }
        let _ = writeln!(text, "Use M{}", n - 1);
        text
    };
    let arguments = |n: usize| {
        let mut text = String::from("<Macro M0 $a>\nServerName $a\n</Macro>\n");
        for n in 1..n {
            let _ = writeln!(text, "<Macro M{n} $a>\nUse M{} $a$a$a$a\n</Macro>", n - 1);
        }
        let _ = writeln!(text, "Use M{} abcdefgh", n - 1);
        text
    };
    let variables = |n: usize| {
        let mut text = String::from("Define V0 abcdefgh\n");
        for n in 1..n {
            let _ = writeln!(text, "Define V{n} ${{V{0}}}${{V{0}}}", n - 1);
        }
        text
    };
    // Repeats a line just below the length limit.
    let repeated = |n: usize| {
        let mut text = variables(15);
        (0..n).for_each(|_| text.push_str("Define W ${V14}\n"));
        text
    };
    let sections = |n: usize| "<A>\n".repeat(n);
    for (case, text, code) in [
        ("macros that double", doubling(60), "A005"),
        ("arguments that grow", arguments(60), "A005"),
        ("variables that double", variables(60), "A005"),
        ("long variables repeated", repeated(60_000), "A005"),
        ("sections", sections(100_000), "A005"),
        ("macros within macros", "<Macro A>\n".repeat(50_000), "A002"),
        ("one long line", "x".repeat(3 << 20), "A005"),
        ("a line that continues", "x\\\n".repeat(2 << 20), "A005"),
    ] {
        let (node_list, findings) = apache(text.as_bytes());
        assert!(node_list.is_none(), "{case}");
        assert_eq!(errors(&findings), [code], "{case}");
    }
}

#[test]
fn hostile_workers_end_with_one_error() {
    let mut nested = String::from("worker.list=l0\n");
    for n in 0..40 {
        let _ = writeln!(nested, "worker.l{n}.type=lb\nworker.l{n}.balance_workers=l{0},l{0}", n + 1);
    }
    nested.push_str("worker.l40.host=10.0.0.1\n");
    let (node_list, _) = mod_jk(nested.as_bytes(), b"");
    assert!(node_list.is_none(), "several balancers, and none is chosen");
    let macros: String = (1..80).map(|n| format!("m{n}=$(m{0})$(m{0})\n", n - 1)).collect();
    let (_, findings) = mod_jk(format!("m0=abcdefgh\n{macros}").as_bytes(), b"");
    assert_eq!(errors(&findings), ["A005"]);
    let chain: String = (0..3000).map(|n| format!("worker.w{n}.reference=worker.w{}\n", n + 1)).collect();
    let (_, findings) = mod_jk(chain.as_bytes(), b"");
    assert_eq!(errors(&findings), ["J002"], "longer than the limit on chains");
    let rules = "/a|/*=w\n".repeat(50_000);
    let (node_list, _) = mod_jk(b"worker.list=w\nworker.w.host=10.0.0.1\n", rules.as_bytes());
    assert!(node_list.is_some());
}

/// Generates a member that survives writing and reading.
fn member() -> impl Strategy<Value = String> {
    let flags =
        prop::sample::select(vec!["", " status=+H", " status=R", " status=N", " status=D", " spare=on"]);
    (1u8..250, 1u16..9999, 1u32..100, 0u32..5, flags, "[a-z]{1,8}").prop_map(|(host, port, weight, set, flags, route)| {
        format!("BalancerMember http://10.0.0.{host}:{port} loadfactor={weight} lbset={set} route={route}{flags}")
    })
}

fn file() -> impl Strategy<Value = String> {
    (prop::collection::vec(member(), 1..20), "[A-Z]{1,6}", prop::bool::ANY).prop_map(
        |(members, cookie, strict)| {
            let strict = if strict { " nofailover=On" } else { "" };
            format!(
                "<Proxy balancer://b>\n{}\nProxySet stickysession={cookie}{strict}\n</Proxy>\n",
                members.join("\n")
            )
        },
    )
}

/// Runs the same cases each time.
fn fixed_seed() -> ProptestConfig {
    let rng_seed = proptest::test_runner::RngSeed::Fixed(12);
    ProptestConfig { cases: 300, failure_persistence: None, rng_seed, ..ProptestConfig::default() }
}

/// The name of a role in a written node list.
fn role_name(role: doorcourse_config::BackendRole) -> &'static str {
    match role {
        doorcourse_config::BackendRole::Active => "ACTIVE",
        doorcourse_config::BackendRole::Standby => "STANDBY",
        doorcourse_config::BackendRole::Spare => "SPARE",
        doorcourse_config::BackendRole::StickyOnly => "BOUND",
    }
}

proptest! {
    #![proptest_config(fixed_seed())]

    #[test]
    fn printed_and_read_again_is_the_same(text in file()) {
        let node_list = apache(text.as_bytes()).0.expect("a node list");
        let read = doorcourse_config::read_nodes("list", &node_list.to_text()).expect("a list that the settings accept");
        prop_assert_eq!(read.nodes.len(), node_list.nodes.len());
        for (read, written) in read.nodes.iter().zip(&node_list.nodes) {
            let place = &read.entry.placement;
            prop_assert_eq!(&*read.entry.name, written.name.as_str());
            prop_assert_eq!(read.address.to_string(), written.address.clone());
            prop_assert_eq!((place.weight, place.priority_level, &*place.sticky_route), (written.weight, written.priority_level, &*written.route));
            prop_assert_eq!(role_name(place.role), written.role.name());
            prop_assert_eq!(read.entry.state == doorcourse_config::BackendState::Draining, written.draining);
        }
        let routing = read.routing.expect("routing");
        prop_assert_eq!((routing.cookie, routing.strict_affinity), (node_list.routing.cookie, node_list.routing.strict));
    }

    /// Bytes removed, inserted and repeated at any position must give a node list or findings, never a panic,
    /// and the settings must accept every list that is written.
    #[test]
    fn random_edits_never_panic(text in file(), edits in prop::collection::vec((any::<u16>(), 0usize..6, any::<u8>()), 1..30)) {
        let mut bytes = text.into_bytes();
        for (at, kind, byte) in edits {
            if bytes.is_empty() { break }
            let at = usize::from(at) % bytes.len();
            match kind {
                0 => drop(bytes.remove(at)),
                1 => bytes.insert(at, byte),
                2 => bytes[at] = b"\"'\\\n<>${}+-=#!"[usize::from(byte) % 14],
                3 => bytes.truncate(at + 1),
                4 => { let tail = bytes[at..].to_vec(); bytes.extend(tail) }
                _ => { let end = (at + usize::from(byte)).min(bytes.len()); bytes.drain(at..end); }
            }
        }
        let (node_list, _) = apache(&bytes);
        if let Some(node_list) = node_list.filter(|c| c.nodes.iter().any(|n| n.resolved)) {
            let list = node_list.to_text();
            prop_assert!(doorcourse_config::read_nodes("list", &list).is_ok(), "{}", list);
        }
    }

    #[test]
    fn any_properties_never_panic(text in "(worker\\.[a-c]\\.(type|host|port|balance_workers|reference|lbfactor|activation|domain|route)=(lb|a|b,c|[0-9.]{0,6}|\\$\\(x\\)|[^\n]{0,8})\n){0,30}", map in "[/*!|=;a-z\n]{0,60}") {
        let (node_list, _) = mod_jk(format!("worker.list=a\n{text}").as_bytes(), map.as_bytes());
        if let Some(node_list) = node_list.filter(|c| c.nodes.iter().any(|n| n.resolved)) {
            let list = node_list.to_text();
            prop_assert!(doorcourse_config::read_nodes("list", &list).is_ok(), "{}", list);
        }
    }
}
