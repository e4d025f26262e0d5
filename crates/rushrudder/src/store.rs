//! The role of a store of batch jobs.

use control_plane::Capability;
use error_stack::Report;
use register::Member;
use settings::Settings;

use crate::command::RoleError;
use crate::control::{open_disk, Control};
use crate::signals::{Signals, Told};

/// The journal of a store: whole batch jobs and their results.
const JOURNAL: storage::Options = storage::Options { segment_bytes: 16 * 1024 * 1024, segments: 16 };

/// Serves as a store until the platform ends it.
pub async fn run(settings: Settings) -> Result<(), Report<RoleError>> {
    let mut signals = Signals::listen()?;
    let disk = open_disk(&settings, JOURNAL)?;
    let member = disk.as_ref().map(|disk| Member {
        station: settings.station.clone(),
        incarnation: disk.incarnation,
        address: crate::control::internal_address(&settings),
    });
    let control = Control::new(&settings, None);
    let internal = control.listen().await?;
    tokio::spawn(rpc::serve(internal, control.internal_routes()));
    control.start(&settings, member, Capability::Store);
    log::info!("{} serves", settings.station);
    while signals.next().await != Told::Terminate {}
    log::info!("{} ends", settings.station);
    Ok(())
}
