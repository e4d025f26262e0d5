//! Golden files: what the fields of the settings file mean.
//!
//! Each `.toml` file is read, and each field is written with its value under its name in the file. The result has
//! to equal the `.txt` file of the same name byte for byte. `GOLDEN_WRITE=1` writes these files.

use std::fmt::Write;
use std::path::PathBuf;

use settings::Settings;
use yare::parameterized;

fn golden_path(name: &str) -> PathBuf {
    PathBuf::from(env!("CARGO_MANIFEST_DIR")).join("tests/golden").join(name)
}

fn assert_golden(name: &str, actual: &str) {
    let path = golden_path(name);
    if std::env::var_os("GOLDEN_WRITE").is_some() {
        std::fs::write(&path, actual).expect("the golden file can be written");
    }
    let expected = std::fs::read_to_string(&path).expect("the golden file exists");
    assert_eq!(actual, expected, "{name}");
}

macro_rules! render {
    ($($field:literal => $value:expr,)*) => {{
        let mut text = String::new();
        $(writeln!(text, "{} = {:?}", $field, $value).expect("a string takes any text");)*
        text
    }};
}

fn render_process(settings: &Settings) -> String {
    render! {
        "station" => settings.station,
        "role" => settings.role,
        "machineClass" => settings.machine_class,
        "serves" => settings.serves,
        "serves counter" => settings.serves_clients(),
        "serves dispatch" => settings.serves_control(),
        "serves vault" => settings.serves_store(),
        "ip" => settings.ip,
        "zone" => settings.zone,
        "region" => settings.region,
        "innerPorts" => settings.inner_ports,
        "ip and first of innerPorts" => settings.internal_address(),
        "seedStations" => settings.seeds,
        "firstStart" => settings.first_start,
        "countsForQuorum" => settings.counts_for_quorum,
        "dataDir" => settings.data_dir,
        "beatMs" => settings.beat(),
        "contracts" => settings.contracts,
        "contracts has base" => settings.has_contract("base"),
        "zones" => settings.zones,
    }
}

fn render_sections(settings: &Settings) -> String {
    render! {
        "posts.front" => settings.posts.front,
        "posts.readyPost" => settings.posts.ready,
        "posts.controlPost" => settings.posts.control,
        "limits.cpuShare" => settings.limits.cpu_share,
        "limits.cores" => settings.limits.cores,
        "limits.memoryMb" => settings.limits.memory_mb,
        "limits.memoryMb in bytes" => settings.limits.memory_bytes(),
        "limits.fileHandles" => settings.limits.file_handles,
        "limits.linkMbps" => settings.limits.link_mbps,
        "limits.diskMb" => settings.limits.disk_mb,
        "limits.diskMb in bytes" => settings.limits.disk_bytes(),
        "withstand.machines" => settings.withstand.machines,
        "withstand.zones" => settings.withstand.zones,
        "withstand.regions" => settings.withstand.regions,
        "cloud.address" => settings.cloud.as_ref().map(|cloud| &cloud.address),
        "cloud.perS" => settings.cloud.as_ref().map(|cloud| cloud.per_s),
        "cloud.lagMs" => settings.cloud.as_ref().map(|cloud| cloud.lag()),
    }
}

fn render_timetable(settings: &Settings) -> String {
    let timetable = &settings.timetable;
    render! {
        "timetable.seedLagS" => timetable.seed_lag(),
        "timetable.reuseAfterS" => timetable.reuse_after(),
        "timetable.touchMs" => timetable.touch(),
        "timetable.receiptMs" => timetable.receipt(),
        "timetable.catchUpS" => timetable.catch_up(),
        "two fifths of timetable.catchUpS" => timetable.member_silence(),
        "timetable.drainMs" => timetable.drain(),
        "timetable.graceS" => timetable.grace(),
        "timetable.lostMs" => timetable.lost(),
        "timetable.inForceMs" => timetable.in_force(),
        "timetable.backMs" => timetable.back(),
        "timetable.stretchMs" => timetable.stretch(),
        "timetable.recoverS" => timetable.recover(),
        "timetable.pass_ms" => timetable.pass(),
        "timetable.again_s" => timetable.again(),
        "timetable.finishS" => timetable.finish(),
        "timetable.statusS" => timetable.status(),
        "timetable.recallMs" => timetable.recall(),
        "timetable.settleMs" => timetable.settle(),
        "timetable.leaseMs" => timetable.lease(),
        "timetable.thawMs" => timetable.thaw(),
        "timetable.quotaOver" => timetable.quota_over(),
        "timetable.fenceChecked" => timetable.fence_checked(),
    }
}

#[parameterized(full = { "settings-full" }, defaults = { "settings-defaults" })]
fn given_a_settings_file_when_read_then_each_field_has_its_golden_value(name: &str) {
    let file = golden_path(&format!("{name}.toml"));
    let settings = Settings::load(&file).expect("the golden file is valid");
    let rendered =
        [render_process(&settings), render_sections(&settings), render_timetable(&settings)].concat();
    assert_golden(&format!("{name}.txt"), &rendered);
}
