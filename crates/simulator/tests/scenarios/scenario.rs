//! The steps of stories, and what must hold after each.

use std::time::Duration;

use simulator::{ExternalReply, ExternalRequest, Fleet, FleetShape, JobCall, OperatorOrder};

/// Time limit of an order, once the system has started and while a majority is present.
pub const ORDER_TIMEOUT: Duration = Duration::from_secs(20);
/// Time limit of the first order: the first start collects announcements before.
const START_TIMEOUT: Duration = Duration::from_secs(30);
/// The time that must lie between the orders of two lease holders.
const MIN_GAP_BETWEEN_HOLDERS: Duration = Duration::from_secs(3);
/// Items of a batch job.
const ITEMS: usize = 6;

/// A fleet, and what it has acknowledged so far.
pub struct Scenario {
    pub fleet: Fleet,
    /// The newest configuration that was acknowledged.
    configuration: (u64, String),
    /// The newest version of the model that was named.
    target_version: u64,
    /// Batch jobs that were accepted, with the results that were read.
    jobs: Vec<(String, Vec<batch::ItemResult>)>,
}

impl Scenario {
    /// The system has started for the first time, and the first configuration is acknowledged.
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

    /// Another configuration is acknowledged.
    pub fn change_configuration(&mut self) {
        self.change_configuration_within(ORDER_TIMEOUT);
    }

    /// Another configuration is acknowledged within this time.
    pub fn change_configuration_within(&mut self, timeout: Duration) {
        self.put_configuration(timeout, 0);
    }

    /// A configuration with this many more routes is acknowledged within this time.
    pub fn put_configuration(&mut self, timeout: Duration, more_routes: usize) {
        let expected = self.configuration.0;
        let body = document_with_routes(expected + 3, more_routes);
        let order = OperatorOrder::Put { expected, body: body.clone() };
        assert_status(&self.fleet.execute_order(timeout, &order), 200);
        self.configuration = (expected + 3, body);
        assert_status(&self.fleet.execute_order(timeout, &order), 200);
    }

    /// Another configuration is acknowledged by other nodes than this one; returns its version.
    pub fn change_configuration_at_other_nodes(&mut self, node: usize) -> u64 {
        let expected = self.configuration.0;
        let body = document(expected + 3);
        let order = ExternalRequest::Operator(OperatorOrder::Put { expected, body: body.clone() });
        let until = self.fleet.now + ORDER_TIMEOUT;
        let others: Vec<usize> = self.fleet.nodes().filter(|other| *other != node).collect();
        for other in others.iter().cycle() {
            assert!(self.fleet.now < until, "the others do not take it");
            match self.fleet.request_and_wait(*other, order.clone()) {
                Some(ExternalReply::Status(200)) => break,
                None | Some(ExternalReply::Status(503)) => {}
                reply => panic!("{reply:?}"),
            }
        }
        self.configuration = (expected + 3, body);
        expected + 3
    }

    /// The next version is named.
    pub fn set_target_version(&mut self) {
        self.set_target_version_within(ORDER_TIMEOUT);
    }

    /// The next version is named within this time.
    pub fn set_target_version_within(&mut self, timeout: Duration) {
        self.target_version += 1;
        let order = OperatorOrder::SetTargetVersion { model: "m".into(), version: self.target_version };
        assert_status(&self.fleet.execute_order(timeout, &order), 200);
    }

    /// All servers come to have the newest named version.
    pub fn await_rollout(&mut self) {
        let version = self.target_version;
        let is_rolled_out = |fleet: &Fleet| fleet.servers.iter().all(|server| server.version("m") == version);
        assert!(
            self.fleet.run_until(Duration::from_secs(40), is_rolled_out),
            "version {version} is not rolled out"
        );
    }

    /// A batch job is accepted.
    pub fn submit_job(&mut self, job: &str) {
        let body = JobCall::Submit(job_body(job, self.target_version));
        assert_status(&self.fleet.execute_job_call(ORDER_TIMEOUT, job, body.clone()), 202);
        self.jobs.push((job.to_owned(), Vec::new()));
        assert_status(&self.fleet.execute_job_call(ORDER_TIMEOUT, job, body), 202);
    }

    /// All results of all batch jobs are read; those that were read before have kept their positions.
    pub fn read_all_results(&mut self) {
        let until = self.fleet.now + Duration::from_secs(60);
        for index in 0..self.jobs.len() {
            while self.read_results(index) < ITEMS {
                assert!(self.fleet.now < until, "not all results of {} come", self.jobs[index].0);
                self.fleet.run_for(Duration::from_millis(400));
            }
        }
    }

    fn read_results(&mut self, index: usize) -> usize {
        let (job, known) = &mut self.jobs[index];
        let ExternalReply::Results(results) =
            self.fleet.execute_job_call(ORDER_TIMEOUT, job, JobCall::Read(0))
        else {
            panic!("the batch job {job} is lost")
        };
        assert!(results.starts_with(known), "{job}: {results:?} does not start with {known:?}");
        for result in &results {
            assert_eq!(result.text, format!("the text of {}", result.id));
            assert_eq!(results.iter().filter(|other| other.id == result.id).count(), 1);
        }
        known.clone_from(&results);
        results.len()
    }

    /// All that was acknowledged is there, and no conflicting orders were received.
    pub fn assert_acknowledged_work(&mut self) {
        let ExternalReply::Configuration(version, text) =
            self.fleet.execute_order(ORDER_TIMEOUT, &OperatorOrder::Read)
        else {
            panic!("the configuration does not come")
        };
        assert_eq!((version, text), self.configuration);
        (0..self.jobs.len()).for_each(|job| {
            self.read_results(job);
        });
        assert_eq!(self.fleet.conflicting_orders(MIN_GAP_BETWEEN_HOLDERS), None);
    }

    /// The fleet serves as before: all that was acknowledged is there, and new work is done.
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

pub fn assert_status(reply: &ExternalReply, status: u16) {
    assert!(matches!(reply, ExternalReply::Status(actual) if *actual == status), "{reply:?}, not {status}");
}

pub fn document(version: u64) -> String {
    document_with_routes(version, 0)
}

/// A configuration with this many more routes, of names as operators choose them.
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

fn job_body(job: &str, oldest: u64) -> String {
    let item = |index| format!(r#"{{"id":"{job}-{index}","lane":"/r/{index}"}}"#);
    let items: Vec<String> = (0..ITEMS).map(item).collect();
    format!(r#"{{"model":"m","oldestEdition":{oldest},"parcels":[{}]}}"#, items.join(","))
}
