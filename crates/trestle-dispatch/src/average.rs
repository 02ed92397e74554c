//! An average in which older values count less and less.

/// An average in which each new value has the same weight.
#[derive(Debug, Clone, Copy)]
pub(crate) struct MovingAverage {
    newest_weight: f64,
    value: Option<f64>,
}

impl MovingAverage {
    /// Nothing was seen yet.
    pub(crate) const fn new(newest_weight: f64) -> Self {
        Self { newest_weight, value: None }
    }

    /// Takes a value; the first is the average.
    pub(crate) fn note(&mut self, newest: f64) {
        let before = self.value.unwrap_or(newest);
        self.value = Some(before + (newest - before) * self.newest_weight);
    }

    /// The average, if anything was seen.
    pub(crate) fn get(&self) -> Option<f64> {
        self.value
    }
}
