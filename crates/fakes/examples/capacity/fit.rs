//! Straight lines through measured points, by least squares.

use std::fmt;

/// Measured points of one quantity against one size.
#[derive(Clone, Debug)]
pub(crate) struct Series {
    /// What was measured, with its unit.
    pub(crate) quantity: &'static str,
    /// What it was measured against.
    pub(crate) size: &'static str,
    /// Size and quantity.
    pub(crate) points: Vec<(f64, f64)>,
}

/// A line, and how well it fits.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct Line {
    /// The quantity at size zero.
    pub(crate) intercept: f64,
    /// The quantity for each unit of size.
    pub(crate) slope: f64,
    /// The slope's standard error.
    pub(crate) error: f64,
}

impl Series {
    /// Makes an empty series.
    pub(crate) const fn new(quantity: &'static str, size: &'static str) -> Self {
        Self {
            quantity,
            size,
            points: Vec::new(),
        }
    }

    /// Adds a point.
    pub(crate) fn add(&mut self, size: usize, quantity: f64) {
        self.points.push((size as f64, quantity));
    }

    /// Fits a line by least squares.
    pub(crate) fn line(&self) -> Line {
        let count = self.points.len() as f64;
        let mean = |pick: fn(&(f64, f64)) -> f64| self.points.iter().map(pick).sum::<f64>() / count;
        let (mean_x, mean_y) = (mean(|point| point.0), mean(|point| point.1));
        let spread: f64 = self.points.iter().map(|(x, _)| (x - mean_x).powi(2)).sum();
        let joint = self.points.iter().map(|(x, y)| (x - mean_x) * (y - mean_y));
        let slope = joint.sum::<f64>() / spread;
        let intercept = mean_y - slope * mean_x;
        let residuals = self
            .points
            .iter()
            .map(|(x, y)| (y - intercept - slope * x).powi(2));
        let variance = residuals.sum::<f64>() / (count - 2.0);
        Line {
            intercept,
            slope,
            error: (variance / spread).sqrt(),
        }
    }
}

impl fmt::Display for Series {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let line = self.line();
        writeln!(f, "{} against {}", self.quantity, self.size)?;
        for (size, quantity) in &self.points {
            writeln!(f, "  {size:>8}  {quantity:>14.4}")?;
        }
        writeln!(
            f,
            "  {:.5} + {:.6} each (standard error {:.6})",
            line.intercept, line.slope, line.error
        )
    }
}
