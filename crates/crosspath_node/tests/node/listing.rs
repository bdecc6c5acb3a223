//! Reading the VM list must not delay the planning rounds.

use std::sync::Arc;
use std::time::Duration;

use async_trait::async_trait;
use crosspath_border::vm::{Authority, Error, Fleet, Order, Verdict, Vm};
use crosspath_node::listing::Listing;
use tokio::sync::Semaphore;

use crate::common::FakeFleet;

/// A fleet whose list arrives once a permit is added.
#[derive(Debug)]
struct DelayedFleet {
    permits: Semaphore,
    inner: FakeFleet,
}

#[async_trait]
impl Fleet for DelayedFleet {
    async fn list(&self) -> Result<Vec<Vm>, Error> {
        self.permits.acquire().await.expect("the semaphore is open").forget();
        self.inner.list().await
    }

    async fn order(&self, vm: &str, order: &Order, by: &Authority) -> Result<Verdict, Error> {
        self.inner.order(vm, order, by).await
    }
}

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

#[tokio::test]
async fn a_short_list_arrives_within_the_round() {
    let fleet = Arc::new(FakeFleet::healthy(30));
    let mut listing = Listing::new(Arc::clone(&fleet) as Arc<dyn Fleet>);
    let list = listing.next(ms(1_000), 0).await.expect("a list");
    assert_eq!((list.requested_at, list.vms.len()), (ms(1_000), 30));
    assert!(listing.next(ms(1_100), 30).await.is_none(), "no order was sent since");
    listing.mark_outdated();
    assert!(listing.next(ms(1_100), 30).await.is_some());
    assert_eq!(fleet.calls(), 2);
}

#[tokio::test]
async fn rounds_continue_while_a_long_list_is_read() {
    let fleet =
        Arc::new(DelayedFleet { permits: Semaphore::new(0), inner: FakeFleet::healthy(6_000) });
    let mut listing = Listing::new(Arc::clone(&fleet) as Arc<dyn Fleet>);
    for round in 0..5 {
        assert!(listing.next(ms(1_000 + round * 100), 0).await.is_none());
    }
    fleet.permits.add_permits(1);
    let list = loop {
        if let Some(list) = listing.next(ms(1_500), 0).await {
            break list;
        }
    };
    assert_eq!(
        list.requested_at,
        ms(1_000),
        "the time of the request, since the list may lack later orders"
    );
    // A long list is not requested again at once, even after orders.
    listing.mark_outdated();
    assert!(listing.next(ms(1_600), 6_000).await.is_none());
    assert_eq!(fleet.inner.calls(), 1);
}
