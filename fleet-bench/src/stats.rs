//! What many samples say: lines through them, and their spread.

/// A straight line through points, by least squares.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Line {
    /// What one more of x adds to y.
    pub slope: f64,
    /// Standard error of the slope.
    pub slope_error: f64,
    /// y where x is 0.
    pub intercept: f64,
    /// Standard error of the intercept.
    pub intercept_error: f64,
}

/// Fits a line through `(x, y)` points. None with fewer than three, or with all x the same.
pub fn line(points: &[(f64, f64)]) -> Option<Line> {
    let n = points.len() as f64;
    if points.len() < 3 {
        return None;
    }
    let mean_x = points.iter().map(|p| p.0).sum::<f64>() / n;
    let mean_y = points.iter().map(|p| p.1).sum::<f64>() / n;
    let spread = points.iter().map(|p| (p.0 - mean_x).powi(2)).sum::<f64>();
    if spread <= 0.0 {
        return None;
    }
    let slope = points.iter().map(|p| (p.0 - mean_x) * (p.1 - mean_y)).sum::<f64>() / spread;
    let intercept = mean_y - slope * mean_x;
    let rest = points.iter().map(|p| (p.1 - intercept - slope * p.0).powi(2)).sum::<f64>();
    let variance = rest / (n - 2.0);
    Some(Line {
        slope,
        slope_error: (variance / spread).sqrt(),
        intercept,
        intercept_error: (variance * (1.0 / n + mean_x * mean_x / spread)).sqrt(),
    })
}

/// The median; 0 of none.
pub fn median(samples: &mut [f64]) -> f64 {
    samples.sort_by(f64::total_cmp);
    samples.get(samples.len() / 2).copied().unwrap_or(0.0)
}
