//! Streaming scanner that computes the cost of a response from its bytes. Its state is a stack as deep as the response
//! nests and one token; no tree is built. It parses JSON (RFC 8259) strictly enough to tell a complete response from a
//! truncated or malformed one.

use crate::plan::{NodeId, Plan};
use crate::schema::TypeId;

/// Cost of a response, and what the response contains.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ResponseCost {
    /// Weights of the returned fields and values: the same weights that the price uses.
    pub units: f64,
    /// Whether the response is one complete JSON object with non-null `data` or with `errors`.
    pub complete: bool,
    /// Whether `data` is an object, not null.
    pub has_data: bool,
    /// Whether the response contains `errors`.
    pub has_errors: bool,
    /// Cost that the backend reports in `extensions.cost`, as a number or in its `actualCost`.
    pub reported_cost: Option<f64>,
}

/// Meaning of a value, by its location in the response.
#[derive(Clone, Copy, Debug)]
enum Role {
    Response,
    Data,
    Value { node: Option<NodeId>, named_type: TypeId },
    Errors,
    Extensions,
    ReportedCost,
    Ignored,
}

#[derive(Clone, Copy, Debug)]
struct Frame {
    is_array: bool,
    role: Role,
    /// Plan node with the response names of this object.
    node: Option<NodeId>,
}

#[derive(Clone, Copy, Debug, PartialEq)]
enum State {
    /// Expects a value or, in an array that is still empty, its end.
    Value {
        or_end: bool,
    },
    Key {
        or_end: bool,
    },
    Colon,
    CommaOrEnd,
    String {
        is_key: bool,
        escaped: bool,
    },
    Literal,
    End,
    Invalid,
}

/// Computes the cost of a response while its bytes arrive.
#[derive(Debug)]
pub struct ResponseScanner {
    plan: Plan,
    root: NodeId,
    max_depth: usize,
    stack: Vec<Frame>,
    state: State,
    /// Role of the next value.
    next_role: Role,
    token: Vec<u8>,
    cost: ResponseCost,
}

/// Maximum key length. The document size bounds aliases, but a backend may send keys of any length; a longer one makes
/// the response malformed.
const MAX_KEY_BYTES: usize = 1 << 16;
const MAX_LITERAL_BYTES: usize = 64;

impl ResponseScanner {
    pub(crate) fn new(plan: Plan, root: NodeId, max_depth: usize) -> Self {
        let cost = ResponseCost {
            units: 0.0,
            complete: false,
            has_data: false,
            has_errors: false,
            reported_cost: None,
        };
        let (stack, state) = (Vec::new(), State::Value { or_end: false });
        Self { plan, root, max_depth, stack, state, next_role: Role::Response, token: Vec::new(), cost }
    }

    /// Resets the scanner for another response to the same operation.
    pub fn reset(&mut self) {
        self.cost = ResponseCost {
            units: 0.0,
            complete: false,
            has_data: false,
            has_errors: false,
            reported_cost: None,
        };
        self.stack.clear();
        (self.state, self.next_role) = (State::Value { or_end: false }, Role::Response);
    }

    /// Processes the next bytes of the response.
    pub fn feed(&mut self, bytes: &[u8]) {
        for byte in bytes {
            if self.state == State::Invalid {
                return;
            }
            self.byte(*byte);
        }
    }

    /// Whether the bytes so far cannot be the start of a valid response.
    #[must_use]
    pub fn is_malformed(&self) -> bool {
        self.state == State::Invalid
    }

    /// Cost of the bytes so far; `complete` only after the end of the response.
    #[must_use]
    pub fn cost(&self) -> ResponseCost {
        let has_content = self.cost.has_data || self.cost.has_errors;
        ResponseCost { complete: self.state == State::End && has_content, ..self.cost }
    }

    fn byte(&mut self, b: u8) {
        match self.state {
            State::String { is_key, escaped } => return self.string_byte(b, is_key, escaped),
            State::Literal if !matches!(b, b',' | b'}' | b']' | b' ' | b'\t' | b'\r' | b'\n') => {
                self.token.push(b);
                if self.token.len() > MAX_LITERAL_BYTES {
                    self.state = State::Invalid;
                }
                return;
            }
            State::Literal => self.end_literal(),
            _ => {}
        }
        if matches!(b, b' ' | b'\t' | b'\r' | b'\n') {
            return;
        }
        self.state = match (self.state, b) {
            (State::Value { or_end: true }, b']') | (State::Key { or_end: true }, b'}') => self.close(b),
            (State::Value { .. }, b'{' | b'[') => self.open(b == b'['),
            (State::Value { .. }, b'"') => {
                self.count_leaf();
                State::String { is_key: false, escaped: false }
            }
            (State::Value { .. }, b'-' | b'0'..=b'9' | b't' | b'f' | b'n') if !self.stack.is_empty() => {
                self.token.clear();
                self.token.push(b);
                State::Literal
            }
            (State::Key { .. }, b'"') => {
                self.token.clear();
                State::String { is_key: true, escaped: false }
            }
            (State::Colon, b':') => State::Value { or_end: false },
            (State::CommaOrEnd, b',') => match self.stack.last() {
                Some(frame) if frame.is_array => {
                    self.next_role = frame.role;
                    State::Value { or_end: false }
                }
                _ => State::Key { or_end: false },
            },
            (State::CommaOrEnd, b']' | b'}') => self.close(b),
            _ => State::Invalid,
        };
    }

    fn string_byte(&mut self, b: u8, is_key: bool, escaped: bool) {
        if b < b' ' {
            self.state = State::Invalid;
        } else if !escaped && b == b'"' {
            if is_key {
                self.end_key();
                self.state = State::Colon;
            } else {
                self.state = self.state_after_value();
            }
        } else {
            if is_key {
                self.token.push(b);
            }
            self.state = State::String { is_key, escaped: !escaped && b == b'\\' };
            if self.token.len() > MAX_KEY_BYTES {
                self.state = State::Invalid;
            }
        }
    }

    fn state_after_value(&self) -> State {
        if self.stack.is_empty() { State::End } else { State::CommaOrEnd }
    }

    fn open(&mut self, is_array: bool) -> State {
        if self.stack.len() >= self.max_depth || (is_array && self.stack.is_empty()) {
            return State::Invalid;
        }
        let role = self.next_role;
        let mut node = None;
        match role {
            Role::Data if !is_array => {
                self.cost.has_data = true;
                node = Some(self.root);
            }
            Role::Value { node: child, named_type } if !is_array => {
                self.cost.units += self.plan.schema.type_weight(named_type);
                node = child;
            }
            Role::Errors => self.cost.has_errors = true,
            _ => {}
        }
        self.stack.push(Frame { is_array, role, node });
        if is_array { State::Value { or_end: true } } else { State::Key { or_end: true } }
    }

    fn close(&mut self, b: u8) -> State {
        match self.stack.pop() {
            Some(frame) if frame.is_array == (b == b']') => self.state_after_value(),
            _ => State::Invalid,
        }
    }

    /// Adds the weight of a leaf value that is not null.
    fn count_leaf(&mut self) {
        if let Role::Value { node: None, named_type } = self.next_role {
            self.cost.units += self.plan.schema.type_weight(named_type);
        }
    }

    fn end_literal(&mut self) {
        self.state = self.state_after_value();
        match self.token.as_slice() {
            b"null" => {}
            b"true" | b"false" => self.count_leaf(),
            literal => {
                let number = std::str::from_utf8(literal).ok().filter(|_| is_json_number(literal));
                let Some(number) = number.and_then(|n| n.parse::<f64>().ok()) else {
                    self.state = State::Invalid;
                    return;
                };
                self.count_leaf();
                if let Role::ReportedCost = self.next_role {
                    self.cost.reported_cost = Some(number);
                }
            }
        }
    }

    fn end_key(&mut self) {
        let Some(frame) = self.stack.last().copied() else { return };
        let unescaped_key;
        let key = match std::str::from_utf8(&self.token) {
            Ok(key) if !key.contains('\\') => key,
            _ => {
                let quoted = [b"\"", self.token.as_slice(), b"\""].concat();
                unescaped_key = serde_json::from_slice::<String>(&quoted).unwrap_or_default();
                &unescaped_key
            }
        };
        self.next_role = match (frame.role, key) {
            (Role::Response, "data") => Role::Data,
            (Role::Response, "errors") => Role::Errors,
            (Role::Response, "extensions") => Role::Extensions,
            (Role::Extensions, "cost") | (Role::ReportedCost, "actualCost") => Role::ReportedCost,
            _ => match frame.node.and_then(|n| self.plan.nodes[n].entries.get(key)) {
                Some(entry) => {
                    self.cost.units += entry.weight;
                    let (selection_sets, named_type) = (entry.selection_sets.clone(), entry.named_type);
                    let node = if selection_sets.is_empty() {
                        None
                    } else {
                        Some(self.plan.node(&selection_sets, named_type))
                    };
                    Role::Value { node, named_type }
                }
                None => Role::Ignored,
            },
        };
    }
}

/// Whether a literal is a number according to RFC 8259, section 6.
fn is_json_number(literal: &[u8]) -> bool {
    let rest = literal.strip_prefix(b"-").unwrap_or(literal);
    let integer_digits = rest.iter().take_while(|b| b.is_ascii_digit()).count();
    let integer_valid = integer_digits > 0 && (integer_digits == 1 || rest[0] != b'0');
    let mut rest = &rest[integer_digits..];
    if let Some(after) = rest.strip_prefix(b".") {
        let digits = after.iter().take_while(|b| b.is_ascii_digit()).count();
        if digits == 0 {
            return false;
        }
        rest = &after[digits..];
    }
    if let [b'e' | b'E', after @ ..] = rest {
        let after = after.strip_prefix(b"+").or(after.strip_prefix(b"-")).unwrap_or(after);
        return integer_valid && !after.is_empty() && after.iter().all(u8::is_ascii_digit);
    }
    integer_valid && rest.is_empty()
}
