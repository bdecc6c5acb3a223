//! Routing policy, as pure functions of what is known and of the time.
//!
//! - [`dispatch`] decides which request gets which slot of which VM, and which are refused.
//! - [`split`] divides a VM's slots between the daemons.
//! - [`outlier`] takes VMs out of the choice by evidence.
//! - [`retry`] says what follows from an attempt that failed.
//! - [`key`] and [`claim`] keep a payment with a key from running twice.
//! - [`answer`] is the set of final answers that are not the upstream's own.

pub mod answer;
pub mod claim;
pub mod dispatch;
mod fair_queue;
pub mod key;
pub mod outlier;
pub mod quota;
pub mod retry;
pub mod split;
