//! One store loses its disk; sending it what it lacks takes the other stores over the memory that they may have.

use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

use crate::fleet::{Addresses, Fleet, Record};
use crate::net::call;
use crate::servers::{
    batch_job, configuration, parcel, read, start_model_server, submit, unread_at_all_nodes, Turn, HOST,
};

/// Batch jobs, items of each, and bytes of the payload of each item: 15.5 MB of JSON a batch job.
const JOBS: usize = 12;
const ITEMS: usize = 20;
const PAYLOAD: usize = 580_000;
/// Pause between two batch jobs.
const PAUSE: Duration = Duration::from_millis(1_800);
/// `memoryMb` of a store in the settings. The platform kills a process that goes over it, and starts it again
/// after a short delay.
const MEMORY_MB: u64 = 300;
const SHORT_DELAY: Duration = Duration::from_millis(500);
/// The store that loses its disk, and how long it is away.
const WIPED: usize = 4;
const DOWN: Duration = Duration::from_millis(2_000);
/// Time from the return of the store until the batch jobs are read: `recoverS` and `finishS` and some more.
const RECOVER: Duration = Duration::from_secs(24);
/// Time for which they are then read again and again.
const READING: Duration = Duration::from_secs(25);

fn job_id(job: usize) -> String {
    format!("7c41e09b52d6{job:04x}")
}

/// Reads a batch job from the start, to its end; returns whether all results came.
fn is_read_whole(addresses: &Addresses, node: usize, job: usize) -> bool {
    let mut results = 0;
    while results < ITEMS {
        let (_, page) = read(addresses, node, &job_id(job), results as u64);
        let listed = page.map_or(0, |page| page.get("deliveries").list().len());
        if listed == 0 {
            return false;
        }
        results += listed;
    }
    true
}

/// The platform's watch over the memory of the stores.
struct MemoryWatch {
    kills: Arc<AtomicUsize>,
    is_over: Arc<AtomicBool>,
    thread: Option<JoinHandle<()>>,
}

impl MemoryWatch {
    fn start(fleet: &Arc<Mutex<Fleet>>, record: &Record) -> Self {
        let mut watch = Self { kills: Arc::default(), is_over: Arc::default(), thread: None };
        let (fleet, record) = (Arc::clone(fleet), record.clone());
        let (kills, is_over) = (Arc::clone(&watch.kills), Arc::clone(&watch.is_over));
        watch.thread = Some(std::thread::spawn(move || {
            let mut due: [Option<Instant>; 6] = [None; 6];
            while !is_over.load(Ordering::Relaxed) {
                {
                    let mut fleet = fleet.lock().unwrap();
                    for store in 3..6 {
                        let peak = fleet.peak_memory_mb(store);
                        if peak > MEMORY_MB {
                            fleet.kill(store);
                            kills.fetch_add(1, Ordering::Relaxed);
                            due[store] = Some(Instant::now() + SHORT_DELAY);
                            let name = &fleet.machines[store].name;
                            record.note(format!(
                                "platform: {name} had {peak} MB, memoryMb is {MEMORY_MB}: killed"
                            ));
                        }
                        if due[store].is_some_and(|due| due <= Instant::now()) {
                            due[store] = None;
                            fleet.start(store);
                        }
                    }
                }
                std::thread::sleep(Duration::from_millis(20));
            }
        }));
        watch
    }

    fn kills(&self) -> usize {
        self.kills.load(Ordering::Relaxed)
    }
}

impl Drop for MemoryWatch {
    fn drop(&mut self) {
        self.is_over.store(true, Ordering::Relaxed);
        if let Some(thread) = self.thread.take() {
            let _ = thread.join();
        }
    }
}

fn peaks(fleet: &Arc<Mutex<Fleet>>) -> String {
    let fleet = fleet.lock().unwrap();
    let peaks: Vec<String> = (3..6).map(|store| fleet.peak_memory_mb(store).to_string()).collect();
    peaks.join(", ")
}

pub fn run(record: &Record, with_trouble: bool) -> Result<bool, String> {
    let mut fleet = Fleet::new(record.clone(), 3, 3)?;
    let decide = Arc::new(|_: &str, _: usize| Turn { events: 5, pause: Duration::from_millis(20) });
    for index in 0..8 {
        start_model_server(&fleet, index, index % 3, record.clone(), decide.clone())?;
    }
    fleet.start_all();
    if !fleet.put_configuration(0, &configuration(1, 3), Duration::from_secs(30)) {
        return Err("the configuration was not taken".to_owned());
    }
    let addresses = fleet.addresses.clone();
    let fleet = Arc::new(Mutex::new(fleet));
    let memory = MemoryWatch::start(&fleet, record);
    std::thread::sleep(Duration::from_secs(4));
    let payload = vec![b'x'; PAYLOAD];
    for job in 0..JOBS {
        let parcels: Vec<String> = (0..ITEMS)
            .map(|i| parcel(&format!("e5b2907c{job:04x}{i:04x}"), &format!("g{}", i / 4), &payload))
            .collect();
        let limit = record.elapsed() + Duration::from_secs(6);
        let body = batch_job(&parcels, 5);
        if !submit(&addresses, record, 3, &job_id(job), &body, limit, Duration::from_secs(3)) {
            return Err(format!("batch job {job} was not taken"));
        }
        std::thread::sleep(PAUSE);
        if !is_read_whole(&addresses, job % 3, job) {
            return Err(format!("batch job {job} was not done"));
        }
        let path = format!("/api/lots/{}", job_id(job));
        let ended = call(addresses.front(0), "DELETE", &path, &[("Host", HOST)], b"", Duration::from_secs(2));
        record.note(format!(
            "trainer: all {ITEMS} results of {} read; DELETE: {}; at most the stores had {} MB",
            job_id(job),
            ended.describe(),
            peaks(&fleet)
        ));
    }
    if memory.kills() > 0 {
        return Err("a store was over its memory before the disruption".to_owned());
    }
    if with_trouble {
        {
            let mut fleet = fleet.lock().unwrap();
            fleet.kill(WIPED);
            fleet.wipe(WIPED);
            record.note(format!("{} goes down and loses its disk", fleet.machines[WIPED].name));
        }
        std::thread::sleep(DOWN);
        fleet.lock().unwrap().start(WIPED);
        record.note("it is back with an empty disk, firstStart = false");
    }
    std::thread::sleep(RECOVER);
    record.note(format!("since they started the stores had at most {} MB", peaks(&fleet)));
    let jobs: Vec<usize> = (0..JOBS).collect();
    let unread =
        unread_at_all_nodes(record, &jobs, READING, |node, job| is_read_whole(&addresses, node, job));
    record.note(format!(
        "the platform killed stores {} times; {} of {JOBS} batch jobs that had been read whole could not be read at any \
         node in {READING:?}",
        memory.kills(),
        unread.len()
    ));
    Ok(unread.is_empty())
}
