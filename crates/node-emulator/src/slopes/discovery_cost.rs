//! Costs of discovery and of its client by size.

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
use super::model::fleet;
use super::{micros, SlopesError};
use crate::catalogue::Catalogue;
use crate::discovery;
use crate::usage::{self, thread_time};
use crate::world::{listen, World};

/// Complete lists served for one measure.
pub(super) const LISTS: u32 = 20;

impl Bench {
    /// Processor time and time, in microseconds, of reads of the complete list by the project's client; none where it
    /// does not read a list of this size.
    pub(super) fn read_list(
        &mut self,
        servers: usize,
        repeats: usize,
    ) -> Result<Vec<(f64, f64)>, SlopesError> {
        let world = Arc::new(World::new(Catalogue::unheard(fleet(servers))));
        world.catalogue().complete();
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

    pub(super) fn serve_list(&mut self, servers: usize, repeats: usize) -> Result<Vec<f64>, SlopesError> {
        let world = Arc::new(World::new(Catalogue::unheard(fleet(servers))));
        world.catalogue().complete();
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

    /// Processor time of discovery, in microseconds, and the bytes that it sends, to notify all long polls of a
    /// change.
    pub(super) fn serve_change(
        &mut self,
        watches: usize,
        repeats: usize,
    ) -> Result<Vec<(f64, f64)>, SlopesError> {
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
                let revision = served.catalogue().revision();
                watchers = send_polls(watchers, revision).await?;
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
}

/// Sends a long poll for changes after a version on each connection.
async fn send_polls(mut watchers: Vec<Watcher>, revision: u64) -> io::Result<Vec<Watcher>> {
    let path = format!("/catalog/members?since={revision}&timeout_ms=60000");
    beside(move || {
        watchers.iter_mut().try_for_each(|watcher| watcher.ask(&path))?;
        Ok(watchers)
    })
    .await
}

pub(super) fn make_list(servers: usize, repeats: usize) -> Vec<f64> {
    let mut catalogue = Catalogue::unheard(fleet(servers));
    let mut measure = |round: usize| {
        catalogue.restart(&[round % servers], 1);
        let begun = thread_time();
        black_box(catalogue.complete());
        micros(thread_time() - begun)
    };
    (0..repeats).map(&mut measure).collect()
}

pub(super) fn change_bytes(servers: usize) -> f64 {
    let mut catalogue = Catalogue::unheard(fleet(servers));
    let before = catalogue.revision();
    catalogue.restart(&[servers / 2], 1_700_000_000_000);
    catalogue.since(before).body.len() as f64
}

/// Reads one list.
pub(super) struct Reader {
    pub(super) address: SocketAddr,
    pub(super) update_requested: Notify,
    pub(super) read: std::cell::Cell<bool>,
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
pub(super) struct Watcher(BufReader<TcpStream>);

impl Watcher {
    pub(super) fn connect(address: SocketAddr) -> io::Result<Self> {
        let stream = TcpStream::connect(address)?;
        stream.set_nodelay(true)?;
        stream.set_read_timeout(Some(Duration::from_secs(60)))?;
        Ok(Self(BufReader::with_capacity(1 << 14, stream)))
    }

    pub(super) fn ask(&mut self, path: &str) -> io::Result<()> {
        write!(self.0.get_mut(), "GET {path} HTTP/1.1\r\nHost: discovery\r\n\r\n")
    }

    pub(super) fn answer(&mut self) -> io::Result<()> {
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
pub(super) fn on_loop<T>(task: impl std::future::Future<Output = T>) -> io::Result<T> {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    Ok(LocalSet::new().block_on(&runtime, task))
}

/// Lets blocking work run in a thread beside the event loop, and waits for it.
pub(super) async fn beside<T: Send + 'static>(
    work: impl FnOnce() -> io::Result<T> + Send + 'static,
) -> io::Result<T> {
    let (done, result) = oneshot::channel();
    std::thread::Builder::new().name("client-0".into()).spawn(move || done.send(work()).is_ok())?;
    result.await.map_err(io::Error::other)?
}
