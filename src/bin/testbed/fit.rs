//! Lines and growth exponents fitted to measured points. Arithmetic alone: no clock, no file.

/// A size, and what was measured there.
pub type Point = (f64, f64);

/// Exponent above which growth is called worse than linear: noise alone moves it by less.
const WORSE_THAN_LINEAR_EXPONENT: f64 = 1.15;
/// The exponent is fitted to the largest sizes, over this factor: a constant hides it least there.
const EXPONENT_RANGE: f64 = 12.0;
/// Points that it is fitted to at least.
const MIN_EXPONENT_POINTS: usize = 3;

/// A line and a power law, fitted to the points of a sweep.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Fit {
    /// Cost of one more unit.
    pub slope: f64,
    /// Cost without any.
    pub constant: f64,
    /// Distance from the line of the point furthest from it, relative to what was measured there.
    pub largest_residual: f64,
    /// Exponent of the power law that fits the points of `range`.
    pub exponent: f64,
    /// Smallest and largest size that the exponent is fitted to.
    pub range: (f64, f64),
}

impl Fit {
    /// Fits at least two points of different sizes, all finite, sizes positive, and none negative; none otherwise.
    ///
    /// Distances count relative to what was measured, as noise does: otherwise the largest size alone would determine
    /// slope and constant.
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

    /// Whether growth is worse than linear, and not by noise alone.
    pub fn is_worse_than_linear(&self) -> bool {
        self.exponent > WORSE_THAN_LINEAR_EXPONENT
    }

    /// The size at which `budget` is passed; none where growth never gets there.
    ///
    /// `points` are those of the fit, in rising order of size. Between two points the line between them counts. Beyond
    /// the largest the fit is extrapolated, by the power law where growth is worse than linear; below the smallest, by
    /// the line.
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

/// Slope and constant of the line by weighted least squares, of points with `(x, y, weight)`; none if all have one size.
fn line(points: impl Iterator<Item = (f64, f64, f64)> + Clone) -> Option<(f64, f64)> {
    let sum = |of: fn((f64, f64, f64)) -> f64| points.clone().map(of).sum::<f64>();
    let weight = sum(|(_, _, w)| w);
    let (x, y) = (sum(|(x, _, w)| x * w) / weight, sum(|(_, y, w)| y * w) / weight);
    let spread: f64 = points.clone().map(|(px, _, w)| w * (px - x).powi(2)).sum();
    let joint: f64 = points.clone().map(|(px, py, w)| w * (px - x) * (py - y)).sum();
    let slope = joint / spread;
    (slope.is_finite() && spread > 0.0).then_some((slope, y - slope * x))
}

/// The median; of an even number of values, the mean of the two in the middle. None of no values.
pub fn median(values: &mut [f64]) -> Option<f64> {
    values.sort_by(f64::total_cmp);
    let middle = values.len() / 2;
    let upper = values.get(middle).copied()?;
    Some(if values.len() % 2 == 1 { upper } else { (values[middle - 1] + upper) / 2.0 })
}
