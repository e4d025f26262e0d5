//! A store is emptied while another is frozen; before that is done, the store that replaces it loses its disk and the
//! owner of the batch jobs is killed.

use std::hash::{DefaultHasher, Hash, Hasher};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use crate::fleet::{Addresses, Fleet, Record, SIGCONT, SIGSTOP};
use crate::net::call;
use crate::servers::{
    batch_job, configuration, parcel, read, start_model_server, submit, Turn, HOST, READ_PAUSE,
};

/// Batch jobs that the stores keep besides, items of each, and bytes of the payload of each item: 8 MB of JSON a
/// batch job.
const KEPT: usize = 14;
const KEPT_ITEMS: usize = 10;
const PAYLOAD: usize = 600_000;
/// The batch job whose results are looked at.
const JOB: &str = "7c41e09b52d6a3f8";
const ITEMS: usize = 60;
/// The beginning of the ids of its items.
const RUNNING: &str = "e5b2907c14db";
/// The stores: one that owns the batch job, one that has a replica, the one to be emptied, which has another, and
/// the one that has none until then.
const OWNER: usize = 3;
const REPLICA: usize = 4;
const EMPTIED: usize = 5;
const NEW: usize = 6;

/// Time from the freeze to the order to empty a store, and from its acknowledgement to the losses.
const UNTIL_RETIRE: Duration = Duration::from_millis(300);
const UNTIL_LOSSES: Duration = Duration::from_millis(2_100);
/// Time from the losses until the frozen store goes on, the wiped one starts and the killed one starts.
const STILL_FROZEN_FOR: Duration = Duration::from_millis(200);
const WIPED_FOR: Duration = Duration::from_millis(700);
const KILLED_FOR: Duration = Duration::from_millis(2_700);
/// `recoverS` and `finishS`, and some more.
const RECOVER: Duration = Duration::from_secs(24);

/// The results that the trainer has read, by position: id and text.
type Listed = Arc<Mutex<Vec<(String, String)>>>;

/// Reads on from `listed` once; returns whether there was a clear answer.
fn read_on(addresses: &Addresses, node: usize, listed: &mut Vec<(String, String)>) -> bool {
    let (_, page) = read(addresses, node, JOB, listed.len() as u64);
    let Some(page) = page else { return false };
    listed.extend(
        page.get("deliveries")
            .list()
            .iter()
            .map(|r| (r.get("id").text().to_owned(), r.get("text").text().to_owned())),
    );
    true
}

/// Hands in a batch job that the stores then keep, reads it whole and ends it.
fn keep_job(addresses: &Addresses, record: &Record, job: usize) -> Result<(), String> {
    let id = format!("7c41e09b52d7{job:04x}");
    let payload = vec![b'x'; PAYLOAD];
    let parcels: Vec<String> = (0..KEPT_ITEMS)
        .map(|i| parcel(&format!("e5b2907c{job:04x}{i:04x}"), &format!("g{i}"), &payload))
        .collect();
    let limit = record.elapsed() + Duration::from_secs(6);
    let body = batch_job(&parcels, KEPT_ITEMS as u32);
    if !submit(addresses, record, 3, &id, &body, limit, Duration::from_secs(3)) {
        return Err(format!("batch job {id} was not taken"));
    }
    let mut results = 0;
    while results < KEPT_ITEMS && record.elapsed() < limit {
        let (_, page) = read(addresses, job % 3, &id, results as u64);
        results += page.map_or(0, |page| page.get("deliveries").list().len());
        if results < KEPT_ITEMS {
            std::thread::sleep(READ_PAUSE);
        }
    }
    if results < KEPT_ITEMS {
        return Err(format!("batch job {id} was not done"));
    }
    let path = format!("/api/lots/{id}");
    let ended = call(addresses.front(0), "DELETE", &path, &[("Host", HOST)], b"", Duration::from_secs(2));
    record.note(format!("trainer: DELETE of {id}: {}", ended.describe()));
    Ok(())
}

fn peaks(fleet: &Fleet) -> String {
    let peaks: Vec<String> = (3..7).map(|store| fleet.peak_memory_mb(store).to_string()).collect();
    peaks.join(", ")
}

pub fn run(record: &Record, with_trouble: bool) -> Result<bool, String> {
    let mut fleet = Fleet::new(record.clone(), 3, 4)?;
    // Generations vary in length, and no run takes as long as another.
    let decide = Arc::new(|id: &str, before: usize| {
        let mut hasher = DefaultHasher::new();
        (id, before).hash(&mut hasher);
        let longest = if id.starts_with(RUNNING) { 1_000 } else { 20 };
        Turn { events: 12, pause: Duration::from_millis(10 + hasher.finish() % longest) }
    });
    for index in 0..8 {
        start_model_server(&fleet, index, index % 3, record.clone(), decide.clone())?;
    }
    fleet.start_all();
    if !fleet.put_configuration(0, &configuration(1, 3), Duration::from_secs(30)) {
        return Err("the configuration was not taken".to_owned());
    }
    let addresses = fleet.addresses.clone();
    std::thread::sleep(Duration::from_secs(5));
    for job in 0..KEPT {
        keep_job(&addresses, record, job)?;
    }
    std::thread::sleep(Duration::from_secs(1));
    let parcels: Vec<String> =
        (0..ITEMS).map(|i| parcel(&format!("{RUNNING}{i:04x}"), &format!("g{i}"), b"prompt")).collect();
    let limit = record.elapsed() + Duration::from_secs(10);
    if !submit(&addresses, record, 3, JOB, &batch_job(&parcels, ITEMS as u32), limit, Duration::from_secs(2))
    {
        return Err("the batch job was not taken".to_owned());
    }

    let listed: Listed = Arc::default();
    let is_over = Arc::new(AtomicBool::new(false));
    let reader = {
        let (addresses, record) = (addresses.clone(), record.clone());
        let (listed, is_over) = (Arc::clone(&listed), Arc::clone(&is_over));
        std::thread::spawn(move || {
            let mut mine = Vec::new();
            for node in (0..3).cycle() {
                if is_over.load(Ordering::Relaxed) {
                    break;
                }
                let before = mine.len();
                let is_clear = read_on(&addresses, node, &mut mine);
                if is_over.load(Ordering::Relaxed) {
                    break;
                }
                if mine.len() > before || !is_clear {
                    record.note(format!("trainer: {} results read, clear answer: {is_clear}", mine.len()));
                }
                *listed.lock().unwrap() = mine.clone();
                std::thread::sleep(READ_PAUSE);
            }
        })
    };
    let until = record.elapsed() + Duration::from_secs(10);
    while listed.lock().unwrap().len() < 6 && record.elapsed() < until {
        std::thread::sleep(Duration::from_millis(20));
    }
    if with_trouble {
        fleet.signal(REPLICA, SIGSTOP);
        record.note(format!("{} is frozen", fleet.machines[REPLICA].name));
    }
    std::thread::sleep(UNTIL_RETIRE);
    let path = format!("/api/retire/{}", fleet.machines[EMPTIED].name);
    let headers = [("Content-Type", "application/json")];
    let mut taken = false;
    for node in [0, 1, 2, 0, 1, 2] {
        let said = call(
            addresses.control(node),
            "POST",
            &path,
            &headers,
            b"{\"overS\":8.8}",
            Duration::from_secs(1),
        );
        record.note(format!("operator: POST {path} at counter {}: {}", node + 1, said.describe()));
        taken = said.status() == 200;
        if taken {
            break;
        }
        std::thread::sleep(Duration::from_millis(100));
    }
    if !taken {
        return Err("the order to empty a store was not taken".to_owned());
    }
    std::thread::sleep(UNTIL_LOSSES);
    record.note(format!("since they started the stores had at most {} MB", peaks(&fleet)));
    if with_trouble {
        let struck = record.elapsed();
        fleet.kill(NEW);
        fleet.kill(OWNER);
        fleet.wipe(NEW);
        record.note(format!(
            "{} loses its disk, {} is killed",
            fleet.machines[NEW].name, fleet.machines[OWNER].name
        ));
        let wait = |after: Duration| std::thread::sleep((struck + after).saturating_sub(record.elapsed()));
        wait(STILL_FROZEN_FOR);
        fleet.signal(REPLICA, SIGCONT);
        record.note(format!("{} goes on", fleet.machines[REPLICA].name));
        wait(WIPED_FOR);
        fleet.start(NEW);
        record.note(format!("{} is back with an empty disk, firstStart = false", fleet.machines[NEW].name));
        wait(KILLED_FOR);
        fleet.start(OWNER);
        record.note(format!("{} is back with its disk", fleet.machines[OWNER].name));
    }
    std::thread::sleep(Duration::from_secs(3));
    is_over.store(true, Ordering::Relaxed);
    let _ = reader.join();
    let read_before = listed.lock().unwrap().clone();
    std::thread::sleep(RECOVER);
    let mut read_again = Vec::new();
    let until = record.elapsed() + Duration::from_secs(20);
    for node in (0..3).cycle() {
        if record.elapsed() > until || read_again.len() >= ITEMS {
            break;
        }
        read_on(&addresses, node, &mut read_again);
        std::thread::sleep(READ_PAUSE);
    }
    let mut differing = 0;
    for (position, (id, text)) in read_before.iter().enumerate() {
        match read_again.get(position) {
            Some((other, other_text)) if other == id && other_text == text => {}
            other => {
                differing += 1;
                let now = other.map_or("nothing", |(id, _)| id.as_str());
                record.note(format!("position {position}: read as item {id}; now {now}"));
            }
        }
    }
    record.note(format!(
        "trainer: {} results were read while the batch job ran, {} of {ITEMS} after the recovery; {differing} positions \
         hold another result than before, or none",
        read_before.len(),
        read_again.len()
    ));
    record.note(format!("since they started the stores had at most {} MB", peaks(&fleet)));
    fleet.note_logs("epoch", 12);
    if read_before.len() < 8 {
        return Err("too few results were read".to_owned());
    }
    Ok(differing == 0)
}
