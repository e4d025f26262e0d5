//! Why a configuration is refused.

use std::fmt;

/// The status of an answer that refuses an invalid configuration.
const BAD_REQUEST: u16 = 400;

/// Why a configuration is refused. Fields are named as the operator writes them.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ConfigurationError {
    /// The text is cut short, is no JSON, lacks a field, or a field has another type.
    Unreadable {
        /// Path of the field, `.` for the whole document.
        field: String,
        /// What the reader found.
        cause: String,
    },
    /// A field has a value that it may not have.
    Unusable {
        /// Path of the field.
        field: String,
        /// What is wrong with it.
        cause: String,
    },
    /// The version is not above the current one.
    OldVersion {
        /// The version of the change.
        edition: u64,
        /// The version in force.
        current: u64,
    },
    /// A route names a service that the document lacks.
    UnknownService {
        /// The route.
        route: String,
        /// The service.
        service: String,
    },
    /// Two routes share host and prefix.
    SamePlace {
        /// The first route.
        first: String,
        /// The second route.
        second: String,
    },
    /// The weights of a route add up to 0.
    NoWeight {
        /// The route.
        route: String,
    },
    /// The time-out of a route is 0.
    NoTimeout {
        /// The route.
        route: String,
    },
    /// Two items of a list share a name.
    SameName {
        /// The list.
        list: &'static str,
        /// The name.
        name: String,
    },
}

impl ConfigurationError {
    pub(crate) fn whole_unreadable(error: &serde_json::Error) -> Self {
        Self::Unreadable { field: ".".to_owned(), cause: error.to_string() }
    }

    /// The status for the answer to the operator.
    #[must_use]
    pub fn status(&self) -> u16 {
        BAD_REQUEST
    }

    /// The path of the field at fault, as the operator writes it.
    #[must_use]
    pub fn field(&self) -> String {
        match self {
            Self::Unreadable { field, .. } | Self::Unusable { field, .. } => field.clone(),
            Self::OldVersion { .. } => "edition".to_owned(),
            Self::UnknownService { route, .. } => format!("routes[{route}].postalLine"),
            Self::SamePlace { second, .. } => format!("routes[{second}].lanePrefix"),
            Self::NoWeight { route } => format!("routes[{route}].split"),
            Self::NoTimeout { route } => format!("routes[{route}].expiryMs"),
            Self::SameName { list, .. } => format!("{list}[].name"),
        }
    }
}

impl fmt::Display for ConfigurationError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: ", self.field())?;
        match self {
            Self::Unreadable { cause, .. } | Self::Unusable { cause, .. } => f.write_str(cause),
            Self::OldVersion { edition, current } => {
                write!(f, "{edition} is not above the current {current}")
            }
            Self::UnknownService { service, .. } => write!(f, "the service {service} does not exist"),
            Self::SamePlace { first, .. } => write!(f, "host and prefix are those of route {first}"),
            Self::NoWeight { .. } => f.write_str("the weights add up to 0"),
            Self::NoTimeout { .. } => f.write_str("the time-out is 0"),
            Self::SameName { name, .. } => write!(f, "{name} is the name of two items"),
        }
    }
}

impl std::error::Error for ConfigurationError {}
