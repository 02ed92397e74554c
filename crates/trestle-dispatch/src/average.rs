//! Exponential moving averages.

/// An exponential moving average, in which the newest value always has the same weight.
#[derive(Debug, Clone, Copy)]
pub(crate) struct MovingAverage {
    newest_weight: f64,
    value: Option<f64>,
}

impl MovingAverage {
    /// Creates an average without values.
    pub(crate) const fn new(newest_weight: f64) -> Self {
        Self { newest_weight, value: None }
    }

    /// Adds a value; the first one becomes the average.
    pub(crate) fn add(&mut self, newest: f64) {
        let before = self.value.unwrap_or(newest);
        self.value = Some(before + (newest - before) * self.newest_weight);
    }

    /// Returns the average; `None` before the first value.
    pub(crate) fn get(&self) -> Option<f64> {
        self.value
    }
}
