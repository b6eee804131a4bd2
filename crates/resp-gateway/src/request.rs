//! Parses a client's command and checks it against the protocol and the settings, without I/O.

mod fields;
mod forwarded;

pub use forwarded::ForwardedCommand;

use doorcourse::{Idempotency, Millis, Name, Settings};
use doorcourse_deployment::Deployment;
use fields::RequestFields;
use std::ops::Range;

/// Customer ids are below this.
const CUSTOMER_LIMIT: u64 = 1 << 33;
/// The longest idempotency key in bytes.
const MAX_KEY_BYTES: usize = 64;

/// Why a command with valid framing is invalid. The response is an error, and the connection stays open.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum RequestError {
    /// No such command.
    #[error("unknown command")]
    UnknownCommand,
    /// Too few or too many arguments.
    #[error("wrong number of arguments")]
    ArgumentCount,
    /// The customer is not 16 hex digits of a number below 2^33.
    #[error("invalid customer")]
    Customer,
    /// The request id is not 16 hex digits.
    #[error("invalid request id")]
    RequestId,
    /// The list of fields cannot be parsed.
    #[error("invalid list of fields")]
    Fields,
    /// No such class, or the class belongs to the other command.
    #[error("unknown class for this command")]
    Class,
    /// No such plan.
    #[error("unknown plan")]
    Plan,
    /// The units are missing or out of range.
    #[error("invalid units")]
    Units,
    /// The customer's set of gateways is missing or out of range.
    #[error("invalid set of gateways")]
    GatewaySet,
    /// The deadline is missing or not a positive number of ms.
    #[error("invalid deadline")]
    Deadline,
    /// The class needs an idempotency key and has none, or the reverse.
    #[error("invalid key")]
    IdempotencyKey,
    /// A request with this id is open.
    #[error("a request with this id is open")]
    DuplicateId,
    /// A request with this id that must not run twice may have been executed.
    #[error("a request with this id may have been executed")]
    ExecutedId,
}

/// A parsed request.
#[derive(Clone, Debug, PartialEq)]
pub struct Request {
    /// The id that the client gave it.
    pub id: u64,
    /// The customer.
    pub customer: Name,
    /// Index of the class in the settings.
    pub class: usize,
    /// Index of the plan in the settings.
    pub plan: usize,
    /// The units that the request uses.
    pub units: f64,
    /// How many gateways serve the customer.
    pub gateway_count: u32,
    /// Index of the first of them.
    pub first_gateway: u32,
    /// How long the client waits, in ms.
    pub timeout: Millis,
    /// Whether the client marks the request as a retry.
    pub client_retry: bool,
    /// The command to send to backends.
    pub forwarded: ForwardedCommand,
}

/// A parsed command.
#[derive(Clone, Debug, PartialEq)]
pub enum ClientCommand {
    /// `PING`
    Ping,
    /// `Q.ASK` or `Q.DO`
    Request(Box<Request>),
}

/// Parses a command whose arguments are at these ranges of `input`; the first argument is the command's name.
///
/// # Errors
/// When the command cannot be accepted.
pub fn parse(
    deployment: &Deployment, input: &[u8], arguments: &[Range<usize>],
) -> Result<ClientCommand, RequestError> {
    let argument = |index: usize| &input[arguments[index].clone()];
    let command = argument(0);
    if command.eq_ignore_ascii_case(b"PING") {
        return if arguments.len() == 1 { Ok(ClientCommand::Ping) } else { Err(RequestError::ArgumentCount) };
    }
    let is_idempotent_command = match command {
        b"Q.ASK" => true,
        b"Q.DO" => false,
        _ => return Err(RequestError::UnknownCommand),
    };
    if !(4..=5).contains(&arguments.len()) {
        return Err(RequestError::ArgumentCount);
    }
    parse_hex(argument(1)).filter(|number| *number < CUSTOMER_LIMIT).ok_or(RequestError::Customer)?;
    let id = parse_hex(argument(2)).ok_or(RequestError::RequestId)?;
    let list = std::str::from_utf8(argument(3)).map_err(|_| RequestError::Fields)?;
    let fields = RequestFields::parse(list)?;
    let settings = &deployment.settings;
    let class = parse_class(settings, &fields, is_idempotent_command)?;
    let plan = settings.plans.iter().position(|plan| Some(&*plan.name) == fields.plan);
    let plan = plan.ok_or(RequestError::Plan)?;
    let units = parse_units(settings, &fields)?;
    let (gateway_count, first_gateway) = parse_gateway_set(settings, &fields)?;
    let timeout = fields.deadline.and_then(parse_decimal).filter(|timeout| *timeout > 0.0);
    let timeout = timeout.ok_or(RequestError::Deadline)?;
    check_key(settings.classes[class].idempotency, fields.key)?;
    let forwarded = ForwardedCommand::new(input, arguments, &fields);
    let customer = Name::from(std::str::from_utf8(argument(1)).map_err(|_| RequestError::Customer)?);
    Ok(ClientCommand::Request(Box::new(Request {
        id,
        customer,
        class,
        plan,
        units,
        gateway_count,
        first_gateway,
        timeout,
        client_retry: fields.client_retry,
        forwarded,
    })))
}

/// Returns the index of the class, which must belong to the command: `Q.ASK` for idempotent classes, `Q.DO` for the
/// others.
fn parse_class(
    settings: &Settings, fields: &RequestFields<'_>, is_idempotent_command: bool,
) -> Result<usize, RequestError> {
    let class = settings.classes.iter().position(|class| Some(&*class.name) == fields.class);
    let class = class.ok_or(RequestError::Class)?;
    let is_idempotent_class = settings.classes[class].idempotency == Idempotency::Idempotent;
    if is_idempotent_class == is_idempotent_command { Ok(class) } else { Err(RequestError::Class) }
}

fn parse_units(settings: &Settings, fields: &RequestFields<'_>) -> Result<f64, RequestError> {
    let max = if settings.max_request_units > 0.0 { settings.max_request_units } else { f64::MAX };
    let units = fields.units.and_then(parse_decimal).filter(|units| *units > 0.0 && *units <= max);
    units.ok_or(RequestError::Units)
}

/// Returns how many gateways serve the customer, and the index of the first of them.
fn parse_gateway_set(settings: &Settings, fields: &RequestFields<'_>) -> Result<(u32, u32), RequestError> {
    let count = parse_integer(fields.gateway_count)
        .filter(|count| (1..=settings.gateway_count).contains(count))
        .ok_or(RequestError::GatewaySet)?;
    let first = parse_integer(fields.first_gateway)
        .filter(|first| *first < settings.gateway_count)
        .ok_or(RequestError::GatewaySet)?;
    Ok((count, first))
}

/// Checks the idempotency key: classes that are idempotent by key require one, others must not have one.
fn check_key(idempotency: Idempotency, key: Option<&str>) -> Result<(), RequestError> {
    let needs_key = idempotency == Idempotency::WithKey;
    let is_allowed = |byte: u8| byte.is_ascii_alphanumeric() || byte == b'-' || byte == b'_';
    let is_valid = match key {
        None => !needs_key,
        Some(key) => {
            needs_key && !key.is_empty() && key.len() <= MAX_KEY_BYTES && key.bytes().all(is_allowed)
        }
    };
    if is_valid { Ok(()) } else { Err(RequestError::IdempotencyKey) }
}

/// Parses exactly 16 hex digits in lower case.
fn parse_hex(argument: &[u8]) -> Option<u64> {
    let is_digit = |byte: &u8| byte.is_ascii_digit() || (b'a'..=b'f').contains(byte);
    if argument.len() != 16 || !argument.iter().all(is_digit) {
        return None;
    }
    u64::from_str_radix(std::str::from_utf8(argument).ok()?, 16).ok()
}

/// Parses one to nine decimal digits.
fn parse_integer(text: Option<&str>) -> Option<u32> {
    let text = text.filter(|text| (1..10).contains(&text.len()))?;
    if text.bytes().all(|byte| byte.is_ascii_digit()) { text.parse().ok() } else { None }
}

/// Parses a number without sign or exponent. Other forms that Rust's parser accepts (inf, nan, 1e9) are invalid.
fn parse_decimal(text: &str) -> Option<f64> {
    let is_plain = text.len() <= 20 && text.bytes().all(|byte| byte.is_ascii_digit() || byte == b'.');
    if is_plain { text.parse().ok() } else { None }
}
