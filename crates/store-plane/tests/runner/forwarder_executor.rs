//! Route rules and capacity that the executor derives from the configuration in force.

use std::sync::Arc;
use std::time::Duration;

use configuration::Configuration;
use data_plane::Forwarder;
use state::View;
use store_plane::runner::forwarder_executor::ForwarderExecutor;
use store_plane::runner::ports::{ItemExecutor, JobAddress, RouteRules};
use tokio::sync::watch;

const CONFIGURATION: &str = r#"{
    "edition": 2,
    "routes": [{
        "name": "texts", "depot": "texts.example", "lanePrefix": "/generate/", "kind": "rollout",
        "expiryMs": 1500, "dueMs": 400, "urgency": 1, "postalLine": "engine", "tries": 4,
        "singleEdition": true, "deliveryDueMs": 8000, "shelfLifeS": 15
    }],
    "postalLines": [{ "name": "engine", "healthPath": "/health", "berthCap": 100, "protocol": "h1", "tls": false }],
    "limits": { "labelBytes": 16384, "parcelBytes": 33554432, "labelMs": 3000, "idleMs": 15000 }
}"#;

fn executor(configuration: Option<&str>) -> ForwarderExecutor {
    let configuration =
        configuration.map(|json| Configuration::parse(json.as_bytes()).expect("the configuration is valid"));
    let view = View { configuration: configuration.map(Arc::new), ..View::default() };
    let (_, view) = watch::channel(Arc::new(view));
    ForwarderExecutor::new(Forwarder::new(view, "zone".into()))
}

#[tokio::test]
async fn given_a_route_when_its_rules_are_queried_then_they_match_the_configuration() {
    let rules = executor(Some(CONFIGURATION)).route_rules("texts.example", "/generate/7c41?x=1");

    let expected = RouteRules {
        max_attempts: 4,
        single_version: true,
        delivery_due: Duration::from_secs(8),
        shelf_life: Duration::from_secs(15),
    };
    assert_eq!(rules, Some(expected));
}

#[tokio::test]
async fn given_no_configuration_or_no_matching_route_when_queried_then_there_are_no_rules_and_no_capacity() {
    let address =
        JobAddress { host: "texts.example".into(), path: "/x".into(), model: None, oldest_version: 0 };

    for executor in [executor(None), executor(Some(CONFIGURATION))] {
        assert_eq!(executor.route_rules(&address.host, &address.path), None);
        assert_eq!(executor.free_capacity(&address), 0);
    }
}
