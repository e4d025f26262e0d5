//! Tests of the runner, which runs the items of batch jobs, mostly in simulated time.

mod forwarder_executor;
mod harness;
mod memory;
mod output_cache;
mod ownership;
mod repeated_items;
mod retries;
mod runs;
mod scheduling;
mod shared_servers;
