//! Control of a node: register, lease, operator's interface, list of servers, distribution.
