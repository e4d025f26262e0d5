//! The roles of the system, assembled from the libraries of the planes.

pub mod control;
mod error;
pub mod jobs;
pub mod node;
pub mod signals;
pub mod store;

pub use error::RoleError;
