//! The steps of scenarios. Each step asserts its expected outcome.

use std::time::Duration;

use simulator::{ExternalReply, ExternalRequest, Fleet, FleetShape, JobCall, OperatorOrder};

/// Time limit of an operator's order after the first start, while a majority of the acceptors is present.
pub const ORDER_TIMEOUT: Duration = Duration::from_secs(20);
/// Time limit of the first order. It is longer, because the first start must collect the announcements of the
/// machines before the order can be executed.
const START_TIMEOUT: Duration = Duration::from_secs(30);
/// Minimum time between the orders of two lease holders.
const MIN_GAP_BETWEEN_HOLDERS: Duration = Duration::from_secs(3);
/// Number of items of a batch job.
const ITEMS: usize = 6;

/// Size of the items of a batch job beyond the few bytes that each has.
#[derive(Clone, Copy, Debug, Default)]
pub struct ItemSize {
    /// Number of characters by which the id is longer. A text contains the id of its item, so that the results
    /// become longer too.
    pub id_padding: usize,
    /// Length of the base64 of the request body, in groups of four characters.
    pub payload_quads: usize,
}

/// A fleet and the work that it has acknowledged so far.
pub struct Scenario {
    pub fleet: Fleet,
    /// Version and text of the newest acknowledged configuration.
    configuration: (u64, String),
    /// The newest acknowledged target version of the model.
    target_version: u64,
    /// The accepted batch jobs, each with the results of the last read.
    jobs: Vec<(String, Vec<batch::ItemResult>)>,
}

impl Scenario {
    /// Starts a fleet for the first time and waits until the first configuration is acknowledged. The
    /// environment variable `SIMULATOR_LOG` sets the level of printed log lines.
    pub fn start(seed: u64, shape: FleetShape) -> Self {
        if let Some(level) = std::env::var("SIMULATOR_LOG").ok().and_then(|level| level.parse().ok()) {
            simulator::print_logs(level);
        }
        let fleet = Fleet::start(seed, shape);
        let mut scenario =
            Self { fleet, configuration: (0, String::new()), target_version: 1, jobs: Vec::new() };
        scenario.change_configuration_within(START_TIMEOUT);
        scenario
    }

    /// Changes the configuration and waits for the acknowledgement.
    pub fn change_configuration(&mut self) {
        self.change_configuration_within(ORDER_TIMEOUT);
    }

    /// Changes the configuration and waits for the acknowledgement, at most for `timeout`.
    pub fn change_configuration_within(&mut self, timeout: Duration) {
        self.put_configuration(timeout, 0);
    }

    /// Puts a configuration with `more_routes` additional routes and waits for the acknowledgement, at most
    /// for `timeout`. Then sends the same change again, which must be acknowledged too.
    pub fn put_configuration(&mut self, timeout: Duration, more_routes: usize) {
        let expected = self.configuration.0;
        let body = document_with_routes(expected + 3, more_routes);
        let order = OperatorOrder::Put { expected, body: body.clone() };
        assert_status(&self.fleet.execute_order(timeout, &order), 200);
        self.configuration = (expected + 3, body);
        assert_status(&self.fleet.execute_order(timeout, &order), 200);
    }

    /// Changes the configuration through the nodes other than `node`; returns the new version.
    pub fn change_configuration_at_other_nodes(&mut self, node: usize) -> u64 {
        let expected = self.configuration.0;
        let body = document(expected + 3);
        let order = ExternalRequest::Operator(OperatorOrder::Put { expected, body: body.clone() });
        let until = self.fleet.now + ORDER_TIMEOUT;
        let others: Vec<usize> = self.fleet.nodes().filter(|other| *other != node).collect();
        for other in others.iter().cycle() {
            assert!(self.fleet.now < until, "the other nodes do not acknowledge the change in time");
            match self.fleet.request_and_wait(*other, order.clone()) {
                Some(ExternalReply::Status(200)) => break,
                None | Some(ExternalReply::Status(503)) => {}
                reply => panic!("the change received the unexpected reply {reply:?}"),
            }
        }
        self.configuration = (expected + 3, body);
        expected + 3
    }

    /// Sets the next target version of the model and waits for the acknowledgement.
    pub fn set_target_version(&mut self) {
        self.set_target_version_within(ORDER_TIMEOUT);
    }

    /// Sets the next target version of the model and waits for the acknowledgement, at most for `timeout`.
    pub fn set_target_version_within(&mut self, timeout: Duration) {
        self.target_version += 1;
        let order = OperatorOrder::SetTargetVersion { model: "m".into(), version: self.target_version };
        assert_status(&self.fleet.execute_order(timeout, &order), 200);
    }

    /// Waits until all servers have the target version.
    pub fn await_rollout(&mut self) {
        let version = self.target_version;
        let is_rolled_out = |fleet: &Fleet| fleet.servers.iter().all(|server| server.version("m") == version);
        assert!(
            self.fleet.run_until(Duration::from_secs(40), is_rolled_out),
            "version {version} is not rolled out to all servers in time"
        );
    }

    /// Submits a batch job and waits until it is accepted. Then submits it again, which must be accepted too.
    pub fn submit_job(&mut self, job: &str) {
        self.submit_job_of_size(job, ItemSize::default());
    }

    /// Submits a batch job as [`Scenario::submit_job`] does, whose items have a certain size.
    pub fn submit_job_of_size(&mut self, job: &str, size: ItemSize) {
        let body = JobCall::Submit(job_body(job, self.target_version, size));
        assert_status(&self.fleet.execute_job_call(ORDER_TIMEOUT, job, body.clone()), 202);
        self.jobs.push((job.to_owned(), Vec::new()));
        assert_status(&self.fleet.execute_job_call(ORDER_TIMEOUT, job, body), 202);
    }

    /// Submits a batch job at one node after the other, `attempts` times at most, until it is accepted. Returns whether
    /// it was.
    pub fn submit_job_with_attempts(&mut self, job: &str, size: ItemSize, attempts: usize) -> bool {
        let submission = JobCall::Submit(job_body(job, self.target_version, size));
        let request = ExternalRequest::Job(job.to_owned(), submission);
        let nodes: Vec<usize> = self.fleet.nodes().collect();
        for node in nodes.iter().cycle().take(attempts) {
            if self.fleet.request_and_wait(*node, request.clone()) == Some(ExternalReply::Status(202)) {
                self.jobs.push((job.to_owned(), Vec::new()));
                return true;
            }
            self.fleet.run_for(Duration::from_millis(300));
        }
        false
    }

    /// Reads all batch jobs until all results are complete.
    pub fn read_all_results(&mut self) {
        let until = self.fleet.now + Duration::from_secs(60);
        for index in 0..self.jobs.len() {
            while self.read_results(index) < ITEMS {
                assert!(
                    self.fleet.now < until,
                    "the results of batch job {} are not complete in time",
                    self.jobs[index].0
                );
                self.fleet.run_for(Duration::from_millis(400));
            }
        }
    }

    /// Reads the results of a batch job and returns their number. Results of earlier reads must have kept
    /// their positions, and each item must occur once with the text that servers generate for it.
    fn read_results(&mut self, index: usize) -> usize {
        let (job, previous_results) = &mut self.jobs[index];
        let ExternalReply::Results(results) =
            self.fleet.execute_job_call(ORDER_TIMEOUT, job, JobCall::Read(0))
        else {
            panic!("the results of batch job {job} cannot be read")
        };
        assert!(
            results.starts_with(previous_results),
            "the results of batch job {job} changed from {previous_results:?} to {results:?}"
        );
        for result in &results {
            assert_eq!(result.text, format!("the text of {}", result.id));
            assert_eq!(results.iter().filter(|other| other.id == result.id).count(), 1);
        }
        previous_results.clone_from(&results);
        results.len()
    }

    /// Asserts that the acknowledged configuration and all results that were read are still the same, and
    /// that no server has received conflicting orders.
    pub fn assert_acknowledged_work(&mut self) {
        let ExternalReply::Configuration(version, text) =
            self.fleet.execute_order(ORDER_TIMEOUT, &OperatorOrder::Read)
        else {
            panic!("the configuration cannot be read")
        };
        assert_eq!((version, text), self.configuration);
        (0..self.jobs.len()).for_each(|job| {
            self.read_results(job);
        });
        assert_eq!(self.fleet.conflicting_orders(MIN_GAP_BETWEEN_HOLDERS), None);
    }

    /// Asserts that no acknowledged work is lost, and that the fleet completes new work of each kind.
    pub fn assert_normal_operation(&mut self) {
        self.assert_acknowledged_work();
        self.change_configuration();
        self.set_target_version();
        self.submit_job("after");
        self.await_rollout();
        self.read_all_results();
        self.assert_acknowledged_work();
    }
}

/// Asserts that a reply is this HTTP status without further content.
pub fn assert_status(reply: &ExternalReply, status: u16) {
    assert!(
        matches!(reply, ExternalReply::Status(actual) if *actual == status),
        "the reply is {reply:?} instead of status {status}"
    );
}

/// Returns a configuration with one route.
pub fn document(version: u64) -> String {
    document_with_routes(version, 0)
}

/// Returns a configuration with `more` additional routes, whose names are random words as in deployments.
fn document_with_routes(version: u64, more: usize) -> String {
    let mut random = fastrand::Rng::with_seed(version);
    let mut word = || (0..8).map(|_| random.lowercase()).collect::<String>();
    let route = |index| {
        let (name, path) = (word(), word());
        format!(
            r#",{{"name":"r-{name}{index}","depot":"{name}.example","lanePrefix":"/{path}/","kind":"safe",
            "expiryMs":1500,"dueMs":150,"urgency":2,"postalLine":"s","tries":4}}"#
        )
    };
    let routes: String = (0..more).map(route).collect();
    format!(
        r#"{{"edition":{version},"routes":[{{"name":"r","depot":"h","lanePrefix":"/r/","kind":"rollout",
        "expiryMs":1500,"postalLine":"s"}}{routes}],"postalLines":[{{"name":"s","healthPath":"/health"}}]}}"#
    )
}

/// Returns the body of a batch job whose results may come from version `oldest` or newer ones.
fn job_body(job: &str, oldest: u64, size: ItemSize) -> String {
    let (padding, payload) = ("x".repeat(size.id_padding), "QUJD".repeat(size.payload_quads));
    let item =
        |index| format!(r#"{{"id":"{job}-{index}{padding}","lane":"/r/{index}","payload":"{payload}"}}"#);
    let items: Vec<String> = (0..ITEMS).map(item).collect();
    format!(r#"{{"model":"m","oldestEdition":{oldest},"parcels":[{}]}}"#, items.join(","))
}
