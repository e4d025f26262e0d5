//! Why a configuration is rejected, and how the operator is answered.

use std::fmt;

/// The status of a response that rejects a configuration.
const BAD_REQUEST: u16 = 400;
/// The path of the entire document, where an error concerns no single field.
pub(crate) const DOCUMENT_ROOT: &str = ".";

/// Why a configuration is rejected. Fields are named as in the operator's JSON.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ConfigurationError {
    /// The text is incomplete or no JSON, lacks a field, or a field has another type.
    Malformed {
        /// Path of the field, `.` for the entire document.
        field: String,
        /// The parser's error.
        cause: String,
    },
    /// A field has a value that fails a check.
    Invalid {
        /// Path of the field, `.` for the entire document.
        field: String,
        /// The check that failed.
        cause: String,
    },
    /// The version is not above the current one.
    StaleVersion {
        /// The version of the change.
        version: u64,
        /// The current version.
        current: u64,
    },
    /// A route names a service that the document lacks.
    UnknownService {
        /// The route.
        route: String,
        /// The service.
        service: String,
    },
    /// Two routes have the same host and prefix.
    DuplicatePrefix {
        /// The first route.
        first: String,
        /// The second route.
        second: String,
    },
    /// All weights of a route are 0.
    ZeroWeights {
        /// The route.
        route: String,
    },
    /// The time-out of a route is 0.
    ZeroTimeout {
        /// The route.
        route: String,
    },
    /// Two items of a list have the same name.
    DuplicateName {
        /// The list.
        list: &'static str,
        /// The name.
        name: String,
    },
}

impl ConfigurationError {
    /// The error of a parser that gives no field.
    pub(crate) fn malformed_document(error: &impl fmt::Display) -> Self {
        Self::Malformed { field: DOCUMENT_ROOT.to_owned(), cause: error.to_string() }
    }

    /// The HTTP status of the response to the operator.
    #[must_use]
    pub fn status(&self) -> u16 {
        BAD_REQUEST
    }

    /// The path of the field at fault, with names as in the JSON; `.` for the entire document.
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
