//! Reasons why a configuration is rejected, and the response to the operator.

use std::fmt;

/// The status of a response that rejects a configuration.
const BAD_REQUEST: u16 = 400;
/// The field path of errors that concern the entire document.
pub(crate) const DOCUMENT_ROOT: &str = ".";

/// Reason why a configuration is rejected. Field names are those of the operator's JSON.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ConfigurationError {
    /// The text is incomplete or is not JSON, lacks a required field, or has a field of the wrong type.
    Malformed {
        /// Path of the field, `.` for the entire document.
        field: String,
        /// The error message of the parser.
        cause: String,
    },
    /// A field has a value that fails a check.
    Invalid {
        /// Path of the field, `.` for the entire document.
        field: String,
        /// Description of the check that failed.
        cause: String,
    },
    /// The version of the change is not above the version in force.
    StaleVersion {
        /// The version of the change.
        version: u64,
        /// The version in force.
        current: u64,
    },
    /// A route names a service that the document does not contain.
    UnknownService {
        /// Name of the route.
        route: String,
        /// Name of the missing service.
        service: String,
    },
    /// Two routes have the same host and prefix.
    DuplicatePrefix {
        /// Name of the first of the two routes, which the message contains.
        first: String,
        /// Name of the second route, which the field path contains.
        second: String,
    },
    /// All weights of a route are 0.
    ZeroWeights {
        /// Name of the route.
        route: String,
    },
    /// The timeout of a route is 0.
    ZeroTimeout {
        /// Name of the route.
        route: String,
    },
    /// Two items of a list have the same name.
    DuplicateName {
        /// Name of the list: `routes` or `postalLines`.
        list: &'static str,
        /// The name that occurs twice.
        name: String,
    },
}

impl ConfigurationError {
    /// Wraps a parser's error that contains no field path.
    pub(crate) fn malformed_document(error: &impl fmt::Display) -> Self {
        Self::Malformed { field: DOCUMENT_ROOT.to_owned(), cause: error.to_string() }
    }

    /// Returns the HTTP status of the response to the operator.
    #[must_use]
    pub fn status(&self) -> u16 {
        BAD_REQUEST
    }

    /// Returns the path of the field at fault, with names as in the JSON; `.` for the entire document.
    #[must_use]
    pub fn field(&self) -> String {
        match self {
            Self::Malformed { field, .. } | Self::Invalid { field, .. } => field.clone(),
            Self::StaleVersion { .. } => "edition".to_owned(),
            Self::UnknownService { route, .. } => format!("routes[{route}].postalLine"),
            Self::DuplicatePrefix { second, .. } => format!("routes[{second}].lanePrefix"),
            Self::ZeroWeights { route } => format!("routes[{route}].split"),
            Self::ZeroTimeout { route } => format!("routes[{route}].expiryMs"),
            Self::DuplicateName { list, .. } => format!("{list}[].name"),
        }
    }
}

impl fmt::Display for ConfigurationError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: ", self.field())?;
        match self {
            Self::Malformed { cause, .. } | Self::Invalid { cause, .. } => f.write_str(cause),
            Self::StaleVersion { version, current } => {
                write!(f, "{version} is not above the current {current}")
            }
            Self::UnknownService { service, .. } => write!(f, "the service {service} does not exist"),
            Self::DuplicatePrefix { first, .. } => write!(f, "host and prefix are those of route {first}"),
            Self::ZeroWeights { .. } => f.write_str("the weights add up to 0"),
            Self::ZeroTimeout { .. } => f.write_str("the time-out is 0"),
            Self::DuplicateName { name, .. } => write!(f, "{name} is the name of two items"),
        }
    }
}

impl std::error::Error for ConfigurationError {}
