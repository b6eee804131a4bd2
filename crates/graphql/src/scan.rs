//! What an answer truly touched, counted while its bytes pass. The state is a stack as deep as the answer nests
//! and one short word; no tree of the answer is made. It reads JSON (RFC 8259) strictly enough to tell a whole
//! answer from a cut or malformed one.

use crate::plan::{NodeId, Plan};
use crate::schema::TypeId;

/// What an answer came to.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ResponseCost {
    /// The weights of what came back: fields and values, by the same weights as the price.
    pub units: f64,
    /// Whether it is one whole JSON object with `data` or `errors`.
    pub complete: bool,
    /// Whether it holds data other than null.
    pub has_data: bool,
    /// Whether it holds errors.
    pub has_errors: bool,
    /// What the node claims in `extensions.cost`, as a number or in its `actualCost`.
    pub reported_cost: Option<f64>,
}

/// What a value at some place means.
#[derive(Clone, Copy, Debug)]
enum Place {
    Answer,
    Data,
    Value { node: Option<NodeId>, named: TypeId },
    Errors,
    Extensions,
    Claim,
    Nothing,
}

#[derive(Clone, Copy, Debug)]
struct Frame {
    array: bool,
    place: Place,
    /// The node whose keys this object has.
    node: Option<NodeId>,
}

#[derive(Clone, Copy, Debug, PartialEq)]
enum Want {
    /// A value, or the end of an array that is still empty.
    Value {
        or_end: bool,
    },
    Key {
        or_end: bool,
    },
    Colon,
    CommaOrEnd,
    Text {
        key: bool,
        escape: bool,
    },
    Word,
    Nothing,
    Bad,
}

/// Counts one answer.
#[derive(Debug)]
pub struct ResponseScanner {
    plan: Plan,
    root: NodeId,
    depth: usize,
    stack: Vec<Frame>,
    want: Want,
    /// The place of the value that comes next.
    next: Place,
    word: Vec<u8>,
    counted: ResponseCost,
}

/// The longest key that is told apart; an alias is a name in a document of bounded size, but a node may send any.
const KEY: usize = 1 << 16;
const WORD: usize = 64;

impl ResponseScanner {
    pub(crate) fn new(plan: Plan, root: NodeId, depth: usize) -> Self {
        let counted = ResponseCost {
            units: 0.0,
            complete: false,
            has_data: false,
            has_errors: false,
            reported_cost: None,
        };
        let (stack, want) = (Vec::new(), Want::Value { or_end: false });
        Self { plan, root, depth, stack, want, next: Place::Answer, word: Vec::new(), counted }
    }

    /// Starts again, for another answer to the same operation.
    pub fn reset(&mut self) {
        self.counted = ResponseCost {
            units: 0.0,
            complete: false,
            has_data: false,
            has_errors: false,
            reported_cost: None,
        };
        self.stack.clear();
        (self.want, self.next) = (Want::Value { or_end: false }, Place::Answer);
    }

    /// Reads on.
    pub fn feed(&mut self, bytes: &[u8]) {
        for byte in bytes {
            if self.want == Want::Bad {
                return;
            }
            self.byte(*byte);
        }
    }

    /// Whether what came so far can no longer become an answer.
    #[must_use]
    pub fn is_malformed(&self) -> bool {
        self.want == Want::Bad
    }

    /// What has been counted; `whole` only when the answer is at its end.
    #[must_use]
    pub fn cost(&self) -> ResponseCost {
        let told = self.counted.has_data || self.counted.has_errors;
        ResponseCost { complete: self.want == Want::Nothing && told, ..self.counted }
    }

    fn byte(&mut self, b: u8) {
        match self.want {
            Want::Text { key, escape } => return self.text(b, key, escape),
            Want::Word if !matches!(b, b',' | b'}' | b']' | b' ' | b'\t' | b'\r' | b'\n') => {
                self.word.push(b);
                if self.word.len() > WORD {
                    self.want = Want::Bad;
                }
                return;
            }
            Want::Word => self.end_word(),
            _ => {}
        }
        if matches!(b, b' ' | b'\t' | b'\r' | b'\n') {
            return;
        }
        self.want = match (self.want, b) {
            (Want::Value { or_end: true }, b']') | (Want::Key { or_end: true }, b'}') => self.close(b),
            (Want::Value { .. }, b'{' | b'[') => self.open(b == b'['),
            (Want::Value { .. }, b'"') => {
                self.leaf();
                Want::Text { key: false, escape: false }
            }
            (Want::Value { .. }, b'-' | b'0'..=b'9' | b't' | b'f' | b'n') if !self.stack.is_empty() => {
                self.word.clear();
                self.word.push(b);
                Want::Word
            }
            (Want::Key { .. }, b'"') => {
                self.word.clear();
                Want::Text { key: true, escape: false }
            }
            (Want::Colon, b':') => Want::Value { or_end: false },
            (Want::CommaOrEnd, b',') => match self.stack.last() {
                Some(frame) if frame.array => {
                    self.next = frame.place;
                    Want::Value { or_end: false }
                }
                _ => Want::Key { or_end: false },
            },
            (Want::CommaOrEnd, b']' | b'}') => self.close(b),
            _ => Want::Bad,
        };
    }

    fn text(&mut self, b: u8, key: bool, escape: bool) {
        if b < b' ' {
            self.want = Want::Bad;
        } else if !escape && b == b'"' {
            if key {
                self.end_key();
                self.want = Want::Colon;
            } else {
                self.want = self.after();
            }
        } else {
            if key {
                self.word.push(b);
            }
            self.want = Want::Text { key, escape: !escape && b == b'\\' };
            if self.word.len() > KEY {
                self.want = Want::Bad;
            }
        }
    }

    fn after(&self) -> Want {
        if self.stack.is_empty() { Want::Nothing } else { Want::CommaOrEnd }
    }

    fn open(&mut self, array: bool) -> Want {
        if self.stack.len() >= self.depth || (array && self.stack.is_empty()) {
            return Want::Bad;
        }
        let place = self.next;
        let mut node = None;
        match place {
            Place::Data if !array => {
                self.counted.has_data = true;
                node = Some(self.root);
            }
            Place::Value { node: below, named } if !array => {
                self.counted.units += self.plan.schema.type_weight(named);
                node = below;
            }
            Place::Errors => self.counted.has_errors = true,
            _ => {}
        }
        self.stack.push(Frame { array, place, node });
        if array { Want::Value { or_end: true } } else { Want::Key { or_end: true } }
    }

    fn close(&mut self, b: u8) -> Want {
        match self.stack.pop() {
            Some(frame) if frame.array == (b == b']') => self.after(),
            _ => Want::Bad,
        }
    }

    /// A leaf that is not null.
    fn leaf(&mut self) {
        if let Place::Value { node: None, named } = self.next {
            self.counted.units += self.plan.schema.type_weight(named);
        }
    }

    fn end_word(&mut self) {
        self.want = self.after();
        match self.word.as_slice() {
            b"null" => {}
            b"true" | b"false" => self.leaf(),
            word => {
                let number = std::str::from_utf8(word).ok().filter(|_| json_number(word));
                let Some(number) = number.and_then(|n| n.parse::<f64>().ok()) else {
                    self.want = Want::Bad;
                    return;
                };
                self.leaf();
                if let Place::Claim = self.next {
                    self.counted.reported_cost = Some(number);
                }
            }
        }
    }

    fn end_key(&mut self) {
        let Some(frame) = self.stack.last().copied() else { return };
        let unescaped;
        let key = match std::str::from_utf8(&self.word) {
            Ok(key) if !key.contains('\\') => key,
            _ => {
                let quoted = [b"\"", self.word.as_slice(), b"\""].concat();
                unescaped = serde_json::from_slice::<String>(&quoted).unwrap_or_default();
                &unescaped
            }
        };
        self.next = match (frame.place, key) {
            (Place::Answer, "data") => Place::Data,
            (Place::Answer, "errors") => Place::Errors,
            (Place::Answer, "extensions") => Place::Extensions,
            (Place::Extensions, "cost") | (Place::Claim, "actualCost") => Place::Claim,
            _ => match frame.node.and_then(|n| self.plan.nodes[n].entries.get(key)) {
                Some(entry) => {
                    self.counted.units += entry.weight;
                    let (selection_sets, named) = (entry.selection_sets.clone(), entry.named_type);
                    let node = if selection_sets.is_empty() {
                        None
                    } else {
                        Some(self.plan.node(&selection_sets, named))
                    };
                    Place::Value { node, named }
                }
                None => Place::Nothing,
            },
        };
    }
}

/// Whether a word is a number by RFC 8259, section 6.
fn json_number(word: &[u8]) -> bool {
    let rest = word.strip_prefix(b"-").unwrap_or(word);
    let integer_digits = rest.iter().take_while(|b| b.is_ascii_digit()).count();
    let fits = integer_digits > 0 && (integer_digits == 1 || rest[0] != b'0');
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
        return fits && !after.is_empty() && after.iter().all(u8::is_ascii_digit);
    }
    fits && rest.is_empty()
}
