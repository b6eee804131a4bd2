//! Which node a client's session is bound to: its id says so behind the first dot ("id.route"), in a cookie or in a
//! parameter. Names and places are what servlet containers and Apache's balancers use.

/// The value of a cookie among the Cookie fields of a request (RFC 6265 section 4.2.1), quotes taken off.
#[must_use]
pub fn cookie<'a>(name: &str, fields: impl IntoIterator<Item = &'a str>) -> Option<&'a str> {
    if name.is_empty() {
        return None;
    }
    let mut pairs = fields.into_iter().flat_map(|f| f.split(';'));
    let value = pairs.find_map(|p| p.trim().split_once('=').filter(|(n, _)| n.trim_end() == name))?.1;
    let value = value.trim();
    Some(value.strip_prefix('"').and_then(|v| v.strip_suffix('"')).unwrap_or(value))
}

/// The value of a parameter among others.
#[must_use]
pub fn parameter<'a>(name: &str, pairs: &'a str, delimiter: char) -> Option<&'a str> {
    if name.is_empty() {
        return None;
    }
    pairs.split(delimiter).find_map(|p| p.split_once('=').filter(|(n, _)| *n == name)).map(|(_, v)| v)
}

/// A path, and the parameters behind its first ";".
#[must_use]
pub fn split_path(path: &str) -> (&str, &str) {
    path.split_once(';').unwrap_or((path, ""))
}

/// The route that a session's id names; empty for none.
#[must_use]
pub fn sticky_route(session: &str) -> &str {
    session.split_once('.').map_or("", |(_, route)| route)
}

#[cfg(test)]
mod tests;
