//! An in-memory fleet with a seeded network, disks, clocks, servers and operator.
