//! Carries out the steps of a scenario.

use std::collections::HashMap;

use super::running_fleet::RunningFleet;
use crate::catalogue::{Catalogue, Phase, Reach};
use crate::steps::Step;

impl RunningFleet {
    /// Changes the servers that stand in slots now.
    fn change_servers(&self, slots: &[usize], change: impl Fn(&mut Catalogue, &[usize])) {
        self.world.change(|catalogue| {
            let numbers = catalogue.numbers(slots);
            change(catalogue, &numbers);
        });
    }

    /// Carries out a step. `batches` holds the servers that replacements have left draining.
    pub(super) fn carry_out(&self, step: &Step, batches: &mut HashMap<usize, Vec<usize>>) {
        tracing::debug!(?step, "step");
        let up_since = self.world.now_ms() as u64;
        match step {
            Step::Drain(slots) => {
                self.change_servers(slots, |c, numbers| c.set_phase(numbers, Phase::Leaving))
            }
            Step::Leave(slots) => self.change_servers(slots, remove),
            Step::Silence(slots) => {
                self.change_servers(slots, |c, numbers| c.set_reach(numbers, Reach::Silent))
            }
            Step::Unlist(slots) => self.change_servers(slots, |c, numbers| c.set_phase(numbers, Phase::Left)),
            Step::Return(slots) => self.change_servers(slots, |c, numbers| c.restart(numbers, up_since)),
            Step::Replace { batch, slots } => self.world.change(|catalogue| {
                let old = catalogue.numbers(slots);
                catalogue.join(slots, up_since);
                catalogue.set_phase(&old, Phase::Leaving);
                batches.insert(*batch, old);
            }),
            Step::Retire { batch } => {
                let old = batches.remove(batch).unwrap_or_default();
                self.world.change(|catalogue| remove(catalogue, &old));
            }
            Step::Weigh { service, weight } => self.world.change(|c| c.weigh(*service, *weight)),
            Step::Partition { region, partitioned } => self.world.set_partitioned(*region, *partitioned),
            Step::DiscoveryAnswering(answering) => {
                (0..self.world.catalogue().size().regions)
                    .for_each(|region| self.world.set_discovery_answering(region, *answering));
            }
            Step::RestartNodes(nodes) => nodes.iter().for_each(|node| self.start_node(*node)),
        }
    }
}

/// The processes of servers end, and discovery knows.
fn remove(catalogue: &mut Catalogue, numbers: &[usize]) {
    catalogue.set_reach(numbers, Reach::Gone);
    catalogue.set_phase(numbers, Phase::Left);
}
