//! Reasons why settings cannot be used.

use std::fmt;
use std::path::PathBuf;

use validator::{ValidationErrors, ValidationErrorsKind};

/// Reason why settings cannot be used. The displayed text is a single line.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum SettingsError {
    /// The environment variable [`PATH_VARIABLE`](crate::PATH_VARIABLE) is not set.
    PathNotSet,
    /// The file cannot be read.
    FileUnreadable {
        /// Path of the file.
        path: PathBuf,
        /// The error message of the operating system.
        cause: String,
    },
    /// The text is not TOML, lacks a required field, or has a field of the wrong type.
    Malformed {
        /// The line that contains the error: its number, starting at 1, and its text. `None` if the error is
        /// not in a single line.
        line: Option<(usize, String)>,
        /// The error message of the parser.
        cause: String,
    },
    /// At least one field has a value that fails a check. The text contains each such field and the failed
    /// check.
    Invalid(String),
}

impl SettingsError {
    pub(crate) fn malformed(text: &str, error: &toml::de::Error) -> Self {
        // For a field that is missing at the top level, the parser gives the beginning of the file as the
        // position. No single line contains that error.
        let span = error.span().filter(|span| span.start > 0);
        let line = span.map(|span| line_at(text, span.start));
        Self::Malformed { line, cause: single_line(error.message()) }
    }

    pub(crate) fn invalid(errors: &ValidationErrors) -> Self {
        let mut messages = messages_of(errors);
        messages.sort_unstable();
        Self::Invalid(messages.join("; "))
    }
}

/// Returns the number, starting at 1, and the text of the line that contains the byte `offset`.
fn line_at(text: &str, offset: usize) -> (usize, String) {
    let before = &text.as_bytes()[..offset.min(text.len())];
    let index = before.iter().filter(|byte| **byte == b'\n').count();
    let line = text.lines().nth(index).unwrap_or_default();
    (index + 1, line.trim().to_owned())
}

/// Returns the messages of all failed checks, including those of nested sections. They contain the fields'
/// names in the file.
fn messages_of(errors: &ValidationErrors) -> Vec<String> {
    errors.errors().values().flat_map(messages_of_field).collect()
}

fn messages_of_field(errors: &ValidationErrorsKind) -> Vec<String> {
    match errors {
        ValidationErrorsKind::Field(errors) => errors.iter().map(ToString::to_string).collect(),
        ValidationErrorsKind::Struct(section) => messages_of(section),
        ValidationErrorsKind::List(items) => items.values().flat_map(|item| messages_of(item)).collect(),
    }
}

/// Joins the lines of a message that are not empty, separated by semicolons.
fn single_line(text: &str) -> String {
    let lines: Vec<&str> = text.lines().map(str::trim).filter(|line| !line.is_empty()).collect();
    lines.join("; ")
}

impl fmt::Display for SettingsError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::PathNotSet => write!(f, "the variable {} is not set", crate::PATH_VARIABLE),
            Self::FileUnreadable { path, cause } => write!(f, "{}: {cause}", path.display()),
            Self::Malformed { line: Some((number, text)), cause } => {
                write!(f, "the settings cannot be read: line {number} ({text}): {cause}")
            }
            Self::Malformed { line: None, cause } => write!(f, "the settings cannot be read: {cause}"),
            Self::Invalid(cause) => write!(f, "the settings cannot be used: {cause}"),
        }
    }
}

impl std::error::Error for SettingsError {}
