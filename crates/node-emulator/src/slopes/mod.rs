//! Measures single quantities against size: each at several sizes, and a line is fitted to the points.

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
use self::memory::{MEMORY_SEEN, STATE_BYTES};
use crate::build::{Build, BuildError};
use crate::fit::{fit, Fit};
use crate::quantity::Quantity;
use crate::traffic::Sums;
use crate::usage::{self, TooFewDescriptors};

/// What is measured, and how.
#[derive(Clone, Debug, Serialize)]
pub struct Options {
    /// All, where none is named.
    pub quantities: Vec<Quantity>,
    /// Each quantity's own, where none are named.
    pub sizes: Vec<usize>,
    /// How often each point is measured.
    pub repeats: usize,
    /// All random numbers follow from it.
    pub seed: u64,
    /// Memory that may be needed, in MiB.
    pub memory_mb: u64,
    /// An earlier build of this program, measured side by side.
    pub baseline: Option<PathBuf>,
}

/// A quantity could not be measured.
#[derive(Debug, thiserror::Error)]
pub enum SlopesError {
    /// A size is too large or 0.
    #[error("size {size} needs about {need_mb} MiB, and {most_mb} are allowed (--memory-mb)")]
    TooLarge {
        /// The size.
        size: usize,
        /// What it needs.
        need_mb: u64,
        /// The limit.
        most_mb: u64,
    },
    /// There is nothing of size 0.
    #[error("a size must be above 0")]
    Zero,
    /// Too many sockets.
    #[error(transparent)]
    Descriptors(#[from] TooFewDescriptors),
    /// A socket, thread or event loop failed.
    #[error("{0}")]
    Io(#[from] io::Error),
    /// What was to be measured did not work.
    #[error("{0}")]
    Broken(String),
    /// A build that is measured side by side could not be.
    #[error(transparent)]
    Build(#[from] BuildError),
}

/// A quantity at one size.
#[derive(Clone, Copy, Debug, Serialize)]
pub struct Point {
    /// The size.
    pub size: usize,
    /// The median; `None` where it could not be had, such as a list that the client does not read.
    pub value: Option<f64>,
    /// The least.
    pub least: f64,
    /// The most.
    pub most: f64,
    /// Measures taken.
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
    /// The same of an earlier build.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub baseline: Option<Baseline>,
}

/// A quantity as an earlier build has it.
#[derive(Clone, Debug, Serialize)]
pub struct Baseline {
    /// The commit that its report tells: the one that is checked out where the binary lies.
    pub commit: String,
    /// Whether files differed from that commit.
    pub modified: bool,
    /// At the same sizes.
    pub points: Vec<Point>,
    /// `None` for fewer than two points.
    pub fit: Option<Fit>,
}

/// Everything that a report of slopes has.
#[derive(Default)]
pub struct Measured {
    /// By quantity, in a fixed order.
    pub slopes: Vec<Slope>,
    /// Processor seconds by quantity, over all threads.
    pub cpu_seconds: BTreeMap<String, f64>,
    /// Bytes and messages of the stand-in discovery, by quantity.
    pub traffic: BTreeMap<String, Sums>,
}

/// Measures quantities one after the other.
///
/// # Errors
///
/// For the first that cannot be measured, and before any for a size that is out of range.
pub fn measure(options: &Options) -> Result<Measured, SlopesError> {
    let quantities = options.quantities();
    // States stay until all memory is measured: what was freed would be used again, unseen.
    let of_memory = quantities.iter().filter(|quantity| quantity.is_memory());
    let states = of_memory.map(|quantity| options.sizes(*quantity).len()).sum::<usize>() * MEMORY_SEEN;
    for size in quantities.iter().flat_map(|quantity| options.sizes(*quantity)) {
        allowed(size, states, options.memory_mb)?;
    }
    match &options.baseline {
        Some(baseline) => measure_beside(baseline, &quantities, options),
        None => measure_alone(&quantities, options),
    }
}

impl Options {
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
            [] => quantity.usual_sizes().to_vec(),
            some => some.to_vec(),
        }
    }
}

/// Measures quantities side by side with an earlier build.
fn measure_beside(
    baseline: &Path,
    quantities: &[Quantity],
    options: &Options,
) -> Result<Measured, SlopesError> {
    let builds = [Build::this()?, Build::at(baseline)?];
    let mut measured = Measured::default();
    for &quantity in quantities {
        measured.slopes.push(compare(&builds, quantity, &options.sizes(quantity), options)?);
    }
    Ok(measured)
}

/// Measures quantities of this build, in this process.
fn measure_alone(quantities: &[Quantity], options: &Options) -> Result<Measured, SlopesError> {
    let mut measured = Measured::default();
    let mut bench = Bench::new(options.seed, MEMORY_SEEN);
    for &quantity in quantities {
        if !quantity.is_memory() {
            bench.states.clear();
        }
        let before = usage::process_time();
        let mut points = Vec::new();
        for size in options.sizes(quantity) {
            points.push(bench.point(quantity, size, options.repeats)?);
            tracing::info!(quantity = quantity.name(), size, value = points.last().and_then(|p| p.value));
        }
        measured.slopes.push(slope(quantity, points, None));
        let cpu = usage::process_time().saturating_sub(before).as_secs_f64();
        measured.cpu_seconds.insert(quantity.name(), cpu);
        let traffic = std::mem::take(&mut bench.traffic);
        if traffic != Sums::default() {
            measured.traffic.insert(format!("discovery, {}", quantity.name()), traffic);
        }
    }
    Ok(measured)
}

fn slope(quantity: Quantity, points: Vec<Point>, baseline: Option<Baseline>) -> Slope {
    let (unit, against) = (quantity.unit(), quantity.against());
    Slope { quantity, unit, against, fit: fit_points(&points), points, baseline }
}

fn fit_points(points: &[Point]) -> Option<Fit> {
    let sound: Vec<_> = points.iter().filter_map(|p| Some((p.size as f64, p.value?))).collect();
    fit(&sound)
}

/// Measures a quantity with this build and an earlier one: one process for each measure, in turns, so that what else
/// the machine does falls on both alike.
fn compare(
    builds: &[Build; 2],
    quantity: Quantity,
    sizes: &[usize],
    options: &Options,
) -> Result<Slope, SlopesError> {
    let repeats = if quantity.unit() == "us" { options.repeats } else { 1 };
    let mut points = [Vec::new(), Vec::new()];
    let (mut commit, mut modified) = (String::new(), false);
    for &size in sizes {
        let mut values = [Vec::new(), Vec::new()];
        for round in 0..repeats {
            // Neither is always the first.
            for side in [round % 2, 1 - round % 2] {
                let measured_point = builds[side].measure(quantity, size, options.seed, options.memory_mb)?;
                values[side].extend(measured_point.value);
                if side == 1 {
                    (commit, modified) = (measured_point.commit, measured_point.modified);
                }
            }
        }
        for (points, values) in points.iter_mut().zip(values) {
            points.push(point(size, values));
        }
        let [own, earlier] = points.each_ref().map(|points| points.last().and_then(|p| p.value));
        tracing::info!(quantity = quantity.name(), size, value = own, baseline = earlier);
    }
    let [own, points] = points;
    let baseline = Baseline { commit, modified, fit: fit_points(&points), points };
    Ok(slope(quantity, own, Some(baseline)))
}

fn allowed(size: usize, states: usize, most_mb: u64) -> Result<(), SlopesError> {
    // A catalogue, its list in bytes, read and as entries, and the states that memory is told by.
    let need_mb = (size.saturating_mul(4 * STATE_BYTES).saturating_add(states) >> 20) as u64;
    match size {
        0 => Err(SlopesError::Zero),
        _ if need_mb > most_mb => Err(SlopesError::TooLarge { size, need_mb, most_mb }),
        _ => Ok(()),
    }
}

fn micros(time: Duration) -> f64 {
    time.as_secs_f64() * 1e6
}

fn point(size: usize, mut values: Vec<f64>) -> Point {
    values.sort_by(f64::total_cmp);
    Point {
        size,
        value: values.get(values.len() / 2).copied(),
        least: values.first().copied().unwrap_or(0.0),
        most: values.last().copied().unwrap_or(0.0),
        count: values.len(),
    }
}
