//! Linear regression by least squares.

use std::fmt;

/// Measurements of a quantity at several sizes.
#[derive(Clone, Debug)]
pub(crate) struct Series {
    /// Name of the measured quantity, with its unit.
    pub(crate) quantity: &'static str,
    /// Name of the size.
    pub(crate) size: &'static str,
    /// Pairs of size and quantity.
    pub(crate) points: Vec<(f64, f64)>,
}

/// A fitted line and the error of its slope.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct FittedLine {
    /// Quantity at size zero.
    pub(crate) intercept: f64,
    /// Increase of the quantity per unit of size.
    pub(crate) slope: f64,
    /// Standard error of the slope.
    pub(crate) slope_error: f64,
}

impl Series {
    /// Creates an empty series.
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
    pub(crate) fn fit_line(&self) -> FittedLine {
        let count = self.points.len() as f64;
        let mean = |pick: fn(&(f64, f64)) -> f64| self.points.iter().map(pick).sum::<f64>() / count;
        let (mean_x, mean_y) = (mean(|point| point.0), mean(|point| point.1));
        let sum_xx: f64 = self.points.iter().map(|(x, _)| (x - mean_x).powi(2)).sum();
        let products = self.points.iter().map(|(x, y)| (x - mean_x) * (y - mean_y));
        let slope = products.sum::<f64>() / sum_xx;
        let intercept = mean_y - slope * mean_x;
        let residuals = self
            .points
            .iter()
            .map(|(x, y)| (y - intercept - slope * x).powi(2));
        let variance = residuals.sum::<f64>() / (count - 2.0);
        FittedLine {
            intercept,
            slope,
            slope_error: (variance / sum_xx).sqrt(),
        }
    }
}

impl fmt::Display for Series {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let line = self.fit_line();
        writeln!(f, "{} against {}", self.quantity, self.size)?;
        for (size, quantity) in &self.points {
            writeln!(f, "  {size:>8}  {quantity:>14.4}")?;
        }
        writeln!(
            f,
            "  {:.5} + {:.6} each (standard error {:.6})",
            line.intercept, line.slope, line.slope_error
        )
    }
}
