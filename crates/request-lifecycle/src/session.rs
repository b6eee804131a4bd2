//! The sticky session route that a request names: the part of its session id after the first dot (`id.route`). The
//! session id is in a cookie or in a parameter of the path or the query, as servlet containers and Apache's load
//! balancers send it.

/// The value of a cookie in the `Cookie` header fields of a request (RFC 6265, section 4.2.1), without its quotes. If
/// several cookies have the name, the first one counts. `None` where no cookie has the name, or the name is empty.
#[must_use]
pub fn cookie<'a>(name: &str, header_fields: impl IntoIterator<Item = &'a str>) -> Option<&'a str> {
    if name.is_empty() {
        return None;
    }
    let mut cookies = header_fields.into_iter().flat_map(|field| field.split(';'));
    let value = cookies.find_map(|cookie| cookie_value(name, cookie))?;
    Some(unquoted(value.trim()))
}

fn cookie_value<'a>(name: &str, cookie: &'a str) -> Option<&'a str> {
    let (cookie_name, value) = cookie.trim().split_once('=')?;
    (cookie_name.trim_end() == name).then_some(value)
}

fn unquoted(value: &str) -> &str {
    value.strip_prefix('"').and_then(|rest| rest.strip_suffix('"')).unwrap_or(value)
}

/// The value of a parameter among `name=value` pairs separated by `delimiter`. If several pairs have the
/// name, the first one counts. `None` where no pair has the name, or the name is empty.
#[must_use]
pub fn parameter<'a>(name: &str, pairs: &'a str, delimiter: char) -> Option<&'a str> {
    if name.is_empty() {
        return None;
    }
    pairs.split(delimiter).find_map(|pair| parameter_value(name, pair))
}

fn parameter_value<'a>(name: &str, pair: &'a str) -> Option<&'a str> {
    let (pair_name, value) = pair.split_once('=')?;
    (pair_name == name).then_some(value)
}

/// Splits a path from the parameters after its first semicolon; the parameters are empty where the path has none.
#[must_use]
pub fn split_path(path: &str) -> (&str, &str) {
    path.split_once(';').unwrap_or((path, ""))
}

/// The route that a session id names; empty where it names none.
#[must_use]
pub fn sticky_route(session_id: &str) -> &str {
    session_id.split_once('.').map_or("", |(_, route)| route)
}

#[cfg(test)]
mod tests;
