//! Time to parse a query, to price it and to compute the cost of a response, for a small query and one of 40 fields.

use criterion::{Criterion, Throughput, criterion_group, criterion_main};
use doorcourse_graphql::{Limits, PreparedOperation, Schema, parse};
use std::hint::black_box;
use std::sync::Arc;

const SDL: &str = "type Query { preview(id: ID!): Preview @cost(weight: \"0\") }
    type Preview { id: ID! title: String url: String waveform: String }";

fn queries() -> [(&'static str, String); 2] {
    let forty_fields: String =
        (0..40).map(|n| format!("p{n}: preview(id: \"{n}\") {{ id title url }} ")).collect();
    [("small", "{ preview(id: 7) { id title url } }".into()), ("forty", format!("{{ {forty_fields} }}"))]
}

fn bench(c: &mut Criterion) {
    let schema: Arc<Schema> = Schema::parse(SDL).unwrap().into();
    for (name, source) in queries() {
        let mut group = c.benchmark_group(name);
        group.throughput(Throughput::Bytes(source.len() as u64));
        group.bench_function("parse", |b| b.iter(|| parse(black_box(&source), &Limits::default()).unwrap()));
        let prepare =
            || PreparedOperation::new(schema.clone(), &source, None, None, Limits::default()).unwrap();
        group.bench_function("parse, validate and price", |b| b.iter(|| prepare().cost()));
        let fields: String =
            (0..40).map(|n| format!("\"p{n}\":{{\"id\":\"{n}\",\"title\":\"t\",\"url\":\"u\"}},")).collect();
        let response = format!("{{\"data\":{{{}}}}}", fields.trim_end_matches(','));
        group.throughput(Throughput::Bytes(response.len() as u64));
        group.bench_function("count an answer", |b| {
            b.iter_batched(
                || prepare().into_response_scanner(50),
                |mut scanner| {
                    scanner.feed(response.as_bytes());
                    scanner.cost()
                },
                criterion::BatchSize::SmallInput,
            );
        });
        group.finish();
    }
}

criterion_group!(benches, bench);
criterion_main!(benches);
