//! A server's late surplus answer is counted as a second failure of an item.

use std::sync::Arc;
use std::time::Duration;

use crate::fleet::{Fleet, Record};
use crate::servers::{batch_job, configuration, parcel, read, submit, ModelServer, Turn};

const TRIES: u32 = 2;
/// Items of the first batch job, which the server answers as a sound one does.
const ORDINARY: usize = 40;
const FIRST_JOB: &str = "7c41e09b52d6a3f7";
/// The item of the second batch job, whose first run fails, and that batch job.
const ITEM: &str = "e5b2907c14da6f38";
const JOB: &str = "7c41e09b52d6a3f8";

pub fn run(record: &Record, with_trouble: bool) -> Result<bool, String> {
    let mut fleet = Fleet::new(record.clone(), 3, 3)?;
    let decide = Arc::new(|id: &str, before: usize| match (id, before) {
        (ITEM, 0) => Turn::Fails,
        _ => Turn::Whole { events: 10, pause: Duration::from_millis(20) },
    });
    let server = ModelServer::start(&fleet, 0, 0, record.clone(), decide, with_trouble)?;
    fleet.start_all();
    if !fleet.put_configuration(0, &configuration(1, TRIES), Duration::from_secs(30)) {
        return Err("the configuration was not taken".to_owned());
    }
    std::thread::sleep(Duration::from_secs(4));
    let ordinary: Vec<String> = (0..ORDINARY)
        .map(|i| parcel(&format!("e5b2907c14db{i:04x}"), &format!("g{}", i / 8), b"prompt"))
        .collect();
    let wait = Duration::from_secs(2);
    let limit = Duration::from_secs(50);
    if !submit(
        &fleet.addresses,
        record,
        3,
        FIRST_JOB,
        &batch_job(&ordinary, ORDINARY as u32 / 8),
        limit,
        wait,
    ) {
        return Err("the first batch job was not taken".to_owned());
    }
    if conditions(&fleet, record, FIRST_JOB, ORDINARY).iter().any(|condition| condition != "delivered") {
        return Err("the first batch job was not delivered".to_owned());
    }
    if !submit(&fleet.addresses, record, 3, JOB, &batch_job(&[parcel(ITEM, "h1", b"prompt")], 1), limit, wait)
    {
        return Err("the batch job was not taken".to_owned());
    }
    let condition = conditions(&fleet, record, JOB, 1).pop().unwrap_or_default();
    std::thread::sleep(Duration::from_millis(500));
    let answers = server.runs.lock().unwrap().len();
    let failures =
        server.runs.lock().unwrap().iter().filter(|run| run.id == ITEM && run.status == 500).count();
    record.note(format!(
        "trainer: item {ITEM} is listed as '{condition}'; the server answered {failures} request(s) for it with 500, \
         the route has tries = {TRIES}; it answered {answers} requests in all"
    ));
    match condition.as_str() {
        "delivered" => Ok(true),
        "undeliverable" => Ok(failures >= TRIES as usize),
        _ => Err("the item was not listed".to_owned()),
    }
}

/// Reads a batch job until so many results are listed, for 20 s at most; returns their conditions.
fn conditions(fleet: &Fleet, record: &Record, job: &str, items: usize) -> Vec<String> {
    let until = record.elapsed() + Duration::from_secs(20);
    let mut conditions = Vec::new();
    for node in (0..3).cycle() {
        if record.elapsed() > until || conditions.len() >= items {
            break;
        }
        if let (_, Some(page)) = read(&fleet.addresses, node, job, conditions.len() as u64) {
            conditions
                .extend(page.get("deliveries").list().iter().map(|r| r.get("condition").text().to_owned()));
        }
        std::thread::sleep(Duration::from_millis(300));
    }
    record.note(format!("trainer: {} results of batch job {job} listed", conditions.len()));
    conditions
}
