//! Stand-ins of clients and of the load balancer through which clients and trainers reach the nodes.

mod client;
mod load_balancer;

pub use client::{Client, ClientCounts};
pub use load_balancer::LoadBalancer;
