//! Running the items of batch jobs, in simulated time.

mod forwarder_executor;
mod harness;
mod output_cache;
mod ownership;
mod repeated_items;
mod retries;
mod runs;
mod scheduling;
mod shared_servers;
