//! A line of the protocol, split into its parts.

use super::WireError;

/// Pairs whose value is the rest of the line.
const REST_OF_LINE: [&str; 2] = ["facts", "note_text"];

/// A line split into its message and its `name=value` pairs.
#[derive(Debug)]
pub struct Line<'a> {
    /// The message.
    pub message: &'a str,
    pairs: Vec<(&'a str, &'a str)>,
}

impl<'a> Line<'a> {
    /// Splits a line.
    ///
    /// # Errors
    ///
    /// It has no message, or a part that is no pair.
    pub fn parse(line: &'a str) -> Result<Self, WireError> {
        let (message, mut rest) = line.split_once(' ').unwrap_or((line, ""));
        if message.is_empty() {
            return Err(WireError::NoMessage);
        }
        let mut pairs = Vec::with_capacity(8);
        while !rest.is_empty() {
            let (name, tail) = rest.split_once('=').ok_or_else(|| WireError::NoPair(rest.to_owned()))?;
            if name.is_empty() || name.contains(' ') {
                return Err(WireError::NoName(name.to_owned()));
            }
            let (value, tail) = match REST_OF_LINE.contains(&name) {
                true => (tail, ""),
                false => tail.split_once(' ').unwrap_or((tail, "")),
            };
            pairs.push((name, value));
            rest = tail;
        }
        Ok(Self { message, pairs })
    }

    /// The value of a pair, if it is there.
    #[must_use]
    pub fn get(&self, name: &str) -> Option<&'a str> {
        self.pairs.iter().find(|(n, _)| *n == name).map(|(_, value)| *value)
    }

    /// The value of a pair.
    ///
    /// # Errors
    ///
    /// It is missing.
    pub fn text(&self, name: &str) -> Result<&'a str, WireError> {
        self.get(name).ok_or_else(|| WireError::Missing(name.to_owned()))
    }

    /// A number, if it is there.
    ///
    /// # Errors
    ///
    /// It is no finite number.
    pub fn optional_number(&self, name: &str) -> Result<Option<f64>, WireError> {
        self.get(name).map(|value| number(name, value)).transpose()
    }

    /// A number.
    ///
    /// # Errors
    ///
    /// It is missing or no finite number.
    pub fn number(&self, name: &str) -> Result<f64, WireError> {
        number(name, self.text(name)?)
    }

    /// An integer, if it is there.
    ///
    /// # Errors
    ///
    /// It is no integer.
    pub fn optional_integer(&self, name: &str) -> Result<Option<u64>, WireError> {
        self.get(name).map(|value| integer(name, value)).transpose()
    }

    /// An integer.
    ///
    /// # Errors
    ///
    /// It is missing or no integer.
    pub fn integer(&self, name: &str) -> Result<u64, WireError> {
        integer(name, self.text(name)?)
    }

    /// An index.
    ///
    /// # Errors
    ///
    /// It is missing, no integer, or too large.
    pub fn index(&self, name: &str) -> Result<usize, WireError> {
        let index = usize::try_from(self.integer(name)?);
        index.map_err(|_| WireError::malformed(name, self.text(name).unwrap_or_default(), "is too large"))
    }
}

/// Reads a finite number; `name` is only named in the error.
pub(super) fn number(name: &str, text: &str) -> Result<f64, WireError> {
    let number = text.parse::<f64>().ok().filter(|number| number.is_finite());
    number.ok_or_else(|| WireError::malformed(name, text, "is no number"))
}

fn integer(name: &str, text: &str) -> Result<u64, WireError> {
    text.parse().map_err(|_| WireError::malformed(name, text, "is no whole number"))
}
