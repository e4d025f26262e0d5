//! Splits a line of the protocol into its message name and its pairs.

use super::WireError;

/// Names of the pairs whose value extends to the end of the line and may contain spaces.
const REST_OF_LINE: [&str; 2] = ["facts", "note_text"];

/// A line split into its message name and its `name=value` pairs.
#[derive(Debug)]
pub struct Line<'a> {
    /// Name of the message, such as `CALL`.
    pub message: &'a str,
    pairs: Vec<(&'a str, &'a str)>,
}

impl<'a> Line<'a> {
    /// Splits a line.
    ///
    /// # Errors
    ///
    /// Fails if the line has no message name, or a part that is not a pair.
    pub fn parse(line: &'a str) -> Result<Self, WireError> {
        let (message, mut rest) = line.split_once(' ').unwrap_or((line, ""));
        if message.is_empty() {
            return Err(WireError::MissingMessage);
        }
        let mut pairs = Vec::with_capacity(8);
        while !rest.is_empty() {
            let (name, tail) = rest.split_once('=').ok_or_else(|| WireError::NotAPair(rest.to_owned()))?;
            if name.is_empty() || name.contains(' ') {
                return Err(WireError::InvalidName(name.to_owned()));
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

    /// Returns the value of the first pair with this name; `None` without such a pair.
    #[must_use]
    pub fn get(&self, name: &str) -> Option<&'a str> {
        self.pairs.iter().find(|(n, _)| *n == name).map(|(_, value)| *value)
    }

    /// Returns the value of a pair.
    ///
    /// # Errors
    ///
    /// Fails if the pair is missing.
    pub fn text(&self, name: &str) -> Result<&'a str, WireError> {
        self.get(name).ok_or_else(|| WireError::MissingPair(name.to_owned()))
    }

    /// Returns a finite number; `None` if the pair is missing.
    ///
    /// # Errors
    ///
    /// Fails if the value is not a finite number.
    pub fn optional_number(&self, name: &str) -> Result<Option<f64>, WireError> {
        self.get(name).map(|value| number(name, value)).transpose()
    }

    /// Returns a finite number.
    ///
    /// # Errors
    ///
    /// Fails if the pair is missing or the value is not a finite number.
    pub fn number(&self, name: &str) -> Result<f64, WireError> {
        number(name, self.text(name)?)
    }

    /// Returns a non-negative integer; `None` if the pair is missing.
    ///
    /// # Errors
    ///
    /// Fails if the value is not a non-negative integer.
    pub fn optional_integer(&self, name: &str) -> Result<Option<u64>, WireError> {
        self.get(name).map(|value| integer(name, value)).transpose()
    }

    /// Returns a non-negative integer.
    ///
    /// # Errors
    ///
    /// Fails if the pair is missing or the value is not a non-negative integer.
    pub fn integer(&self, name: &str) -> Result<u64, WireError> {
        integer(name, self.text(name)?)
    }

    /// Returns an index.
    ///
    /// # Errors
    ///
    /// Fails if the pair is missing, or the value is not a non-negative integer or does not fit into `usize`.
    pub fn index(&self, name: &str) -> Result<usize, WireError> {
        let index = usize::try_from(self.integer(name)?);
        index.map_err(|_| WireError::malformed(name, self.text(name).unwrap_or_default(), "is too large"))
    }
}

/// Parses a finite number; `name` is used in the error only.
pub(super) fn number(name: &str, text: &str) -> Result<f64, WireError> {
    let number = text.parse::<f64>().ok().filter(|number| number.is_finite());
    number.ok_or_else(|| WireError::malformed(name, text, "is not a finite number"))
}

fn integer(name: &str, text: &str) -> Result<u64, WireError> {
    text.parse().map_err(|_| WireError::malformed(name, text, "is not a whole number"))
}
