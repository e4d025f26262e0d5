//! Tests of the node's binary over loopback sockets, with scripted servers, clients and discovery.

#[path = "../net/mod.rs"]
mod net;

mod attempts;
mod clients;
mod configuration;
mod requests;
mod servers;
