//! Fits a straight line to measured points by least squares.

use serde::Serialize;

/// The line `y = intercept + slope * x` that fits measured points, and the exponent of the power law that
/// fits them.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
pub struct Fit {
    /// Growth of `y` per unit of `x`.
    pub slope: f64,
    /// The value of the line at `x = 0`.
    pub intercept: f64,
    /// Coefficient of determination: the fraction of the variance of `y` that the line explains; 1 if all
    /// points are on the line.
    pub r2: f64,
    /// The slope of `ln y` over `ln x`, which is 1 if `y` is proportional to `x`. `None` if a coordinate is
    /// not positive.
    pub exponent: Option<f64>,
}

/// Fits a line to points `(x, y)`. Returns `None` if there are fewer than two different `x`.
#[must_use]
pub fn fit(points: &[(f64, f64)]) -> Option<Fit> {
    let (slope, intercept, r2) = least_squares(points)?;
    let positive = points.iter().all(|(x, y)| *x > 0.0 && *y > 0.0);
    let logs: Vec<_> = points.iter().map(|(x, y)| (x.ln(), y.ln())).collect();
    let exponent = if positive { least_squares(&logs).map(|(slope, ..)| slope) } else { None };
    Some(Fit { slope, intercept, r2, exponent })
}

/// Returns the slope, intercept and coefficient of determination of the least-squares line; `None` if there
/// are fewer than two different `x`.
fn least_squares(points: &[(f64, f64)]) -> Option<(f64, f64, f64)> {
    let n = points.len() as f64;
    let mean = |of: fn(&(f64, f64)) -> f64| points.iter().map(of).sum::<f64>() / n;
    let (x, y) = (mean(|p| p.0), mean(|p| p.1));
    let sum = |of: &dyn Fn(f64, f64) -> f64| points.iter().map(|p| of(p.0 - x, p.1 - y)).sum::<f64>();
    let (xx, xy, yy) = (sum(&|a, _| a * a), sum(&|a, b| a * b), sum(&|_, b| b * b));
    if points.len() < 2 || xx <= 0.0 {
        return None;
    }
    let r2 = if yy > 0.0 { xy * xy / (xx * yy) } else { 1.0 };
    Some((xy / xx, y - xy / xx * x, r2))
}
