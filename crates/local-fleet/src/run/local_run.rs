//! The phases of a run: preparation, start, training steps with faults, and the final checks.

use std::sync::Arc;
use std::time::{Duration, Instant};

use tokio::task::JoinSet;

use super::environment::{Environment, ENGINE_CACHE_TOKENS, ENGINE_SLOTS};
use super::error::LocalError;
use super::options::{LocalOptions, Workload};
use super::report::LocalReport;
use crate::clients::{Client, LoadBalancer};
use crate::deployment::{
    ClientLimits, ConfigurationFile, ConfigurationPatch, Fleet, FleetError, Layout, Names, ProcessFault,
    RouteEntry, RouteRemovals, RouteUpdates, ServiceEntry, TimingRules,
};
use crate::operator::Operator;
use crate::trainer::{ItemGroup, JobRouting, JobTemplate, StepOutcome, Trainer, TrainerError};
use crate::verification::{RequestLog, Rule, Violation};

/// Time limit for the acknowledgement of the initial configuration. The same limit then applies to the
/// readiness of all nodes.
const START_TIMEOUT: Duration = Duration::from_secs(30);
/// Time between two readiness checks of all nodes during the start.
const READY_POLL_INTERVAL: Duration = Duration::from_millis(100);
/// Time limit of a call of the operator, including retries.
const OPERATOR_TIMEOUT: Duration = Duration::from_secs(15);
/// Path prefix of the initial route for client requests.
const SAFE_PREFIX: &str = "/sightings/";
/// Path prefix of the route for reward calls.
const REWARD_PREFIX: &str = "/rewards/";
/// Path prefix of the route for batch jobs and their items.
const ROLLOUT_PREFIX: &str = "/rollouts/";
/// Number of steps after which the configuration is changed, repeatedly.
const STEPS_PER_CONFIGURATION_CHANGE: u64 = 2;
/// Version of the first configuration, which the operator sends after the processes have started. Until then
/// the fleet has version 0; any higher version is accepted.
const INITIAL_CONFIGURATION_VERSION: u64 = 2;
/// Number of prompt tokens in the prefix that all items of a group share.
const SHARED_PROMPT_TOKENS: u64 = 255;
/// Number of prompt tokens after the shared prefix, which differ for each item.
const UNIQUE_PROMPT_TOKENS: u64 = 16;

/// The emulators that exchange messages with the processes of the fleet.
struct Emulators {
    environment: Environment,
    load_balancer: LoadBalancer,
    operator: Operator,
    client: Client,
    trainer: Trainer,
}

impl Emulators {
    /// Starts the platform and the servers, and creates the load balancer, operator, clients and trainer.
    async fn start(
        layout: &Layout,
        names: &Names,
        timing: &TimingRules,
        workload: &Workload,
        request_log: &Arc<RequestLog>,
    ) -> Result<Self, LocalError> {
        let environment = Environment::start(layout, names, request_log, workload.truncate_every).await?;
        let load_balancer = LoadBalancer::new(layout)?;
        let operator = Operator::new(layout)?;
        let client = Client::new(
            names.host.clone(),
            names.plain_service.clone(),
            load_balancer.clone(),
            Arc::clone(request_log),
        )?;
        let trainer = Trainer::new(
            job_template(workload, names),
            timing.clone(),
            Arc::clone(request_log),
            load_balancer.clone(),
            operator.clone(),
        )?;
        Ok(Self { environment, load_balancer, operator, client, trainer })
    }
}

/// A run in progress.
pub(super) struct LocalRun<P> {
    options: LocalOptions,
    /// Called with each line that the run prints.
    print_progress: P,
    timing: TimingRules,
    names: Names,
    request_log: Arc<RequestLog>,
    emulators: Emulators,
    fleet: Fleet,
    /// Newest configuration that was acknowledged; before the start, the initial configuration.
    configuration: ConfigurationFile,
    report: LocalReport,
    /// Tasks of the load balancer, the clients and the server list, which end with the run.
    background_tasks: JoinSet<()>,
    started: Instant,
}

impl<P: Fn(&str)> LocalRun<P> {
    /// Starts the emulators, and prepares the processes with empty disks.
    pub(super) async fn prepare(options: LocalOptions, print_progress: P) -> Result<Self, LocalError> {
        let layout = options.layout()?;
        let started = Instant::now();
        let timing = TimingRules::default();
        let names = Names::random();
        let request_log =
            Arc::new(RequestLog::new(timing.cancellation_timeout(), timing.leader_handover_interval()));
        let emulators = Emulators::start(&layout, &names, &timing, &options.workload, &request_log).await?;
        let mut fleet = Fleet::new(&layout, &options.executable, &options.directory);
        // The settings state a first start of the system, which requires empty disks.
        fleet.names().iter().try_for_each(|name| fleet.wipe(name))?;
        Ok(Self {
            configuration: initial_configuration(&names, options.workload.single_version),
            options,
            print_progress,
            timing,
            names,
            request_log,
            emulators,
            fleet,
            report: LocalReport::default(),
            background_tasks: JoinSet::new(),
            started,
        })
    }

    /// Starts the processes, sends the initial configuration, waits until all nodes are ready, and starts the
    /// clients.
    pub(super) async fn start(&mut self) -> Result<(), LocalError> {
        let Emulators { environment, load_balancer, operator, client, .. } = &self.emulators;
        self.background_tasks.spawn(environment.update_list());
        self.fleet.start_all()?;
        (self.print_progress)(&format!("started {}", self.fleet.names().join(", ")));
        let put = operator.put(&self.configuration, 0, START_TIMEOUT).await;
        put.map_err(LocalError::NotConfigured)?;
        self.report.configurations += 1;
        self.wait_until_ready().await?;
        self.report.start_seconds = self.started.elapsed().as_secs_f64();
        (self.print_progress)(&format!("all nodes are ready after {:.1} s", self.report.start_seconds));
        client.add_route(SAFE_PREFIX, Instant::now() + self.timing.configuration_propagation_timeout());
        self.background_tasks.spawn(load_balancer.clone().run());
        self.background_tasks.spawn(client.clone().run(self.options.workload.request_period));
        Ok(())
    }

    /// Waits until all nodes pass their readiness checks; fails after [`START_TIMEOUT`].
    async fn wait_until_ready(&self) -> Result<(), LocalError> {
        let nodes = self.options.size.nodes;
        let deadline = Instant::now() + START_TIMEOUT;
        loop {
            let ready = self.emulators.load_balancer.check_all().await;
            if ready == usize::from(nodes) {
                return Ok(());
            }
            if Instant::now() > deadline {
                return Err(LocalError::NotReady { ready, nodes });
            }
            tokio::time::sleep(READY_POLL_INTERVAL).await;
        }
    }

    /// Runs all steps with their faults, and changes the configuration every
    /// [`STEPS_PER_CONFIGURATION_CHANGE`] steps. After each step, restarts processes that exited
    /// unexpectedly.
    pub(super) async fn run_steps(&mut self) -> Result<(), LocalError> {
        let mut incomplete_groups: Vec<ItemGroup> = Vec::new();
        for step in 0..self.options.workload.steps {
            let outcome = self.run_step(step, std::mem::take(&mut incomplete_groups)).await?;
            if let Some(outcome) = self.record_outcome(step, outcome) {
                incomplete_groups = outcome.incomplete_groups;
            }
            self.restart_exited_processes()?;
            if (step + 1) % STEPS_PER_CONFIGURATION_CHANGE == 0 {
                self.change_configuration(step).await;
            }
        }
        Ok(())
    }

    /// Runs one step while the faults of this step are injected. The inner result is the one of the trainer;
    /// the outer one reports faults that cannot be injected.
    async fn run_step(
        &mut self,
        step: u64,
        incomplete_groups: Vec<ItemGroup>,
    ) -> Result<Result<StepOutcome, TrainerError>, LocalError> {
        let faults = self.options.faults.iter().filter(|fault| fault.after_step + 1 == step);
        let faults: Vec<ProcessFault> = faults.cloned().collect();
        let injection = inject_faults(&faults, &mut self.fleet, self.timing.termination_grace_period());
        let (outcome, injected) =
            tokio::join!(self.emulators.trainer.run_step(step, incomplete_groups), injection);
        for (fault, ended_in_time) in faults.iter().zip(injected?) {
            self.record_fault(fault, ended_in_time);
        }
        Ok(outcome)
    }

    /// Prints the outcome of a step and adds it to the report; returns it unless the step failed with an
    /// error.
    fn record_outcome(
        &mut self,
        step: u64,
        outcome: Result<StepOutcome, TrainerError>,
    ) -> Option<StepOutcome> {
        let outcome = match outcome {
            Ok(outcome) => outcome,
            Err(error) => {
                (self.print_progress)(&format!("step {step}: {error}"));
                self.report.steps_failed += 1;
                return None;
            }
        };
        (self.print_progress)(&outcome.to_string());
        self.report.complete_groups += outcome.complete_groups as u64;
        self.report.results += outcome.results as u64;
        if outcome.is_done {
            self.report.steps_done += 1;
        } else {
            self.report.steps_failed += 1;
        }
        Some(outcome)
    }

    fn record_fault(&mut self, fault: &ProcessFault, ended_in_time: bool) {
        (self.print_progress)(&format!("trouble {fault}"));
        self.report.faults.push(fault.to_string());
        if !ended_in_time {
            self.report_violation(Rule::ProcessExit, format!("{} did not end in time", fault.process));
        }
    }

    /// Restarts processes that exited unexpectedly, and reports each exit as a violation.
    fn restart_exited_processes(&mut self) -> Result<(), LocalError> {
        for name in self.fleet.take_unexpected_exits() {
            let description = format!("{name} ended by itself");
            (self.print_progress)(&description);
            self.report_violation(Rule::ProcessExit, description);
            self.fleet.start(&name)?;
        }
        Ok(())
    }

    /// Adds a route to the plain servers; clients use it from the time at which it must be in force at all
    /// nodes.
    async fn change_configuration(&mut self, step: u64) {
        let prefix = format!("/sightings-{step}/");
        let routes = vec![RouteEntry::safe(&self.names, &prefix)];
        let expected_version = self.configuration.version;
        // Versions must increase but need not be consecutive; some changes skip one or two versions.
        let version = expected_version + 1 + step % 3;
        let patch = ConfigurationPatch {
            version,
            updates: RouteUpdates { routes },
            removals: RouteRemovals::default(),
        };
        match self.emulators.operator.patch(&patch, expected_version, OPERATOR_TIMEOUT).await {
            Ok(()) => {
                (self.print_progress)(&format!("configuration {version} adds the route {prefix}"));
                self.configuration = self.configuration.patched(&patch);
                let in_force_from = Instant::now() + self.timing.configuration_propagation_timeout();
                self.emulators.client.add_route(&prefix, in_force_from);
                self.report.configurations += 1;
            }
            Err(error) => {
                self.report_violation(Rule::Acknowledged, format!("configuration {version}: {error}"));
            }
        }
    }

    /// Reads the results and the configuration again, shuts the processes down, and completes the report.
    pub(super) async fn finish(mut self) -> Result<LocalReport, LocalError> {
        self.background_tasks.shutdown().await;
        self.emulators.trainer.read_back().await;
        self.check_configuration().await;
        self.restart_exited_processes()?;
        for name in self.fleet.stop_all(self.timing.termination_grace_period()).await? {
            self.report_violation(Rule::ProcessExit, format!("{name} did not end in time"));
        }
        let client = &self.emulators.client;
        if client.has_too_many_rejections() {
            let description = format!("{} proper requests were refused", client.counts().rejected);
            self.report_violation(Rule::WrongRejection, description);
        }
        Ok(self.complete_report())
    }

    /// Checks that the nodes return the newest acknowledged configuration.
    async fn check_configuration(&self) {
        match self.emulators.operator.read(OPERATOR_TIMEOUT).await {
            Ok(read) if read == self.configuration => {}
            Ok(read) => {
                let acknowledged = self.configuration.version;
                let description = format!("read back is {}, acknowledged {acknowledged}", read.version);
                self.report_violation(Rule::StaleConfiguration, description);
            }
            Err(error) => self.report_violation(Rule::StaleConfiguration, format!("not read back: {error}")),
        }
    }

    fn complete_report(self) -> LocalReport {
        let counts = self.emulators.client.counts();
        let environment = &self.emulators.environment;
        LocalReport {
            requests_sent: counts.sent,
            requests_served: counts.served,
            newest_version: self.request_log.newest_named_version(),
            engine_versions: environment.engines.iter().map(|engine| engine.version()).collect(),
            orders: self.request_log.order_count() as u64,
            platform_calls: environment.platform.calls(),
            seconds: self.started.elapsed().as_secs_f64(),
            violations: self.request_log.violations().iter().map(ToString::to_string).collect(),
            violation_count: self.request_log.violation_count(),
            ..self.report
        }
    }

    fn report_violation(&self, rule: Rule, description: String) {
        self.request_log.record_violation(Violation::new(rule, description));
    }
}

/// Injects faults one after the other; returns for each fault `false` if its process did not end within
/// `grace`.
async fn inject_faults(
    faults: &[ProcessFault],
    fleet: &mut Fleet,
    grace: Duration,
) -> Result<Vec<bool>, FleetError> {
    let mut ended_in_time = Vec::new();
    for fault in faults {
        ended_in_time.push(fault.inject(fleet, grace).await?);
    }
    Ok(ended_in_time)
}

fn job_template(workload: &Workload, names: &Names) -> JobTemplate {
    let routing = JobRouting {
        host: names.host.clone(),
        rollout_prefix: ROLLOUT_PREFIX.to_owned(),
        reward_prefix: REWARD_PREFIX.to_owned(),
        engine_service: names.engine_service.clone(),
        reward_service: names.plain_service.clone(),
    };
    JobTemplate {
        routing,
        model: names.model.clone(),
        groups: workload.groups,
        items_per_group: workload.items_per_group,
        required_groups: workload.required_groups,
        shared_tokens: SHARED_PROMPT_TOKENS,
        unique_tokens: UNIQUE_PROMPT_TOKENS,
        events: workload.events,
        single_version: workload.single_version,
    }
}

fn initial_configuration(names: &Names, single_version: bool) -> ConfigurationFile {
    ConfigurationFile {
        version: INITIAL_CONFIGURATION_VERSION,
        routes: vec![
            RouteEntry::safe(names, SAFE_PREFIX),
            RouteEntry::reward(names, REWARD_PREFIX),
            RouteEntry::rollout(names, ROLLOUT_PREFIX, single_version),
        ],
        services: vec![
            ServiceEntry::engines(&names.engine_service, &names.model, ENGINE_SLOTS, ENGINE_CACHE_TOKENS),
            ServiceEntry::plain(&names.plain_service),
        ],
        limits: ClientLimits::default(),
    }
}
