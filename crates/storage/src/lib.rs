//! Durable state in a ring of preallocated files.
