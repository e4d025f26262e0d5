//! Checks that the system parses the settings and configurations that this crate writes, and that this crate
//! parses the options that describe faults.

use std::path::Path;

use configuration::Configuration;
use local_fleet::deployment::{
    ClientLimits, ConfigurationFile, ConfigurationPatch, Layout, Names, ProcessFault, ProcessFaultKind,
    RouteEntry, RouteRemovals, RouteUpdates, ServiceEntry, SettingsFile,
};
use settings::NodeSettings;
use yare::parameterized;

fn layout(nodes: u8, stores: u8) -> Layout {
    Layout { subnet: 7, nodes, stores, plain_servers: 1, engines: 1 }
}

fn parsed_settings(file: &SettingsFile) -> NodeSettings {
    NodeSettings::parse(&file.to_toml().expect("serialized settings")).expect("valid settings")
}

#[test]
fn given_the_settings_of_a_node_when_parsed_then_they_have_its_name_the_seeds_and_a_data_directory() {
    let settings = parsed_settings(&SettingsFile::node(&layout(4, 3), 1, Path::new("files")));
    assert_eq!(settings.machine_name, "counter-zone-b-2");
    assert_eq!(settings.seeds, ["127.10.7.1:8146", "127.10.7.2:8146", "127.10.7.3:8146"]);
    assert_eq!(settings.data_dir.as_deref(), Some(Path::new("files/data")));
    assert!(settings.first_start);
}

#[test]
fn given_the_settings_of_a_fourth_node_when_parsed_then_they_have_no_data_directory() {
    assert_eq!(parsed_settings(&SettingsFile::node(&layout(4, 3), 3, Path::new("files"))).data_dir, None);
}

#[parameterized(
    three_of_each = { 3, 3, 1 },
    one_store = { 3, 1, 0 },
    one_node = { 1, 3, 0 },
)]
fn given_the_settings_of_a_store_when_parsed_then_the_tolerated_failures_depend_on_the_number_of_machines(
    nodes: u8,
    stores: u8,
    tolerated_failures: u32,
) {
    let settings = parsed_settings(&SettingsFile::store(&layout(nodes, stores), 0, Path::new("files")));
    assert_eq!(settings.machine_name, "vault-zone-a-1");
    assert_eq!(u64::from(settings.fault_tolerance.machines), u64::from(tolerated_failures));
}

fn configuration(names: &Names) -> ConfigurationFile {
    ConfigurationFile {
        version: 2,
        routes: vec![
            RouteEntry::safe(names, "/a/"),
            RouteEntry::reward(names, "/b/"),
            RouteEntry::rollout(names, "/c/", true),
        ],
        services: vec![
            ServiceEntry::engines(&names.engine_service, &names.model, 8, 1000),
            ServiceEntry::plain(&names.plain_service),
        ],
        limits: ClientLimits::default(),
    }
}

#[test]
fn given_a_configuration_when_parsed_then_it_is_valid() {
    let json = serde_json::to_vec(&configuration(&Names::random())).expect("JSON");
    assert_eq!(Configuration::parse(&json).expect("a valid configuration").routes().len(), 3);
}

#[test]
fn given_a_patch_when_applied_then_routes_are_added_replaced_and_removed() {
    let names = Names::random();
    let mut replaced = RouteEntry::safe(&names, "/b/");
    replaced.max_attempts = 9;
    let added = RouteEntry::safe(&names, "/d/");
    let updates = RouteUpdates { routes: vec![replaced.clone(), added.clone()] };
    let patch =
        ConfigurationPatch { version: 5, updates, removals: RouteRemovals { routes: vec!["r-a".into()] } };
    let patched = configuration(&names).patched(&patch);
    assert_eq!(patched.version, 5);
    assert_eq!(patched.routes, [replaced, RouteEntry::rollout(&names, "/c/", true), added]);
}

#[parameterized(
    kill = { "1:kill:node-1", ProcessFaultKind::Kill, "node-1" },
    wipe = { "1:wipe:store-2", ProcessFaultKind::Wipe, "store-2" },
    stop = { "1:stop:node-1", ProcessFaultKind::Stop, "node-1" },
    kill_all = { "1:kill-all", ProcessFaultKind::KillAll, "" },
)]
fn given_the_text_of_a_fault_when_parsed_then_step_kind_and_process_are_returned(
    text: &str,
    kind: ProcessFaultKind,
    process: &str,
) {
    assert_eq!(text.parse(), Ok(ProcessFault { after_step: 1, kind, process: process.into() }));
}

#[parameterized(
    empty = { "" },
    no_step = { "kill:node-1" },
    no_process = { "1:kill" },
    unknown_kind = { "1:melt:node-1" },
)]
fn given_a_text_that_describes_no_fault_when_parsed_then_it_is_rejected(text: &str) {
    assert!(text.parse::<ProcessFault>().is_err());
}
