//! What the tests of changes share.
#![allow(dead_code)]

use register::{Incarnation, Member};
use state::change::first_state;
use state::{ControlState, StoreMember};

pub fn member(station: &str, incarnation: u64) -> Member {
    Member { name: station.into(), incarnation: Incarnation(incarnation), address: format!("{station}:1") }
}

pub fn store(station: &str, incarnation: u64) -> StoreMember {
    StoreMember { member: member(station, incarnation), zone: "z".into() }
}

/// Three acceptors a, b, c and this many stores v0, v1 and so on, one of which may be lost.
pub fn system(stores: u64) -> ControlState {
    let acceptors = vec![member("a", 1), member("b", 2), member("c", 3)];
    let stores = (0..stores).map(|index| store(&format!("v{index}"), 10 + index)).collect();
    first_state(acceptors, stores, 1).expect("there are acceptors")
}

pub fn document(version: u64, route: &str) -> String {
    format!(
        r#"{{"edition":{version},"routes":[{{"name":"{route}","depot":"h","lanePrefix":"/{route}/","kind":"safe",
        "expiryMs":1500,"postalLine":"s"}}],"postalLines":[{{"name":"s","healthPath":"/health"}}]}}"#
    )
}
