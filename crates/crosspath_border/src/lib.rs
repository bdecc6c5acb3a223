//! The daemon's borders towards the platform, as traits and the types that cross them.
//!
//! What speaks the platform's protocols implements these traits; nothing here knows the platform's
//! names.

pub mod advice;
pub mod customer;
pub mod ingress;
pub mod operator;
pub mod store;
pub mod vm;
pub mod worker;
