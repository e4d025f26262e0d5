//! Measures the time and the traffic of discovery and of its client by size. All times are in microseconds.

use std::hint::black_box;
use std::io::{self, BufRead, BufReader, Read, Write as _};
use std::net::{Ipv4Addr, SocketAddr, TcpStream};
use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, Instant};

use balancer::net::discovery::{fetch_initial, Subscriber};
use balancer::net::list::ServerList;
use tokio::sync::{oneshot, Notify};
use tokio::task::LocalSet;

use super::bench::Bench;
use super::model::fleet_size;
use super::{to_microseconds, SlopesError};
use crate::catalogue::Catalogue;
use crate::discovery;
use crate::usage::{self, thread_cpu_time};
use crate::world::{listen, World};

/// Number of complete lists that are sent for one measurement. The result is the mean of them.
pub(super) const LISTS: u32 = 20;

impl Bench {
    /// Measures the processor time and the elapsed time in which the discovery client reads the complete
    /// list. Stops at the first list that the client fails to read, and returns the values until then.
    pub(super) fn read_list(
        &mut self,
        servers: usize,
        repeats: usize,
    ) -> Result<Vec<(f64, f64)>, SlopesError> {
        let world = Arc::new(World::new(Catalogue::without_listeners(fleet_size(servers))));
        world.catalogue().complete_list();
        let (agent, world_of_agent) = (listen(Ipv4Addr::LOCALHOST)?, Arc::clone(&world));
        let address = agent.local_addr()?;
        let (end, ended) = oneshot::channel::<()>();
        let thread = std::thread::Builder::new().name("discovery-0".into()).spawn(move || {
            block_on_event_loop(async move {
                tokio::task::spawn_local(discovery::serve(agent, world_of_agent, 0));
                // This completes when the sender is dropped, after all lists have been read.
                let _ = ended.await;
            })
        })?;
        let values = block_on_event_loop(async move {
            let mut values = Vec::new();
            for _ in 0..repeats {
                let reader =
                    Rc::new(ListReader { address, update_requested: Notify::new(), read: false.into() });
                let (start, cpu) = (Instant::now(), thread_cpu_time());
                let connection = fetch_initial(&reader).await;
                if reader.read.get() {
                    values.push((to_microseconds(thread_cpu_time() - cpu), to_microseconds(start.elapsed())));
                } else {
                    tracing::warn!(servers, "the discovery client could not read the complete list");
                    break;
                }
                drop(connection);
            }
            values
        })?;
        drop(end);
        thread.join().map_err(|_| SlopesError::Failed("the discovery thread panicked".into()))??;
        self.add_traffic(&world);
        Ok(values)
    }

    /// Measures the processor time in which discovery sends a complete list that has been encoded before.
    pub(super) fn serve_list(&mut self, servers: usize, repeats: usize) -> Result<Vec<f64>, SlopesError> {
        let world = Arc::new(World::new(Catalogue::without_listeners(fleet_size(servers))));
        world.catalogue().complete_list();
        let agent = listen(Ipv4Addr::LOCALHOST)?;
        let address = agent.local_addr()?;
        let world_of_agent = Arc::clone(&world);
        let values = block_on_event_loop(async move {
            tokio::task::spawn_local(discovery::serve(agent, world_of_agent, 0));
            let mut values = Vec::new();
            for _ in 0..repeats {
                let cpu = thread_cpu_time();
                run_in_thread(move || {
                    let mut client = PollClient::connect(address)?;
                    for _ in 0..LISTS {
                        client.send_request("/catalog/members")?;
                        client.read_response()?;
                    }
                    Ok(())
                })
                .await?;
                values.push(to_microseconds(thread_cpu_time() - cpu) / f64::from(LISTS));
            }
            Ok::<_, SlopesError>(values)
        })??;
        self.add_traffic(&world);
        Ok(values)
    }

    /// Measures the processor time in which discovery responds to all long polls after a change, and the
    /// bytes that it sends.
    pub(super) fn serve_change(
        &mut self,
        long_polls: usize,
        repeats: usize,
    ) -> Result<Vec<(f64, f64)>, SlopesError> {
        usage::raise_descriptor_limit(2 * long_polls as u64 + 100)?;
        let world = Arc::new(World::new(Catalogue::without_listeners(fleet_size(1_000))));
        let agent = listen(Ipv4Addr::LOCALHOST)?;
        let address = agent.local_addr()?;
        let world_of_agent = Arc::clone(&world);
        let values = block_on_event_loop(async move {
            tokio::task::spawn_local(discovery::serve(agent, Arc::clone(&world_of_agent), 0));
            let mut clients = run_in_thread(move || {
                (0..long_polls).map(|_| PollClient::connect(address)).collect::<io::Result<Vec<_>>>()
            })
            .await?;
            let mut values = Vec::new();
            for round in 0..repeats {
                let revision = world_of_agent.catalogue().revision();
                clients = send_polls(clients, revision).await?;
                while world_of_agent.discovery.totals().messages < (long_polls * (round + 1)) as u64 {
                    tokio::time::sleep(Duration::from_millis(1)).await;
                }
                let (cpu, sent) = (thread_cpu_time(), world_of_agent.discovery.totals().sent_bytes);
                world_of_agent.change(|catalogue| catalogue.restart(&[round % 1_000], 1 + round as u64));
                clients = run_in_thread(move || {
                    clients.iter_mut().try_for_each(PollClient::read_response)?;
                    Ok(clients)
                })
                .await?;
                values.push((
                    to_microseconds(thread_cpu_time() - cpu),
                    (world_of_agent.discovery.totals().sent_bytes - sent) as f64,
                ));
            }
            Ok::<_, SlopesError>(values)
        })??;
        self.add_traffic(&world);
        Ok(values)
    }
}

/// Sends a long poll for the changes since a version on each connection.
async fn send_polls(mut clients: Vec<PollClient>, revision: u64) -> io::Result<Vec<PollClient>> {
    let path = format!("/catalog/members?since={revision}&timeout_ms=60000");
    run_in_thread(move || {
        clients.iter_mut().try_for_each(|client| client.send_request(&path))?;
        Ok(clients)
    })
    .await
}

/// Measures the processor time in which the catalogue encodes a complete list.
pub(super) fn make_list(servers: usize, repeats: usize) -> Vec<f64> {
    let mut catalogue = Catalogue::without_listeners(fleet_size(servers));
    let mut measure = |round: usize| {
        catalogue.restart(&[round % servers], 1);
        let started_at = thread_cpu_time();
        black_box(catalogue.complete_list());
        to_microseconds(thread_cpu_time() - started_at)
    };
    (0..repeats).map(&mut measure).collect()
}

/// Returns the length of a response with a change of one server.
pub(super) fn change_bytes(servers: usize) -> f64 {
    let mut catalogue = Catalogue::without_listeners(fleet_size(servers));
    let before = catalogue.revision();
    catalogue.restart(&[servers / 2], 1_700_000_000_000);
    catalogue.changes_since(before).body.len() as f64
}

/// A subscriber that only records whether a list was read.
pub(super) struct ListReader {
    pub(super) address: SocketAddr,
    pub(super) update_requested: Notify,
    pub(super) read: std::cell::Cell<bool>,
}

impl Subscriber for ListReader {
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
        // The discovery client limits a call to a quarter of this time, at most 1.5 s.
        Duration::from_secs(8)
    }

    fn apply(self: &Rc<Self>, list: ServerList) {
        black_box(&list);
        self.read.set(true);
    }

    fn unavailable(self: &Rc<Self>) {}
}

/// A blocking client of discovery with minimal parsing. It is used to measure the costs of discovery itself.
pub(super) struct PollClient(BufReader<TcpStream>);

impl PollClient {
    pub(super) fn connect(address: SocketAddr) -> io::Result<Self> {
        let stream = TcpStream::connect(address)?;
        stream.set_nodelay(true)?;
        stream.set_read_timeout(Some(Duration::from_secs(60)))?;
        Ok(Self(BufReader::with_capacity(1 << 14, stream)))
    }

    pub(super) fn send_request(&mut self, path: &str) -> io::Result<()> {
        write!(self.0.get_mut(), "GET {path} HTTP/1.1\r\nHost: discovery\r\n\r\n")
    }

    /// Reads a response and discards its body.
    pub(super) fn read_response(&mut self) -> io::Result<()> {
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

/// Runs a task, and the tasks that it spawns, on an event loop in the current thread.
pub(super) fn block_on_event_loop<T>(task: impl std::future::Future<Output = T>) -> io::Result<T> {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    Ok(LocalSet::new().block_on(&runtime, task))
}

/// Runs blocking work in a new thread, and waits for it without blocking the event loop.
pub(super) async fn run_in_thread<T: Send + 'static>(
    work: impl FnOnce() -> io::Result<T> + Send + 'static,
) -> io::Result<T> {
    let (done, result) = oneshot::channel();
    std::thread::Builder::new().name("client-0".into()).spawn(move || done.send(work()).is_ok())?;
    result.await.map_err(io::Error::other)?
}
