//! A small fleet on loopback: stand-ins of platform, servers, operator and trainers.
