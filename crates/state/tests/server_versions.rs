//! Weight versions in server lists: merging of reports, and of earlier lists.

use std::collections::BTreeMap;
use std::sync::Arc;

use state::{ServerCondition, ServerEntry, ServerList, ServerListVersion};
use yare::parameterized;

fn server(id: &str, models: &[(&str, u64)]) -> ServerEntry {
    ServerEntry {
        id: id.into(),
        service: "engine".into(),
        address: ([10, 0, 0, 1], 80).into(),
        zone: "a".into(),
        slots: 6,
        condition: ServerCondition::Open,
        warm_up_ms: 0,
        models: versions(models),
    }
}

fn versions(models: &[(&str, u64)]) -> BTreeMap<Arc<str>, u64> {
    models.iter().map(|(model, version)| (Arc::from(*model), *version)).collect()
}

fn list(servers: Vec<ServerEntry>) -> ServerList {
    ServerList::new(ServerListVersion::default(), servers)
}

#[parameterized(
    reported_newer = { 2, 3, 3 },
    reported_older = { 3, 2, 3 },
    reported_same = { 2, 2, 2 },
)]
fn given_a_report_when_merged_into_a_list_then_versions_never_decrease(
    listed: u64,
    reported: u64,
    merged: u64,
) {
    let mut known = list(vec![server("a", &[("m", listed)]), server("b", &[("m", 1)])]);
    known.raise_versions(&BTreeMap::from([("a".into(), versions(&[("m", reported), ("other", 9)]))]));
    assert_eq!(known, list(vec![server("a", &[("m", merged)]), server("b", &[("m", 1)])]));
}

#[test]
fn given_a_lagging_list_when_read_then_the_known_versions_of_each_incarnation_are_retained() {
    let known = list(vec![server("a", &[("m", 3)]), server("b", &[("m", 3)])]);
    let mut read = list(vec![server("a", &[("m", 2)]), server("b2", &[("m", 2)])]);
    read.retain_versions(&known);
    assert_eq!(read, list(vec![server("a", &[("m", 3)]), server("b2", &[("m", 2)])]));
}
