//! State that a process reports in reply to a ping.

use std::sync::Arc;
use std::time::Duration;

use control_plane::{PingService, ViewCell};

const STABLE_AFTER: Duration = Duration::from_secs(3);
const UNRESPONSIVE_AFTER: Duration = Duration::from_secs(2);

#[test]
fn given_a_process_whose_migrated_epoch_is_unknown_when_pinged_then_it_reports_epoch_zero() {
    let view = Arc::new(ViewCell::new());
    let service = PingService::new(view, Arc::default(), UNRESPONSIVE_AFTER, STABLE_AFTER);
    assert_eq!(service.reply().committed_epoch, 0);
    service.set_committed_epoch(4);
    assert_eq!(service.reply().committed_epoch, 4);
}
