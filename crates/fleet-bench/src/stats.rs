//! Statistics of samples.

/// A straight line fitted to points by least squares.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LinearFit {
    /// The increase of y for an increase of x by one.
    pub slope: f64,
    /// Standard error of the slope.
    pub slope_error: f64,
    /// The value of y at x = 0.
    pub intercept: f64,
    /// Standard error of the intercept.
    pub intercept_error: f64,
}

/// Fits a line to `(x, y)` points. Returns `None` for fewer than three points, or if all x are equal.
#[must_use]
pub fn fit_line(points: &[(f64, f64)]) -> Option<LinearFit> {
    let count = points.len() as f64;
    if points.len() < 3 {
        return None;
    }
    let mean_x = points.iter().map(|(x, _)| x).sum::<f64>() / count;
    let mean_y = points.iter().map(|(_, y)| y).sum::<f64>() / count;
    let squares_x = points.iter().map(|(x, _)| (x - mean_x).powi(2)).sum::<f64>();
    if squares_x <= 0.0 {
        return None;
    }
    let slope = points.iter().map(|(x, y)| (x - mean_x) * (y - mean_y)).sum::<f64>() / squares_x;
    let intercept = mean_y - slope * mean_x;
    let residual_squares = points.iter().map(|(x, y)| (y - intercept - slope * x).powi(2)).sum::<f64>();
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
