//! Straight lines and growth exponents through measured points. Pure sums: no clock, no file.

/// A point: a size, and what was measured there.
pub type Point = (f64, f64);

/// Growth is called worse than linear from this exponent on: noise alone moves it by less.
const WORSE_THAN_LINEAR: f64 = 1.15;
/// The exponent is that of the largest sizes, over this factor: there a constant hides it least.
const EXPONENT_RANGE: f64 = 12.0;
/// ... and over so many points at least.
const EXPONENT_POINTS: usize = 3;

/// What a sweep's points add up to.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Fit {
    /// What one more unit costs.
    pub slope: f64,
    /// What is spent with none.
    pub constant: f64,
    /// The point furthest from the line: its distance, as a share of what was measured there.
    pub largest_residual: f64,
    /// Of the power law through the points of `range`.
    pub exponent: f64,
    /// The sizes that the exponent holds for.
    pub range: (f64, f64),
}

impl Fit {
    /// Through at least two points of different sizes, all finite, none negative.
    ///
    /// Each point counts by its relative distance, as noise is a share of what is measured: else the largest
    /// size alone would decide slope and constant.
    pub fn through(points: &[Point]) -> Option<Self> {
        if points.iter().any(|(x, y)| !x.is_finite() || !y.is_finite() || *x <= 0.0 || *y < 0.0) {
            return None;
        }
        let largest = points.iter().map(|(_, y)| *y).fold(0.0, f64::max);
        // A measured zero must not weigh without end.
        let weigh = |y: f64| y.max(largest * 1e-6).max(f64::MIN_POSITIVE.sqrt()).powi(-2);
        let (slope, constant) = line(points.iter().map(|(x, y)| (*x, *y, weigh(*y))))?;
        let residual = |(x, y): &Point| (y - slope * x - constant).abs() * weigh(*y).sqrt();
        let mut sizes: Vec<Point> = points.iter().copied().filter(|(_, y)| *y > 0.0).collect();
        sizes.sort_by(|a, b| a.0.total_cmp(&b.0));
        let last = sizes.last().map_or(0.0, |(x, _)| *x);
        let first = sizes.iter().position(|(x, _)| *x >= last / EXPONENT_RANGE).unwrap_or(0);
        let top = &sizes[first.min(sizes.len().saturating_sub(EXPONENT_POINTS))..];
        let exponent = line(top.iter().map(|(x, y)| (x.ln(), y.ln(), 1.0))).map_or(0.0, |(slope, _)| slope);
        Some(Fit {
            slope,
            constant,
            largest_residual: points.iter().map(residual).fold(0.0, f64::max),
            exponent,
            range: (top.first().map_or(0.0, |(x, _)| *x), last),
        })
    }

    pub fn is_worse_than_linear(&self) -> bool {
        self.exponent > WORSE_THAN_LINEAR
    }

    /// The size at which `budget` is passed; none where growth never gets there. `points` are those of the fit, in
    /// rising order of size. Between two points the straight line between them counts. Beyond the largest the fit
    /// goes on, by the power law where growth is worse than linear; below the smallest the line does.
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

/// Slope and constant of the line that weighted least squares give; none through points of one size.
fn line(points: impl Iterator<Item = (f64, f64, f64)> + Clone) -> Option<(f64, f64)> {
    let sum = |of: fn((f64, f64, f64)) -> f64| points.clone().map(of).sum::<f64>();
    let weight = sum(|(_, _, w)| w);
    let (x, y) = (sum(|(x, _, w)| x * w) / weight, sum(|(_, y, w)| y * w) / weight);
    let spread: f64 = points.clone().map(|(px, _, w)| w * (px - x).powi(2)).sum();
    let joint: f64 = points.clone().map(|(px, py, w)| w * (px - x) * (py - y)).sum();
    let slope = joint / spread;
    (slope.is_finite() && spread > 0.0).then_some((slope, y - slope * x))
}

/// The middle one of several; the mean of the two in the middle of an even number.
pub fn median(values: &mut [f64]) -> Option<f64> {
    values.sort_by(f64::total_cmp);
    let middle = values.len() / 2;
    let upper = values.get(middle).copied()?;
    Some(if values.len() % 2 == 1 { upper } else { (values[middle - 1] + upper) / 2.0 })
}
