//! A straight line through sizes and figures, by least squares.

use serde::Serialize;

/// Sizes that a slope needs at the least: with fewer its error says little.
pub const SIZES_LEAST: usize = 4;

/// A line `base + slope * size`.
#[derive(Debug, Clone, Copy, PartialEq, Serialize)]
pub struct Line {
    /// The figure at no size at all.
    pub base: f64,
    /// What one more adds to the figure.
    pub slope: f64,
    /// Standard error of the slope.
    pub error: f64,
}

impl Line {
    /// The figure at a size.
    pub fn at(&self, size: f64) -> f64 {
        self.base + self.slope * size
    }
}

/// Fits a line; nothing with fewer than four sizes, or where all are the same.
pub fn line(points: &[(f64, f64)]) -> Option<Line> {
    let count = points.len() as f64;
    if points.len() < SIZES_LEAST {
        return None;
    }
    let mean = |of: fn(&(f64, f64)) -> f64| points.iter().map(of).sum::<f64>() / count;
    let (size, figure) = (mean(|p| p.0), mean(|p| p.1));
    let spread: f64 = points.iter().map(|p| (p.0 - size).powi(2)).sum();
    if spread <= 0.0 {
        return None;
    }
    let slope = points.iter().map(|p| (p.0 - size) * (p.1 - figure)).sum::<f64>() / spread;
    let base = figure - slope * size;
    let rest: f64 = points.iter().map(|p| (p.1 - base - slope * p.0).powi(2)).sum();
    Some(Line { base, slope, error: (rest / (count - 2.0) / spread).sqrt() })
}
