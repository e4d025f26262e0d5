//! Settings files of the machines of a fleet.

use settings::NodeSettings;

use super::shape::MachineKind;
use super::Fleet;
use crate::transport::ip_of;

/// Number of seeds in the settings of a machine.
const SEEDS_PER_MACHINE: usize = 3;
/// Port for internal calls.
const INTERNAL_PORT: u16 = 7000;
/// Port of the operator API, which is also the port of seed addresses.
const OPERATOR_PORT: u16 = 9000;
/// Number of zones over which the machines are distributed.
const ZONES: usize = 3;

impl Fleet {
    /// Returns the settings that the platform would write for a machine now.
    pub(super) fn settings_of(&self, index: usize) -> NodeSettings {
        let machine = &self.machines[index];
        let serves = if self.is_store(index) { r#""vault""# } else { r#""counter", "dispatch""# };
        let data = if machine.kind == MachineKind::DisklessNode { "" } else { "dataDir = \"/data\"\n" };
        let text = format!(
            "station = \"{}\"\nip = \"{}\"\nzone = \"zone-{}\"\ninnerPorts = [{INTERNAL_PORT}, {INTERNAL_PORT}]\n\
             serves = [{serves}]\nseedStations = [{}]\nfirstStart = {}\n{data}\
             [withstand]\nmachines = {}\n[timetable]\nleaseMs = 3000\nthawMs = 300\nstatusS = 120\n\
             catchUpS = {}\n{}",
            machine.name,
            ip_of(index),
            index % ZONES,
            self.seed_addresses(index).join(", "),
            machine.is_first_start,
            self.shape.tolerated_failures,
            self.shape.catch_up_time().as_secs_f64(),
            self.limits_of(index),
        );
        NodeSettings::parse(&text).expect("the generated settings are valid")
    }

    /// Returns the section of the settings with the resources of a machine; empty for the defaults.
    fn limits_of(&self, index: usize) -> String {
        let memory_mb = self.shape.store_memory_mb.filter(|_| self.is_store(index));
        memory_mb.map_or_else(String::new, |memory_mb| format!("[limits]\nmemoryMb = {memory_mb}\n"))
    }

    /// Returns the quoted addresses of the seeds of a machine: the configured ones, or the first nodes that
    /// are not removed.
    fn seed_addresses(&self, index: usize) -> Vec<String> {
        let is_present = |node: &usize| !self.is_store(*node) && !self.machines[*node].is_removed();
        let present = self.machines().filter(is_present).take(SEEDS_PER_MACHINE);
        let seeds = self.machines[index].configured_seeds.clone().unwrap_or_else(|| present.collect());
        seeds.into_iter().map(|node| format!("\"{}:{OPERATOR_PORT}\"", ip_of(node))).collect()
    }
}
