//! Running the items of batch jobs, in simulated time.

mod forwarder_executor;
mod harness;
mod output_cache;
mod repeated_items;
mod runs;
mod shared_servers;
