//! Owning the fleet: waves, moves, pool sizes.

use std::sync::Arc;

use crate::node::Node;

/// Runs while this daemon holds the fleet's shard.
pub(crate) async fn run(_node: Arc<Node>) {
    std::future::pending::<()>().await;
}
