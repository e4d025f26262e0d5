//! Batch jobs on the store machines: replication, running items, results.
