//! Choice of a server for a request: pools, versions, health.
