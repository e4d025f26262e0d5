//! The traffic of a node: front, sender, streams.
