//! One figure, its bound, and what a baseline gives.

use std::collections::BTreeMap;

use serde::Serialize;

/// A figure as it is printed.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct Figure {
    /// Its name.
    #[serde(rename = "figure")]
    pub name: String,
    /// Its value.
    pub value: f64,
    /// Its unit.
    pub unit: &'static str,
    /// What it may not exceed, if it is bound.
    pub bound: Option<f64>,
    /// What the plain way gives on the same input, if it was tried.
    pub baseline: Option<f64>,
}

impl Figure {
    /// A figure without a baseline; its bound comes from the file.
    #[must_use]
    pub fn new(name: impl Into<String>, value: f64, unit: &'static str) -> Self {
        let value = (value * 1_000.0).round() / 1_000.0;
        Self { name: name.into(), value, unit, bound: None, baseline: None }
    }

    /// Adds what the plain way gives.
    #[must_use]
    pub fn with_baseline(self, baseline: f64) -> Self {
        Self { baseline: Some((baseline * 1_000.0).round() / 1_000.0), ..self }
    }

    /// Whether the bound is kept.
    #[must_use]
    pub fn is_within_bound(&self) -> bool {
        self.bound.is_none_or(|bound| self.value <= bound)
    }
}

/// Bounds by figure, as committed.
///
/// # Panics
///
/// When the committed file is malformed.
#[must_use]
pub fn bounds() -> BTreeMap<String, f64> {
    serde_json::from_str(include_str!("../bounds.json")).expect("bounds.json is well formed")
}

/// Puts the committed bounds beside the figures.
#[must_use]
pub fn with_bounds(figures: Vec<Figure>) -> Vec<Figure> {
    let bounds = bounds();
    let bound = |figure: Figure| Figure { bound: bounds.get(&figure.name).copied(), ..figure };
    figures.into_iter().map(bound).collect()
}
