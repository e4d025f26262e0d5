//! Three model servers are lost for good, one after the other; a step with one long text then runs out of time, although
//! idle servers could have run its other groups.

use std::sync::Arc;
use std::time::Duration;

use crate::fleet::{Fleet, Record};
use crate::servers::{batch_job, configuration, parcel, read, submit, ModelServer, Turn};

/// Servers of the deployment's service, by zone (0: bandung-a), as in the small site.
const ZONES: [usize; 8] = [0, 0, 0, 1, 1, 1, 2, 2];
/// Places of each server.
const BERTHS: usize = 8;
const GROUP: usize = 8;
/// The trainer's step: five groups, of which it waits for three.
const GROUPS: usize = 5;
const WANTED: usize = 3;
/// The trainer's deadline from the first send, and how much longer it waits for an answer.
const DEADLINE: Duration = Duration::from_millis(15_000);
const PATIENCE: Duration = Duration::from_millis(1_500);
/// The servers that are lost, one of each zone, and the time for which the platform still lists each after its crash.
const LOST: [usize; 3] = [0, 3, 6];
const LISTED: Duration = Duration::from_millis(2_500);
/// Pause between two events of a stream.
const PAUSE: Duration = Duration::from_millis(115);
/// Events of an ordinary text and of the one long text.
const EVENTS: u64 = 25;
const EVENTS_LONG: u64 = 160;
/// Time for which an item may be at no server.
const IDLE: Duration = Duration::from_secs(5);

const STEP: &str = "7c41e09b52d6a3f8";

fn item(index: usize) -> String {
    format!("e5b2907c14da{index:04x}")
}

pub fn run(record: &Record, with_trouble: bool) -> Result<bool, String> {
    let mut fleet = Fleet::new(record.clone(), 3, 3)?;
    // The first item of the third group has the long text, with the disruption and without it.
    let long = item(2 * GROUP);
    let decide = Arc::new(move |id: &str, _: usize| Turn {
        events: if id == long { EVENTS_LONG } else { EVENTS },
        pause: PAUSE,
    });
    let mut servers = Vec::new();
    for (index, zone) in ZONES.iter().enumerate() {
        servers.push(ModelServer::start(&fleet, index, *zone, record.clone(), decide.clone())?);
    }
    fleet.start_all();
    if !fleet.put_configuration(0, &configuration(1, 3), Duration::from_secs(30)) {
        return Err("the configuration was not taken".to_owned());
    }
    std::thread::sleep(Duration::from_secs(4));
    let mut places = ZONES.len() * BERTHS;
    if with_trouble {
        for lost in LOST {
            servers[lost].serving.crash();
            let id = servers[lost].id.clone();
            record.note(format!("model server {id} crashes, for good"));
            std::thread::sleep(LISTED);
            fleet.carriers.lock().unwrap().retain(|carrier| carrier.id != id);
            record.note(format!("platform: {id} is no longer listed"));
        }
        places -= LOST.len() * BERTHS;
    }
    // Long enough for every machine to be in touch, with the list of the servers that are left.
    std::thread::sleep(Duration::from_secs(6));
    let parcels: Vec<String> =
        (0..GROUPS * GROUP).map(|i| parcel(&item(i), &format!("g{}", i / GROUP), b"prompt")).collect();
    let sent = record.elapsed();
    let limit = sent + Duration::from_secs(10);
    if !submit(
        &fleet.addresses,
        record,
        3,
        STEP,
        &batch_job(&parcels, WANTED as u32),
        limit,
        Duration::from_secs(2),
    ) {
        return Err("the step was not taken".to_owned());
    }
    let deadline = sent + DEADLINE;
    let mut listed = vec![false; GROUPS * GROUP];
    let mut after = 0;
    let mut node = 0;
    let whole = |listed: &[bool]| {
        listed.chunks(GROUP).filter(|group| group.iter().all(|is_listed| *is_listed)).count()
    };
    while record.elapsed() < deadline + PATIENCE && whole(&listed) < WANTED {
        if let (_, Some(page)) = read(&fleet.addresses, node % 3, STEP, after) {
            for result in page.get("deliveries").list() {
                let id = result.get("id").text();
                if let Some(index) = (0..listed.len()).find(|index| item(*index) == id) {
                    listed[index] = true;
                }
            }
            after = page.get("next").number().max(after);
        }
        node += 1;
        std::thread::sleep(Duration::from_millis(200));
    }
    let is_done = whole(&listed) >= WANTED;
    record.note(format!(
        "trainer: {} of {} items listed, {} of {WANTED} wanted groups whole{}",
        listed.iter().filter(|is_listed| **is_listed).count(),
        listed.len(),
        whole(&listed),
        if is_done { "" } else { ", and the deadline has passed" }
    ));
    if is_done {
        return Ok(true);
    }
    let begun: Vec<(String, Duration)> =
        servers.iter().flat_map(|server| server.begun.lock().unwrap().clone()).collect();
    let ended: Vec<Duration> =
        servers.iter().flat_map(|server| server.ended.lock().unwrap().clone()).collect();
    let running = |at: Duration| {
        begun.iter().filter(|(_, began)| *began <= at).count()
            - ended.iter().filter(|end| **end <= at).count()
    };
    let idle: Vec<String> = (0..listed.len())
        .map(item)
        .filter(|id| !begun.iter().any(|(begun_id, began)| begun_id == id && *began < deadline))
        .collect();
    // The calm time before the deadline in which the idle items were at no server, and the most requests that the
    // servers worked on in it.
    let steps = (0..=50).map(|step| deadline - IDLE + IDLE * step / 50);
    let most = steps.map(running).max().unwrap_or(0);
    record.note(format!(
        "servers: {} items of the step were at no server before its deadline; in the last {IDLE:?} of it at most {most} \
         of {} places were taken",
        idle.len(),
        places
    ));
    Ok(idle.is_empty() || most >= places / 2)
}
