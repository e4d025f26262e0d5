//! Plays random troubles on simulated fleets for a while, on all cores, and tells what broke.

use std::process::ExitCode;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::Mutex;
use std::time::{Duration, Instant};

use gumdrop::Options;
use simulator::simulation::{plan, play, shortest, Broken, Seen, Setup};

/// How often progress is told.
const PROGRESS_EVERY: Duration = Duration::from_secs(10);

/// Plays random troubles on simulated fleets that run the shipped code.
#[derive(Debug, Options)]
struct Simulate {
    /// Print this help.
    help: bool,
    /// How many seeds are played at most.
    #[options(default = "1000000")]
    seeds: u64,
    /// Minutes to play at most.
    #[options(default = "1.0")]
    minutes: f64,
    /// The first seed.
    #[options(default = "1")]
    first: u64,
    /// Threads; 0: one for each core.
    #[options(default = "0")]
    jobs: usize,
    /// What is played: small, large (two may be lost), changes (many changes), turnover (machines are replaced one after
    /// the other, other seeds, a loss of power of all in the end), large-turnover.
    #[options(default = "small")]
    setup: String,
    /// Play the troubles of this seed in all runs; everything else is drawn from the seed of the run.
    troubles_of: Option<u64>,
    /// Play only this many of the first troubles, and print the log lines of all processes.
    troubles: Option<usize>,
    /// Least level that is logged where the first troubles are played: error, warn, info, debug or trace.
    #[options(default = "info")]
    log_level: log::LevelFilter,
    /// Go on after a broken rule.
    keep_on: bool,
}

struct Shared {
    next_seed: AtomicU64,
    last_seed: u64,
    until: Instant,
    stop: AtomicBool,
    keep_on: bool,
    troubles_of: Option<u64>,
    totals: Mutex<Totals>,
}

#[derive(Default)]
struct Totals {
    runs: u64,
    seen: Seen,
    broken: Vec<(u64, Broken)>,
}

fn main() -> ExitCode {
    let options = Simulate::parse_args_default_or_exit();
    if !simulator::IS_SEEDED {
        eprintln!("simulate: built without --cfg tokio_unstable, so that a seed would not name a run; use `cargo simulate`");
        return ExitCode::from(2);
    }
    let setup = match &*options.setup {
        "small" => Setup::small(),
        "large" => Setup::large(),
        "changes" => Setup::many_changes(),
        "turnover" => Setup::turnover(),
        "large-turnover" => Setup::large_turnover(),
        other => {
            eprintln!("simulate: there is no setup {other}; small, large, changes, turnover and large-turnover can be played");
            return ExitCode::from(2);
        }
    };
    match options.troubles {
        Some(count) => replay(&options, &setup, count),
        None => play_many(&options, &setup),
    }
}

/// Plays one seed with its log lines.
fn replay(options: &Simulate, setup: &Setup, count: usize) -> ExitCode {
    simulator::print_logs(options.log_level);
    let troubles = plan(options.troubles_of.unwrap_or(options.first), setup);
    let troubles = &troubles[..count.min(troubles.len())];
    troubles.iter().for_each(|trouble| println!("{trouble:?}"));
    match play(options.first, setup, troubles) {
        Ok(seen) => {
            println!("{seen:?}");
            ExitCode::SUCCESS
        }
        Err(broken) => {
            println!("{:.3} s: {}; digest {:016x}", broken.at.as_secs_f64(), broken.what, broken.digest);
            ExitCode::FAILURE
        }
    }
}

fn play_many(options: &Simulate, setup: &Setup) -> ExitCode {
    let shared = Shared {
        next_seed: AtomicU64::new(options.first),
        last_seed: options.first.saturating_add(options.seeds),
        until: Instant::now() + Duration::from_secs_f64(options.minutes * 60.0),
        stop: AtomicBool::new(false),
        keep_on: options.keep_on,
        troubles_of: options.troubles_of,
        totals: Mutex::default(),
    };
    let cores = std::thread::available_parallelism().map_or(1, usize::from);
    let jobs = if options.jobs == 0 { cores } else { options.jobs };
    std::thread::scope(|scope| {
        for _ in 0..jobs {
            scope.spawn(|| play_seeds(&shared, setup));
        }
        scope.spawn(|| tell_progress(&shared));
    });
    report(&shared, setup, &options.setup)
}

fn play_seeds(shared: &Shared, setup: &Setup) {
    loop {
        let seed = shared.next_seed.fetch_add(1, Ordering::Relaxed);
        if seed >= shared.last_seed || Instant::now() >= shared.until || shared.stop.load(Ordering::Relaxed) {
            shared.stop.store(true, Ordering::Relaxed);
            return;
        }
        let played = play(seed, setup, &plan(shared.troubles_of.unwrap_or(seed), setup));
        let mut totals = shared.totals.lock().expect("no run panics here");
        totals.runs += 1;
        match played {
            Ok(seen) => totals.seen = sum(totals.seen, seen),
            Err(broken) => {
                println!("seed {seed}: {:.3} s: {}", broken.at.as_secs_f64(), broken.what);
                totals.broken.push((seed, broken));
                if !shared.keep_on {
                    shared.stop.store(true, Ordering::Relaxed);
                }
            }
        }
    }
}

fn sum(one: Seen, other: Seen) -> Seen {
    Seen {
        troubles: one.troubles + other.troubles,
        changes: one.changes + other.changes,
        values: one.values + other.values,
        jobs: one.jobs + other.jobs,
        longest_order: one.longest_order.max(other.longest_order),
        // The order in which the runs end does not matter.
        digest: one.digest ^ other.digest,
    }
}

fn tell_progress(shared: &Shared) {
    let mut next = Instant::now() + PROGRESS_EVERY;
    while !shared.stop.load(Ordering::Relaxed) {
        std::thread::sleep(Duration::from_millis(100));
        if Instant::now() >= next {
            next += PROGRESS_EVERY;
            let totals = shared.totals.lock().expect("no run panics here");
            eprintln!("{} runs, {} broken", totals.runs, totals.broken.len());
        }
    }
}

fn report(shared: &Shared, setup: &Setup, name: &str) -> ExitCode {
    let totals = shared.totals.lock().expect("no run panics here");
    let seen = &totals.seen;
    println!(
        "{} runs of {name}: {} troubles, {} changes acknowledged, {} values committed, {} batch jobs; \
         the longest order took {:.1} s; {} broken; digest {:016x}",
        totals.runs,
        seen.troubles,
        seen.changes,
        seen.values,
        seen.jobs,
        seen.longest_order.as_secs_f64(),
        totals.broken.len(),
        seen.digest
    );
    let Some((seed, _)) = totals.broken.first() else { return ExitCode::SUCCESS };
    let plan_seed = shared.troubles_of.unwrap_or(*seed);
    let troubles = plan(plan_seed, setup);
    if let Some((count, broken)) = shortest(*seed, setup, &troubles) {
        println!("seed {seed}, the first {count} of {} troubles: {}", troubles.len(), broken.what);
        troubles[..count].iter().for_each(|trouble| println!("  {trouble:?}"));
        println!(
            "once more, with logs: simulate --setup {name} --first {seed} --troubles-of {plan_seed} --troubles {count}"
        );
    }
    ExitCode::FAILURE
}
