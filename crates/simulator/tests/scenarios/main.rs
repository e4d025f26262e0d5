//! Scenarios with specific faults, from the first start of a fleet to the results of its batch jobs. The
//! documentation for operators names the same faults.

mod configuration;
mod faults;
mod first_start;
mod large_jobs;
mod lease;
mod losses;
mod membership;
mod memory;
mod orders;
mod partitions;
mod scenario;
mod seeds;
mod support;
mod suspended;
