//! A leader lease granted by a majority.
