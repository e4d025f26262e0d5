//! The program `node-emulator`. `slopes` measures single quantities, such as the memory of a node, against
//! the size of the fleet; `play` runs a scenario of an emulated fleet. Both print a table and write a JSON
//! report.

use std::io;
use std::path::PathBuf;
use std::process::ExitCode;

use clap::{Parser, Subcommand, ValueEnum};
use node_emulator::quantity::Quantity;
use node_emulator::report::{self, Report};
use node_emulator::scenario::Scenario;
use node_emulator::usage::{self, Memory};
use node_emulator::{scenario_run, slopes};
use tracing::Level;

/// A model of the fleet that the node serves in.
#[derive(Parser)]
#[command(version, about)]
struct Cli {
    /// How the log on standard error is written.
    #[arg(long, global = true, value_enum, default_value_t = LogFormat::Text)]
    log_format: LogFormat,
    /// The least level that is logged.
    #[arg(long, global = true, default_value_t = Level::INFO)]
    log_level: Level,
    /// Memory that may be needed, in MiB; what is estimated to need more is refused.
    #[arg(long, global = true, default_value_t = 12_288)]
    memory_mb: u64,
    #[command(subcommand)]
    command: Command,
}

#[derive(Clone, Copy, ValueEnum)]
enum LogFormat {
    /// Lines of text.
    Text,
    /// A JSON object a line.
    Json,
}

#[derive(Subcommand)]
enum Command {
    /// Measures quantities against size, and fits a line to each.
    Slopes(SlopesArguments),
    /// Plays a scenario.
    #[command(name = "play")]
    RunScenario(ScenarioArguments),
}

#[derive(clap::Args)]
struct SlopesArguments {
    /// What is measured; repeat it for several. All, where none is named.
    #[arg(long = "quantity", value_enum)]
    quantities: Vec<Quantity>,
    /// The sizes, separated by commas; each quantity has its own where none are named.
    #[arg(long, value_delimiter = ',')]
    sizes: Vec<usize>,
    /// How often each point is measured; its median counts.
    #[arg(long, default_value_t = 5, value_parser = clap::value_parser!(u16).range(1..=1000))]
    repeats: u16,
    /// All random numbers follow from it.
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// An earlier build of this program: each point is measured with both, in turns.
    #[arg(long)]
    baseline: Option<PathBuf>,
    /// Where the JSON report goes.
    #[arg(long, default_value = "logs/slopes.json")]
    report: PathBuf,
}

#[derive(clap::Args)]
struct ScenarioArguments {
    /// The scenario, a TOML file.
    scenario: PathBuf,
    /// Threads that the hollow nodes are spread over.
    #[arg(long, default_value_t = 3, value_parser = clap::value_parser!(u16).range(1..=64))]
    node_threads: u16,
    /// All nodes have their first list within so many seconds, or the play does not begin.
    #[arg(long = "start-most-s", value_name = "START_MOST_S", default_value_t = 300)]
    start_timeout_s: u64,
    /// Takes the place of the scenario's seed.
    #[arg(long)]
    seed: Option<u64>,
    /// Where the JSON report goes; `logs/play-NAME.json` where nothing is said.
    #[arg(long)]
    report: Option<PathBuf>,
}

fn main() -> ExitCode {
    let cli = Cli::parse();
    let log = tracing_subscriber::fmt().with_writer(io::stderr).with_max_level(cli.log_level);
    match cli.log_format {
        LogFormat::Text => log.with_ansi(false).init(),
        LogFormat::Json => log.json().init(),
    }
    let outcome = match cli.command {
        Command::Slopes(arguments) => run_slopes_command(arguments, cli.memory_mb),
        Command::RunScenario(arguments) => run_scenario_command(arguments, cli.memory_mb),
    };
    match outcome {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("node-emulator: {error}");
            ExitCode::FAILURE
        }
    }
}

type CommandResult = Result<(), Box<dyn std::error::Error>>;

fn run_scenario_command(arguments: ScenarioArguments, memory_mb: u64) -> CommandResult {
    let mut scenario = Scenario::read(&arguments.scenario)?;
    scenario.seed = arguments.seed.unwrap_or(scenario.seed);
    let (node_threads, start_timeout_s) = (arguments.node_threads.into(), arguments.start_timeout_s);
    let options = scenario_run::RunOptions { node_threads, memory_mb, start_timeout_s };
    let (commit, modified) = report::checked_out_commit();
    let measured = scenario_run::run(&scenario, options)?;
    print!("{}", scenario_run::table(&scenario, &measured));
    let path = arguments.report.unwrap_or_else(|| format!("logs/play-{}.json", scenario.name).into());
    let report = Report {
        command: "play",
        seed: scenario.seed,
        commit,
        modified,
        settings: serde_json::json!({ "scenario": scenario, "options": options }),
        memory: measured.memory,
        cpu_seconds: measured.cpu_seconds,
        traffic: measured.traffic,
        results: measured.results,
    };
    report.write(&path)?;
    tracing::info!(path = %path.display(), "report written");
    Ok(())
}

fn run_slopes_command(arguments: SlopesArguments, memory_mb: u64) -> CommandResult {
    let options = slopes::SlopesOptions {
        quantities: arguments.quantities,
        sizes: arguments.sizes,
        repeats: arguments.repeats.into(),
        seed: arguments.seed,
        memory_mb,
        baseline: arguments.baseline,
    };
    let (commit, modified) = report::checked_out_commit();
    let measured = slopes::measure(&options)?;
    print!("{}", slopes::table(&measured.slopes));
    let mut cpu_seconds = measured.cpu_seconds;
    cpu_seconds.insert("process".into(), usage::process_cpu_time().as_secs_f64());
    let report = Report {
        command: "slopes",
        seed: options.seed,
        commit,
        modified,
        settings: options,
        memory: Memory::now(),
        cpu_seconds,
        traffic: measured.traffic,
        results: measured.slopes,
    };
    report.write(&arguments.report)?;
    tracing::info!(path = %arguments.report.display(), "report written");
    Ok(())
}
