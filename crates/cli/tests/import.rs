//! Runs `doorcourse import` as on a command line and checks node lists, findings and exit codes.

use std::path::{Path, PathBuf};
use std::process::{Command, Output};

struct TestDir(PathBuf);

impl TestDir {
    fn new(name: &str, files: &[(&str, &str)]) -> Self {
        let dir = std::env::temp_dir().join(format!("doorcourse-import-{}-{name}", std::process::id()));
        for (file, text) in files {
            let path = dir.join(file);
            std::fs::create_dir_all(path.parent().expect("a directory")).expect("a directory");
            std::fs::write(path, text).expect("a file");
        }
        Self(dir)
    }

    fn run(&self, arguments: &[&str]) -> (i32, String, String) {
        let mut command = Command::new(env!("CARGO_BIN_EXE_doorcourse"));
        let Output { status, stdout, stderr } =
            command.current_dir(&self.0).args(arguments).output().expect("the command runs");
        let text = |bytes| String::from_utf8(bytes).expect("UTF-8");
        (status.code().expect("a code"), text(stdout), text(stderr))
    }

    fn text(&self, file: &str) -> Option<String> {
        std::fs::read_to_string(self.0.join(file)).ok()
    }
}

impl Drop for TestDir {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.0);
    }
}

const HTTPD: &str =
    "Include conf.d/*.conf\n<Proxy balancer://app>\nBalancerMember http://${ONE}:80 ping=1\n</Proxy>\n";

#[test]
fn a_list_is_written_whole_or_not_at_all() {
    let files = [("httpd.conf", HTTPD), ("conf.d/a.conf", "BalancerMember balancer://app http://10.0.0.2\n")];
    let dir = TestDir::new("whole", &files);
    let common = ["import", "apache", "-D", "ONE=10.0.0.1", "httpd.conf", "--out", "nodes.txtpb"];
    let strict = |more: &[&'static str]| [&common[..], more].concat();
    let (code, _, stderr) = dir.run(&strict(&["--strict"]));
    assert_eq!((code, dir.text("nodes.txtpb")), (1, None), "{stderr}");
    assert!(
        stderr.contains("httpd.conf:3: left out [B003]: ping=1") && stderr.contains("    BalancerMember"),
        "{stderr}"
    );
    assert_eq!(dir.run(&common).0, 0);
    let first = dir.text("nodes.txtpb").expect("a node list");
    assert_eq!(dir.run(&common).0, 0);
    assert_eq!(dir.text("nodes.txtpb"), Some(first.clone()), "the same bytes");
    let (code, stdout, _) = dir.run(&["check", "nodes.txtpb"]);
    assert!(code == 0 && stdout.contains("2 nodes"), "{stdout}");
    // After an error in the files the existing list stays unchanged.
    std::fs::write(dir.0.join("httpd.conf"), "<Proxy balancer://app>\n").expect("a file");
    let (code, _, stderr) = dir.run(&common);
    assert!(code == 1 && stderr.contains("httpd.conf:1: error [A002]"), "{stderr}");
    assert_eq!(dir.text("nodes.txtpb"), Some(first));
    assert!(std::fs::read_dir(&dir.0).expect("a directory").count() == 3, "nothing is left beside it");
}

#[test]
fn absolute_paths_lie_below_the_root() {
    let files = [
        ("copy/etc/httpd/httpd.conf", "ServerRoot /etc/httpd\nInclude conf.d/*.conf\n"),
        ("copy/etc/httpd/conf.d/a.conf", "BalancerMember balancer://app http://10.0.0.2\n"),
    ];
    let dir = TestDir::new("root", &files);
    let (code, list, stderr) = dir.run(&["import", "apache", "--root", "copy", "copy/etc/httpd/httpd.conf"]);
    assert!(code == 0 && list.contains("10.0.0.2:80"), "{stderr}");
    let (code, _, stderr) = dir.run(&["import", "apache", "copy/etc/httpd/httpd.conf"]);
    assert!(code == 1 && stderr.contains("A006"), "{stderr}");
}

#[test]
fn findings_as_json_and_workers_with_maps() {
    let workers = "worker.list=lb\nworker.lb.type=lb\nworker.lb.balance_workers=a\nworker.a.host=node-a\n";
    let dir = TestDir::new("json", &[("w", workers), ("u", "/app=lb\n")]);
    let (code, list, stderr) =
        dir.run(&["import", "mod-jk", "w", "--map", "u", "--format", "json", "--host", "NODE-A=10.0.0.9"]);
    let json: serde_json::Value = serde_json::from_str(&stderr).expect("JSON and nothing else");
    let codes: Vec<&str> =
        json.as_array().expect("an array").iter().filter_map(|f| f["code"].as_str()).collect();
    assert_eq!((code, &codes[..]), (0, &["C003", "C007"][..]));
    assert_eq!((&json[1]["place"]["file"], &json[1]["severity"]), (&"u".into(), &"left-out".into()));
    assert!(list.contains("10.0.0.9:8009"), "{list}");
    assert_eq!(dir.run(&["import", "mod-jk", "w", "--host", "x"]).0, 2);
    assert_eq!(dir.run(&["import", "mod-jk"]).0, 2);
    assert_eq!(dir.run(&["import", "mod-jk", "missing"]).0, 1);
}

#[test]
fn differences_between_lists() {
    let old = "routing { balance: REQUESTS }\nnodes { name: 'a' address: '127.0.0.1:1' }\nnodes { name: 'b' address: '127.0.0.1:2' }\n";
    let new = "nodes { name: 'a' address: '127.0.0.1:1' tier: 2 role: SPARE }\nnodes { name: 'c' address: '127.0.0.1:3' }\n";
    let dir = TestDir::new("diff", &[("old", old), ("new", new), ("bad", "nodes { name: 1 }")]);
    assert_eq!(dir.run(&["import", "diff", "old", "old"]), (0, String::new(), String::new()));
    let (code, stdout, _) = dir.run(&["import", "diff", "old", "new"]);
    assert_eq!(code, 1);
    for line in [
        "~ node a: tier 0 -> 2",
        "~ node a: role ACTIVE -> SPARE",
        "- node b at 127.0.0.1:2",
        "+ node c at",
        "~ routing:",
    ] {
        assert!(stdout.contains(line), "{stdout} lacks {line}");
    }
    let (code, _, stderr) = dir.run(&["import", "diff", "old", "bad"]);
    assert!(code == 2 && stderr.contains("bad:1:"), "{stderr}");
}

/// The table in the documentation must match the output of the program.
#[test]
fn the_docs_hold_the_table_and_every_code() {
    let dir = TestDir::new("docs", &[("x", "")]);
    let docs = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../docs/import.md");
    let docs = std::fs::read_to_string(docs).expect("docs/import.md");
    let (_, table, _) = dir.run(&["import", "table"]);
    assert!(
        table.lines().count() > 150 && docs.contains(&table),
        "put what `import table` prints into docs/import.md"
    );
    let (_, codes, _) = dir.run(&["import", "codes"]);
    for line in codes.lines() {
        let (code, rest) = line.split_once("  ").expect("a code");
        let text = rest.trim_start().split_once("  ").expect("a severity").1.trim();
        assert!(docs.contains(code) && docs.contains(text), "docs/import.md lacks {line}");
    }
}
