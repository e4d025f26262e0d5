//! The settings file of a process.
