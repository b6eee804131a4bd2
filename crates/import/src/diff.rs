//! Compares a new node list with the one in service.

use crate::convert::Node;
use std::collections::BTreeMap;

/// A difference between two node lists.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize)]
pub struct Difference {
    /// The node; empty for the routing.
    pub node: String,
    /// The field; empty for an added or removed node.
    pub field: &'static str,
    /// The old value; `None` for an added node.
    pub old: Option<String>,
    /// The new value; `None` for a removed node.
    pub new: Option<String>,
}

impl std::fmt::Display for Difference {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match (&self.old, &self.new) {
            (None, Some(new)) => write!(f, "+ node {} at {new}", self.node),
            (Some(old), None) => write!(f, "- node {} at {old}", self.node),
            (old, new) => {
                let (old, new) = (old.as_deref().unwrap_or(""), new.as_deref().unwrap_or(""));
                let of = if self.node.is_empty() { "routing".into() } else { format!("node {}", self.node) };
                let shown = |text: &str| if text.is_empty() { "none".to_owned() } else { text.to_owned() };
                write!(f, "~ {of}: {} {} -> {}", self.field, shown(old), shown(new))
            }
        }
    }
}

/// Compares two lists by node name. A renamed node counts as removed and added: its sessions and what the
/// gateway has learnt about it are tied to the name.
#[must_use]
pub fn diff(old: &[Node], new: &[Node]) -> Vec<Difference> {
    let by_name = |nodes: &'_ [Node]| -> BTreeMap<String, Node> {
        nodes.iter().map(|n| (n.name.clone(), n.clone())).collect()
    };
    let (old, new) = (by_name(old), by_name(new));
    let mut differences = Vec::new();
    for (name, old_node) in &old {
        let Some(new_node) = new.get(name) else {
            let (node, old) = (name.clone(), Some(old_node.address.clone()));
            differences.push(Difference { node, field: "", old, new: None });
            continue;
        };
        for ((field, old_value), (_, new_value)) in fields(old_node).into_iter().zip(fields(new_node)) {
            if old_value != new_value {
                differences.push(Difference {
                    node: name.clone(),
                    field,
                    old: Some(old_value),
                    new: Some(new_value),
                });
            }
        }
    }
    for (name, new_node) in new.iter().filter(|(name, _)| !old.contains_key(*name)) {
        let (node, new) = (name.clone(), Some(new_node.address.clone()));
        differences.push(Difference { node, field: "", old: None, new });
    }
    differences
}

fn fields(node: &Node) -> [(&'static str, String); 8] {
    let state = if node.draining { "DRAINING" } else { "READY" };
    [
        ("address", node.address.clone()),
        ("weight", node.weight.to_string()),
        ("tier", node.priority_level.to_string()),
        ("role", node.role.name().into()),
        ("state", state.into()),
        ("route", node.route.clone()),
        ("redirect", node.redirect.clone()),
        ("group", node.group.clone()),
    ]
}
