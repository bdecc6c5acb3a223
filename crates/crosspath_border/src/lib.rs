//! Interfaces between the daemon and the platform: traits, and the types that they exchange.
//!
//! Adapters for the platform's protocols implement these traits. Nothing in this crate depends on
//! the platform's own names.

pub mod advice;
pub mod customer;
pub mod evacuation;
pub mod ingress;
pub mod operator;
pub mod store;
pub mod vm;
pub mod worker;
