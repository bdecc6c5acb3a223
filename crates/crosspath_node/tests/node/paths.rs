//! The paths that one call takes. Guards against orders that are sent twice, calls that are given up
//! although another path is left, and calls that take longer than their callers wait.

use std::future::pending;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use crosspath_node::member::Member;
use crosspath_node::paths::{Destination, Miss, PathMetrics, Paths, Relayed};
use tokio::sync::Barrier;

const TIMEOUT: Duration = Duration::from_millis(500);
/// Time without an answer after which a data centre may count as lost.
const LOSS_DELAY: Duration = Duration::from_millis(1_300);
/// Time after which a call that waits for a relay has not taken one.
const PATIENCE: Duration = Duration::from_secs(20);

fn address(number: u8) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, number], 7_740))
}

fn member(number: u8, data_centre: Option<&str>) -> Member {
    Member {
        address: address(number),
        name: "entry".into(),
        incarnation: "1".into(),
        millicores: 250,
        data_centre: data_centre.map(Arc::from),
    }
}

/// Paths of a daemon in "a", with two peers in "b" and relays in "c" and "d".
fn paths() -> Paths {
    let paths = Paths::new(true, "a".into(), PathMetrics::default());
    let members =
        [(1, "b"), (2, "b"), (3, "c"), (4, "d")].map(|(number, dc)| member(number, Some(dc)));
    paths.set_members(members.iter());
    paths
}

fn to(paths: &Paths, number: u8) -> Destination {
    paths.peer(address(number)).expect("a destination in another data centre")
}

/// Breaks the link to "b": a call to a peer there has no answer, and a relay reaches it.
async fn break_link(paths: &Paths) {
    let direct = |_| async { Err(Miss::NoAnswer) };
    let relayed = |_, _| async { Relayed::Answered(()) };
    let result = paths.call_idempotent(&to(paths, 2), TIMEOUT, direct, relayed).await;
    assert_eq!(result, Ok(()), "the call that finds the fault goes around it");
}

/// Relays tried for an order over the broken link, all with the same result, and the order's result.
async fn order(relayed: impl Fn() -> Relayed<()>) -> (usize, Result<(), Miss>) {
    let paths = paths();
    break_link(&paths).await;
    let tried = AtomicUsize::new(0);
    let direct = async { panic!("an order over a broken link is not sent directly") };
    let attempt = |_, _| {
        tried.fetch_add(1, Ordering::SeqCst);
        let result = relayed();
        async { result }
    };
    let result = paths.call_once(&to(&paths, 1), TIMEOUT, direct, attempt).await;
    (tried.into_inner(), result)
}

/// The relay may have passed the order on before it died.
#[tokio::test]
async fn an_order_whose_relay_went_silent_is_sent_to_no_other_relay() {
    let outcome = order(|| Relayed::RelaySilent(Miss::NoAnswer)).await;
    assert_eq!(outcome, (1, Err(Miss::NoAnswer)));
}

#[tokio::test]
async fn an_order_that_surely_did_not_leave_takes_another_relay() {
    let unconnected = order(|| Relayed::RelaySilent(Miss::NotReached)).await;
    assert_eq!(unconnected, (2, Err(Miss::NotReached)));
    let full = order(|| Relayed::Refused).await;
    assert_eq!(full, (2, Err(Miss::NotReached)));
}

#[tokio::test]
async fn an_order_that_a_relay_could_not_deliver_is_reported_as_the_relay_says() {
    let unreached = order(|| Relayed::Unreached(Miss::NotReached)).await;
    assert_eq!(unreached, (2, Err(Miss::NotReached)));
    let unanswered = order(|| Relayed::Unreached(Miss::NoAnswer)).await;
    assert_eq!(unanswered, (1, Err(Miss::NoAnswer)));
}

/// Result of an idempotent call over the broken link if the first relay did not reach the
/// destination and the second one does.
async fn call_by_second_relay(first: Miss) -> Result<u8, Miss> {
    let paths = paths();
    break_link(&paths).await;
    let tried = AtomicUsize::new(0);
    let direct = |_| async { Err(Miss::NoAnswer) };
    let relayed = |_, _| {
        let is_first = tried.fetch_add(1, Ordering::SeqCst) == 0;
        async move { if is_first { Relayed::Unreached(first) } else { Relayed::Answered(7) } }
    };
    paths.call_idempotent(&to(&paths, 1), TIMEOUT, direct, relayed).await
}

/// The relay's own way to the destination may be cut.
#[tokio::test]
async fn an_idempotent_call_that_a_relay_could_not_deliver_takes_another() {
    assert_eq!(call_by_second_relay(Miss::NotReached).await, Ok(7));
    assert_eq!(call_by_second_relay(Miss::NoAnswer).await, Ok(7));
}

/// A data centre that counts as lost gets no relayed calls. Here two relays, one for each address
/// there, do not reach it, while two other ones still try.
#[tokio::test]
async fn a_data_centre_is_not_lost_before_the_last_relay_has_failed() {
    let paths = paths();
    break_link(&paths).await;
    tokio::time::sleep(LOSS_DELAY).await;
    let barrier = Barrier::new(3);
    let order = async |number| {
        let tried = AtomicUsize::new(0);
        let by_second = |_, _| {
            let is_first = tried.fetch_add(1, Ordering::SeqCst) == 0;
            let barrier = &barrier;
            async move {
                if is_first {
                    return Relayed::Unreached(Miss::NotReached);
                }
                barrier.wait().await;
                barrier.wait().await;
                Relayed::Answered(())
            }
        };
        let direct = async { panic!("an order over a broken link is not sent directly") };
        paths.call_once(&to(&paths, number), TIMEOUT, direct, by_second).await
    };
    let meanwhile = async {
        barrier.wait().await;
        let direct = async { panic!("the data centre counts as lost") };
        let relayed = |_, _| async { Relayed::Answered(()) };
        let result = paths.call_once(&to(&paths, 1), TIMEOUT, direct, relayed).await;
        barrier.wait().await;
        result
    };
    let orders = async { tokio::join!(order(1), order(2), meanwhile) };
    let results = tokio::time::timeout(PATIENCE, orders).await;
    assert_eq!(results, Ok((Ok(()), Ok(()), Ok(()))));
}

#[tokio::test]
async fn a_direct_order_without_an_answer_takes_no_relay() {
    let paths = paths();
    let direct = async { Err::<(), _>(Miss::NoAnswer) };
    let relayed = |_, _| async { panic!("the order may have been executed") };
    let result = paths.call_once(&to(&paths, 1), TIMEOUT, direct, relayed).await;
    assert_eq!(result, Err(Miss::NoAnswer));
}

#[tokio::test]
async fn an_idempotent_call_tries_two_relays_within_its_time() {
    let paths = paths();
    break_link(&paths).await;
    let limits = Mutex::new(Vec::new());
    let direct = |_| async { Err::<(), _>(Miss::NoAnswer) };
    let relayed = |_, limit| {
        limits.lock().expect("no panic with the lock held").push(limit);
        async { Relayed::RelaySilent(Miss::NoAnswer) }
    };
    let result = paths.call_idempotent(&to(&paths, 1), TIMEOUT, direct, relayed).await;
    assert_eq!(result, Err(Miss::NoAnswer));
    let limits = limits.into_inner().expect("no panic with the lock held");
    assert_eq!(limits.len(), 2);
    assert!(limits[0] <= TIMEOUT * 2 / 3, "time is left for the second one: {limits:?}");
    assert!(limits[1] <= TIMEOUT, "{limits:?}");
}

/// A poll that waits at a worker when the link breaks would fail a second later, and its worker
/// count as silent meanwhile.
#[tokio::test]
async fn an_idempotent_call_in_flight_takes_a_relay_when_the_link_breaks() {
    let paths = paths();
    let destination = to(&paths, 1);
    let direct = |_| pending::<Result<u8, Miss>>();
    let relayed = |_, _| async { Relayed::Answered(7) };
    let call = paths.call_idempotent(&destination, Duration::from_secs(60), direct, relayed);
    let call = tokio::time::timeout(PATIENCE, call);
    let (result, ()) = tokio::join!(call, break_link(&paths));
    assert_eq!(result, Ok(Ok(7)));
}

#[tokio::test]
async fn calls_without_relays_or_within_the_data_centre_are_direct() {
    let off = Paths::new(false, "a".into(), PathMetrics::default());
    off.set_members([member(1, Some("b"))].iter());
    assert!(off.peer(address(1)).is_none(), "relays are switched off");
    let paths = paths();
    paths.set_members([member(1, Some("a")), member(2, None)].iter());
    assert!(paths.peer(address(1)).is_none(), "a peer in the same data centre");
    assert!(paths.peer(address(2)).is_none(), "a peer of a version that tells no data centre");
}

/// A member of an earlier version cannot relay, and is sent no call of a new kind.
#[tokio::test]
async fn members_that_tell_no_data_centre_relay_nothing() {
    let paths = paths();
    paths.set_members([member(1, Some("b")), member(2, Some("b")), member(3, None)].iter());
    let silent = async { Err::<u8, _>(Miss::NotReached) };
    let relayed = |_, _| async { panic!("there is no relay") };
    let result = paths.call_once(&to(&paths, 2), TIMEOUT, silent, relayed).await;
    assert_eq!(result, Err(Miss::NotReached));
    let direct = async { Ok::<_, Miss>(3) };
    let relayed = |_, _| async { panic!("there is no relay") };
    assert_eq!(paths.call_once(&to(&paths, 1), TIMEOUT, direct, relayed).await, Ok(3));
}

#[test]
fn the_text_form_of_a_member_keeps_any_name_of_its_data_centre() {
    for name in [None, Some("b"), Some("eu/west/1"), Some("")] {
        let member = member(1, name);
        assert_eq!(member.to_string().parse(), Ok(member));
    }
}
