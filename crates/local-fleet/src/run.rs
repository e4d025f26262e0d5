//! A run: a fleet comes up, training steps go through it, and it ends.

use std::fmt;
use std::io;
use std::path::PathBuf;
use std::sync::Arc;
use std::time::{Duration, Instant};

use tokio::task::JoinSet;

use crate::client::Client;
use crate::configuration_file::{
    ConfigurationFile, ConfigurationPatch, Limits, LoadItems, Names, RouteEntry, ServiceEntry, StrikeItems,
};
use crate::entry::Entry;
use crate::fleet::{Fleet, FleetError};
use crate::layout::{Layout, MACHINES_MOST};
use crate::ledger::Ledger;
use crate::operator::{Operator, OperatorError};
use crate::report::Report;
use crate::settings_file::Timetable;
use crate::steps::{Group, StepTerms};
use crate::surroundings::{Surroundings, CACHE_TOKENS, ENGINE_SLOTS};
use crate::trainer::Trainer;
use crate::trouble::Trouble;
use crate::violation::{Rule, Violation};

/// How long the fleet may take until it serves.
const START_WITHIN: Duration = Duration::from_secs(30);
/// Nodes that are not ready yet are asked again after this.
const READY_ASKED_EVERY: Duration = Duration::from_millis(100);
/// How long the operator repeats an order.
const ORDER_WITHIN: Duration = Duration::from_secs(15);
/// Path prefixes of the first routes.
const SAFE_PREFIX: &str = "/sightings/";
const REWARD_PREFIX: &str = "/rewards/";
const ROLLOUT_PREFIX: &str = "/rollouts/";
/// The configuration changes after every so many steps.
const STEPS_PER_CHANGE: u64 = 2;
/// Tokens of a prompt that its group shares, and those of the item's own.
const PROMPT_TOKENS: (u64, u64) = (255, 16);

/// What to run.
#[derive(Clone, Debug)]
pub struct LocalOptions {
    /// Traffic nodes; the first three have a disk.
    pub nodes: u8,
    /// Stores.
    pub stores: u8,
    /// Plain servers.
    pub plain_servers: u8,
    /// Engines.
    pub engines: u8,
    /// Training steps.
    pub steps: u64,
    /// Groups of a batch job.
    pub groups: usize,
    /// Items of a group.
    pub items_per_group: usize,
    /// Whole groups that the trainer waits for.
    pub wanted: usize,
    /// Events of a text.
    pub events: u64,
    /// One version must make a whole text.
    pub single_version: bool,
    /// Every so many texts of an engine, one is cut; 0: none.
    pub cut_every: u64,
    /// From one request of the clients to the next.
    pub request_period: Duration,
    /// The program.
    pub executable: PathBuf,
    /// Files of the processes.
    pub directory: PathBuf,
    /// Third part of all addresses.
    pub subnet: u8,
    /// Troubles.
    pub troubles: Vec<Trouble>,
}

impl LocalOptions {
    /// A small fleet of the program `executable`, with files under `directory`.
    #[must_use]
    pub fn new(executable: PathBuf, directory: PathBuf) -> Self {
        Self {
            nodes: 3,
            stores: 3,
            plain_servers: 3,
            engines: 4,
            steps: 5,
            groups: 10,
            items_per_group: 4,
            wanted: 7,
            events: 26,
            single_version: true,
            cut_every: 0,
            request_period: Duration::from_millis(100),
            executable,
            directory,
            subnet: 1,
            troubles: Vec::new(),
        }
    }
}

/// A run cannot go on.
#[derive(Debug)]
pub enum LocalError {
    /// The options fit no layout.
    Options(&'static str),
    /// A stand-in cannot listen.
    Listen(io::Error),
    /// An HTTP client cannot be set up.
    Http(reqwest::Error),
    /// A process cannot be started or told anything.
    Fleet(FleetError),
    /// The first configuration was not taken.
    NotConfigured(OperatorError),
    /// Signals cannot be listened for, or one came before the end.
    Interrupted,
    /// Not all nodes got ready in time.
    NotReady {
        /// Nodes that are ready.
        ready: usize,
        /// All nodes.
        nodes: u8,
    },
}

impl fmt::Display for LocalError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Options(why) => f.write_str(why),
            Self::Listen(error) => write!(f, "a stand-in cannot listen: {error}"),
            Self::Http(error) => write!(f, "no HTTP client: {error}"),
            Self::Fleet(error) => error.fmt(f),
            Self::NotConfigured(error) => write!(f, "the first configuration was not taken: {error}"),
            Self::Interrupted => f.write_str("interrupted"),
            Self::NotReady { ready, nodes } => write!(f, "only {ready} of {nodes} nodes got ready in time"),
        }
    }
}

impl std::error::Error for LocalError {}

impl From<FleetError> for LocalError {
    fn from(error: FleetError) -> Self {
        Self::Fleet(error)
    }
}

impl From<reqwest::Error> for LocalError {
    fn from(error: reqwest::Error) -> Self {
        Self::Http(error)
    }
}

impl From<io::Error> for LocalError {
    fn from(error: io::Error) -> Self {
        Self::Listen(error)
    }
}

/// Runs a fleet and tells what came of it; `tell` gets a line for each thing that happens.
///
/// # Errors
///
/// When the fleet does not come up. Broken rules are no error: they stand in the report.
pub async fn run(options: LocalOptions, tell: impl Fn(&str)) -> Result<Report, LocalError> {
    let mut local = Local::prepare(options).await?;
    local.start(&tell).await?;
    local.serve(&tell).await?;
    local.finish(&tell).await
}

struct Local {
    options: LocalOptions,
    timetable: Timetable,
    names: Names,
    ledger: Arc<Ledger>,
    surroundings: Surroundings,
    fleet: Fleet,
    entry: Entry,
    operator: Operator,
    client: Client,
    trainer: Trainer,
    configuration: ConfigurationFile,
    report: Report,
    background: JoinSet<()>,
    began: Instant,
}

impl Local {
    async fn prepare(options: LocalOptions) -> Result<Self, LocalError> {
        let layout = layout(&options)?;
        let began = Instant::now();
        let timetable = Timetable::default();
        let names = Names::draw();
        let ledger = Arc::new(Ledger::new(timetable.recall(), timetable.lease()));
        let surroundings = Surroundings::start(&layout, &names, &ledger, options.cut_every).await?;
        let mut fleet = Fleet::new(&layout, &options.executable, &options.directory);
        // The first start of a system is one on empty disks.
        fleet.names().iter().try_for_each(|name| fleet.wipe(name))?;
        let entry = Entry::new(&layout)?;
        let operator = Operator::new(&layout)?;
        let client =
            Client::new(names.host.clone(), names.plain_service.clone(), entry.clone(), Arc::clone(&ledger))?;
        let terms = step_terms(&options, &names);
        let trainer =
            Trainer::new(terms, timetable.clone(), Arc::clone(&ledger), entry.clone(), operator.clone())?;
        let configuration = first_configuration(&options, &names);
        Ok(Self {
            options,
            timetable,
            names,
            ledger,
            surroundings,
            fleet,
            entry,
            operator,
            client,
            trainer,
            configuration,
            report: Report::default(),
            background: JoinSet::new(),
            began,
        })
    }

    async fn start(&mut self, tell: &impl Fn(&str)) -> Result<(), LocalError> {
        self.background.spawn(self.surroundings.list_versions());
        self.fleet.start_all()?;
        tell(&format!("started {}", self.fleet.names().join(", ")));
        let put = self.operator.put(&self.configuration, 0, START_WITHIN).await;
        put.map_err(LocalError::NotConfigured)?;
        self.report.configurations += 1;
        self.wait_until_ready().await?;
        self.report.start_seconds = self.began.elapsed().as_secs_f64();
        tell(&format!("all nodes are ready after {:.1} s", self.report.start_seconds));
        self.client.add_route(SAFE_PREFIX, Instant::now() + self.timetable.in_force());
        self.background.spawn(self.entry.clone().run());
        self.background.spawn(self.client.clone().run(self.options.request_period));
        Ok(())
    }

    async fn wait_until_ready(&self) -> Result<(), LocalError> {
        let nodes = self.options.nodes;
        let until = Instant::now() + START_WITHIN;
        loop {
            let ready = self.entry.ask_all().await;
            if ready == usize::from(nodes) {
                return Ok(());
            }
            if Instant::now() > until {
                return Err(LocalError::NotReady { ready, nodes });
            }
            tokio::time::sleep(READY_ASKED_EVERY).await;
        }
    }

    async fn serve(&mut self, tell: &impl Fn(&str)) -> Result<(), LocalError> {
        let mut carried: Vec<Group> = Vec::new();
        for step in 0..self.options.steps {
            let troubles: Vec<Trouble> = self
                .options
                .troubles
                .iter()
                .filter(|trouble| trouble.after_step + 1 == step)
                .cloned()
                .collect();
            let grace = self.timetable.grace();
            let striking = strike_all(&troubles, &mut self.fleet, grace);
            let (outcome, struck) =
                tokio::join!(self.trainer.run_step(step, std::mem::take(&mut carried)), striking);
            for (trouble, in_time) in troubles.iter().zip(struck?) {
                self.note_trouble(trouble, in_time, tell);
            }
            match outcome {
                Ok(outcome) => {
                    tell(&outcome.to_string());
                    self.report.groups_whole += outcome.groups_whole as u64;
                    self.report.results += outcome.results as u64;
                    *if outcome.done {
                        &mut self.report.steps_done
                    } else {
                        &mut self.report.steps_failed
                    } += 1;
                    carried = outcome.left;
                }
                Err(error) => {
                    tell(&format!("step {step}: {error}"));
                    self.report.steps_failed += 1;
                }
            }
            self.restart_ended(tell)?;
            if (step + 1) % STEPS_PER_CHANGE == 0 {
                self.change_configuration(step, tell).await;
            }
        }
        Ok(())
    }

    fn note_trouble(&mut self, trouble: &Trouble, in_time: bool, tell: &impl Fn(&str)) {
        tell(&format!("trouble {trouble}"));
        self.report.troubles.push(trouble.to_string());
        if !in_time {
            self.broken(Rule::Fault, format!("{} did not end in time", trouble.process));
        }
    }

    fn restart_ended(&mut self, tell: &impl Fn(&str)) -> Result<(), LocalError> {
        for name in self.fleet.take_ended() {
            tell(&format!("{name} ended by itself"));
            self.broken(Rule::Fault, format!("{name} ended by itself"));
            self.fleet.start(&name)?;
        }
        Ok(())
    }

    /// Adds a route to the plain servers, which clients use once it must hold.
    async fn change_configuration(&mut self, step: u64, tell: &impl Fn(&str)) {
        let prefix = format!("/sightings-{step}/");
        let route = RouteEntry::safe(&self.names, &prefix);
        let built_on = self.configuration.version;
        // Versions climb in uneven steps.
        let version = built_on + 1 + step % 3;
        let patch = ConfigurationPatch {
            version,
            load: LoadItems { routes: vec![route] },
            strike: StrikeItems::default(),
        };
        match self.operator.patch(&patch, built_on, ORDER_WITHIN).await {
            Ok(()) => {
                tell(&format!("configuration {version} adds the route {prefix}"));
                self.configuration = self.configuration.patched(&patch);
                self.client.add_route(&prefix, Instant::now() + self.timetable.in_force());
                self.report.configurations += 1;
            }
            Err(error) => self.broken(Rule::Acknowledged, format!("configuration {version}: {error}")),
        }
    }

    async fn finish(mut self, tell: &impl Fn(&str)) -> Result<Report, LocalError> {
        self.background.shutdown().await;
        self.trainer.read_back().await;
        self.check_configuration().await;
        self.restart_ended(tell)?;
        for name in self.fleet.stop_all(self.timetable.grace()).await? {
            self.broken(Rule::Fault, format!("{name} did not end in time"));
        }
        if self.client.denied_too_often() {
            self.broken(
                Rule::Denied,
                format!("{} proper requests were refused", self.client.counts().denied),
            );
        }
        Ok(self.complete_report())
    }

    async fn check_configuration(&self) {
        match self.operator.read(ORDER_WITHIN).await {
            Ok(read) if read == self.configuration => {}
            Ok(read) => {
                let seen =
                    format!("read back is {}, acknowledged {}", read.version, self.configuration.version);
                self.broken(Rule::Config, seen);
            }
            Err(error) => self.broken(Rule::Config, format!("not read back: {error}")),
        }
    }

    fn complete_report(self) -> Report {
        let counts = self.client.counts();
        Report {
            requests_sent: counts.sent,
            requests_served: counts.served,
            newest_version: self.ledger.newest_named(),
            engine_versions: self.surroundings.engines.iter().map(crate::EngineServer::version).collect(),
            orders: self.ledger.orders() as u64,
            platform_calls: self.surroundings.platform.calls(),
            seconds: self.began.elapsed().as_secs_f64(),
            violations: self.ledger.violations().iter().map(ToString::to_string).collect(),
            violations_seen: self.ledger.violations_seen(),
            ..self.report
        }
    }

    fn broken(&self, rule: Rule, seen: String) {
        self.ledger.report(Violation::new(rule, seen));
    }
}

async fn strike_all(
    troubles: &[Trouble],
    fleet: &mut Fleet,
    grace: Duration,
) -> Result<Vec<bool>, FleetError> {
    let mut in_time = Vec::new();
    for trouble in troubles {
        in_time.push(trouble.strike(fleet, grace).await?);
    }
    Ok(in_time)
}

fn layout(options: &LocalOptions) -> Result<Layout, LocalError> {
    let counts = [options.nodes, options.stores, options.plain_servers, options.engines];
    if counts.iter().any(|count| !(1..=MACHINES_MOST).contains(count)) {
        return Err(LocalError::Options("machines of each kind: 1 to 24"));
    }
    if options.wanted == 0
        || options.wanted > options.groups
        || options.items_per_group == 0
        || options.events == 0
    {
        return Err(LocalError::Options("wanted groups: 1 to all; items of a group and events: 1 or more"));
    }
    Ok(Layout {
        subnet: options.subnet,
        nodes: options.nodes,
        stores: options.stores,
        plain_servers: options.plain_servers,
        engines: options.engines,
    })
}

fn step_terms(options: &LocalOptions, names: &Names) -> StepTerms {
    StepTerms {
        host: names.host.clone(),
        rollout_prefix: ROLLOUT_PREFIX.to_owned(),
        reward_prefix: REWARD_PREFIX.to_owned(),
        engine_service: names.engine_service.clone(),
        reward_service: names.plain_service.clone(),
        model: names.model.clone(),
        groups: options.groups,
        items_per_group: options.items_per_group,
        wanted: options.wanted,
        shared_tokens: PROMPT_TOKENS.0,
        own_tokens: PROMPT_TOKENS.1,
        events: options.events,
        single_version: options.single_version,
    }
}

fn first_configuration(options: &LocalOptions, names: &Names) -> ConfigurationFile {
    ConfigurationFile {
        version: 2,
        routes: vec![
            RouteEntry::safe(names, SAFE_PREFIX),
            RouteEntry::reward(names, REWARD_PREFIX),
            RouteEntry::rollout(names, ROLLOUT_PREFIX, options.single_version),
        ],
        services: vec![
            ServiceEntry::engines(&names.engine_service, &names.model, ENGINE_SLOTS, CACHE_TOKENS),
            ServiceEntry::plain(&names.plain_service),
        ],
        limits: Limits::default(),
    }
}
