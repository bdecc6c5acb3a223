//! What upstreams ran.

use std::collections::BTreeMap;
use std::sync::{Mutex, PoisonError};

use serde::{Deserialize, Serialize};

/// Header that names a payment, so that its runs can be counted.
pub const PAYMENT_ID: &str = "payment-id";

/// Runs by payment.
#[derive(Debug, Default)]
pub struct Ledger {
    runs: Mutex<BTreeMap<String, u32>>,
}

/// What an upstream answers to a payment.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Receipt {
    /// The payment.
    pub payment: String,
    /// Who ran it.
    pub vm: String,
}

impl Ledger {
    /// Counts a run.
    pub fn record_run(&self, payment: &str) {
        let mut runs = self.runs.lock().unwrap_or_else(PoisonError::into_inner);
        *runs.entry(payment.to_owned()).or_default() += 1;
    }

    /// Every payment that was run, and how often.
    #[must_use]
    pub fn runs(&self) -> BTreeMap<String, u32> {
        self.runs.lock().unwrap_or_else(PoisonError::into_inner).clone()
    }
}
