//! Batch jobs: replicated logs, fenced owners, the order of items.
