//! A burst of large batch jobs; afterwards no batch job that was accepted can be read any more.

use std::sync::Arc;
use std::time::Duration;

use crate::fleet::{Addresses, Fleet, Record};
use crate::net::call;
use crate::servers::{
    batch_job, configuration, parcel, read, start_model_server, submit, unread_at_all_nodes, Turn, HOST,
    READ_PAUSE,
};

/// Time for which the trainer hands batch jobs in: eleven of them as usual.
const TRAFFIC: Duration = Duration::from_millis(16_400);
/// Pause between two batch jobs as usual.
const PAUSE: Duration = Duration::from_millis(1_500);
/// The burst: begin from the first batch job, length, and how many times the usual traffic.
const BURST_AT: Duration = Duration::from_secs(6);
const BURST_FOR: Duration = Duration::from_secs(4);
const BURST: u32 = 2;
/// Items of a batch job and bytes of the payload of each: 8.6 MB as JSON.
const ITEMS: usize = 20;
const PAYLOAD: usize = 320_000;
/// Time that batch jobs get after the traffic, and the time for which they are then read again and again.
const FINISH: Duration = Duration::from_secs(10);
const READING: Duration = Duration::from_secs(30);

fn job_id(job: usize) -> String {
    format!("7c41e09b52d6{job:04x}")
}

/// Reads a batch job from the start, to its end; returns the number of results, `None` without a clear answer.
fn read_whole(addresses: &Addresses, node: usize, job: usize) -> Option<usize> {
    let mut results = 0;
    loop {
        let (_, page) = read(addresses, node, &job_id(job), results as u64);
        let listed = page?.get("deliveries").list().len();
        results += listed;
        if listed == 0 || results >= ITEMS {
            return Some(results);
        }
    }
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
    std::thread::sleep(Duration::from_secs(4));
    let payload = vec![b'x'; PAYLOAD];
    let start = record.elapsed();
    let traffic_end = start + TRAFFIC;
    // The batch jobs that were answered 202, and those of them whose results were all read before the trainer ended them.
    let mut accepted = Vec::new();
    let mut read_before = Vec::new();
    let mut job = 0;
    while record.elapsed() < traffic_end {
        let is_burst = with_trouble && (BURST_AT..BURST_AT + BURST_FOR).contains(&(record.elapsed() - start));
        let next = record.elapsed() + if is_burst { PAUSE / BURST } else { PAUSE };
        let parcels: Vec<String> = (0..ITEMS)
            .map(|i| parcel(&format!("e5b2907c{job:04x}{i:04x}"), &format!("g{}", i / 4), &payload))
            .collect();
        let body = batch_job(&parcels, 5);
        if submit(&fleet.addresses, record, 3, &job_id(job), &body, next, Duration::from_secs(3)) {
            accepted.push(job);
            while record.elapsed() < next.min(traffic_end) {
                if read_whole(&fleet.addresses, job % 3, job) == Some(ITEMS) {
                    let path = format!("/api/lots/{}", job_id(job));
                    let ended = call(
                        fleet.addresses.front(0),
                        "DELETE",
                        &path,
                        &[("Host", HOST)],
                        b"",
                        Duration::from_secs(2),
                    );
                    record.note(format!(
                        "trainer: all {ITEMS} results of {} read; DELETE: {}",
                        job_id(job),
                        ended.describe()
                    ));
                    read_before.push(job);
                    break;
                }
                std::thread::sleep(READ_PAUSE);
            }
        }
        job += 1;
        std::thread::sleep(next.saturating_sub(record.elapsed()));
    }
    record.note(format!(
        "the traffic ends: {job} batch jobs of {} MB handed in, {} accepted, {} of them read whole",
        PAYLOAD * ITEMS * 4 / 3 / 1_000_000,
        accepted.len(),
        read_before.len()
    ));
    std::thread::sleep(FINISH);
    // A batch job counts as read again once any node has answered all results that were read before.
    let unread = {
        let addresses = &fleet.addresses;
        unread_at_all_nodes(record, &accepted, READING, |node, job| match read_whole(addresses, node, job) {
            Some(results) => results == ITEMS || !read_before.contains(&job),
            None => false,
        })
    };
    for name in fleet.ended() {
        record.note(format!("{name} ended by itself"));
    }
    fleet.note_logs("ring is full", 1);
    record.note(format!(
        "{} of {} accepted batch jobs could not be read at any node in {READING:?}, {} of them had been read whole before",
        unread.len(),
        accepted.len(),
        unread.iter().filter(|job| read_before.contains(job)).count()
    ));
    if read_before.is_empty() {
        return Err("no batch job was read before".to_owned());
    }
    Ok(unread.is_empty())
}
