//! Measures imports of 5,000 and 50,000 lines of both kinds: the time must grow linearly with the number of
//! lines.

use criterion::{Criterion, criterion_group, criterion_main};
use doorcourse_import::{ImportRequest, InMemory, import};
use std::fmt::Write;
use std::hint::black_box;

fn httpd(lines: usize) -> String {
    let mut text = String::from("<Proxy balancer://app>\n");
    for n in 0..lines {
        let (a, b) = (n / 250, n % 250 + 1);
        let _ = writeln!(
            text,
            "  BalancerMember \"http://10.0.{a}.{b}:8080\" route=r{n} loadfactor={}",
            n % 9 + 1
        );
    }
    text + "ProxySet stickysession=SID\n</Proxy>\n"
}

fn workers(lines: usize) -> String {
    let mut text = String::from("worker.list=lb\nworker.lb.type=lb\n");
    for n in 0..lines / 2 {
        let (a, b) = (n / 250, n % 250 + 1);
        let _ = writeln!(text, "worker.lb.balance_workers=w{n}\nworker.w{n}.host=10.1.{a}.{b}");
    }
    text
}

fn measure(c: &mut Criterion) {
    let mut group = c.benchmark_group("import");
    group.sample_size(10);
    for lines in [5_000, 50_000] {
        let files = InMemory([("f".to_owned(), httpd(lines).into_bytes())].into());
        let request = ImportRequest { apache_files: vec!["f".into()], ..ImportRequest::default() };
        group.bench_function(format!("httpd, {lines} lines"), |b| {
            b.iter(|| black_box(import(&files, &request)));
        });
        let files = InMemory([("f".to_owned(), workers(lines).into_bytes())].into());
        let request = ImportRequest { worker_files: vec!["f".into()], ..ImportRequest::default() };
        group.bench_function(format!("mod_jk, {lines} lines"), |b| {
            b.iter(|| black_box(import(&files, &request)));
        });
    }
    group.finish();
}

criterion_group!(benches, measure);
criterion_main!(benches);
