//! Single quantities against size: each is measured at several sizes, and a line is fitted to the points.

use std::collections::{BTreeMap, HashSet};
use std::fmt::Write as _;
use std::hint::black_box;
use std::io::{self, BufRead, BufReader, Read, Write as _};
use std::net::{Ipv4Addr, SocketAddr, TcpStream};
use std::path::PathBuf;
use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, Instant};

use balancer::net::config::{Config, SettingNames};
use balancer::net::discovery::{fetch_initial, Subscriber};
use balancer::net::list::ServerList;
use balancer::net::node::Node;
use balancer::{
    wire, AttemptEnd, AttemptOutcome, Balancer, BalancerAction, BalancerEvent, ClientRequest,
    DecisionSettings, EndpointUpdate, Idempotency, LoadReport, RequestClass, RequestId, ServerEntry,
};
use clap::ValueEnum;
use serde::{Deserialize as _, Serialize};
use serde_json::json;
use tokio::sync::{oneshot, Notify};
use tokio::task::LocalSet;

use crate::build::{Build, BuildError};
use crate::catalogue::{zone_names, Catalogue, Size, KIND};
use crate::discovery;
use crate::fit::{fit, Fit};
use crate::node::{listing, read_list};
use crate::quantity::Quantity;
use crate::traffic::Sums;
use crate::usage::{self, thread_time, Memory, TooFewDescriptors};
use crate::world::{listen, World};

/// The nodes of the whole fleet; smaller fleets have three nodes for two servers, as the bench's do.
const NODES_MOST: usize = 2_000;
/// Servers of a service, on average.
const SERVERS_A_SERVICE: usize = 32;
/// Requests at one node in a second: 120,000 over 2,000 nodes.
const REQUESTS_A_SECOND: f64 = 60.0;
/// Requests of a minute: a connection that is not used for as long is closed.
const REQUESTS_A_MINUTE: u64 = 3_600;
/// Memory that states are built up to before their size is told, so that pages do not count.
const MEMORY_SEEN: usize = 64 << 20;
/// ... and where a rough figure will do.
const MEMORY_GUESSED: usize = 12 << 20;
/// No more states than this are built for it.
const STATES_MOST: usize = 2_000;
/// A state takes about as many bytes for a server; for how many are built, and for what is refused.
const STATE_BYTES: usize = 600;
/// Whole lists served for one measure.
const LISTS: u32 = 20;

/// What is measured, and how.
#[derive(Clone, Debug, Serialize)]
pub struct Options {
    /// All, where none is named.
    pub quantities: Vec<Quantity>,
    /// Each quantity's own, where none are named.
    pub sizes: Vec<usize>,
    /// How often each point is measured.
    pub repeats: usize,
    /// All random numbers follow from it.
    pub seed: u64,
    /// Memory that may be needed, in MiB.
    pub memory_mb: u64,
    /// An earlier build of this program, measured side by side.
    pub baseline: Option<PathBuf>,
}

/// A quantity could not be measured.
#[derive(Debug, thiserror::Error)]
pub enum SlopesError {
    /// A size is too large or 0.
    #[error("size {size} needs about {need_mb} MiB, and {most_mb} are allowed (--memory-mb)")]
    TooLarge {
        /// The size.
        size: usize,
        /// What it needs.
        need_mb: u64,
        /// The limit.
        most_mb: u64,
    },
    /// There is nothing of size 0.
    #[error("a size must be above 0")]
    Zero,
    /// Too many sockets.
    #[error(transparent)]
    Descriptors(#[from] TooFewDescriptors),
    /// A socket, thread or event loop failed.
    #[error("{0}")]
    Io(#[from] io::Error),
    /// What was to be measured did not work.
    #[error("{0}")]
    Broken(String),
    /// A build that is measured side by side could not be.
    #[error(transparent)]
    Build(#[from] BuildError),
}

/// A quantity at one size.
#[derive(Clone, Copy, Debug, Serialize)]
pub struct Point {
    /// The size.
    pub size: usize,
    /// The median; `None` where it could not be had, such as a list that the client does not read.
    pub value: Option<f64>,
    /// The least.
    pub least: f64,
    /// The most.
    pub most: f64,
    /// Measures taken.
    pub count: usize,
}

/// A quantity at its sizes, and the line through its points.
#[derive(Clone, Debug, Serialize)]
pub struct Slope {
    /// What was measured.
    pub quantity: Quantity,
    /// Its unit.
    pub unit: &'static str,
    /// What the size counts.
    pub against: &'static str,
    /// In the order of the sizes.
    pub points: Vec<Point>,
    /// `None` for fewer than two points.
    pub fit: Option<Fit>,
    /// The same of an earlier build.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub baseline: Option<Baseline>,
}

/// A quantity as an earlier build has it.
#[derive(Clone, Debug, Serialize)]
pub struct Baseline {
    /// The commit that its report tells: the one that is checked out where the binary lies.
    pub commit: String,
    /// Whether files differed from that commit.
    pub modified: bool,
    /// At the same sizes.
    pub points: Vec<Point>,
    /// `None` for fewer than two points.
    pub fit: Option<Fit>,
}

/// All that a report of slopes tells.
pub struct Measured {
    /// By quantity, in a fixed order.
    pub slopes: Vec<Slope>,
    /// Processor seconds by quantity, over all threads.
    pub cpu_seconds: BTreeMap<String, f64>,
    /// Bytes and messages of the stand-in discovery, by quantity.
    pub traffic: BTreeMap<String, Sums>,
}

/// Measures quantities one after the other.
///
/// # Errors
///
/// For the first that cannot be measured, and before any for a size that is out of range.
pub fn measure(options: &Options) -> Result<Measured, SlopesError> {
    let mut quantities = match options.quantities.as_slice() {
        [] => Quantity::value_variants().to_vec(),
        some => some.to_vec(),
    };
    // Memory comes first, before others have freed any.
    quantities.sort_unstable();
    quantities.dedup();
    let sizes = |quantity: Quantity| match options.sizes.as_slice() {
        [] => quantity.usual_sizes().to_vec(),
        some => some.to_vec(),
    };
    // States stay until all memory is measured: what was freed would be used again, unseen.
    let of_memory = quantities.iter().filter(|quantity| quantity.is_memory());
    let states = of_memory.map(|quantity| sizes(*quantity).len()).sum::<usize>() * MEMORY_SEEN;
    for size in quantities.iter().flat_map(|quantity| sizes(*quantity)) {
        allowed(size, states, options.memory_mb)?;
    }
    let mut measured =
        Measured { slopes: Vec::new(), cpu_seconds: BTreeMap::new(), traffic: BTreeMap::new() };
    if let Some(baseline) = &options.baseline {
        let builds = [Build::this()?, Build::at(baseline)?];
        for quantity in quantities {
            measured.slopes.push(compare(&builds, quantity, &sizes(quantity), options)?);
        }
        return Ok(measured);
    }
    let mut bench = Bench::new(options.seed, MEMORY_SEEN);
    for quantity in quantities {
        if !quantity.is_memory() {
            bench.states.clear();
        }
        let before = usage::process_time();
        let mut points = Vec::new();
        for size in sizes(quantity) {
            points.push(bench.point(quantity, size, options.repeats)?);
            tracing::info!(quantity = quantity.name(), size, value = points.last().and_then(|p| p.value));
        }
        measured.slopes.push(slope(quantity, points, None));
        let cpu = usage::process_time().saturating_sub(before).as_secs_f64();
        measured.cpu_seconds.insert(quantity.name(), cpu);
        let traffic = std::mem::take(&mut bench.traffic);
        if traffic != Sums::default() {
            measured.traffic.insert(format!("discovery, {}", quantity.name()), traffic);
        }
    }
    Ok(measured)
}

fn slope(quantity: Quantity, points: Vec<Point>, baseline: Option<Baseline>) -> Slope {
    let (unit, against) = (quantity.unit(), quantity.against());
    Slope { quantity, unit, against, fit: fit_points(&points), points, baseline }
}

fn fit_points(points: &[Point]) -> Option<Fit> {
    let sound: Vec<_> = points.iter().filter_map(|p| Some((p.size as f64, p.value?))).collect();
    fit(&sound)
}

/// Measures a quantity with this build and an earlier one: one process for each measure, in turns, so that what else
/// the machine does falls on both alike.
fn compare(
    builds: &[Build; 2],
    quantity: Quantity,
    sizes: &[usize],
    options: &Options,
) -> Result<Slope, SlopesError> {
    let repeats = if quantity.unit() == "us" { options.repeats } else { 1 };
    let mut points = [Vec::new(), Vec::new()];
    let (mut commit, mut modified) = (String::new(), false);
    for &size in sizes {
        let mut values = [Vec::new(), Vec::new()];
        for round in 0..repeats {
            // Neither is always the first.
            for side in [round % 2, 1 - round % 2] {
                let told = builds[side].measure(quantity, size, options.seed, options.memory_mb)?;
                values[side].extend(told.value);
                if side == 1 {
                    (commit, modified) = (told.commit, told.modified);
                }
            }
        }
        for (points, values) in points.iter_mut().zip(values) {
            points.push(point(size, values));
        }
        let [own, earlier] = points.each_ref().map(|points| points.last().and_then(|p| p.value));
        tracing::info!(quantity = quantity.name(), size, value = own, baseline = earlier);
    }
    let [own, points] = points;
    let baseline = Baseline { commit, modified, fit: fit_points(&points), points };
    Ok(slope(quantity, own, Some(baseline)))
}

fn allowed(size: usize, states: usize, most_mb: u64) -> Result<(), SlopesError> {
    // A catalogue, its list in bytes, read and as entries, and the states that memory is told by.
    let need_mb = (size.saturating_mul(4 * STATE_BYTES).saturating_add(states) >> 20) as u64;
    match size {
        0 => Err(SlopesError::Zero),
        _ if need_mb > most_mb => Err(SlopesError::TooLarge { size, need_mb, most_mb }),
        _ => Ok(()),
    }
}

/// A fleet of so many servers of a single service, its other sizes in proportion.
fn fleet(servers: usize) -> Size {
    let zones = 10.min(servers);
    Size {
        regions: 4.min(zones),
        zones,
        racks: (servers / 50).max(zones),
        services: (servers / SERVERS_A_SERVICE).max(1),
        servers,
        nodes: nodes(servers),
    }
}

fn nodes(servers: usize) -> usize {
    (servers * 3 / 2).clamp(1, NODES_MOST)
}

fn settings(nodes: usize) -> DecisionSettings {
    let mut settings = DecisionSettings::new(vec![RequestClass::new(80.0, 400.0, Idempotency::Safe)]);
    settings.nodes = nodes;
    settings
}

fn read(body: &[u8]) -> Result<ServerList, SlopesError> {
    read_list(body).map_err(|error| SlopesError::Broken(error.to_string()))
}

fn entries(catalogue: &mut Catalogue) -> Result<Vec<ServerEntry>, SlopesError> {
    let list = read(&catalogue.whole().body)?;
    match listing(&list, &zone_names(catalogue.size())) {
        EndpointUpdate::Snapshot(entries) => Ok(entries),
        _ => Err(SlopesError::Broken("the whole list is not whole".into())),
    }
}

fn micros(time: Duration) -> f64 {
    time.as_secs_f64() * 1e6
}

fn balancer(nodes: usize, seed: u64) -> Result<Balancer, SlopesError> {
    Balancer::new(settings(nodes), seed).map_err(|error| SlopesError::Broken(error.to_string()))
}

/// A real node's configuration, with nothing to talk to.
fn config(size: Size, seed: u64, known: ServerList) -> Config {
    let nowhere = SocketAddr::from((Ipv4Addr::LOCALHOST, 1));
    let names = SettingNames {
        classes: vec!["all".into()],
        tenants: Vec::new(),
        zones: zone_names(size),
        kinds: vec![KIND.into()],
    };
    Config {
        name: "hollow".into(),
        listen: nowhere,
        discovery: nowhere,
        seed,
        max_sockets: 1024,
        max_list_bytes: 48 << 20,
        initial_list: known,
        settings: settings(size.nodes),
        names,
        idle_timeout: Duration::from_secs(60),
        dial_timeout: Duration::from_millis(400),
        max_pending: usize::MAX,
    }
}

/// Bytes that the decisions take for each server, and a margin for what comes and goes. What a process measures after it has
/// freed memory is too low: to be called first.
///
/// # Errors
///
/// Where the decisions do not take the list.
pub fn bytes_per_server() -> Result<u64, SlopesError> {
    const SERVERS: usize = 2_000;
    const MARGIN: f64 = 1.15;
    let mut bench = Bench::new(1, MEMORY_GUESSED);
    let bytes = bench.balancer_memory(SERVERS)? / SERVERS as f64;
    Ok((bytes * MARGIN).ceil() as u64)
}

/// A state that is kept until all memory is measured.
enum State {
    Balancer(#[allow(dead_code, reason = "held for its memory")] Box<Balancer>),
    Node(#[allow(dead_code, reason = "held for its memory")] Rc<Node>),
}

struct Bench {
    seed: u64,
    memory_seen: usize,
    traffic: Sums,
    states: Vec<State>,
}

impl Bench {
    fn new(seed: u64, memory_seen: usize) -> Self {
        Self { seed, memory_seen, traffic: Sums::default(), states: Vec::new() }
    }

    fn point(&mut self, quantity: Quantity, size: usize, repeats: usize) -> Result<Point, SlopesError> {
        let values = match quantity {
            Quantity::TenantMemory => vec![self.tenant_memory(size)?],
            Quantity::BalancerMemory => vec![self.balancer_memory(size)?],
            Quantity::NodeMemory => vec![self.node_memory(size)?],
            Quantity::TenantStart => tenant_start(size, repeats)?,
            Quantity::NodeStart => self.node_start(size, repeats)?,
            Quantity::WholeList => self.whole_list(size, repeats)?,
            Quantity::OneChange => self.one_change(size, repeats)?,
            Quantity::Request => self.request(size, repeats)?,
            Quantity::ListBytes => vec![Catalogue::unheard(fleet(size)).whole().body.len() as f64],
            Quantity::ChangeBytes => vec![change_bytes(size)],
            Quantity::ReadList => self.read_list(size, repeats)?.into_iter().map(|(cpu, _)| cpu).collect(),
            Quantity::ReadListTime => {
                self.read_list(size, repeats)?.into_iter().map(|(_, time)| time).collect()
            }
            Quantity::MakeList => make_list(size, repeats),
            Quantity::ServeList => self.serve_list(size, repeats)?,
            Quantity::ServeChange => {
                self.serve_change(size, repeats)?.into_iter().map(|(cpu, _)| cpu).collect()
            }
            Quantity::ServeChangeBytes => {
                self.serve_change(size, repeats)?.into_iter().map(|(_, bytes)| bytes).collect()
            }
            Quantity::Connections => vec![self.connections(1, size)?],
            Quantity::ServiceConnections => vec![self.connections(size, SERVERS_A_SERVICE)?],
        };
        Ok(point(size, values))
    }

    // ---- Memory

    /// Memory of one state, from many: built until they take enough to be seen.
    fn memory(
        &mut self,
        bytes_about: usize,
        mut state: impl FnMut(u64) -> Result<State, SlopesError>,
    ) -> Result<f64, SlopesError> {
        let count = (self.memory_seen / bytes_about.max(1)).clamp(1, STATES_MOST);
        // What is needed only while a state is made is there from now on.
        self.states.push(state(self.seed)?);
        let before = Memory::now().resident;
        for i in 1..=count {
            self.states.push(state(self.seed + i as u64)?);
        }
        Ok((Memory::now().resident.saturating_sub(before)) as f64 / count as f64)
    }

    fn tenant_memory(&mut self, tenants: usize) -> Result<f64, SlopesError> {
        self.memory(tenants * 40, |seed| {
            let mut settings = settings(NODES_MOST);
            settings.quotas_per_s = vec![10.0; tenants];
            let balancer = Balancer::new(settings, seed);
            let balancer = balancer.map_err(|error| SlopesError::Broken(error.to_string()))?;
            Ok(State::Balancer(Box::new(balancer)))
        })
    }

    fn balancer_memory(&mut self, servers: usize) -> Result<f64, SlopesError> {
        let entries = entries(&mut Catalogue::unheard(fleet(servers)))?;
        self.memory(servers * STATE_BYTES / 2, |seed| {
            let mut balancer = balancer(nodes(servers), seed)?;
            balancer.handle(
                1_000.0,
                BalancerEvent::EndpointsUpdated(EndpointUpdate::Snapshot(entries.clone())),
                &mut Vec::new(),
            );
            Ok(State::Balancer(Box::new(balancer)))
        })
    }

    fn node_memory(&mut self, servers: usize) -> Result<f64, SlopesError> {
        let size = fleet(servers);
        let body = Catalogue::unheard(size).whole().body;
        self.memory(servers * STATE_BYTES, |seed| {
            let config = config(size, seed, read(&body)?);
            Node::start(config).map(State::Node).map_err(|error| SlopesError::Broken(error.to_string()))
        })
    }

    fn node_start(&self, servers: usize, repeats: usize) -> Result<Vec<f64>, SlopesError> {
        let size = fleet(servers);
        let body = Catalogue::unheard(size).whole().body;
        let measure = |_| {
            let config = config(size, self.seed, read(&body)?);
            let begun = Instant::now();
            let node = Node::start(config).map_err(|error| SlopesError::Broken(error.to_string()))?;
            let time = begun.elapsed();
            drop(node);
            Ok(micros(time))
        };
        (0..repeats).map(measure).collect()
    }

    // ---- The decisions

    fn whole_list(&self, servers: usize, repeats: usize) -> Result<Vec<f64>, SlopesError> {
        let entries = entries(&mut Catalogue::unheard(fleet(servers)))?;
        let mut balancer = balancer(nodes(servers), self.seed)?;
        let mut actions = Vec::new();
        // The first list builds what the later ones replace.
        balancer.handle(
            0.0,
            BalancerEvent::EndpointsUpdated(EndpointUpdate::Snapshot(entries.clone())),
            &mut actions,
        );
        let mut measure = || {
            let event = BalancerEvent::EndpointsUpdated(EndpointUpdate::Snapshot(entries.clone()));
            let begun = Instant::now();
            balancer.handle(1_000.0, event, &mut actions);
            micros(begun.elapsed())
        };
        Ok((0..repeats).map(|_| measure()).collect())
    }

    fn one_change(&self, servers: usize, repeats: usize) -> Result<Vec<f64>, SlopesError> {
        let entries = entries(&mut Catalogue::unheard(fleet(servers)))?;
        let mut random = fastrand::Rng::with_seed(self.seed);
        let mut balancer = balancer(nodes(servers), self.seed)?;
        let mut actions = Vec::new();
        balancer.handle(
            0.0,
            BalancerEvent::EndpointsUpdated(EndpointUpdate::Snapshot(entries.clone())),
            &mut actions,
        );
        // In turn a server begins to drain, and is back.
        let mut measure = |_| {
            let mut changed = entries[random.usize(..entries.len())].clone();
            let back = changed.clone();
            changed.availability = balancer::Availability::Draining;
            let begun = Instant::now();
            balancer.handle(
                1_000.0,
                BalancerEvent::EndpointsUpdated(EndpointUpdate::Delta(vec![changed])),
                &mut actions,
            );
            balancer.handle(
                1_000.0,
                BalancerEvent::EndpointsUpdated(EndpointUpdate::Delta(vec![back])),
                &mut actions,
            );
            micros(begun.elapsed()) / 2.0
        };
        Ok((0..repeats * 4).map(&mut measure).collect())
    }

    fn request(&self, servers: usize, repeats: usize) -> Result<Vec<f64>, SlopesError> {
        let mut service = Service::new(servers, nodes(servers), self.seed)?;
        let mut next = 0;
        let mut run = |requests: u64| {
            let begun = Instant::now();
            for _ in 0..requests {
                next += 1;
                black_box(service.serve(next, next as f64 * 1000.0 / REQUESTS_A_SECOND));
            }
            micros(begun.elapsed()) / requests as f64
        };
        run(500);
        Ok((0..repeats).map(|_| run(500)).collect())
    }

    /// Servers that a node sends to within a minute, its requests spread over services at random.
    fn connections(&self, services: usize, servers: usize) -> Result<f64, SlopesError> {
        let mut random = fastrand::Rng::with_seed(self.seed);
        let nodes = if services == 1 { nodes(servers) } else { NODES_MOST };
        let service = |i| Service::new(servers, nodes, self.seed + i as u64);
        let mut all = (0..services).map(service).collect::<Result<Vec<_>, _>>()?;
        let mut met = HashSet::new();
        for request in 1..=REQUESTS_A_MINUTE {
            let at = random.usize(0..services);
            let server = all[at].serve(request, request as f64 * 1000.0 / REQUESTS_A_SECOND);
            met.extend(server.map(|server| (at, server)));
        }
        Ok(met.len() as f64)
    }

    // ---- Discovery

    /// Processor time and time, in microseconds, of reads of the whole list by the project's client; none where it
    /// does not read a list of this size.
    fn read_list(&mut self, servers: usize, repeats: usize) -> Result<Vec<(f64, f64)>, SlopesError> {
        let world = Arc::new(World::new(Catalogue::unheard(fleet(servers))));
        world.catalogue().whole();
        let (agent, served) = (listen(Ipv4Addr::LOCALHOST)?, Arc::clone(&world));
        let address = agent.local_addr()?;
        let (end, ended) = oneshot::channel::<()>();
        let thread = std::thread::Builder::new().name("discovery-0".into()).spawn(move || {
            on_loop(async move {
                tokio::task::spawn_local(discovery::serve(agent, served, 0));
                // The sender is dropped when all is read.
                let _ = ended.await;
            })
        })?;
        let values = on_loop(async move {
            let mut values = Vec::new();
            for _ in 0..repeats {
                let reader = Rc::new(Reader { address, update_requested: Notify::new(), read: false.into() });
                let (begun, cpu) = (Instant::now(), thread_time());
                let connection = fetch_initial(&reader).await;
                if reader.read.get() {
                    values.push((micros(thread_time() - cpu), micros(begun.elapsed())));
                } else {
                    tracing::warn!(servers, "the discovery client did not read the list");
                    break;
                }
                drop(connection);
            }
            values
        })?;
        drop(end);
        thread.join().map_err(|_| SlopesError::Broken("the discovery thread panicked".into()))??;
        self.count(&world);
        Ok(values)
    }

    fn serve_list(&mut self, servers: usize, repeats: usize) -> Result<Vec<f64>, SlopesError> {
        let world = Arc::new(World::new(Catalogue::unheard(fleet(servers))));
        world.catalogue().whole();
        let agent = listen(Ipv4Addr::LOCALHOST)?;
        let address = agent.local_addr()?;
        let served = Arc::clone(&world);
        let values = on_loop(async move {
            tokio::task::spawn_local(discovery::serve(agent, served, 0));
            let mut values = Vec::new();
            for _ in 0..repeats {
                let cpu = thread_time();
                beside(move || {
                    let mut watcher = Watcher::connect(address)?;
                    for _ in 0..LISTS {
                        watcher.ask("/catalog/members")?;
                        watcher.answer()?;
                    }
                    Ok(())
                })
                .await?;
                values.push(micros(thread_time() - cpu) / f64::from(LISTS));
            }
            Ok::<_, SlopesError>(values)
        })??;
        self.count(&world);
        Ok(values)
    }

    /// Processor time of discovery, in microseconds, and the bytes that it sends, to tell all watches of a change.
    fn serve_change(&mut self, watches: usize, repeats: usize) -> Result<Vec<(f64, f64)>, SlopesError> {
        usage::allow_descriptors(2 * watches as u64 + 100)?;
        let world = Arc::new(World::new(Catalogue::unheard(fleet(1_000))));
        let agent = listen(Ipv4Addr::LOCALHOST)?;
        let address = agent.local_addr()?;
        let served = Arc::clone(&world);
        let values = on_loop(async move {
            tokio::task::spawn_local(discovery::serve(agent, Arc::clone(&served), 0));
            let mut watchers = beside(move || {
                (0..watches).map(|_| Watcher::connect(address)).collect::<io::Result<Vec<_>>>()
            })
            .await?;
            let mut values = Vec::new();
            for round in 0..repeats {
                let path =
                    format!("/catalog/members?since={}&timeout_ms=60000", served.catalogue().revision());
                watchers = beside(move || {
                    watchers.iter_mut().try_for_each(|watcher| watcher.ask(&path))?;
                    Ok(watchers)
                })
                .await?;
                while served.discovery.sums().messages < (watches * (round + 1)) as u64 {
                    tokio::time::sleep(Duration::from_millis(1)).await;
                }
                let (cpu, sent) = (thread_time(), served.discovery.sums().sent_bytes);
                served.change(|catalogue| catalogue.restart(&[round % 1_000], 1 + round as u64));
                watchers = beside(move || {
                    watchers.iter_mut().try_for_each(Watcher::answer)?;
                    Ok(watchers)
                })
                .await?;
                values
                    .push((micros(thread_time() - cpu), (served.discovery.sums().sent_bytes - sent) as f64));
            }
            Ok::<_, SlopesError>(values)
        })??;
        self.count(&world);
        Ok(values)
    }

    fn count(&mut self, world: &World) {
        let sums = world.discovery.sums();
        self.traffic.received_bytes += sums.received_bytes;
        self.traffic.sent_bytes += sums.sent_bytes;
        self.traffic.messages += sums.messages;
        self.traffic.connections += sums.connections;
    }
}

fn point(size: usize, mut values: Vec<f64>) -> Point {
    values.sort_by(f64::total_cmp);
    Point {
        size,
        value: values.get(values.len() / 2).copied(),
        least: values.first().copied().unwrap_or(0.0),
        most: values.last().copied().unwrap_or(0.0),
        count: values.len(),
    }
}

fn tenant_start(tenants: usize, repeats: usize) -> Result<Vec<f64>, SlopesError> {
    let parties: Vec<_> =
        (0..tenants).map(|i| json!({ "name": format!("tenant-{i}"), "quota_per_s": 10.0 })).collect();
    let classes = json!([{ "name": "all", "aim_ms": 80.0, "deadline_ms": 400.0, "effect": "safe" }]);
    let text = json!({ "classes": classes, "parties": parties }).to_string();
    let measure = |_| {
        let begun = Instant::now();
        let facts = serde_json::Value::deserialize(&mut serde_json::Deserializer::from_str(&text));
        let facts = facts.map_err(|error| SlopesError::Broken(error.to_string()))?;
        let settings = wire::read_settings(&facts).map_err(|error| SlopesError::Broken(error.to_string()))?;
        let balancer = Balancer::new(settings, 1).map_err(|error| SlopesError::Broken(error.to_string()))?;
        let time = begun.elapsed();
        drop(black_box(balancer));
        Ok(micros(time))
    };
    (0..repeats).map(measure).collect()
}

fn make_list(servers: usize, repeats: usize) -> Vec<f64> {
    let mut catalogue = Catalogue::unheard(fleet(servers));
    let mut measure = |round: usize| {
        catalogue.restart(&[round % servers], 1);
        let begun = thread_time();
        black_box(catalogue.whole());
        micros(thread_time() - begun)
    };
    (0..repeats).map(&mut measure).collect()
}

fn change_bytes(servers: usize) -> f64 {
    let mut catalogue = Catalogue::unheard(fleet(servers));
    let before = catalogue.revision();
    catalogue.restart(&[servers / 2], 1_700_000_000_000);
    catalogue.since(before).body.len() as f64
}

/// The servers of one service and the decisions of a node about them.
struct Service {
    balancer: Balancer,
    random: fastrand::Rng,
    actions: Vec<BalancerAction>,
}

impl Service {
    fn new(servers: usize, nodes: usize, seed: u64) -> Result<Self, SlopesError> {
        let mut balancer = balancer(nodes, seed)?;
        let entries = entries(&mut Catalogue::unheard(fleet(servers)))?;
        balancer.handle(
            0.0,
            BalancerEvent::EndpointsUpdated(EndpointUpdate::Snapshot(entries)),
            &mut Vec::new(),
        );
        Ok(Self { balancer, random: fastrand::Rng::with_seed(!seed), actions: Vec::new() })
    }

    /// A request that comes at `now` to servers that hold one to three requests each, and take the longer the more:
    /// where it was sent.
    fn serve(&mut self, id: u64, now: f64) -> Option<usize> {
        let request = RequestId(id);
        self.actions.clear();
        self.balancer.handle(
            now,
            BalancerEvent::RequestArrived(ClientRequest::new(request, 0, 400.0)),
            &mut self.actions,
        );
        let sent = self.actions.iter().find_map(|action| match action {
            BalancerAction::Send { server, .. } => Some(server.0),
            _ => None,
        })?;
        let held = f64::from(self.random.u8(1..=3));
        let elapsed_ms = 5.0 * held * (0.5 + self.random.f64());
        let report = Some(LoadReport { in_flight: Some(held), queued: None });
        let attempt_end = AttemptEnd {
            request,
            attempt: 0,
            elapsed_ms,
            outcome: AttemptOutcome::Served,
            complete: true,
            report,
        };
        self.balancer.handle(now + elapsed_ms, BalancerEvent::AttemptEnded(attempt_end), &mut self.actions);
        Some(sent)
    }
}

/// Reads one list.
struct Reader {
    address: SocketAddr,
    update_requested: Notify,
    read: std::cell::Cell<bool>,
}

impl Subscriber for Reader {
    fn update_requested(&self) -> &Notify {
        &self.update_requested
    }

    fn discovery_moved(&self) -> &Notify {
        &self.update_requested
    }

    fn discovery_address(&self) -> SocketAddr {
        self.address
    }

    fn revision(&self) -> Option<u64> {
        None
    }

    fn drain_grace(&self) -> Duration {
        // A quarter of it is the time limit of the call.
        Duration::from_secs(8)
    }

    fn apply(self: &Rc<Self>, list: ServerList) {
        black_box(&list);
        self.read.set(true);
    }

    fn unavailable(self: &Rc<Self>) {}
}

/// A plain client of discovery, for what is measured at discovery's end.
struct Watcher(BufReader<TcpStream>);

impl Watcher {
    fn connect(address: SocketAddr) -> io::Result<Self> {
        let stream = TcpStream::connect(address)?;
        stream.set_nodelay(true)?;
        stream.set_read_timeout(Some(Duration::from_secs(60)))?;
        Ok(Self(BufReader::with_capacity(1 << 14, stream)))
    }

    fn ask(&mut self, path: &str) -> io::Result<()> {
        write!(self.0.get_mut(), "GET {path} HTTP/1.1\r\nHost: discovery\r\n\r\n")
    }

    fn answer(&mut self) -> io::Result<()> {
        let mut length = 0;
        loop {
            let mut line = String::new();
            if self.0.read_line(&mut line)? == 0 {
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
            if let Some(value) = line.to_ascii_lowercase().strip_prefix("content-length:") {
                length = value.trim().parse().map_err(io::Error::other)?;
            }
            if line.trim().is_empty() {
                break;
            }
        }
        io::copy(&mut (&mut self.0).take(length), &mut io::sink())?;
        Ok(())
    }
}

/// Runs a task and what it spawns on an event loop in this thread.
fn on_loop<T>(task: impl std::future::Future<Output = T>) -> io::Result<T> {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    Ok(LocalSet::new().block_on(&runtime, task))
}

/// Lets blocking work run in a thread beside the event loop, and waits for it.
async fn beside<T: Send + 'static>(work: impl FnOnce() -> io::Result<T> + Send + 'static) -> io::Result<T> {
    let (done, result) = oneshot::channel();
    std::thread::Builder::new().name("client-0".into()).spawn(move || done.send(work()).is_ok())?;
    result.await.map_err(io::Error::other)?
}

/// The short table that a run ends with.
#[must_use]
pub fn table(slopes: &[Slope]) -> String {
    let mut text = String::new();
    for slope in slopes {
        // Writing to a string does not fail.
        let _ = write!(text, "{} ({} by {}):", slope.quantity.name(), slope.unit, slope.against);
        lines(&mut text, &slope.points, slope.fit);
        if let Some(baseline) = &slope.baseline {
            let files = if baseline.modified { " and changes" } else { "" };
            let _ = write!(text, "  baseline {:.7}{files}:", baseline.commit);
            lines(&mut text, &baseline.points, baseline.fit);
        }
    }
    text
}

fn lines(text: &mut String, points: &[Point], fit: Option<Fit>) {
    for point in points {
        let value = point.value.map_or_else(|| "not read".into(), figure);
        let _ = write!(text, "  {}: {value}", point.size);
    }
    let _ = match fit {
        Some(fit) => writeln!(
            text,
            "\n    slope {} for one, intercept {}, r2 {:.3}, exponent {}",
            figure(fit.slope),
            figure(fit.intercept),
            fit.r2,
            fit.exponent.map_or_else(|| "-".into(), |exponent| format!("{exponent:.2}")),
        ),
        None => writeln!(text, "\n    too few points for a line"),
    };
}

/// Four digits that count.
fn figure(value: f64) -> String {
    let digits = if value == 0.0 { 0 } else { value.abs().log10().floor() as i32 };
    let decimals = usize::try_from(3 - digits).unwrap_or(0).min(6);
    format!("{value:.decimals$}")
}
