//! A figure with its bound and the value of a baseline.

use std::collections::BTreeMap;

use serde::Serialize;

/// A measured value in the form in which it is printed.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct Figure {
    /// Name, by which `bounds.json` refers to the figure.
    #[serde(rename = "figure")]
    pub name: String,
    /// Measured value, rounded to three decimals.
    pub value: f64,
    /// Unit of the value, the bound and the baseline.
    pub unit: &'static str,
    /// Highest value that passes the check; none if every value does.
    pub bound: Option<f64>,
    /// Value of a baseline on the same input, rounded to three decimals; none without a baseline.
    pub baseline: Option<f64>,
}

impl Figure {
    /// A figure without a baseline or a bound, see [`Self::with_baseline`] and [`with_bounds`].
    #[must_use]
    pub fn new(name: impl Into<String>, value: f64, unit: &'static str) -> Self {
        let value = (value * 1_000.0).round() / 1_000.0;
        Self { name: name.into(), value, unit, bound: None, baseline: None }
    }

    /// Adds the value of the baseline.
    #[must_use]
    pub fn with_baseline(self, baseline: f64) -> Self {
        Self { baseline: Some((baseline * 1_000.0).round() / 1_000.0), ..self }
    }

    /// Whether the value does not exceed the bound; true without a bound.
    #[must_use]
    pub fn is_within_bound(&self) -> bool {
        self.bound.is_none_or(|bound| self.value <= bound)
    }
}

/// Bounds of `bounds.json`, by name of the figure.
///
/// # Panics
///
/// When the file is malformed.
#[must_use]
pub fn bounds() -> BTreeMap<String, f64> {
    serde_json::from_str(include_str!("../bounds.json")).expect("bounds.json is well formed")
}

/// Adds the bounds of `bounds.json` to the figures.
#[must_use]
pub fn with_bounds(figures: Vec<Figure>) -> Vec<Figure> {
    let bounds = bounds();
    let bound = |figure: Figure| Figure { bound: bounds.get(&figure.name).copied(), ..figure };
    figures.into_iter().map(bound).collect()
}
