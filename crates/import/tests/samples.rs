//! Sample files, each with its expected node list and findings. `BLESS=1 cargo test` writes the actual
//! results into the samples; review the diff before committing it.

use doorcourse_import::{ImportRequest, InMemory, import};
use std::collections::BTreeSet;
use std::fmt::Write;
use std::path::{Path, PathBuf};

#[derive(Clone, Default)]
struct Sample {
    title: String,
    request: ImportRequest,
    files: InMemory,
    /// Everything before the expectations, as written.
    input: String,
    list: String,
    findings: Vec<String>,
}

/// Replaces `\r`, `\xNN` and `\\`, for bytes that an editor might not preserve.
fn unescape(text: &str) -> Vec<u8> {
    let (mut bytes, mut rest) = (Vec::new(), text.bytes());
    while let Some(b) = rest.next() {
        match (b, b == b'\\') {
            (_, true) => match rest.next() {
                Some(b'r') => bytes.push(b'\r'),
                Some(b'x') => {
                    let digits = [rest.next().unwrap(), rest.next().unwrap()];
                    bytes.push(u8::from_str_radix(std::str::from_utf8(&digits).unwrap(), 16).unwrap());
                }
                Some(b'\\') => bytes.push(b'\\'),
                other => panic!("unknown escape: {other:?}"),
            },
            (b, _) => bytes.push(b),
        }
    }
    bytes
}

fn parse(text: &str) -> Sample {
    let mut sample = Sample::default();
    let mut parts = text.split("\n--- ");
    let title = parts.next().unwrap();
    sample.title = title.trim_start_matches('#').trim().to_owned();
    sample.input = title.to_owned();
    for part in parts {
        let (heading, body) = part.split_once('\n').unwrap_or((part, ""));
        let mut words = heading.split(' ');
        match words.next().unwrap() {
            "args" => arguments(body, &mut sample.request),
            "file" => {
                let name = words.next().expect("a file's name").to_owned();
                let escaped = words.next() == Some("escaped");
                let body = format!("{body}\n");
                sample.files.0.insert(name, if escaped { unescape(&body) } else { body.into_bytes() });
            }
            "list" => {
                sample.list = body.trim_end().to_owned();
                continue;
            }
            "findings" => {
                sample.findings = body.lines().filter(|l| !l.is_empty()).map(str::to_owned).collect();
                continue;
            }
            other => panic!("unknown part of a sample: {other}"),
        }
        sample.input.push_str("\n--- ");
        sample.input.push_str(part);
    }
    sample
}

fn arguments(body: &str, request: &mut ImportRequest) {
    for line in body.lines().filter(|l| !l.is_empty()) {
        let (name, value) = line.split_once(' ').unwrap();
        let value = value.to_owned();
        match name {
            "apache" => request.apache_files.push(value),
            "mod-jk" => request.worker_files.push(value),
            "map" => request.uri_map_files.push(value),
            "balancer" => request.convert_options.balancer = Some(value),
            "define" => request.apache_options.defines.push(value),
            "version" => request.apache_options.version = Some(value),
            "sections" => request.apache_options.limits.sections = value.parse().unwrap(),
            "directives" => request.apache_options.limits.directives = value.parse().unwrap(),
            "host" => {
                let (name, address) = value.split_once('=').unwrap();
                request.convert_options.hosts.insert(name.to_owned(), address.parse().unwrap());
            }
            other => panic!("unknown argument: {other}"),
        }
    }
}

/// Imports a sample and returns the node list and each finding as "code location".
fn run(sample: &Sample) -> (String, Vec<String>) {
    let (node_list, findings) = import(&sample.files, &sample.request);
    let reported = findings.all().iter().map(|f| format!("{} {}", f.code, f.location)).collect();
    (node_list.map(|c| c.to_text().trim_end().to_owned()).unwrap_or_default(), reported)
}

/// Everything that differs from the expectations, in either direction.
fn differences(sample: &Sample) -> Vec<String> {
    let (list, reported) = run(sample);
    let mut differences = Vec::new();
    if list != sample.list {
        differences.push(format!("the list is\n{list}\nbut expected\n{}", sample.list));
    }
    // A finding must occur as often as it is expected.
    let mut expected = sample.findings.clone();
    for finding in reported {
        match expected.iter().position(|w| *w == finding) {
            Some(at) => drop(expected.remove(at)),
            None => differences.push(format!("not expected: {finding}")),
        }
    }
    differences.extend(expected.into_iter().map(|f| format!("missing: {f}")));
    differences
}

fn samples() -> Vec<(PathBuf, Sample)> {
    let folder = Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/samples");
    let mut paths: Vec<PathBuf> = std::fs::read_dir(folder).unwrap().map(|e| e.unwrap().path()).collect();
    paths.sort();
    let read = |path: PathBuf| {
        let sample = parse(&std::fs::read_to_string(&path).unwrap());
        (path, sample)
    };
    paths.into_iter().map(read).collect()
}

#[test]
fn every_sample_gives_its_list_and_its_findings() {
    let samples = samples();
    assert!(samples.len() >= 40, "{}", samples.len());
    let mut wrong = String::new();
    for (path, sample) in &samples {
        assert!(!sample.title.is_empty(), "{}", path.display());
        if std::env::var_os("BLESS").is_some() {
            let (list, reported) = run(sample);
            let text = format!("{}\n--- list\n{list}\n--- findings\n{}\n", sample.input, reported.join("\n"));
            std::fs::write(path, text).unwrap();
            continue;
        }
        for difference in differences(sample) {
            let _ = writeln!(wrong, "{}: {difference}", path.file_name().unwrap().display());
        }
    }
    assert!(wrong.is_empty(), "{wrong}");
}

#[test]
fn the_check_fails_on_an_altered_sample() {
    for (path, sample) in samples() {
        let assert_fails_after = |alter: &dyn Fn(&mut Sample)| {
            let mut sample = sample.clone();
            alter(&mut sample);
            assert!(!differences(&sample).is_empty(), "{}", path.display());
        };
        assert_fails_after(&|s| s.findings.push("B003 nowhere:1".into()));
        assert_fails_after(&|s| s.list.push('x'));
        if !sample.findings.is_empty() {
            assert_fails_after(&|s| drop(s.findings.remove(0)));
        }
        if let Some(at) = sample.list.find("address: \"") {
            assert_fails_after(&|s| s.list.replace_range(at + 10..at + 11, "x"));
        }
    }
}

#[test]
fn every_list_is_one_that_the_settings_take_and_comes_out_the_same_twice() {
    let mut lists = 0;
    for (path, sample) in samples() {
        let (first, second) = (run(&sample).0, run(&sample).0);
        assert_eq!(first, second, "{}", path.display());
        if first.contains("\nnodes {") {
            let read = doorcourse_config::read_nodes("list", &first);
            assert!(read.is_ok(), "{}: {:?}", path.display(), read.err());
            lists += 1;
        }
    }
    assert!(lists >= 25, "{lists}");
}

/// Some sample must cause every code, so that no code is only documented.
#[test]
fn every_code_is_seen() {
    let seen: BTreeSet<String> =
        samples().iter().flat_map(|(_, s)| s.findings.clone()).map(|f| f[..4].to_owned()).collect();
    let missing: Vec<&str> =
        doorcourse_import::CODES.iter().map(|c| c.0).filter(|c| !seen.contains(*c)).collect();
    assert!(missing.is_empty(), "no sample causes {missing:?}");
}
