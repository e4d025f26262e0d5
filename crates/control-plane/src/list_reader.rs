//! Who reads the platform's list, and when.

use std::sync::Arc;
use std::time::{Duration, Instant};

use state::{ServerEntry, ServerList, ServerListVersion};

use crate::{Leadership, Platform, PlatformError, ViewCell};

/// How often the leader reads.
const LEADER_EVERY: Duration = Duration::from_millis(900);
/// The leader gives the list a new version after this time, changed or not, so that what others read for
/// themselves gives way.
const RENEW_AFTER: Duration = Duration::from_secs(5);
/// Pause after the platform refused a call.
const REFUSED_PAUSE: Duration = Duration::from_millis(700);
/// How often is looked whether it is time to read.
const TICK: Duration = Duration::from_millis(150);

/// Reads the list while this process leads; otherwise only where nothing was heard of it for `own_after`.
pub async fn run_list_reader(
    platform: Platform,
    leadership: Arc<Leadership>,
    view: Arc<ViewCell>,
    own_after: Duration,
) {
    let mut renewed_at = Instant::now();
    let mut sequence = 0;
    let mut own_wait = own_after + jitter(own_after);
    loop {
        tokio::time::sleep(TICK).await;
        let fence = leadership.fence();
        let age = view.servers_age();
        let due = if fence.is_some() { LEADER_EVERY.saturating_sub(TICK / 2) } else { own_wait };
        if age.is_some_and(|age| age < due) {
            continue;
        }
        let began = Instant::now();
        match platform.read(ServerListVersion::default()).await {
            Ok(list) => {
                own_wait = own_after + jitter(own_after);
                let known = view.view();
                let changed = !same_servers(&known.servers.servers, &list.servers);
                let renew = fence.is_some_and(|fence| {
                    known.servers.version.fence != fence || renewed_at.elapsed() > RENEW_AFTER
                });
                if changed || renew {
                    renewed_at = began;
                    let version = next_version(known.servers.version, fence, &mut sequence);
                    view.adopt_servers(ServerList { version, servers: list.servers });
                }
                view.servers_read(began);
            }
            Err(error) => {
                log::warn!("{error}");
                if error == PlatformError::TooManyCalls {
                    tokio::time::sleep(REFUSED_PAUSE + jitter(REFUSED_PAUSE)).await;
                }
            }
        }
    }
}

fn next_version(known: ServerListVersion, fence: Option<u64>, sequence: &mut u64) -> ServerListVersion {
    match fence {
        Some(fence) => {
            let before = if known.fence == fence { known.sequence } else { 0 };
            *sequence = before.max(*sequence) + 1;
            ServerListVersion { fence, sequence: *sequence, local: 0 }
        }
        None => ServerListVersion { local: known.local + 1, ..known },
    }
}

/// Whether two lists say the same; how much longer a server is slow changes all the time and does not count.
fn same_servers(a: &[ServerEntry], b: &[ServerEntry]) -> bool {
    let settled = |entry: &ServerEntry| ServerEntry { cold_ms: 0, ..entry.clone() };
    a.len() == b.len() && a.iter().zip(b).all(|(a, b)| settled(a) == settled(b))
}

fn jitter(most: Duration) -> Duration {
    most.mul_f64(fastrand::f64() * 0.5)
}
