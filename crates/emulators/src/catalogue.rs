//! The GraphQL catalogue and the operations that emulated clients send.

/// The schema of the catalogue.
pub const CATALOGUE: &str = include_str!("../../../examples/tour/catalogue.graphql");

/// A GraphQL operation with its class and cost.
#[derive(Clone, Debug)]
pub struct Operation {
    /// Name of the operation in drills.
    pub name: &'static str,
    /// Class of the operation in the drills' settings.
    pub class: &'static str,
    /// The GraphQL document.
    pub query: String,
    /// Time that one core of a warm node takes at normal speed, in ms.
    pub work_ms: f64,
}

/// Returns the operations that clients of the catalogue send.
#[must_use]
pub fn operations() -> Vec<Operation> {
    let operation =
        |name, class, query: &str, work_ms| Operation { name, class, query: query.into(), work_ms };
    vec![
        operation("preview", "preview", "{ preview(id: \"7\") { id title url } }", 12.0),
        operation("previews", "preview", "{ previews(first: 4) { id title url } }", 20.0),
        operation("search", "search", "{ search(text: \"kolo\") { hits { id title } total } }", 10.0),
        // Returns ten items but is priced as two: the actual cost is five times the declared one.
        operation("similar", "search", "{ similar(id: \"7\") { id title url } }", 16.0),
        // Returns two items but is priced as ten.
        operation("shelf", "search", "{ shelf(id: \"7\") { id title } }", 10.0),
        operation(
            "playlist",
            "playlist",
            "mutation { savePlaylist(name: \"set\", tracks: [\"1\", \"2\"]) { id name } }",
            14.0,
        ),
        operation("licence", "licence", "mutation { orderLicence(track: \"7\") { id number } }", 10.0),
        operation("forty", "preview", &forty_previews(), 160.0),
    ]
}

/// Builds one query with forty aliased previews.
fn forty_previews() -> String {
    let fields: String = (0..40).map(|n| format!("p{n}: preview(id: \"{n}\") {{ id title url }} ")).collect();
    format!("{{ {fields}}}")
}
