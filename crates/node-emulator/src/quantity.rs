//! The quantities that can be measured against size.

use clap::ValueEnum;
use serde::Serialize;

/// A quantity that `slopes` measures.
///
/// The comments of the variants are help texts of the command line, and the variants' names are its values.
/// The order of the variants is the order of the measurements: memory comes first, so that no other
/// measurement has freed any before.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, ValueEnum)]
#[serde(rename_all = "kebab-case")]
pub enum Quantity {
    /// Memory of a node's settings, by tenants.
    TenantMemory,
    /// Memory of the decisions, by servers.
    BalancerMemory,
    /// Memory of a node with nothing in hand, by servers.
    NodeMemory,
    /// Time in which a node's settings are read and its decisions made ready, by tenants.
    TenantStart,
    /// Time in which a node starts from the list that it last knew, read already, by servers.
    NodeStart,
    /// Time in which the decisions take a complete list, by servers.
    #[serde(rename = "whole-list")]
    #[value(name = "whole-list")]
    CompleteList,
    /// Time in which they take one change, by servers.
    OneChange,
    /// Time in which they take a request and its outcome, by servers.
    Request,
    /// Bytes of the complete list, by servers.
    ListBytes,
    /// Bytes of one change, by servers.
    ChangeBytes,
    /// Processor time of the discovery client for one complete list, by servers.
    ReadList,
    /// Time from its call until it has that list, by servers.
    ReadListTime,
    /// Processor time in which discovery makes the complete list, once a version, by servers.
    MakeList,
    /// Processor time of discovery to send a complete list that is made, by servers.
    ServeList,
    /// Processor time of discovery to notify all long polls of one change, by watches.
    ServeChange,
    /// Bytes that discovery sends then, by watches.
    ServeChangeBytes,
    /// Servers that a node of one service talks to within a minute, by servers.
    Connections,
    /// Servers that a node talks to within a minute, with a list for each service, by services.
    ServiceConnections,
}

impl Quantity {
    /// Whether the quantity is an amount of memory. Memory is measured before all other quantities: otherwise
    /// the process would reuse memory that they have freed, and its growth would be too low.
    pub(crate) fn is_memory(self) -> bool {
        matches!(self, Self::TenantMemory | Self::BalancerMemory | Self::NodeMemory)
    }

    /// Returns the unit of the measured values. Only times (`us`, microseconds) are measured repeatedly.
    #[must_use]
    pub fn unit(self) -> &'static str {
        match self {
            Self::TenantMemory | Self::BalancerMemory | Self::NodeMemory => "bytes",
            Self::ListBytes | Self::ChangeBytes | Self::ServeChangeBytes => "bytes",
            Self::Connections | Self::ServiceConnections => "servers",
            _ => "us",
        }
    }

    /// Returns the name of the objects that the size counts, such as servers or tenants.
    #[must_use]
    pub fn size_unit(self) -> &'static str {
        match self {
            Self::TenantMemory | Self::TenantStart => "tenants",
            Self::ServeChange | Self::ServeChangeBytes => "watches",
            Self::ServiceConnections => "services",
            _ => "servers",
        }
    }

    /// Returns the sizes to measure at if the command line names none.
    pub(crate) fn default_sizes(self) -> &'static [usize] {
        match self.size_unit() {
            "tenants" => &[100, 1_000, 10_000, 53_000],
            "watches" => &[100, 500, 1_000, 2_000],
            "services" => &[1, 10, 100, 660],
            _ => &[200, 1_000, 2_000, 8_000, 21_000],
        }
    }

    /// Returns the name in options of the command line and in reports.
    #[must_use]
    pub fn name(self) -> String {
        self.to_possible_value().map_or_else(String::new, |value| value.get_name().to_owned())
    }
}
