//! Validation, price, and cost of the response.

use doorcourse_graphql::{Error, Limits, OperationKind, PreparedOperation, ResponseCost, Schema};
use proptest::prelude::*;
use serde_json::{Map, Value, json};
use std::sync::Arc;

const SDL: &str = r#"
"An archive." type Query {
  preview(id: ID!): Preview @cost(weight: "0")
  previews(first: Int, last: Int = 3, filter: Filter): [Preview!]! @cost(weight: "0")
    @listSize(slicingArguments: ["first", "last"])
  page(first: Int!): Page @cost(weight: "1") @listSize(slicingArguments: ["first"], sizedFields: ["edges"])
  any: [Thing] @listSize(assumedSize: 4)
  one: Thing @cost(weight: "0")
}
type Page @cost(weight: "0") { edges: [Preview!] total: Int }
input Filter { genre: Genre = FOLK, words: [String!], not: Filter }
enum Genre { FOLK JAZZ }
interface Named { title: String! }
type Preview implements Named { title: String! url(size: Int): String waveform: String @cost(weight: "0.5") like: [Preview] }
type Album implements Named @cost(weight: "5") { title: String! tracks(first: Int!): [Preview!] @cost(weight: "0") @listSize(slicingArguments: ["first"]) }
union Thing = Preview | Album
type Mutation { save(tracks: [TrackInput!]! @cost(weight: "0.25")): Album }
input TrackInput { id: ID! note: String @cost(weight: "2") }
"#;

fn schema() -> Arc<Schema> {
    Schema::parse(SDL).unwrap().into()
}

fn prepare(source: &str, variables: Value) -> Result<PreparedOperation, Vec<Error>> {
    let variables: Map<String, Value> = serde_json::from_value(variables).unwrap();
    PreparedOperation::new(schema(), source, None, Some(&variables), Limits::default())
}

fn units(source: &str, variables: Value) -> f64 {
    prepare(source, variables).unwrap_or_else(|e| panic!("{source}: {e:?}")).cost().units
}

fn assert_rejected(source: &str, variables: Value, expected: &str) {
    let Err(errors) = prepare(source, variables) else { panic!("{source} passed") };
    assert!(
        errors.iter().any(|e| e.to_string().contains(expected)),
        "{source}: {errors:?} lacks {expected:?}"
    );
}

fn response_cost(source: &str, response: &str) -> ResponseCost {
    let mut scanner = prepare(source, json!({})).unwrap().into_response_scanner(20);
    scanner.feed(response.as_bytes());
    scanner.cost()
}

#[test]
fn prices() {
    assert_eq!(units("{ preview(id: 1) { url title } }", json!({})), 1.0);
    assert_eq!(units("{ previews(first: 40) { waveform } }", json!({})), 40.0 * 1.5);
    assert_eq!(units("query($n: Int = 7) { previews(first: $n) { url } }", json!({})), 7.0);
    assert_eq!(units("query($n: Int = 7) { previews(first: $n) { url } }", json!({"n": 9})), 9.0);
    // Without a slicing argument, its default in the schema applies.
    assert_eq!(units("{ previews { url } }", json!({})), 3.0);
    assert_eq!(units("{ previews(first: 0) { url } }", json!({})), 0.0);
    assert_rejected("{ previews(first: -5) { url } }", json!({}), "a list of -5: allowed is 0 to 1000000");
    assert_rejected("{ previews(first: 2000000000) { url } }", json!({}), "a list of 2000000000: allowed");
    assert_rejected("query($n: Int) { previews(first: $n) { url } }", json!({"n": -1}), "a list of -1");
    // sizedFields applies the size to `edges`.
    assert_eq!(units("{ page(first: 6) { edges { waveform } total } }", json!({})), 1.0 + 1.0 + 6.0 * 1.5);
    // A list without a size has the default size; one with an assumed size is priced by the most expensive type.
    assert_eq!(units("{ preview(id: 1) { like { url } } }", json!({})), 1.0 + 1.0 + 10.0);
    assert_eq!(
        units("{ any { ... on Preview { waveform } ... on Album { title } } }", json!({})),
        1.0 + 4.0 * 5.0
    );
    let save = "mutation($t: [TrackInput!]!) { save(tracks: $t) { title } }";
    assert_eq!(units(save, json!({"t": [{"id": 1}, {"id": 2, "note": "x"}]})), 1.0 + 5.0 + 2.0 * 0.25 + 2.0);
}

#[test]
fn what_is_skipped_or_asked_twice_is_not_charged_again() {
    let source =
        "query($no: Boolean!) { a: preview(id: 1) { url } b: preview(id: 2) @include(if: $no) { url } }";
    assert_eq!(units(source, json!({"no": false})), 1.0);
    assert_eq!(units(source, json!({"no": true})), 2.0);
    assert_eq!(
        units(
            "{ preview(id: 1) { waveform } ...F ...F preview(id: 1) { url } }
        fragment F on Query { preview(id: 1) { waveform } }",
            json!({})
        ),
        1.5
    );
    assert_eq!(prepare(source, json!({"no": false})).unwrap().root_fields(), ["preview"]);
}

#[test]
fn fragments_are_never_spread_out_exponentially() {
    let mut source = String::from("{ preview(id: 1) { ...F0 } } ");
    for n in 0..25 {
        source +=
            &format!("fragment F{n} on Preview {{ a: like {{ ...F{0} }} b: like {{ ...F{0} }} }} ", n + 1);
    }
    source += "fragment F25 on Preview { url }";
    assert_rejected(&source, json!({}), "fields with all fragments spread, at most 10000");
    let limits = Limits { expansion: u64::MAX, ..Limits::default() };
    assert_depth_rejected(&source.replace("F25 on Preview { url }", "F25 on Preview { url } "), limits);
    let deep = Limits { depth: 60, ..limits };
    let prepared = PreparedOperation::new(schema(), &source, None, None, deep).unwrap();
    assert!(prepared.cost().units > 1e14);
}

fn assert_depth_rejected(source: &str, limits: Limits) {
    let errors = PreparedOperation::new(schema(), source, None, None, limits).unwrap_err();
    assert!(errors[0].to_string().contains("deep with all fragments spread, at most 30"), "{errors:?}");
}

#[test]
fn long_chains_and_deep_nests_do_not_overflow() {
    let limits = Limits { tokens: 1 << 22, bytes: 1 << 24, ..Limits::default() };
    let mut chain = String::from("{ preview(id: 1) { ...F0 } } ");
    for n in 0..20_000 {
        chain += &format!("fragment F{n} on Preview {{ ...F{} }} ", n + 1);
    }
    chain += "fragment F20000 on Preview { url }";
    let errors = PreparedOperation::new(schema(), &chain, None, None, limits).unwrap_err();
    assert!(errors[0].message.contains("deep"), "{errors:?}");
    for (open, inner, close) in [("{ a ", "", "}"), ("{ a(b: [", "", "]) }"), ("{ a(b: {c: ", "1", "}) }")] {
        let source = open.repeat(100_000) + inner + &close.repeat(100_000);
        assert!(PreparedOperation::new(schema(), &source, None, None, limits).is_err());
    }
    let source = format!("{{ a(b: {}1{}) }}", "[".repeat(100_000), "]".repeat(100_000));
    let errors = PreparedOperation::new(schema(), &source, None, None, limits).unwrap_err();
    assert!(errors[0].message.contains("nested deeper than 30"), "{errors:?}");
}

#[test]
fn faults_have_places() {
    for (source, expected) in [
        ("{ preview(id: 1) { nope } }", "1:20: type `Preview` has no field `nope`"),
        ("{ preview { url } }", "1:3: field `Query.preview` needs argument `id`"),
        ("{ preview(id: 1.5) { url } }", "1:15: expected a value of type `ID`, found a float"),
        ("{ preview(id: 1, x: 2) { url } }", "has no argument `x`"),
        ("{ preview(id: 1) }", "needs a selection"),
        ("{ preview(id: 1) { url { x } } }", "has no fields of its own"),
        ("{ previews(first: 1, filter: {genre: ROCK}) { url } }", "an enum value that it does not have"),
        ("{ previews(first: 1, filter: {what: 1}) { url } }", "`Filter` has no input field `what`"),
        (
            "query($a: String) { preview(id: $a) { url } }",
            "variable `$a` of type `String` does not fit `ID!`",
        ),
        ("{ preview(id: $a) { url } }", "variable `$a` is not defined"),
        ("{ ...F } fragment F on Query { preview(id: $a) { url } }", "variable `$a` is not defined"),
        ("{ ...F }", "fragment `F` is not defined"),
        ("{ ...F } fragment F on Query { ...G } fragment G on Query { ...F }", "spreads itself"),
        ("{ ...F } fragment F on Preview { url }", "a value of `Query` can never be a `Preview`"),
        ("{ ... on Genre { x } }", "`Genre` is no composite type"),
        ("{ preview(id: 1) @nope { url } }", "directive `@nope` is unknown"),
        ("{ preview(id: 1) @skip { url } }", "needs argument `if`"),
        ("query A { one { __typename } } query A { one { __typename } }", "operation `A` is defined twice"),
        ("{ previews(first: 1, last: 2) { url } }", "needs exactly one of the arguments"),
        ("type X { a: Int } { one { __typename } }", "a type system has no place"),
        ("subscription { x }", "no subscription root"),
        ("{ preview(id: 1) { url }", "expected a name, found the end"),
    ] {
        assert_rejected(source, json!({}), expected);
    }
    let source = "query($f: Filter!) { previews(first: 1, filter: $f) { url } }";
    assert_rejected(source, json!({}), "`$f` of type `Filter!` is required");
    assert_rejected(source, json!({"f": {"words": ["a", 1]}}), "`$f.words[1]`");
    assert_rejected(source, json!({"f": {"not": {"x": 1}}}), "has no input field `x`");
}

#[test]
fn schemas_are_checked() {
    for (sdl, expected) in [
        ("type A { a: Int }", "needs a query root"),
        ("type Query { a: B }", "`B` is no output type"),
        ("type Query { a: Int @cost(weight: 1) }", "@cost needs weight: a string"),
        (
            "type Query { a: [Int] @listSize(slicingArguments: [\"n\"]) }",
            "slicing argument `n` is no Int argument",
        ),
        ("type Query { a: Int @listSize(assumedSize: 3) }", "is no list and names no sizedFields"),
        ("type Query implements I { a: Int } interface I { b: Int }", "lacks field `b`"),
        ("type Query { a(b: Int = \"x\"): Int }", "expected a value of type `Int`"),
        ("type Query { a: Int a: Int }", "defined twice"),
        ("extend type Query { a: Int }", "is extended and not defined"),
        ("schema { query: Q }", "root type `Q` is no object type"),
    ] {
        let errors = Schema::parse(sdl).unwrap_err();
        assert!(errors.iter().any(|e| e.to_string().contains(expected)), "{sdl}: {errors:?}");
    }
    let schema = Schema::parse("schema { query: Q } type Q { a: Int } extend type Q { b: Int }").unwrap();
    assert_eq!(schema.root_fields(OperationKind::Query).collect::<Vec<_>>(), ["a", "b"]);
}

#[test]
fn answers_are_counted_by_what_came_back() {
    let query = "{ previews(first: 40) { waveform like { url } } }";
    let response = r#"{"data":{"previews":[{"waveform":"a]}\"","like":[{"url":"x"},null]},{"waveform":null,"like":null}]}}"#;
    // Two previews, and one under `like`. The fields `like` (1) and `waveform` (0.5) count for each of the two.
    let cost = response_cost(query, response);
    assert_eq!((cost.units, cost.complete, cost.has_data), (2.0 + 1.0 + 2.0 * 1.0 + 2.0 * 0.5, true, true));
    let reported =
        response_cost(query, r#"{"data":{"previews":[]},"extensions":{"cost":{"actualCost":7.5,"x":1}}}"#);
    assert_eq!((reported.units, reported.reported_cost), (0.0, Some(7.5)));
    let failed = response_cost(query, r#"{"errors":[{"message":"no"}],"data":null}"#);
    assert_eq!((failed.complete, failed.has_data, failed.has_errors, failed.units), (true, false, true, 0.0));
    // Fields that were not requested have no weight at any level, even below an escaped key.
    let unrequested = response_cost(
        query,
        r#"{"data":{"preview\u0073":[{"junk":[{"waveform":"x"}]}],"data":{"previews":[{}]}}}"#,
    );
    assert_eq!((unrequested.units, unrequested.complete), (1.0, true));
}

#[test]
fn cut_and_malformed_answers_are_not_whole() {
    let query = "{ previews(first: 40) { waveform } }";
    for bad in [
        "",
        "[]",
        "{",
        r#"{"data":{}"#,
        r#"{"data":{}}x"#,
        r#"{"data":{"a":01}}"#,
        r#"{"data":{"a":tru}}"#,
        r#"{"data":{"a" 1}}"#,
        r#"{"data":{"a":1,}}"#,
        r#"{"data":[}}"#,
        "null",
        "\"data\"",
        "{}",
        r#"{"other":1}"#,
    ] {
        assert!(!response_cost(query, bad).complete, "{bad}");
    }
    let deep = format!(r#"{{"data":{}"#, "[".repeat(100));
    assert!(!response_cost(query, &deep).complete);
}

proptest! {
    #[test]
    fn a_count_does_not_depend_on_how_bytes_come(split in 0usize..90, like_counts in prop::collection::vec(0u8..4, 0..6)) {
        let previews: Vec<Value> = like_counts.iter().map(|n| json!({"waveform": "w", "like": vec![json!({"url": "é"}); usize::from(*n)]})).collect();
        let response = json!({"data": {"previews": previews}}).to_string();
        let query = "{ previews(first: 40) { waveform like { url } } }";
        let split = split.min(response.len());
        let mut scanner = prepare(query, json!({})).unwrap().into_response_scanner(20);
        scanner.feed(&response.as_bytes()[..split]);
        scanner.feed(&response.as_bytes()[split..]);
        let likes: f64 = like_counts.iter().map(|n| f64::from(*n)).sum();
        let expected_units = like_counts.len() as f64 * 2.5 + likes;
        prop_assert_eq!(scanner.cost().units, expected_units);
        prop_assert!(scanner.cost().complete);
    }

    #[test]
    fn noise_never_panics(input in "[{}()\\[\\]:!$@\"\\\\a-z0-9. \n#|&=\u{e9}-]{0,80}") {
        let _ = PreparedOperation::new(schema(), &input, None, None, Limits::default());
        let _ = Schema::parse(&input);
        let mut scanner = prepare("{ one { __typename } }", json!({})).unwrap().into_response_scanner(20);
        scanner.feed(input.as_bytes());
    }
}

#[test]
fn fields_that_cannot_be_merged_are_refused() {
    for (source, expected) in [
        (
            "{ previews(first: 1) { url } previews(first: 40) { url } }",
            "1:30: the fields `previews` here and at 1:3 have other",
        ),
        ("{ previews(first: 1) { url } previews { url } }", "have other arguments"),
        (
            "query($a: Int, $b: Int) { previews(first: $a) { url } previews(first: $b) { url } }",
            "have other arguments",
        ),
        ("{ x: preview(id: 1) { url } x: one { __typename } }", "are `preview` and `one`"),
        (
            "{ preview(id: 1) { url } ...F } fragment F on Query { preview(id: 2) { title } }",
            "have other arguments",
        ),
        ("{ preview(id: 1) { a: url } preview(id: 1) { a: waveform } }", "are `url` and `waveform`"),
        (
            "{ preview(id: 1) { like { a: url } } ... { preview(id: 1) { like { a: waveform } } } }",
            "are `url` and",
        ),
        (
            "{ one { ... on Preview { a: url } ... on Album { a: tracks(first: 1) { url } } } }",
            "another shape",
        ),
        (
            "{ one { ... on Preview { a: title } ... on Album { a: title } ... on Preview { a: url } } }",
            "another shape",
        ),
        ("{ one { ... on Named { a: title } ... on Preview { a: waveform } } }", "another shape"),
        ("{ preview(id: 1) { a: __typename a: title } }", "are `__typename` and `title`"),
    ] {
        assert_rejected(source, json!({}), expected);
    }
    for source in [
        "{ previews(first: 2) { url } previews(first: 2) { title } }",
        "{ previews(first: 2, filter: {genre: JAZZ, words: [\"a\"]}) { url } previews(filter: {words: [\"a\"], genre: JAZZ}, first: 2) { url } }",
        "{ one { ... on Preview { a: url(size: 1) } ... on Preview { a: url(size: 1) } } }",
        "{ one { ... on Preview { n: like { url } } ... on Album { m: tracks(first: 1) { url } } } }",
        "{ one { ... on Preview { x: title } ... on Album { x: title } } }",
        "{ ...F ...F } fragment F on Query { preview(id: 1) { url like { url } } }",
    ] {
        units(source, json!({}));
    }
    // Fields on different object types never apply together, so they need not be the same field.
    units("{ any { ... on Preview { p: like { t: title } } ... on Album { t: title } } }", json!({}));
}

/// Comparing all pairs would take millions of comparisons at each level, and this test several minutes.
#[test]
fn thousands_of_equal_fields_are_merged_in_near_linear_time() {
    let limits = Limits { bytes: 1 << 20, tokens: 100_000, expansion: 20_000, ..Limits::default() };
    let equal = format!("{{ {} }}", "preview(id: 1) { url like { title } } ".repeat(3000));
    let prepared = PreparedOperation::new(schema(), &equal, None, None, limits);
    assert!(prepared.is_ok());
    let conflicting = equal.replacen("like { title }", "like { title: url }", 1);
    assert!(PreparedOperation::new(schema(), &conflicting, None, None, limits).is_err());
}

#[test]
fn extensions_that_add_nothing_are_refused() {
    for bare in [
        "extend type A",
        "extend interface A",
        "extend union A",
        "extend enum A",
        "extend input A",
        "extend scalar A",
        "extend schema",
    ] {
        let error = doorcourse_graphql::parse(bare, &Limits::default()).unwrap_err();
        assert!(error.to_string().contains("what the extension adds"), "{bare}: {error}");
        let error = doorcourse_graphql::parse(&format!("{bare} type B {{ a: Int }}"), &Limits::default())
            .unwrap_err();
        assert!(error.to_string().contains("what the extension adds"), "{bare}: {error}");
    }
    for good in [
        "extend type A @d",
        "extend type A implements B",
        "extend type A { a: Int }",
        "extend union A = B",
        "extend enum A { B }",
        "extend schema @d",
        "extend schema { query: Q }",
    ] {
        assert!(doorcourse_graphql::parse(good, &Limits::default()).is_ok(), "{good}");
    }
}
