//! Measures quantities such as the memory of a node at several sizes of the fleet, and fits a line to the
//! points of each quantity.

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

/// The options of the command `slopes`.
#[derive(Clone, Debug, Serialize)]
pub struct SlopesOptions {
    /// The quantities to measure; all if empty.
    pub quantities: Vec<Quantity>,
    /// The sizes to measure at; the default sizes of each quantity if empty.
    pub sizes: Vec<usize>,
    /// Number of measurements of each time, of which the median is reported.
    pub repeats: usize,
    /// Seed of all random numbers.
    pub seed: u64,
    /// Limit of the estimated memory, in MiB. Sizes whose estimate is higher are rejected.
    pub memory_mb: u64,
    /// The binary of an earlier build of this program, which is measured side by side with this one.
    pub baseline: Option<PathBuf>,
}

/// Error of a quantity that could not be measured.
#[derive(Debug, thiserror::Error)]
pub enum SlopesError {
    /// The estimated memory for a size exceeds the limit.
    #[error("size {size} needs about {need_mb} MiB, and {limit_mb} are allowed (--memory-mb)")]
    TooLarge {
        /// The rejected size.
        size: usize,
        /// The estimated memory, in MiB.
        need_mb: u64,
        /// The limit of the options, in MiB.
        limit_mb: u64,
    },
    /// One of the sizes is 0.
    #[error("a size must be above 0")]
    ZeroSize,
    /// A measurement requires more file descriptors than the hard limit allows.
    #[error(transparent)]
    Descriptors(#[from] TooFewDescriptors),
    /// An operation on a socket, thread or event loop failed.
    #[error("{0}")]
    Io(#[from] io::Error),
    /// The operation to be measured failed.
    #[error("{0}")]
    Failed(String),
    /// A measurement of one of two builds failed.
    #[error(transparent)]
    Build(#[from] BuildError),
}

/// The measurements of a quantity at one size.
#[derive(Clone, Copy, Debug, Serialize)]
pub struct Point {
    /// The size, in the unit that [`Slope::against`] names.
    pub size: usize,
    /// The median; `None` if the quantity cannot be measured at this size, for example because the list
    /// exceeds the limit of the discovery client.
    pub value: Option<f64>,
    /// The minimum; 0 without measurements.
    #[serde(rename = "least")]
    pub min: f64,
    /// The maximum; 0 without measurements.
    #[serde(rename = "most")]
    pub max: f64,
    /// Number of measurements.
    pub count: usize,
}

/// The measurements of a quantity at all sizes, and the line that fits them.
#[derive(Clone, Debug, Serialize)]
pub struct Slope {
    /// The measured quantity.
    pub quantity: Quantity,
    /// The unit of the values.
    pub unit: &'static str,
    /// Name of the objects that the sizes count, such as servers.
    pub against: &'static str,
    /// The measurements, in the order of the sizes.
    pub points: Vec<Point>,
    /// The line that fits the points; `None` for fewer than two points with a value.
    pub fit: Option<Fit>,
    /// The measurements of the same quantity with an earlier build, if one was named.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub baseline: Option<Baseline>,
}

/// The measurements of a quantity with an earlier build.
#[derive(Clone, Debug, Serialize)]
pub struct Baseline {
    /// The commit in the report of the earlier build, which is the one checked out in the directory of
    /// its binary.
    pub commit: String,
    /// Whether files in that directory differed from the commit.
    pub modified: bool,
    /// The measurements, at the same sizes as [`Slope::points`].
    pub points: Vec<Point>,
    /// The line that fits the points; `None` for fewer than two points with a value.
    pub fit: Option<Fit>,
}

/// The measurements of a run, including its use of resources.
#[derive(Default)]
pub struct Measured {
    /// One entry for each quantity, in the order of [`Quantity`].
    pub slopes: Vec<Slope>,
    /// Processor seconds of all threads, by quantity. Empty if an earlier build is measured as well.
    pub cpu_seconds: BTreeMap<String, f64>,
    /// Traffic of the stand-in discovery service, by quantity. Empty if an earlier build is measured as well.
    pub traffic: BTreeMap<String, TrafficTotals>,
}

/// Measures the quantities one after the other.
///
/// # Errors
///
/// Fails at the first quantity that cannot be measured, and before all measurements if a size is out of
/// range.
pub fn measure(options: &SlopesOptions) -> Result<Measured, SlopesError> {
    let quantities = options.quantities();
    // The measured objects are retained until all memory is measured. Otherwise their freed memory would be
    // reused, and the growth of the process would be too low.
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
    /// Returns the quantities to measure, without duplicates. Memory comes first, before other measurements
    /// have freed any.
    fn quantities(&self) -> Vec<Quantity> {
        let mut quantities = match self.quantities.as_slice() {
            [] => Quantity::value_variants().to_vec(),
            some => some.to_vec(),
        };
        quantities.sort_unstable();
        quantities.dedup();
        quantities
    }

    /// Returns the sizes at which a quantity is measured.
    fn sizes(&self, quantity: Quantity) -> Vec<usize> {
        match self.sizes.as_slice() {
            [] => quantity.default_sizes().to_vec(),
            some => some.to_vec(),
        }
    }
}

/// Measures quantities with this build and with an earlier one, side by side.
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

/// Measures quantities with this build only, in this process.
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
            tracing::info!(
                quantity = quantity.name(),
                size,
                value = points.last().and_then(|p| p.value),
                "measured a point"
            );
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

/// Fits a line to the points of a quantity.
fn new_slope(quantity: Quantity, points: Vec<Point>, baseline: Option<Baseline>) -> Slope {
    let (unit, against) = (quantity.unit(), quantity.size_unit());
    Slope { quantity, unit, against, fit: fit_points(&points), points, baseline }
}

/// Fits a line to the points that have a value.
fn fit_points(points: &[Point]) -> Option<Fit> {
    let measured_points: Vec<_> = points.iter().filter_map(|p| Some((p.size as f64, p.value?))).collect();
    fit(&measured_points)
}

/// Measures a quantity with this build and an earlier one. Each measurement is a separate process. The builds
/// are measured alternately, so that other load of the machine affects both equally.
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
            // Each build is measured first in every second round.
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
        tracing::info!(
            quantity = quantity.name(),
            size,
            value = this_build,
            baseline = baseline_value,
            "measured a point with both builds"
        );
    }
    let [this_build, points] = points;
    let baseline = Baseline { commit, modified, fit: fit_points(&points), points };
    Ok(new_slope(quantity, this_build, Some(baseline)))
}

/// Checks a size. `states` is the memory in bytes of all objects that are retained to measure memory.
fn check_size(size: usize, states: usize, limit_mb: u64) -> Result<(), SlopesError> {
    // The estimate includes the catalogue, its list in encoded form, in decoded form and as entries of the
    // `Balancer`, and the retained objects.
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

/// Computes the median, minimum and maximum of measured values.
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
