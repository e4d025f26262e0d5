//! The store that owns the batch jobs loses its disk. When it has been back for longer than `catchUpS`, another store
//! loses its disk.

use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use crate::fleet::{Addresses, Fleet, Record};
use crate::net::call;
use crate::servers::{
    batch_job, configuration, parcel, read, start_model_server, submit, unread_at_all_nodes, Turn, HOST,
    READ_PAUSE,
};

/// Small batch jobs that the stores keep, and items of each.
const JOBS: usize = 600;
const ITEMS: usize = 1;
/// Trainers that hand them in.
const TRAINERS: usize = 8;
/// The stores that lose their disks, one after the other, and how long each is away.
const LOST: [usize; 2] = [3, 4];
const DOWN: Duration = Duration::from_millis(1_000);
/// `catchUpS`, and a little more.
const CATCH_UP: Duration = Duration::from_millis(4_900);
/// With `CATCH_UP` before it `recoverS` and `finishS`, and some more.
const RECOVER: Duration = Duration::from_secs(19);
/// Batch jobs that are read then, each again and again for this time, at all nodes in turn.
const READ: usize = 30;
const READING: Duration = Duration::from_secs(20);

fn job_id(job: usize) -> String {
    format!("7c41e09b52d6{job:04x}")
}

/// Reads a batch job from the start; returns whether all results came.
fn is_read_whole(addresses: &Addresses, node: usize, job: usize) -> bool {
    let (_, page) = read(addresses, node, &job_id(job), 0);
    page.is_some_and(|page| page.get("deliveries").list().len() == ITEMS)
}

/// Hands in a batch job, reads it whole and ends it.
fn play_job(addresses: &Addresses, record: &Record, job: usize) -> bool {
    let parcels: Vec<String> = (0..ITEMS)
        .map(|i| parcel(&format!("e5b2907c{job:04x}{i:04x}"), &format!("g{i}"), b"prompt"))
        .collect();
    let limit = record.elapsed() + Duration::from_secs(6);
    let body = batch_job(&parcels, ITEMS as u32);
    if !submit(addresses, record, 3, &job_id(job), &body, limit, Duration::from_secs(3)) {
        return false;
    }
    while record.elapsed() < limit {
        if is_read_whole(addresses, job % 3, job) {
            let path = format!("/api/lots/{}", job_id(job));
            let node = addresses.front(job % 3);
            return call(node, "DELETE", &path, &[("Host", HOST)], b"", Duration::from_secs(2)).status()
                == 200;
        }
        std::thread::sleep(READ_PAUSE);
    }
    false
}

pub fn run(record: &Record, with_trouble: bool) -> Result<bool, String> {
    let mut fleet = Fleet::new(record.clone(), 3, 3)?;
    let decide = Arc::new(|_: &str, _: usize| Turn { events: 3, pause: Duration::from_millis(5) });
    for index in 0..8 {
        start_model_server(&fleet, index, index % 3, record.clone(), decide.clone())?;
    }
    fleet.start_all();
    if !fleet.put_configuration(0, &configuration(1, 3), Duration::from_secs(30)) {
        return Err("the configuration was not taken".to_owned());
    }
    let addresses = fleet.addresses.clone();
    std::thread::sleep(Duration::from_secs(4));
    let next = AtomicUsize::new(0);
    let missed = Mutex::new(Vec::new());
    std::thread::scope(|scope| {
        for _ in 0..TRAINERS {
            scope.spawn(|| loop {
                let job = next.fetch_add(1, Ordering::Relaxed);
                if job >= JOBS {
                    break;
                }
                if !play_job(&addresses, record, job) {
                    missed.lock().unwrap().push(job);
                }
            });
        }
    });
    let missed = missed.into_inner().unwrap();
    record.note(format!("trainers: {} batch jobs read whole and ended", JOBS - missed.len()));
    if !missed.is_empty() {
        return Err(format!("{} batch jobs were not done", missed.len()));
    }
    std::thread::sleep(Duration::from_secs(2));
    if with_trouble {
        for store in LOST {
            fleet.kill(store);
            fleet.wipe(store);
            record.note(format!("{} goes down and loses its disk", fleet.machines[store].name));
            std::thread::sleep(DOWN);
            fleet.start(store);
            record.note("it is back with an empty disk, firstStart = false");
            std::thread::sleep(CATCH_UP);
        }
    }
    std::thread::sleep(RECOVER);
    let tried: Vec<usize> = (0..JOBS).step_by(JOBS / READ).collect();
    let unread =
        unread_at_all_nodes(record, &tried, READING, |node, job| is_read_whole(&addresses, node, job)).len();
    let limit = record.elapsed() + Duration::from_secs(8);
    let body = batch_job(&[parcel("e5b2907cffff0000", "g0", b"prompt")], 1);
    let is_taken = submit(&addresses, record, 3, "7c41e09b52d6ffff", &body, limit, Duration::from_secs(3));
    record.note(format!(
        "{unread} of {READ} batch jobs that had been read whole could not be read at any node in {READING:?}; a new batch \
         job was {}",
        if is_taken { "taken" } else { "not taken" }
    ));
    fleet.note_logs("rejoined", 3);
    fleet.note_logs("migration waits", 3);
    Ok(unread == 0)
}
