//! The two roles of the system, assembled from the crates of the control plane, data plane and store plane.
//!
//! [`node::TrafficNode`] and [`store::BatchStore`] both contain a [`control::ControlPlane`]. The program
//! connects them through sockets. The simulator runs them with its own [`control::OutboundClients`].

pub mod control;
mod error;
pub mod job_api;
pub mod node;
pub mod signals;
pub mod store;

pub use error::RoleError;
