//! Fits lines and growth exponents to measured points. Pure arithmetic: uses no clock and no file.

/// A size, and the value measured at it.
pub type Point = (f64, f64);

/// The exponent above which growth counts as worse than linear. Noise alone changes a linear exponent by less.
const WORSE_THAN_LINEAR_EXPONENT: f64 = 1.15;
/// The maximum ratio of the largest to the smallest size to which the exponent is fitted, unless it leaves fewer than
/// [`MIN_EXPONENT_POINTS`]. Only the largest sizes are used, because a constant part of the cost hides the exponent
/// least there.
const EXPONENT_RANGE: f64 = 12.0;
/// The minimum number of points to which the exponent is fitted, if the sweep has as many.
const MIN_EXPONENT_POINTS: usize = 3;

/// A line and a power law, fitted to the points of a sweep.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Fit {
    /// The cost of one more unit of size.
    pub slope: f64,
    /// The cost at size zero.
    pub constant: f64,
    /// The largest distance of a point from the line, relative to the value measured there.
    pub largest_residual: f64,
    /// The exponent of the power law that fits the points in `range`; 0 if none can be fitted.
    pub exponent: f64,
    /// The smallest and largest size to which the exponent is fitted.
    pub range: (f64, f64),
}

impl Fit {
    /// Fits a line and a power law to points. Returns `None` unless there are at least two points of different sizes,
    /// all are finite, all sizes are positive and no value is negative.
    ///
    /// Distances are weighted relative to the measured value, because noise is proportional to it. Otherwise the
    /// largest size alone would determine slope and constant.
    pub fn through(points: &[Point]) -> Option<Self> {
        if points.iter().any(|(x, y)| !x.is_finite() || !y.is_finite() || *x <= 0.0 || *y < 0.0) {
            return None;
        }
        let largest = points.iter().map(|(_, y)| *y).fold(0.0, f64::max);
        // A measured zero must not have infinite weight.
        let weigh = |y: f64| y.max(largest * 1e-6).max(f64::MIN_POSITIVE.sqrt()).powi(-2);
        let (slope, constant) = line(points.iter().map(|(x, y)| (*x, *y, weigh(*y))))?;
        let residual = |(x, y): &Point| (y - slope * x - constant).abs() * weigh(*y).sqrt();
        let mut sizes: Vec<Point> = points.iter().copied().filter(|(_, y)| *y > 0.0).collect();
        sizes.sort_by(|a, b| a.0.total_cmp(&b.0));
        let last = sizes.last().map_or(0.0, |(x, _)| *x);
        let first = sizes.iter().position(|(x, _)| *x >= last / EXPONENT_RANGE).unwrap_or(0);
        let top = &sizes[first.min(sizes.len().saturating_sub(MIN_EXPONENT_POINTS))..];
        let exponent = line(top.iter().map(|(x, y)| (x.ln(), y.ln(), 1.0))).map_or(0.0, |(slope, _)| slope);
        Some(Fit {
            slope,
            constant,
            largest_residual: points.iter().map(residual).fold(0.0, f64::max),
            exponent,
            range: (top.first().map_or(0.0, |(x, _)| *x), last),
        })
    }

    /// Returns whether growth is worse than linear by more than noise.
    pub fn is_worse_than_linear(&self) -> bool {
        self.exponent > WORSE_THAN_LINEAR_EXPONENT
    }

    /// Returns the size at which `budget` is passed; `None` if growth never reaches it.
    ///
    /// `points` are those of the fit, in ascending order of size. Between two points the size is interpolated linearly.
    /// Beyond the largest size the fit is extrapolated, by the power law if growth is worse than linear and by the line
    /// otherwise. Below the smallest size it is extrapolated by the line.
    pub fn size_at(&self, budget: f64, points: &[Point]) -> Option<f64> {
        let passed = points.windows(2).find(|pair| pair[0].1 <= budget && budget < pair[1].1);
        if let Some([(x, y), (to_x, to_y)]) = passed {
            return Some(x + (to_x - x) * (budget - y) / (to_y - y));
        }
        let (first, last) = (points.first()?, points.last()?);
        if budget >= last.1 && self.is_worse_than_linear() && last.1 > 0.0 {
            return Some(last.0 * (budget / last.1).powf(self.exponent.recip()));
        }
        let size = (self.slope > 0.0).then(|| (budget - self.constant) / self.slope)?;
        Some(if budget < first.1 { size.clamp(0.0, first.0) } else { size.max(last.0) })
    }
}

/// Fits a line to points `(x, y, weight)` by weighted least squares, and returns its slope and constant. Returns `None`
/// if all points have the same `x`.
fn line(points: impl Iterator<Item = (f64, f64, f64)> + Clone) -> Option<(f64, f64)> {
    let sum = |of: fn((f64, f64, f64)) -> f64| points.clone().map(of).sum::<f64>();
    let weight = sum(|(_, _, w)| w);
    let (x, y) = (sum(|(x, _, w)| x * w) / weight, sum(|(_, y, w)| y * w) / weight);
    let spread: f64 = points.clone().map(|(px, _, w)| w * (px - x).powi(2)).sum();
    let joint: f64 = points.clone().map(|(px, py, w)| w * (px - x) * (py - y)).sum();
    let slope = joint / spread;
    (slope.is_finite() && spread > 0.0).then_some((slope, y - slope * x))
}

/// Returns the median; for an even number of values, the mean of the middle two. Returns `None` for no values.
pub fn median(values: &mut [f64]) -> Option<f64> {
    values.sort_by(f64::total_cmp);
    let middle = values.len() / 2;
    let upper = values.get(middle).copied()?;
    Some(if values.len() % 2 == 1 { upper } else { (values[middle - 1] + upper) / 2.0 })
}
