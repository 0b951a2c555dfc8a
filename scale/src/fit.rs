//! Least-squares fit of a straight line to the sizes and figures of several runs.

use serde::Serialize;

/// Fewest points for a fit: with fewer, the standard error of the slope says little.
pub const MIN_POINTS: usize = 4;

/// The line `base + slope * size`.
#[derive(Debug, Clone, Copy, PartialEq, Serialize)]
pub struct Line {
    /// The figure extrapolated to size 0.
    pub base: f64,
    /// Change of the figure when the size grows by one.
    pub slope: f64,
    /// Standard error of the slope.
    pub error: f64,
}

impl Line {
    /// The figure that the line gives for a size.
    pub fn figure_at(&self, size: f64) -> f64 {
        self.base + self.slope * size
    }
}

/// Fits a line to points of size and figure; `None` with fewer than [`MIN_POINTS`] points or where all sizes are
/// equal.
pub fn fit_line(points: &[(f64, f64)]) -> Option<Line> {
    let count = points.len() as f64;
    if points.len() < MIN_POINTS {
        return None;
    }
    let mean = |of: fn(&(f64, f64)) -> f64| points.iter().map(of).sum::<f64>() / count;
    let (mean_size, mean_figure) = (mean(|p| p.0), mean(|p| p.1));
    let size_variation: f64 = points.iter().map(|p| (p.0 - mean_size).powi(2)).sum();
    if size_variation <= 0.0 {
        return None;
    }
    let slope = points.iter().map(|p| (p.0 - mean_size) * (p.1 - mean_figure)).sum::<f64>() / size_variation;
    let base = mean_figure - slope * mean_size;
    let residual: f64 = points.iter().map(|p| (p.1 - base - slope * p.0).powi(2)).sum();
    Some(Line { base, slope, error: (residual / (count - 2.0) / size_variation).sqrt() })
}
