//! Measures memory by size: builds many equal objects and divides the growth of the resident memory by their
//! number.

use balancer::net::node::Node;
use balancer::{Balancer, BalancerEvent, EndpointUpdate};

use super::bench::{Bench, RetainedState};
use super::model::{
    decision_settings, decode_list, fleet_size, new_balancer, node_config, node_count, server_entries,
    MAX_NODES,
};
use super::SlopesError;
use crate::catalogue::Catalogue;
use crate::usage::Memory;

/// Total memory of the objects that are built for one measurement, in bytes. It is large enough to make the
/// rounding to pages negligible.
pub(super) const MEMORY_SAMPLE_BYTES: usize = 64 << 20;

/// Total memory of the objects that are built for one measurement, in bytes, if an approximate result is
/// sufficient.
pub(super) const ROUGH_MEMORY_SAMPLE_BYTES: usize = 12 << 20;

/// Maximum number of objects that are built for one measurement.
pub(super) const MAX_STATES: usize = 2_000;

/// Approximate memory of an object for each server, in bytes. It determines how many objects are built, and
/// which sizes are too large.
pub(super) const STATE_BYTES: usize = 600;

impl Bench {
    /// Measures the mean memory of one object in bytes. `build` creates an object from a seed, and
    /// `estimated_bytes` is the approximate memory of one.
    pub(super) fn measure_memory(
        &mut self,
        estimated_bytes: usize,
        mut build: impl FnMut(u64) -> Result<RetainedState, SlopesError>,
    ) -> Result<f64, SlopesError> {
        let count = (self.memory_sample_bytes / estimated_bytes.max(1)).clamp(1, MAX_STATES);
        // The allocator keeps the temporary memory of this first object, and later objects reuse it. It is
        // therefore not measured.
        self.retained_states.push(build(self.seed)?);
        let before = Memory::now().resident;
        for i in 1..=count {
            self.retained_states.push(build(self.seed + i as u64)?);
        }
        Ok((Memory::now().resident.saturating_sub(before)) as f64 / count as f64)
    }

    /// Measures the memory of a `Balancer` with this number of tenants, in bytes.
    pub(super) fn tenant_memory(&mut self, tenants: usize) -> Result<f64, SlopesError> {
        self.measure_memory(tenants * 40, |seed| {
            let mut settings = decision_settings(MAX_NODES);
            settings.quotas_per_s = vec![10.0; tenants];
            let balancer = Balancer::new(settings, seed);
            let balancer = balancer.map_err(|error| SlopesError::Failed(error.to_string()))?;
            Ok(RetainedState::Balancer(Box::new(balancer)))
        })
    }

    /// Measures the memory of a `Balancer` with this number of servers, in bytes.
    pub(super) fn balancer_memory(&mut self, servers: usize) -> Result<f64, SlopesError> {
        let entries = server_entries(&mut Catalogue::without_listeners(fleet_size(servers)))?;
        self.measure_memory(servers * STATE_BYTES / 2, |seed| {
            let mut balancer = new_balancer(node_count(servers), seed)?;
            balancer.handle(
                1_000.0,
                BalancerEvent::EndpointsUpdated(EndpointUpdate::Snapshot(entries.clone())),
                &mut Vec::new(),
            );
            Ok(RetainedState::Balancer(Box::new(balancer)))
        })
    }

    /// Measures the memory of an idle real node with this number of servers, in bytes.
    pub(super) fn node_memory(&mut self, servers: usize) -> Result<f64, SlopesError> {
        let size = fleet_size(servers);
        let body = Catalogue::without_listeners(size).complete_list().body;
        self.measure_memory(servers * STATE_BYTES, |seed| {
            let config = node_config(size, seed, decode_list(&body)?);
            Node::start(config)
                .map(RetainedState::Node)
                .map_err(|error| SlopesError::Failed(error.to_string()))
        })
    }
}
