//! Runs simulated fleets with random faults on all cores for a given time, and reports violations.

use std::process::ExitCode;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use gumdrop::Options;
use simulator::simulation::{shrink, simulate, FailedRun, Fault, RunSummary, Setup};

/// Time between two lines of progress.
const PROGRESS_INTERVAL: Duration = Duration::from_secs(10);
/// Time between two checks by the progress thread whether no further run will be started.
const STOP_POLL_INTERVAL: Duration = Duration::from_millis(100);
/// Exit status for invalid options or an unsuitable build.
const USAGE_ERROR: u8 = 2;

/// Plays random faults on simulated fleets that run the shipped code.
#[derive(Debug, Options)]
struct SimulateOptions {
    /// Print this help.
    help: bool,
    /// The maximum number of seeds.
    #[options(default = "1000000")]
    seeds: u64,
    /// The maximum time, in minutes.
    #[options(default = "1.0")]
    minutes: f64,
    /// The first seed.
    #[options(default = "1")]
    first: u64,
    /// Threads; 0: one for each core.
    #[options(default = "0")]
    jobs: usize,
    /// What is played: small, large (two machines may fail), changes (many changes), turnover (machines are replaced one
    /// after the other, seeds change, all machines lose power in the end), large-turnover, absences (long suspensions and
    /// partitions while acceptors are replaced), disks (failed syncs, stalls, losses of power, undecodable records),
    /// server-links (partitions of model servers while the leader changes), proxied-server-links (proxies delay what is
    /// sent to model servers while nodes shut down), memory (large batch jobs, and little
    /// memory at the stores).
    #[options(short = "S", default = "small")]
    setup: String,
    /// Play the faults of this seed in all runs; everything else is drawn from the seed of the run.
    #[options(short = "t", long = "troubles-of", meta = "SEED")]
    faults_of: Option<u64>,
    /// Play only this many of the first faults, and print the log lines of all processes.
    #[options(short = "T", long = "troubles", meta = "COUNT")]
    fault_count: Option<usize>,
    /// The log level where the first faults are played: error, warn, info, debug or trace.
    #[options(default = "info")]
    log_level: log::LevelFilter,
    /// Continue after a violation.
    keep_on: bool,
}

impl SimulateOptions {
    /// Returns the setup with the name that was given; `None` if the name is unknown.
    fn setup(&self) -> Option<Setup> {
        match &*self.setup {
            "small" => Some(Setup::small()),
            "large" => Some(Setup::large()),
            "changes" => Some(Setup::many_changes()),
            "turnover" => Some(Setup::turnover()),
            "large-turnover" => Some(Setup::large_turnover()),
            "absences" => Some(Setup::absences()),
            "disks" => Some(Setup::disks()),
            "server-links" => Some(Setup::server_links()),
            "proxied-server-links" => Some(Setup::proxied_server_links()),
            "memory" => Some(Setup::memory()),
            _ => None,
        }
    }

    /// Draws the faults of the run with this seed: those of `--troubles-of` if the option is given, otherwise
    /// those of the seed.
    fn faults(&self, seed: u64, setup: &Setup) -> Vec<Fault> {
        setup.plan_faults(self.faults_of.unwrap_or(seed))
    }

    /// Returns the number of threads that run fleets.
    fn thread_count(&self) -> usize {
        match self.jobs {
            0 => std::thread::available_parallelism().map_or(1, usize::from),
            jobs => jobs,
        }
    }
}

/// Results of all runs so far.
#[derive(Default)]
struct Totals {
    runs: u64,
    summary: RunSummary,
    /// The failed runs with their seeds.
    failed: Vec<(u64, FailedRun)>,
}

/// Runs successive seeds on several threads until the time is over, all seeds have run or, without
/// `--keep-on`, a run has failed.
struct SeedRunner<'a> {
    options: &'a SimulateOptions,
    setup: &'a Setup,
    next_seed: AtomicU64,
    /// The time after which no further run is started.
    deadline: Instant,
    is_stopped: AtomicBool,
    totals: Mutex<Totals>,
}

fn main() -> ExitCode {
    let options = SimulateOptions::parse_args_default_or_exit();
    if !simulator::IS_SEEDED {
        eprintln!("simulate: this build lacks --cfg tokio_unstable, without which a seed does not reproduce a run; use `cargo simulate`");
        return ExitCode::from(USAGE_ERROR);
    }
    let Some(setup) = options.setup() else {
        eprintln!(
            "simulate: unknown setup `{}`; the setups are small, large, changes, turnover, large-turnover, absences and disks",
            options.setup
        );
        return ExitCode::from(USAGE_ERROR);
    };
    match options.fault_count {
        Some(count) => replay(&options, &setup, count),
        None => SeedRunner::new(&options, &setup).run(),
    }
}

/// Runs the first seed with only the first `fault_count` faults, and prints the faults and the log lines.
fn replay(options: &SimulateOptions, setup: &Setup, fault_count: usize) -> ExitCode {
    simulator::print_logs(options.log_level);
    let faults = options.faults(options.first, setup);
    let faults = &faults[..fault_count.min(faults.len())];
    faults.iter().for_each(|fault| println!("{fault:?}"));
    match simulate(options.first, setup, faults) {
        Ok(summary) => {
            println!("{summary:?}");
            ExitCode::SUCCESS
        }
        Err(failed) => {
            println!("{:.3} s: {}; digest {:016x}", failed.at.as_secs_f64(), failed.violation, failed.digest);
            ExitCode::FAILURE
        }
    }
}

impl<'a> SeedRunner<'a> {
    fn new(options: &'a SimulateOptions, setup: &'a Setup) -> Self {
        Self {
            options,
            setup,
            next_seed: AtomicU64::new(options.first),
            deadline: Instant::now() + Duration::from_secs_f64(options.minutes * 60.0),
            is_stopped: AtomicBool::new(false),
            totals: Mutex::default(),
        }
    }

    /// Runs all seeds, prints the totals and, if a run failed, the smallest number of faults with which it
    /// fails.
    fn run(&self) -> ExitCode {
        std::thread::scope(|scope| {
            for _ in 0..self.options.thread_count() {
                scope.spawn(|| self.run_seeds());
            }
            scope.spawn(|| self.print_progress());
        });
        let totals = self.totals();
        self.print_totals(&totals);
        match totals.failed.first() {
            None => ExitCode::SUCCESS,
            Some((seed, _)) => {
                self.print_shortest_failure(*seed);
                ExitCode::FAILURE
            }
        }
    }

    fn totals(&self) -> MutexGuard<'_, Totals> {
        self.totals.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn stop(&self) {
        self.is_stopped.store(true, Ordering::Relaxed);
    }

    fn is_stopped(&self) -> bool {
        self.is_stopped.load(Ordering::Relaxed)
    }

    /// Takes and runs seeds until the time is over, all seeds have been taken or [`SeedRunner::stop`] was
    /// called.
    fn run_seeds(&self) {
        let end = self.options.first.saturating_add(self.options.seeds);
        loop {
            let seed = self.next_seed.fetch_add(1, Ordering::Relaxed);
            if seed >= end || Instant::now() >= self.deadline || self.is_stopped() {
                self.stop();
                return;
            }
            self.record(seed, simulate(seed, self.setup, &self.options.faults(seed, self.setup)));
        }
    }

    /// Adds the result of a run to the totals. A failure stops all threads, unless `--keep-on` is given.
    fn record(&self, seed: u64, result: Result<RunSummary, FailedRun>) {
        let mut totals = self.totals();
        totals.runs += 1;
        match result {
            Ok(summary) => totals.summary = add_summaries(totals.summary, summary),
            Err(failed) => {
                println!("seed {seed}: {:.3} s: {}", failed.at.as_secs_f64(), failed.violation);
                totals.failed.push((seed, failed));
                if !self.options.keep_on {
                    self.stop();
                }
            }
        }
    }

    /// Prints the number of runs at intervals until no further run will be started.
    fn print_progress(&self) {
        let mut next = Instant::now() + PROGRESS_INTERVAL;
        while !self.is_stopped() {
            std::thread::sleep(STOP_POLL_INTERVAL);
            if Instant::now() >= next {
                next += PROGRESS_INTERVAL;
                let totals = self.totals();
                eprintln!("{} runs, {} failed", totals.runs, totals.failed.len());
            }
        }
    }

    fn print_totals(&self, totals: &Totals) {
        let Totals { runs, summary, failed } = totals;
        println!(
            "{runs} runs of {}: {} faults, {} changes acknowledged, {} values committed, {} batch jobs; \
             the longest order took {:.1} s; {} runs failed; digest {:016x}",
            self.options.setup,
            summary.faults,
            summary.changes,
            summary.values,
            summary.jobs,
            summary.longest_order.as_secs_f64(),
            failed.len(),
            summary.digest
        );
    }

    /// Prints the smallest number of faults with which the run of a seed still fails, and the command that
    /// repeats this run.
    fn print_shortest_failure(&self, seed: u64) {
        let faults = self.options.faults(seed, self.setup);
        let Some((count, failed)) = shrink(seed, self.setup, &faults) else { return };
        println!(
            "seed {seed} also fails with only the first {count} of {} faults: {}",
            faults.len(),
            failed.violation
        );
        faults[..count].iter().for_each(|fault| println!("  {fault:?}"));
        println!(
            "repeat this run with log lines: simulate --setup {} --first {seed} --troubles-of {} --troubles {count}",
            self.options.setup,
            self.options.faults_of.unwrap_or(seed)
        );
    }
}

/// Adds two summaries. The longest order is the longer one of both.
fn add_summaries(first: RunSummary, second: RunSummary) -> RunSummary {
    RunSummary {
        faults: first.faults + second.faults,
        changes: first.changes + second.changes,
        values: first.values + second.values,
        jobs: first.jobs + second.jobs,
        longest_order: first.longest_order.max(second.longest_order),
        // XOR makes the total digest independent of the order in which the runs end.
        digest: first.digest ^ second.digest,
    }
}
