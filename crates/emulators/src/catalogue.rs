//! What the stand-in clients ask for.

/// The catalogue's schema.
pub const CATALOGUE: &str = include_str!("../../../examples/tour/catalogue.graphql");

/// One kind of operation.
#[derive(Clone, Debug)]
pub struct Operation {
    /// Its name in drills.
    pub name: &'static str,
    /// The class it belongs to in the drills' settings.
    pub class: &'static str,
    /// The document.
    pub query: String,
    /// What a node's core does for it, in ms at full speed.
    pub work_ms: f64,
}

/// The operations of the catalogue's clients.
#[must_use]
pub fn operations() -> Vec<Operation> {
    let operation =
        |name, class, query: &str, work_ms| Operation { name, class, query: query.into(), work_ms };
    vec![
        operation("preview", "preview", "{ preview(id: \"7\") { id title url } }", 12.0),
        operation("previews", "preview", "{ previews(first: 4) { id title url } }", 20.0),
        operation("search", "search", "{ search(text: \"kolo\") { hits { id title } total } }", 10.0),
        // Returns ten where it is priced as two: its true cost is five times the declared one.
        operation("similar", "search", "{ similar(id: \"7\") { id title url } }", 16.0),
        // Returns two where it is priced as ten.
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

/// Forty previews and a save's worth of fields in one query.
fn forty_previews() -> String {
    let fields: String = (0..40).map(|n| format!("p{n}: preview(id: \"{n}\") {{ id title url }} ")).collect();
    format!("{{ {fields}}}")
}
