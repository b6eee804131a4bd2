//! The fields of one line, separated by tabs and read in order.

use crate::error::LineError;
use doorcourse::{Millis, Name};
use std::str::{FromStr, Split};

/// The text that marks an absent value.
pub(crate) const ABSENT: &str = "-";

/// The fields of a line that are not read yet.
pub(crate) struct Fields<'a>(Split<'a, char>);

impl<'a> Fields<'a> {
    pub(crate) fn of(line: &'a str) -> Self {
        Self(line.split('\t'))
    }

    /// The next field as text, which may be empty.
    pub(crate) fn text(&mut self, field: &'static str) -> Result<&'a str, LineError> {
        self.0.next().ok_or(LineError::MissingField(field))
    }

    /// The next field as a number; `None` where it is absent or empty.
    pub(crate) fn optional<T: FromStr>(&mut self, field: &'static str) -> Result<Option<T>, LineError> {
        let text = self.text(field)?;
        if text == ABSENT || text.is_empty() {
            return Ok(None);
        }
        let value = text.parse().map_err(|_| LineError::NotANumber { field, text: text.to_owned() })?;
        Ok(Some(value))
    }

    /// The next field as a number.
    pub(crate) fn number<T: FromStr>(&mut self, field: &'static str) -> Result<T, LineError> {
        self.optional(field)?.ok_or(LineError::MissingField(field))
    }

    /// The next field as a finite number of ms.
    pub(crate) fn millis(&mut self, field: &'static str) -> Result<Millis, LineError> {
        let value: f64 = self.number(field)?;
        if value.is_finite() { Ok(value) } else { Err(LineError::NotFinite(field)) }
    }

    /// The next field as a flag: true for 1, false for 0 or an absent value.
    pub(crate) fn flag(&mut self, field: &'static str) -> Result<bool, LineError> {
        match self.text(field)? {
            "1" => Ok(true),
            "0" | ABSENT => Ok(false),
            text => Err(LineError::NotAFlag { field, text: text.to_owned() }),
        }
    }

    /// The next field as a name that is not empty.
    pub(crate) fn name(&mut self, field: &'static str) -> Result<Name, LineError> {
        let text = self.text(field)?;
        if text.is_empty() { Err(LineError::MissingField(field)) } else { Ok(Name::from(text)) }
    }

    /// All fields that are left, tabs included.
    pub(crate) fn rest(&mut self) -> String {
        self.0.by_ref().collect::<Vec<_>>().join("\t")
    }
}
