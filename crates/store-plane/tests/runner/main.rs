//! Running the items of batch jobs, in simulated time.

mod carried;
mod fleet;
mod runs;
mod sender;
mod support;
mod texts;
