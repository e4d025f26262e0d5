//! Submissions of batch jobs that a node handles at the same time.

use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Arc;
use std::time::Duration;

use data_plane::JobEndpoint;
use futures_util::future::{join_all, BoxFuture};
use poem::http::{Method, StatusCode};
use poem::{Request, Response};
use register::{Ballot, Incarnation, Member, Versioned};
use rpc::{CallError, Transport};
use rushrudder::control::{ControlPlane, OutboundClients};
use rushrudder::job_api::JobApi;
use settings::NodeSettings;
use state::{ControlState, StoreMember, StoreSet};

/// Settings of a node with memory for one submission of [`BODY_BYTES`].
const SETTINGS: &str =
    "station = \"node-1\"\nip = \"10.1.0.12\"\ninnerPorts = [7660, 7675]\n[limits]\nmemoryMb = 1\n";
/// Length of the body of a submission.
const BODY_BYTES: usize = 200_000;

/// Transport to a store that does not answer. Counts the bytes of the calls in flight.
#[derive(Default)]
struct UnresponsiveStore {
    in_flight: AtomicUsize,
    most_in_flight: AtomicUsize,
}

impl Transport for UnresponsiveStore {
    fn call<'a>(
        &'a self,
        _address: &'a str,
        _path: &'a str,
        request: Vec<u8>,
        timeout: Duration,
    ) -> BoxFuture<'a, Result<bytes::Bytes, CallError>> {
        Box::pin(async move {
            let in_flight = self.in_flight.fetch_add(request.len(), Ordering::SeqCst) + request.len();
            self.most_in_flight.fetch_max(in_flight, Ordering::SeqCst);
            tokio::time::sleep(timeout).await;
            self.in_flight.fetch_sub(request.len(), Ordering::SeqCst);
            Err(CallError::Unknown("no answer".to_owned()))
        })
    }
}

/// Returns the interface of a node for which `store` is the only store.
fn job_api(store: &Arc<UnresponsiveStore>) -> JobApi {
    let settings = NodeSettings::parse(SETTINGS).expect("the settings are valid");
    let transport: Arc<dyn Transport> = Arc::<UnresponsiveStore>::clone(store);
    let clients =
        OutboundClients { rpc: rpc::Client::with_transport(transport), ..OutboundClients::http(&settings) };
    let control = ControlPlane::new(&settings, None, clients);
    let member =
        Member { name: "store-1".into(), incarnation: Incarnation(77), address: "10.1.0.13:7660".into() };
    let members = vec![StoreMember { member, zone: "a".into() }];
    let stores = StoreSet { epoch: 1, members, replication_factor: 1, target_size: 1 };
    let state = ControlState { stores, ..ControlState::default() };
    control.view.adopt_control(&Versioned::new(Ballot { round: 1, proposer: 1 }, Arc::new(state)));
    JobApi::new(&settings, &control)
}

fn submission(number: usize) -> Request {
    Request::builder()
        .method(Method::POST)
        .uri("/r/jobs".parse().expect("the URI is valid"))
        .header("Host", "h")
        .header("Attempt-Id", format!("job-{number}"))
        .header("Content-Length", BODY_BYTES)
        .body(vec![b'x'; BODY_BYTES])
}

/// Guards against a node that goes over its memory when several trainers submit large batch jobs at the same time
/// (docs/incidents/store-memory.md).
#[tokio::test(start_paused = true)]
async fn given_more_submissions_than_memory_when_handled_then_one_is_sent_at_a_time_and_others_may_retry() {
    let store = Arc::new(UnresponsiveStore::default());
    let api = job_api(&store);

    let responses: Vec<Response> = join_all((0..4).map(|number| api.handle(submission(number)))).await;

    assert!(store.most_in_flight.load(Ordering::SeqCst) < 2 * BODY_BYTES, "one is in flight at a time");
    let refused = |response: &&Response| response.status() == StatusCode::SERVICE_UNAVAILABLE;
    let refused: Vec<&Response> = responses.iter().filter(refused).collect();
    assert_eq!(refused.len(), 2, "two have no memory in time");
    assert!(refused.iter().all(|response| response.headers().contains_key("retry-after")));
}

#[tokio::test(start_paused = true)]
async fn given_a_declared_length_over_the_limit_when_submitted_then_the_body_is_not_read() {
    let store = Arc::new(UnresponsiveStore::default());
    let api = job_api(&store);
    let mut request = submission(0);
    request.headers_mut().insert("Content-Length", "33554433".parse().expect("a header value"));

    let response = api.handle(request).await;

    assert_eq!(response.status(), StatusCode::PAYLOAD_TOO_LARGE);
    assert_eq!(store.most_in_flight.load(Ordering::SeqCst), 0);
}
