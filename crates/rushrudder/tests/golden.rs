//! Golden files: the trainers' interface to batch jobs, and the help of the command line.
//!
//! What the program answers or prints has to equal the golden file byte for byte. `GOLDEN_WRITE=1` writes the files.

use std::path::PathBuf;
use std::process::Command;
use std::sync::Arc;
use std::time::Duration;

use batch::{JobError, JobId, StoreId};
use data_plane::JobEndpoint;
use futures_util::future::BoxFuture;
use poem::http::Method;
use poem::{Body, Request, Response};
use register::{Ballot, Incarnation, Member, Versioned};
use rpc::{CallError, Transport};
use rushrudder::control::{ControlPlane, OutboundClients};
use rushrudder::job_api::JobApi;
use serde::{Deserialize, Serialize};
use settings::NodeSettings;
use state::{ControlState, StoreMember, StoreSet};
use store_plane::ResultPage;
use yare::parameterized;

const STORE_ADDRESS: &str = "10.1.0.13:7660";
const STORE: StoreId = 77;
const SETTINGS: &str = "station = \"node-1\"\nip = \"10.1.0.12\"\ninnerPorts = [7660, 7675]\n";

fn assert_golden(name: &str, actual: &str) {
    let path = PathBuf::from(env!("CARGO_MANIFEST_DIR")).join("tests/golden").join(name);
    if std::env::var_os("GOLDEN_WRITE").is_some() {
        std::fs::write(&path, actual).expect("the golden file can be written");
    }
    let expected = std::fs::read_to_string(&path).expect("the golden file exists");
    assert_eq!(actual, expected, "{name}");
}

/// A store's answer to a submitted batch job, in the order of the variants on the wire.
#[derive(Clone, Serialize)]
enum SubmitAnswer {
    Accepted,
    Invalid(JobError),
    NotTaken,
    Unsure,
    #[allow(dead_code, reason = "keeps the positions of the variants on the wire")]
    Elsewhere(StoreId),
}

/// A store's answer about a batch job, in the order of the variants on the wire.
#[derive(Clone, Serialize)]
enum StoreAnswer<T> {
    Is(T),
    NoSuchJob,
    Unsure,
    #[allow(dead_code, reason = "keeps the positions of the variants on the wire")]
    Elsewhere(StoreId),
}

/// A call to a store, in the order of the fields on the wire.
#[derive(Deserialize)]
struct StoreCall<T> {
    to: StoreId,
    job: JobId,
    request: T,
}

#[derive(Deserialize)]
struct SubmitRequest {
    host: Arc<str>,
    path: Arc<str>,
    body: bytes::Bytes,
    wait_ms: u64,
}

#[derive(Deserialize)]
struct ReadRequest {
    after: u64,
    hold_ms: u64,
}

/// A store that gives one answer to each call and writes down what it was asked.
struct OneStore {
    answer: Result<Vec<u8>, CallError>,
    calls: std::sync::Mutex<Vec<String>>,
}

impl OneStore {
    fn note(&self, address: &str, path: &str, request: &[u8]) {
        let line = match path {
            "/batch/submit" => {
                let call: StoreCall<SubmitRequest> = rpc::decode(request).expect("a submission");
                let SubmitRequest { host, path, body, wait_ms } = call.request;
                let body = String::from_utf8_lossy(&body).into_owned();
                format!(
                    "to {} job {} host {host} path {path} body {body} wait_ms {wait_ms}",
                    call.to, call.job
                )
            }
            "/batch/read" => {
                let call: StoreCall<ReadRequest> = rpc::decode(request).expect("a read");
                let ReadRequest { after, hold_ms } = call.request;
                format!("to {} job {} after {after} hold_ms {hold_ms}", call.to, call.job)
            }
            "/batch/body" => {
                let call: StoreCall<String> = rpc::decode(request).expect("a read of a body");
                format!("to {} job {} item {}", call.to, call.job, call.request)
            }
            _ => {
                let call: StoreCall<()> = rpc::decode(request).expect("a call without content");
                format!("to {} job {}", call.to, call.job)
            }
        };
        self.calls.lock().expect("not poisoned").push(format!("{address}{path}: {line}"));
    }
}

impl Transport for OneStore {
    fn call<'a>(
        &'a self,
        address: &'a str,
        path: &'a str,
        request: Vec<u8>,
        _timeout: Duration,
    ) -> BoxFuture<'a, Result<bytes::Bytes, CallError>> {
        self.note(address, path, &request);
        let answer = self.answer.clone().map(bytes::Bytes::from);
        Box::pin(async move { answer })
    }
}

fn control(store: &Arc<OneStore>) -> ControlPlane {
    let settings = NodeSettings::parse(SETTINGS).expect("valid");
    let transport: Arc<dyn Transport> = Arc::<OneStore>::clone(store);
    let clients =
        OutboundClients { rpc: rpc::Client::with_transport(transport), ..OutboundClients::http(&settings) };
    let control = ControlPlane::new(&settings, None, clients);
    let member =
        Member { name: "store-1".into(), incarnation: Incarnation(STORE), address: STORE_ADDRESS.into() };
    let members = vec![StoreMember { member, zone: "a".into() }];
    let stores = StoreSet { epoch: 1, members, replication_factor: 1, target_size: 1 };
    let state = ControlState { stores, ..ControlState::default() };
    control.view.adopt_control(&Versioned::new(Ballot { round: 1, proposer: 1 }, Arc::new(state)));
    control
}

async fn render_response(response: Response) -> String {
    let mut text = format!("{}\n", response.status());
    for (name, value) in response.headers() {
        text += &format!("{name}: {}\n", value.to_str().expect("a text"));
    }
    let body = response.into_body().into_bytes().await.expect("a body");
    text + "\n" + std::str::from_utf8(&body).expect("a text") + "\n"
}

/// The answer of a node to a call while its only store answers with `answer`, and the first call to that store.
async fn exchange(answer: Result<Vec<u8>, CallError>, request: Request) -> String {
    let store = Arc::new(OneStore { answer, calls: std::sync::Mutex::default() });
    let response = JobApi::new(&control(&store)).handle(request).await;
    let answered = render_response(response).await;
    let calls = store.calls.lock().expect("not poisoned");
    let call = calls.first().map_or("no store was asked", String::as_str);
    format!("{answered}\n{call}\n")
}

fn request(method: Method, uri: &str) -> poem::RequestBuilder {
    Request::builder().method(method).uri(uri.parse().expect("a URI"))
}

fn submission() -> Request {
    request(Method::POST, "/r/jobs?a=b").header("Host", "h").header("Attempt-Id", "job-1").body(r#"{"a":1}"#)
}

fn encoded<T: Serialize>(answer: &T) -> Result<Vec<u8>, CallError> {
    Ok(rpc::encode(answer))
}

fn results_page(deliveries: &'static str) -> Result<Vec<u8>, CallError> {
    encoded(&StoreAnswer::Is(ResultPage { total: 3, next: 2, deliveries: deliveries.into() }))
}

#[parameterized(
    accepted = { "submit-accepted", SubmitAnswer::Accepted },
    unreadable = { "submit-unreadable", SubmitAnswer::Invalid(JobError::Malformed("the cause".into())) },
    empty = { "submit-empty", SubmitAnswer::Invalid(JobError::NoItems) },
    repeated = { "submit-repeated-item", SubmitAnswer::Invalid(JobError::DuplicateItem("item-1".into())) },
    bad_body = { "submit-bad-body", SubmitAnswer::Invalid(JobError::InvalidBody("item-1".into())) },
    not_taken = { "submit-not-taken", SubmitAnswer::NotTaken },
    unsure = { "submit-unsure", SubmitAnswer::Unsure },
)]
#[test_macro(tokio::test(start_paused = true))]
async fn given_a_store_answers_when_a_job_is_submitted_then_the_reply_is_golden(
    name: &str,
    answer: SubmitAnswer,
) {
    let answered = exchange(encoded(&answer), submission()).await;
    assert_golden(&format!("{name}.txt"), &answered);
}

#[parameterized(
    not_sent = { "submit-store-not-reached", CallError::NotSent("down".into()) },
    unknown = { "submit-store-silent", CallError::Unknown("silent".into()) },
)]
#[test_macro(tokio::test(start_paused = true))]
async fn given_a_store_fails_when_a_job_is_submitted_then_the_reply_is_golden(name: &str, error: CallError) {
    assert_golden(&format!("{name}.txt"), &exchange(Err(error), submission()).await);
}

#[parameterized(
    no_id = { "submit-without-id", request(Method::POST, "/r/jobs").header("Host", "h").body("{}") },
    no_host = { "submit-without-host", request(Method::POST, "/r/jobs").header("Attempt-Id", "j").body("{}") },
    too_large = {
        "submit-too-large",
        request(Method::POST, "/r/jobs").header("Host", "h").header("Attempt-Id", "j").body(vec![b' '; 33554433])
    },
    read_method = { "lots-wrong-method", request(Method::POST, "/api/lots/job-1").body(Body::empty()) },
    item_method = { "items-wrong-method", request(Method::DELETE, "/api/items/job-1").body(Body::empty()) },
    bad_after = { "read-bad-after", request(Method::GET, "/api/lots/job-1?after=x").body(Body::empty()) },
    no_item = { "body-without-id", request(Method::GET, "/api/items/job-1?after=x").body(Body::empty()) },
)]
#[test_macro(tokio::test(start_paused = true))]
async fn given_a_faulty_call_when_handled_then_the_reply_is_golden(name: &str, request: Request) {
    let answered = exchange(encoded(&SubmitAnswer::Accepted), request).await;
    assert_golden(&format!("{name}.txt"), &answered);
}

#[parameterized(
    page = { "read-page", results_page(r#"[{"id":"item-1","state":"delivered"}]"#) },
    bad_page = { "read-unreadable-page", results_page("[{") },
    no_such_job = { "read-no-such-job", encoded(&StoreAnswer::<ResultPage>::NoSuchJob) },
    unsure = { "read-unsure", encoded(&StoreAnswer::<ResultPage>::Unsure) },
)]
#[test_macro(tokio::test(start_paused = true))]
async fn given_a_store_answers_when_results_are_read_then_the_reply_is_golden(
    name: &str,
    answer: Result<Vec<u8>, CallError>,
) {
    let read =
        request(Method::GET, "/api/lots/job-1?x=1&after=1").header("Hold-Ms", "9000").body(Body::empty());
    assert_golden(&format!("{name}.txt"), &exchange(answer, read).await);
}

#[parameterized(
    body = { "body-found", StoreAnswer::Is(Some("the body".into())) },
    no_item = { "body-no-such-item", StoreAnswer::Is(None) },
    no_such_job = { "body-no-such-job", StoreAnswer::NoSuchJob },
    unsure = { "body-unsure", StoreAnswer::Unsure },
)]
#[test_macro(tokio::test(start_paused = true))]
async fn given_a_store_answers_when_a_body_is_read_then_the_reply_is_golden(
    name: &str,
    answer: StoreAnswer<Option<bytes::Bytes>>,
) {
    let read = request(Method::GET, "/api/items/job-1?id=item-1").body(Body::empty());
    assert_golden(&format!("{name}.txt"), &exchange(encoded(&answer), read).await);
}

#[parameterized(
    ended = { "end-ended", StoreAnswer::Is(()) },
    no_such_job = { "end-no-such-job", StoreAnswer::NoSuchJob },
    unsure = { "end-unsure", StoreAnswer::Unsure },
)]
#[test_macro(tokio::test(start_paused = true))]
async fn given_a_store_answers_when_a_job_is_ended_then_the_reply_is_golden(
    name: &str,
    answer: StoreAnswer<()>,
) {
    let end = request(Method::DELETE, "/api/lots/job-1").body(Body::empty());
    assert_golden(&format!("{name}.txt"), &exchange(encoded(&answer), end).await);
}

#[parameterized(
    program = { "help-program", &["--help"] },
    node = { "help-node", &["node", "--help"] },
    store = { "help-store", &["store", "--help"] },
    local = { "help-local", &["local", "--help"] },
    check = { "help-check", &["check", "--help"] },
    nothing = { "no-arguments", &[] },
    check_of_nothing = { "check-without-file", &["check"] },
    unknown_command = { "unknown-command", &["unknown"] },
    unknown_option = { "unknown-option", &["node", "--unknown"] },
)]
fn given_arguments_when_the_program_runs_then_its_output_is_golden(name: &str, arguments: &[&str]) {
    let program = env!("CARGO_BIN_EXE_rushrudder");
    let output = Command::new(program).args(arguments).output().expect("it runs");
    let code = output.status.code().expect("no signal");
    let (printed, failed) =
        (String::from_utf8_lossy(&output.stdout), String::from_utf8_lossy(&output.stderr));
    let rendered = format!("exit code {code}\n--- standard output\n{printed}--- standard error\n{failed}");
    assert_golden(&format!("{name}.txt"), &rendered.replace(program, "rushrudder"));
}
