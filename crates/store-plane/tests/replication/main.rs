//! Batch jobs on stores that run in this process, on loopback sockets and disks in memory.

mod calls;
mod cluster;
mod disk;
mod disks;
mod failover;
mod retention;
mod store_process;
