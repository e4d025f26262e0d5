//! Memory by size: many equal states are built, and the memory of the process is divided by their number.

use balancer::net::node::Node;
use balancer::{Balancer, BalancerEvent, EndpointUpdate};

use super::bench::{Bench, State};
use super::model::{balancer, config, entries, fleet, nodes, read, settings, MAX_NODES};
use super::SlopesError;
use crate::catalogue::Catalogue;
use crate::usage::Memory;

/// Memory that states are built up to before their size is told, so that pages do not count.
pub(super) const MEMORY_SEEN: usize = 64 << 20;

/// ... and where a rough figure will do.
pub(super) const MEMORY_GUESSED: usize = 12 << 20;

/// No more states than this are built for it.
pub(super) const MAX_STATES: usize = 2_000;

/// A state takes about as many bytes for a server; for how many are built, and for what is refused.
pub(super) const STATE_BYTES: usize = 600;

impl Bench {
    /// Memory of one state, from many: built until they take enough to be seen.
    pub(super) fn memory(
        &mut self,
        bytes_about: usize,
        mut state: impl FnMut(u64) -> Result<State, SlopesError>,
    ) -> Result<f64, SlopesError> {
        let count = (self.memory_seen / bytes_about.max(1)).clamp(1, MAX_STATES);
        // What is needed only while a state is made is there from now on.
        self.states.push(state(self.seed)?);
        let before = Memory::now().resident;
        for i in 1..=count {
            self.states.push(state(self.seed + i as u64)?);
        }
        Ok((Memory::now().resident.saturating_sub(before)) as f64 / count as f64)
    }

    pub(super) fn tenant_memory(&mut self, tenants: usize) -> Result<f64, SlopesError> {
        self.memory(tenants * 40, |seed| {
            let mut settings = settings(MAX_NODES);
            settings.quotas_per_s = vec![10.0; tenants];
            let balancer = Balancer::new(settings, seed);
            let balancer = balancer.map_err(|error| SlopesError::Broken(error.to_string()))?;
            Ok(State::Balancer(Box::new(balancer)))
        })
    }

    pub(super) fn balancer_memory(&mut self, servers: usize) -> Result<f64, SlopesError> {
        let entries = entries(&mut Catalogue::unheard(fleet(servers)))?;
        self.memory(servers * STATE_BYTES / 2, |seed| {
            let mut balancer = balancer(nodes(servers), seed)?;
            balancer.handle(
                1_000.0,
                BalancerEvent::EndpointsUpdated(EndpointUpdate::Snapshot(entries.clone())),
                &mut Vec::new(),
            );
            Ok(State::Balancer(Box::new(balancer)))
        })
    }

    pub(super) fn node_memory(&mut self, servers: usize) -> Result<f64, SlopesError> {
        let size = fleet(servers);
        let body = Catalogue::unheard(size).complete().body;
        self.memory(servers * STATE_BYTES, |seed| {
            let config = config(size, seed, read(&body)?);
            Node::start(config).map(State::Node).map_err(|error| SlopesError::Broken(error.to_string()))
        })
    }
}
