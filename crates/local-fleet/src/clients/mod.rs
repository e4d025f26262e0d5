//! The emulated clients, and the emulated load balancer through which clients and the trainer reach the
//! nodes.

mod client;
mod load_balancer;

pub use client::{Client, ClientCounts};
pub use load_balancer::LoadBalancer;
