//! The table that the command `slopes` prints.

use std::fmt::Write as _;

use super::{Point, Slope};
use crate::fit::Fit;

/// Formats the points and the fitted line of each quantity, also for an earlier build if there is one.
#[must_use]
pub fn table(slopes: &[Slope]) -> String {
    let mut text = String::new();
    for slope in slopes {
        // Writing to a string does not fail.
        let _ = write!(text, "{} ({} by {}):", slope.quantity.name(), slope.unit, slope.against);
        write_points(&mut text, &slope.points, slope.fit);
        if let Some(baseline) = &slope.baseline {
            let files = if baseline.modified { " and changes" } else { "" };
            let _ = write!(text, "  baseline {:.7}{files}:", baseline.commit);
            write_points(&mut text, &baseline.points, baseline.fit);
        }
    }
    text
}

/// Writes the values at all sizes, and the fitted line below them.
pub(super) fn write_points(text: &mut String, points: &[Point], fit: Option<Fit>) {
    for point in points {
        let value = point.value.map_or_else(|| "not read".into(), format_value);
        let _ = write!(text, "  {}: {value}", point.size);
    }
    let _ = match fit {
        Some(fit) => writeln!(
            text,
            "\n    slope {} per unit, intercept {}, r2 {:.3}, exponent {}",
            format_value(fit.slope),
            format_value(fit.intercept),
            fit.r2,
            fit.exponent.map_or_else(|| "-".into(), |exponent| format!("{exponent:.2}")),
        ),
        None => writeln!(text, "\n    too few points to fit a line"),
    };
}

/// Formats a value with four significant digits, at most six of them decimals.
pub(super) fn format_value(value: f64) -> String {
    let digits = if value == 0.0 { 0 } else { value.abs().log10().floor() as i32 };
    let decimals = usize::try_from(3 - digits).unwrap_or(0).min(6);
    format!("{value:.decimals$}")
}
