//! Executes the steps of a scenario.

use std::collections::HashMap;

use super::running_fleet::RunningFleet;
use crate::catalogue::{Catalogue, Phase, Reachability};
use crate::steps::Step;

impl RunningFleet {
    /// Changes the servers that currently occupy `slots`.
    fn change_servers(&self, slots: &[usize], change: impl Fn(&mut Catalogue, &[usize])) {
        self.world.change(|catalogue| {
            let numbers = catalogue.servers_in(slots);
            change(catalogue, &numbers);
        });
    }

    /// Executes a step. `batches` contains the draining servers of each batch of a rolling replacement that
    /// has not been retired yet.
    pub(super) fn execute(&self, step: &Step, batches: &mut HashMap<usize, Vec<usize>>) {
        tracing::debug!(?step, "executing a step of the scenario");
        let up_since = self.world.now_ms() as u64;
        match step {
            Step::Drain(slots) => {
                self.change_servers(slots, |c, numbers| c.set_phase(numbers, Phase::Leaving))
            }
            Step::Leave(slots) => self.change_servers(slots, remove),
            Step::StopResponding(slots) => self
                .change_servers(slots, |c, numbers| c.set_reachability(numbers, Reachability::Unresponsive)),
            Step::Unlist(slots) => self.change_servers(slots, |c, numbers| c.set_phase(numbers, Phase::Left)),
            Step::Return(slots) => self.change_servers(slots, |c, numbers| c.restart(numbers, up_since)),
            Step::Replace { batch, slots } => self.world.change(|catalogue| {
                let old = catalogue.servers_in(slots);
                catalogue.join(slots, up_since);
                catalogue.set_phase(&old, Phase::Leaving);
                batches.insert(*batch, old);
            }),
            Step::Retire { batch } => {
                let old = batches.remove(batch).unwrap_or_default();
                self.world.change(|catalogue| remove(catalogue, &old));
            }
            Step::SetServiceWeight { service, weight } => {
                self.world.change(|c| c.set_service_weight(*service, *weight))
            }
            Step::Partition { region, partitioned } => self.world.set_partitioned(*region, *partitioned),
            Step::SetDiscoveryResponsive(responsive) => {
                (0..self.world.catalogue().size().regions)
                    .for_each(|region| self.world.set_discovery_responsive(region, *responsive));
            }
            Step::RestartNodes(nodes) => nodes.iter().for_each(|node| self.start_node(*node)),
        }
    }
}

/// Ends the processes of servers and removes them from the list.
fn remove(catalogue: &mut Catalogue, numbers: &[usize]) {
    catalogue.set_reachability(numbers, Reachability::Terminated);
    catalogue.set_phase(numbers, Phase::Left);
}
