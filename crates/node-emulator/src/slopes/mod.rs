//! Measures single quantities against size: each at several sizes, and fits a line to the points.

mod bench;
mod decisions;
mod discovery_cost;
mod memory;
mod model;
mod table;

pub use self::bench::bytes_per_server;
pub use self::table::table;

use std::collections::BTreeMap;
use std::io;
use std::path::{Path, PathBuf};
use std::time::Duration;

use clap::ValueEnum;
use serde::Serialize;

use self::bench::Bench;
use self::memory::{MEMORY_SAMPLE_BYTES, STATE_BYTES};
use crate::build::{Build, BuildError};
use crate::fit::{fit, Fit};
use crate::quantity::Quantity;
use crate::traffic::TrafficTotals;
use crate::usage::{self, TooFewDescriptors};

/// The options of a run of measurements.
#[derive(Clone, Debug, Serialize)]
pub struct SlopesOptions {
    /// The quantities; all, if empty.
    pub quantities: Vec<Quantity>,
    /// The sizes; each quantity's default ones, if empty.
    pub sizes: Vec<usize>,
    /// How often each point is measured.
    pub repeats: usize,
    /// Seed of all random numbers.
    pub seed: u64,
    /// Limit of the estimated memory, in MiB.
    pub memory_mb: u64,
    /// An earlier build of this program, measured side by side.
    pub baseline: Option<PathBuf>,
}

/// A quantity could not be measured.
#[derive(Debug, thiserror::Error)]
pub enum SlopesError {
    /// The estimated memory for a size is over the limit.
    #[error("size {size} needs about {need_mb} MiB, and {limit_mb} are allowed (--memory-mb)")]
    TooLarge {
        /// The size.
        size: usize,
        /// The estimate, in MiB.
        need_mb: u64,
        /// The limit, in MiB.
        limit_mb: u64,
    },
    /// A size is 0.
    #[error("a size must be above 0")]
    ZeroSize,
    /// More descriptors are required than allowed.
    #[error(transparent)]
    Descriptors(#[from] TooFewDescriptors),
    /// A socket, thread or event loop failed.
    #[error("{0}")]
    Io(#[from] io::Error),
    /// What was to be measured failed.
    #[error("{0}")]
    Failed(String),
    /// A build that is measured side by side failed.
    #[error(transparent)]
    Build(#[from] BuildError),
}

/// A quantity at one size.
#[derive(Clone, Copy, Debug, Serialize)]
pub struct Point {
    /// The size.
    pub size: usize,
    /// The median; `None` where the quantity cannot be measured at this size, such as a list that the client does not
    /// read.
    pub value: Option<f64>,
    /// The minimum.
    #[serde(rename = "least")]
    pub min: f64,
    /// The maximum.
    #[serde(rename = "most")]
    pub max: f64,
    /// Number of measurements.
    pub count: usize,
}

/// A quantity at its sizes, and the line through its points.
#[derive(Clone, Debug, Serialize)]
pub struct Slope {
    /// What was measured.
    pub quantity: Quantity,
    /// Its unit.
    pub unit: &'static str,
    /// What the size counts.
    pub against: &'static str,
    /// In the order of the sizes.
    pub points: Vec<Point>,
    /// `None` for fewer than two points.
    pub fit: Option<Fit>,
    /// The same quantity of an earlier build.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub baseline: Option<Baseline>,
}

/// The points of an earlier build.
#[derive(Clone, Debug, Serialize)]
pub struct Baseline {
    /// The commit that its report names: the one that is checked out in the folder of the binary.
    pub commit: String,
    /// Whether files differed from that commit.
    pub modified: bool,
    /// At the same sizes.
    pub points: Vec<Point>,
    /// `None` for fewer than two points.
    pub fit: Option<Fit>,
}

/// The measurements of a run, with its use of resources.
#[derive(Default)]
pub struct Measured {
    /// By quantity, in a fixed order.
    pub slopes: Vec<Slope>,
    /// Processor seconds by quantity, over all threads.
    pub cpu_seconds: BTreeMap<String, f64>,
    /// Bytes and messages of the stand-in discovery, by quantity.
    pub traffic: BTreeMap<String, TrafficTotals>,
}

/// Measures quantities one after the other.
///
/// # Errors
///
/// For the first that cannot be measured, and before any for a size that is out of range.
pub fn measure(options: &SlopesOptions) -> Result<Measured, SlopesError> {
    let quantities = options.quantities();
    // Objects are retained until all memory is measured: freed memory would be reused unnoticed.
    let of_memory = quantities.iter().filter(|quantity| quantity.is_memory());
    let states =
        of_memory.map(|quantity| options.sizes(*quantity).len()).sum::<usize>() * MEMORY_SAMPLE_BYTES;
    for size in quantities.iter().flat_map(|quantity| options.sizes(*quantity)) {
        check_size(size, states, options.memory_mb)?;
    }
    match &options.baseline {
        Some(baseline) => measure_with_baseline(baseline, &quantities, options),
        None => measure_this_build(&quantities, options),
    }
}

impl SlopesOptions {
    /// The quantities to measure. Memory comes first, before others have freed any.
    fn quantities(&self) -> Vec<Quantity> {
        let mut quantities = match self.quantities.as_slice() {
            [] => Quantity::value_variants().to_vec(),
            some => some.to_vec(),
        };
        quantities.sort_unstable();
        quantities.dedup();
        quantities
    }

    fn sizes(&self, quantity: Quantity) -> Vec<usize> {
        match self.sizes.as_slice() {
            [] => quantity.default_sizes().to_vec(),
            some => some.to_vec(),
        }
    }
}

/// Measures quantities side by side with an earlier build.
fn measure_with_baseline(
    baseline: &Path,
    quantities: &[Quantity],
    options: &SlopesOptions,
) -> Result<Measured, SlopesError> {
    let builds = [Build::this()?, Build::at(baseline)?];
    let mut measured = Measured::default();
    for &quantity in quantities {
        measured.slopes.push(compare_builds(&builds, quantity, &options.sizes(quantity), options)?);
    }
    Ok(measured)
}

/// Measures quantities of this build, in this process.
fn measure_this_build(quantities: &[Quantity], options: &SlopesOptions) -> Result<Measured, SlopesError> {
    let mut measured = Measured::default();
    let mut bench = Bench::new(options.seed, MEMORY_SAMPLE_BYTES);
    for &quantity in quantities {
        if !quantity.is_memory() {
            bench.retained_states.clear();
        }
        let before = usage::process_cpu_time();
        let mut points = Vec::new();
        for size in options.sizes(quantity) {
            points.push(bench.measure_point(quantity, size, options.repeats)?);
            tracing::info!(quantity = quantity.name(), size, value = points.last().and_then(|p| p.value));
        }
        measured.slopes.push(new_slope(quantity, points, None));
        let cpu = usage::process_cpu_time().saturating_sub(before).as_secs_f64();
        measured.cpu_seconds.insert(quantity.name(), cpu);
        let traffic = std::mem::take(&mut bench.traffic);
        if traffic != TrafficTotals::default() {
            measured.traffic.insert(format!("discovery, {}", quantity.name()), traffic);
        }
    }
    Ok(measured)
}

fn new_slope(quantity: Quantity, points: Vec<Point>, baseline: Option<Baseline>) -> Slope {
    let (unit, against) = (quantity.unit(), quantity.size_unit());
    Slope { quantity, unit, against, fit: fit_points(&points), points, baseline }
}

fn fit_points(points: &[Point]) -> Option<Fit> {
    let measured_points: Vec<_> = points.iter().filter_map(|p| Some((p.size as f64, p.value?))).collect();
    fit(&measured_points)
}

/// Measures a quantity with this build and an earlier one: one process for each measurement, in turns, so that
/// other load of the machine affects both alike.
fn compare_builds(
    builds: &[Build; 2],
    quantity: Quantity,
    sizes: &[usize],
    options: &SlopesOptions,
) -> Result<Slope, SlopesError> {
    let repeats = if quantity.unit() == "us" { options.repeats } else { 1 };
    let mut points = [Vec::new(), Vec::new()];
    let (mut commit, mut modified) = (String::new(), false);
    for &size in sizes {
        let mut values = [Vec::new(), Vec::new()];
        for round in 0..repeats {
            // The builds take turns at being the first.
            for side in [round % 2, 1 - round % 2] {
                let measured_point = builds[side].measure(quantity, size, options.seed, options.memory_mb)?;
                values[side].extend(measured_point.value);
                if side == 1 {
                    (commit, modified) = (measured_point.commit, measured_point.modified);
                }
            }
        }
        for (points, values) in points.iter_mut().zip(values) {
            points.push(new_point(size, values));
        }
        let [this_build, baseline_value] =
            points.each_ref().map(|points| points.last().and_then(|p| p.value));
        tracing::info!(quantity = quantity.name(), size, value = this_build, baseline = baseline_value);
    }
    let [this_build, points] = points;
    let baseline = Baseline { commit, modified, fit: fit_points(&points), points };
    Ok(new_slope(quantity, this_build, Some(baseline)))
}

fn check_size(size: usize, states: usize, limit_mb: u64) -> Result<(), SlopesError> {
    // A catalogue, its list encoded, decoded and as entries, and the objects that memory is measured with.
    let need_mb = (size.saturating_mul(4 * STATE_BYTES).saturating_add(states) >> 20) as u64;
    match size {
        0 => Err(SlopesError::ZeroSize),
        _ if need_mb > limit_mb => Err(SlopesError::TooLarge { size, need_mb, limit_mb }),
        _ => Ok(()),
    }
}

fn to_microseconds(time: Duration) -> f64 {
    time.as_secs_f64() * 1e6
}

fn new_point(size: usize, mut values: Vec<f64>) -> Point {
    values.sort_by(f64::total_cmp);
    Point {
        size,
        value: values.get(values.len() / 2).copied(),
        min: values.first().copied().unwrap_or(0.0),
        max: values.last().copied().unwrap_or(0.0),
        count: values.len(),
    }
}
