//! Batch jobs on the store machines: replication, running items, results.

pub mod runner;
mod runner_end;
mod runner_job;
pub mod runner_ports;
pub mod runner_sender;
mod runner_start;
pub mod runner_texts;
