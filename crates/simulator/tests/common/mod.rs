//! The steps of stories, and what must be true after each.

use std::time::Duration;

use simulator::{Fleet, JobCall, OperatorOrder, Reply, Shape};

/// Within this time any order is acknowledged, once the system has started and while a majority is there.
pub const CLEAR: Duration = Duration::from_secs(20);
/// The first start collects announcements first.
const START: Duration = Duration::from_secs(30);
/// The time that must lie between the orders of two holders.
const BETWEEN_HOLDERS: Duration = Duration::from_secs(3);
const ITEMS: usize = 6;

/// A fleet with what it has acknowledged so far.
pub struct Story {
    pub fleet: Fleet,
    /// The newest configuration that was acknowledged.
    configuration: (u64, String),
    /// The newest version that was named.
    named: u64,
    /// Batch jobs that were taken, with the results that were read.
    jobs: Vec<(String, Vec<batch::ItemResult>)>,
}

impl Story {
    /// The system has started for the first time, and the first configuration is acknowledged.
    pub fn begin(seed: u64, shape: Shape) -> Self {
        if let Some(level) = std::env::var("SIMULATOR_LOG").ok().and_then(|level| level.parse().ok()) {
            simulator::print_logs(level);
        }
        let fleet = Fleet::start(seed, shape);
        let mut story = Self { fleet, configuration: (0, String::new()), named: 1, jobs: Vec::new() };
        story.change_configuration_within(START);
        story
    }

    /// Another configuration is acknowledged.
    pub fn change_configuration(&mut self) {
        self.change_configuration_within(CLEAR);
    }

    /// Another configuration is acknowledged within this time.
    pub fn change_configuration_within(&mut self, most: Duration) {
        self.put_configuration(most, 0);
    }

    /// A configuration with this many more routes is acknowledged within this time.
    pub fn put_configuration(&mut self, most: Duration, more_routes: usize) {
        let expected = self.configuration.0;
        let body = document_with_routes(expected + 3, more_routes);
        let order = OperatorOrder::Put { expected, body: body.clone() };
        assert_status(&self.fleet.order(most, &order), 200);
        self.configuration = (expected + 3, body);
        assert_status(&self.fleet.order(most, &order), 200);
    }

    /// Another configuration is acknowledged by other nodes than this one; tells its version.
    pub fn change_configuration_elsewhere(&mut self, node: usize) -> u64 {
        let expected = self.configuration.0;
        let body = document(expected + 3);
        let order = simulator::Request::Operator(OperatorOrder::Put { expected, body: body.clone() });
        let until = self.fleet.now + CLEAR;
        let others: Vec<usize> = self.fleet.nodes().filter(|other| *other != node).collect();
        for other in others.iter().cycle() {
            assert!(self.fleet.now < until, "the others do not take it");
            match self.fleet.call(*other, order.clone()) {
                Some(Reply::Status(200)) => break,
                None | Some(Reply::Status(503)) => {}
                reply => panic!("{reply:?}"),
            }
        }
        self.configuration = (expected + 3, body);
        expected + 3
    }

    /// The next version is named.
    pub fn name_version(&mut self) {
        self.name_version_within(CLEAR);
    }

    /// The next version is named within this time.
    pub fn name_version_within(&mut self, most: Duration) {
        self.named += 1;
        let order = OperatorOrder::Name { model: "m".into(), version: self.named };
        assert_status(&self.fleet.order(most, &order), 200);
    }

    /// All servers come to have the newest named version.
    pub fn roll_out(&mut self) {
        let named = self.named;
        let is_out = |fleet: &Fleet| fleet.servers.iter().all(|server| server.version("m") == named);
        assert!(self.fleet.run_until(Duration::from_secs(40), is_out), "version {named} is not rolled out");
    }

    /// A batch job is taken.
    pub fn submit(&mut self, job: &str) {
        let body = JobCall::Submit(job_body(job, self.named));
        assert_status(&self.fleet.job(CLEAR, job, body.clone()), 202);
        self.jobs.push((job.to_owned(), Vec::new()));
        assert_status(&self.fleet.job(CLEAR, job, body), 202);
    }

    /// All results of all batch jobs come to be read, and what was read before is still in its place.
    pub fn read_all(&mut self) {
        let until = self.fleet.now + Duration::from_secs(60);
        for index in 0..self.jobs.len() {
            while self.read(index) < ITEMS {
                assert!(self.fleet.now < until, "not all results of {} come", self.jobs[index].0);
                self.fleet.run(Duration::from_millis(400));
            }
        }
    }

    fn read(&mut self, index: usize) -> usize {
        let (job, seen) = &mut self.jobs[index];
        let Reply::Results(results) = self.fleet.job(CLEAR, job, JobCall::Read(0)) else {
            panic!("the batch job {job} is gone")
        };
        assert!(results.starts_with(seen), "{job}: {results:?} does not go on from {seen:?}");
        for result in &results {
            assert_eq!(result.text, format!("the text of {}", result.id));
            assert_eq!(results.iter().filter(|other| other.id == result.id).count(), 1);
        }
        seen.clone_from(&results);
        results.len()
    }

    /// All that was acknowledged is there, and no rule about orders was broken.
    pub fn check(&mut self) {
        let Reply::Configuration(version, text) = self.fleet.order(CLEAR, &OperatorOrder::Read) else {
            panic!("the configuration does not come")
        };
        assert_eq!((version, text), self.configuration);
        (0..self.jobs.len()).for_each(|job| {
            self.read(job);
        });
        assert_eq!(self.fleet.forbidden_orders(BETWEEN_HOLDERS), None);
    }

    /// The story goes on as if nothing had happened.
    pub fn go_on(&mut self) {
        self.check();
        self.change_configuration();
        self.name_version();
        self.submit("after");
        self.roll_out();
        self.read_all();
        self.check();
    }
}

pub fn assert_status(reply: &Reply, status: u16) {
    assert!(matches!(reply, Reply::Status(given) if *given == status), "{reply:?}, not {status}");
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
