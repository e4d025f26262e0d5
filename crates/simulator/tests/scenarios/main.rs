//! Stories from the first start to results that are read back, with the faults that the operators' pages
//! name.

mod configuration;
mod faults;
mod first_start;
mod lease;
mod losses;
mod membership;
mod partitions;
mod scenario;
mod seeds;
mod support;
mod suspended;
