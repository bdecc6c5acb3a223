//! Tests of the routing policy.

mod claim;
mod dispatch;
mod retry;
mod split;
