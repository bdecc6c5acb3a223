//! Tests of the routing policy.

mod claim;
mod dispatch;
mod split;
mod verdict;
