//! Broken rules.

use std::fmt;

/// A rule of the system.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Rule {
    /// An answer is whole and belongs to its request.
    Mixed,
    /// A server runs only what was sent, unchanged and in time.
    Unasked,
    /// Nothing that must run once runs twice; no item is listed twice.
    Twice,
    /// A request goes to a service of its route.
    Route,
    /// Proper requests are not refused.
    Denied,
    /// The newest configuration is in force.
    Config,
    /// Events are there, each once, in order.
    Order,
    /// What was acknowledged is kept.
    Lost,
    /// Texts are made by the versions that are told and allowed.
    Version,
    /// One leader gives orders to servers.
    One,
    /// Orders are acknowledged.
    Acknowledged,
    /// Processes run until they are told to end.
    Fault,
}

impl fmt::Display for Rule {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Mixed => "MIXED",
            Self::Unasked => "UNASKED",
            Self::Twice => "TWICE",
            Self::Route => "ROUTE",
            Self::Denied => "DENIED",
            Self::Config => "CONFIG",
            Self::Order => "ORDER",
            Self::Lost => "LOST",
            Self::Version => "VERSION",
            Self::One => "ONE",
            Self::Acknowledged => "Acks",
            Self::Fault => "Fault",
        })
    }
}

/// A rule was broken.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Violation {
    /// The rule.
    pub rule: Rule,
    /// What was seen.
    pub seen: String,
}

impl Violation {
    /// A violation of `rule`, with what was seen.
    pub fn new(rule: Rule, seen: impl Into<String>) -> Self {
        Self { rule, seen: seen.into() }
    }
}

impl fmt::Display for Violation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}", self.rule, self.seen)
    }
}
