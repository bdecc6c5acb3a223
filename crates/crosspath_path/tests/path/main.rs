//! Tests of the choice of paths.

mod link;
mod links;
