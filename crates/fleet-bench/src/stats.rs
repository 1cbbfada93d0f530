//! Linear fits and medians.

/// A point in the plane.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Point {
    /// The independent variable.
    pub x: f64,
    /// The dependent variable.
    pub y: f64,
}

/// A straight line fitted to points by least squares.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LinearFit {
    /// Increase of y for an increase of x by one.
    pub slope: f64,
    /// Standard error of the slope.
    pub slope_error: f64,
    /// Value of y at x = 0.
    pub intercept: f64,
    /// Standard error of the intercept.
    pub intercept_error: f64,
}

/// Fits a line to points. Returns `None` for fewer than three points, or if all x are equal.
#[must_use]
pub fn fit_line(points: &[Point]) -> Option<LinearFit> {
    let count = points.len() as f64;
    if points.len() < 3 {
        return None;
    }
    let mean_x = points.iter().map(|point| point.x).sum::<f64>() / count;
    let mean_y = points.iter().map(|point| point.y).sum::<f64>() / count;
    let squares_x = points.iter().map(|point| (point.x - mean_x).powi(2)).sum::<f64>();
    if squares_x <= 0.0 {
        return None;
    }
    let slope = points.iter().map(|point| (point.x - mean_x) * (point.y - mean_y)).sum::<f64>() / squares_x;
    let intercept = mean_y - slope * mean_x;
    let residual_squares =
        points.iter().map(|point| (point.y - intercept - slope * point.x).powi(2)).sum::<f64>();
    let variance = residual_squares / (count - 2.0);
    Some(LinearFit {
        slope,
        slope_error: (variance / squares_x).sqrt(),
        intercept,
        intercept_error: (variance * (1.0 / count + mean_x * mean_x / squares_x)).sqrt(),
    })
}

/// Sorts the samples and returns their median; 0 if there are no samples.
#[must_use]
pub fn median(samples: &mut [f64]) -> f64 {
    samples.sort_by(f64::total_cmp);
    samples.get(samples.len() / 2).copied().unwrap_or(0.0)
}
