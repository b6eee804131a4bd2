//! Parses the list of `name=value` fields of a request.

use super::RequestError;

/// The fields of a request. Each occurs at most once, so that the cost of a list of very many fields ends with the first
/// one that is repeated.
///
/// Their names in the protocol are `c` (class), `t` (plan), `d` (deadline: how long the client waits, in ms), `k`
/// (idempotency key), `units`, `spread` (number of gateways that serve the customer), `first` (index of the first of
/// them) and `r` (1 for a retry by the client).
#[derive(Default)]
pub(super) struct RequestFields<'a> {
    pub class: Option<&'a str>,
    pub plan: Option<&'a str>,
    pub deadline: Option<&'a str>,
    pub key: Option<&'a str>,
    pub units: Option<&'a str>,
    pub gateway_count: Option<&'a str>,
    pub first_gateway: Option<&'a str>,
    pub client_retry: bool,
    /// Whether `r` has occurred.
    has_client_retry: bool,
    /// The list up to the value of the deadline.
    pub before_deadline: &'a str,
    /// The list after the value of the deadline.
    pub after_deadline: &'a str,
}

impl<'a> RequestFields<'a> {
    pub(super) fn parse(list: &'a str) -> Result<Self, RequestError> {
        let mut fields = Self::default();
        let mut start = 0;
        for pair in list.split(',') {
            let (name, value) = pair.split_once('=').ok_or(RequestError::Fields)?;
            let end = start + pair.len();
            let field = match name {
                "c" => &mut fields.class,
                "t" => &mut fields.plan,
                "d" => {
                    fields.before_deadline = &list[..start + "d=".len()];
                    fields.after_deadline = &list[end..];
                    &mut fields.deadline
                }
                "k" => &mut fields.key,
                "units" => &mut fields.units,
                "spread" => &mut fields.gateway_count,
                "first" => &mut fields.first_gateway,
                "r" if !fields.has_client_retry && matches!(value, "0" | "1") => {
                    fields.has_client_retry = true;
                    fields.client_retry = value == "1";
                    start = end + 1;
                    continue;
                }
                _ => return Err(RequestError::Fields),
            };
            if field.replace(value).is_some() {
                return Err(RequestError::Fields);
            }
            start = end + 1;
        }
        Ok(fields)
    }
}
