//! Count of the payments that upstreams ran.

use std::collections::BTreeMap;
use std::sync::{Mutex, PoisonError};

use serde::{Deserialize, Serialize};

/// Header with the identifier of a payment, by which its runs are counted.
pub const PAYMENT_ID: &str = "payment-id";

/// Number of runs by payment.
#[derive(Debug, Default)]
pub struct Ledger {
    runs: Mutex<BTreeMap<String, u32>>,
}

/// Body of an upstream's response to a payment.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Receipt {
    /// Identifier of the payment; empty if the request had none.
    pub payment: String,
    /// Name of the VM that ran the payment.
    pub vm: String,
}

impl Ledger {
    /// Increments the number of runs of `payment`.
    pub fn record_run(&self, payment: &str) {
        let mut runs = self.runs.lock().unwrap_or_else(PoisonError::into_inner);
        *runs.entry(payment.to_owned()).or_default() += 1;
    }

    /// Number of runs of each payment that was run at least once.
    #[must_use]
    pub fn runs(&self) -> BTreeMap<String, u32> {
        self.runs.lock().unwrap_or_else(PoisonError::into_inner).clone()
    }
}
