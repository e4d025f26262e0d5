//! Why settings cannot be used.

use std::fmt;
use std::path::PathBuf;

use validator::{ValidationErrors, ValidationErrorsKind};

/// Why settings cannot be used. Its text is one line.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum SettingsError {
    /// The environment variable [`PATH_VARIABLE`](crate::PATH_VARIABLE) is not set.
    PathNotSet,
    /// The file cannot be read.
    FileUnreadable {
        /// The file.
        path: PathBuf,
        /// The operating system's error.
        cause: String,
    },
    /// The text is no TOML, lacks a field, or a field has another type.
    Malformed {
        /// The number of the line at fault, from 1, and its text; `None` if no single line is at fault.
        line: Option<(usize, String)>,
        /// The parser's error.
        cause: String,
    },
    /// One or several fields have values that fail a check; names each field and its check.
    Invalid(String),
}

impl SettingsError {
    pub(crate) fn malformed(text: &str, error: &toml::de::Error) -> Self {
        // The error of a field that is missing at the top level points to the beginning of the file: no line is at fault.
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

/// The number, from 1, and the text of the line that contains the byte `offset`.
fn line_at(text: &str, offset: usize) -> (usize, String) {
    let before = &text.as_bytes()[..offset.min(text.len())];
    let index = before.iter().filter(|byte| **byte == b'\n').count();
    let line = text.lines().nth(index).unwrap_or_default();
    (index + 1, line.trim().to_owned())
}

/// The messages of all failed checks, which name the fields as the file does.
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
