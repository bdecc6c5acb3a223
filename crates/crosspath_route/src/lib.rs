//! Routing policy, without I/O: decisions depend only on the recorded state, the time and the
//! random numbers that are passed in.
//!
//! - [`dispatch`] assigns requests to slots of VMs, queues them or refuses them.
//! - [`quota`] limits the requests that a caller has in flight.
//! - [`split`] divides a VM's slots between the daemons.
//! - [`outlier`] ejects VMs that fail repeatedly from load balancing.
//! - [`retry`] decides whether a failed attempt is retried.
//! - [`key`] and [`claim`] prevent a payment with a key from running twice.
//! - [`answer`] defines the final answers that a daemon gives itself.

pub mod answer;
pub mod claim;
pub mod dispatch;
mod fair_queue;
pub mod key;
pub mod outlier;
pub mod quota;
pub mod retry;
pub mod split;
