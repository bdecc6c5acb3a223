//! Evacuations of data centres: what each daemon knows of them, and when it may start tasks on that
//! knowledge.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

use crosspath_border::operator::Evacuation;
use crosspath_node::evacuation::{Evacuated, Evacuations, may_start};
use rand::rngs::StdRng;
use rand::{RngExt as _, SeedableRng as _};

/// Time within which an evacuation must take effect.
const EVACUATION_LIMIT: Duration = Duration::from_secs(5);
/// Time from the decision on a start until it reaches its worker.
const START_DELAY: Duration = Duration::from_millis(500);

fn request(data_centre: &str, requested: bool) -> Evacuation {
    Evacuation { data_centre: data_centre.into(), requested }
}

fn names(evacuations: &Evacuations) -> Vec<String> {
    evacuations.newest().data_centres.iter().map(ToString::to_string).collect()
}

fn known() -> Evacuations {
    Evacuations::new(["a", "b", "c"].into_iter().map(Arc::from).collect())
}

#[test]
fn an_evacuation_holds_until_it_is_withdrawn() {
    let mut daemon = known();
    daemon.apply(4, &request("a", true)).expect("a known data centre");
    daemon.apply(6, &request("b", true)).expect("a known data centre");
    // Repeating a request has no further effect.
    daemon.apply(7, &request("a", true)).expect("a known data centre");
    assert_eq!(names(&daemon), ["a", "b"]);
    daemon.apply(9, &request("a", false)).expect("a known data centre");
    assert_eq!(names(&daemon), ["b"]);
    // Withdrawing a request that was not made has no effect.
    daemon.apply(10, &request("a", false)).expect("a known data centre");
    assert_eq!(names(&daemon), ["b"]);
}

#[test]
fn an_unknown_data_centre_is_rejected_without_effect() {
    let mut daemon = known();
    let error = daemon.apply(4, &request("z", true)).expect_err("an unknown data centre");
    assert_eq!(error.to_string(), "unknown data centre \"z\"; known data centres: a, b, c");
    assert_eq!(names(&daemon), [""; 0]);
    let refused = daemon.replace(&[request("z", true), request("b", true)], 9);
    assert_eq!(refused.len(), 1);
    assert_eq!(names(&daemon), ["b"]);
}

/// The store no longer has the records in between, among them the withdrawal of the first request.
#[test]
fn a_full_read_replaces_the_state() {
    let mut daemon = known();
    daemon.apply(4, &request("a", true)).expect("a known data centre");
    daemon.replace(&[request("b", true)], 40);
    assert_eq!(names(&daemon), ["b"]);
    // A record that the full read already covers.
    daemon.apply(39, &request("a", true)).expect("a known data centre");
    assert_eq!(names(&daemon), ["b"]);
}

#[test]
fn the_state_with_the_higher_log_position_wins() {
    let mut one = known();
    one.apply(4, &request("a", true)).expect("a known data centre");
    let mut other = one.clone();
    other.apply(8, &request("a", false)).expect("a known data centre");
    let old = one.newest();
    one.merge(&other.newest());
    assert_eq!(names(&one), [""; 0]);
    other.merge(&old);
    assert_eq!(names(&other), [""; 0]);
}

#[test]
fn nothing_starts_on_state_older_than_the_evacuation_limit() {
    let confirmed_at = Duration::from_secs(20);
    assert!(may_start(
        Some(confirmed_at),
        confirmed_at + EVACUATION_LIMIT - START_DELAY,
        EVACUATION_LIMIT
    ));
    assert!(!may_start(Some(confirmed_at), confirmed_at + EVACUATION_LIMIT, EVACUATION_LIMIT));
    assert!(
        !may_start(None, Duration::from_millis(1), EVACUATION_LIMIT),
        "nothing was received yet"
    );
}

/// A daemon: its state, the next log position to read, and the time at which the state was
/// complete.
#[derive(Debug, Clone)]
struct Daemon {
    known: Evacuations,
    next: Option<u64>,
    confirmed_at: Option<Duration>,
}

impl Daemon {
    fn started() -> Self {
        Self { known: known(), next: None, confirmed_at: None }
    }
}

/// The operators' log with the time at which each record was acknowledged, and the daemons.
#[derive(Debug)]
struct Simulation {
    now: Duration,
    log: Vec<(Duration, Evacuation)>,
    /// First record that the store still has; the newest of each data centre is always kept.
    first: usize,
    daemons: Vec<Daemon>,
}

impl Simulation {
    fn requested(&self, until: Duration) -> BTreeSet<Arc<str>> {
        let mut newest = BTreeMap::new();
        for (at, request) in self.log.iter().filter(|(at, _)| *at <= until) {
            newest.insert(Arc::clone(&request.data_centre), (*at, request.requested));
        }
        newest.into_iter().filter(|(_, (_, requested))| *requested).map(|(name, _)| name).collect()
    }

    /// Reads the log as daemons do: completely at first and when records are gone, otherwise from
    /// the next position.
    fn read(&mut self, at: usize) {
        let end = self.log.len() as u64;
        let daemon = &mut self.daemons[at];
        let next = daemon.next.filter(|next| *next >= self.first as u64);
        match next {
            Some(next) => {
                for (at, (_, request)) in
                    (0..).zip(&self.log).skip(usize::try_from(next).expect("few"))
                {
                    daemon.known.apply(at, request).expect("a known data centre");
                }
            }
            None => {
                let mut newest = BTreeMap::new();
                for (_, request) in &self.log {
                    newest.insert(Arc::clone(&request.data_centre), request.clone());
                }
                let left: Vec<_> =
                    newest.into_values().filter(|request| request.requested).collect();
                assert_eq!(daemon.known.replace(&left, end), Vec::new());
            }
        }
        daemon.next = Some(end);
        daemon.confirmed_at = Some(self.now);
    }

    /// Delivers a message of another daemon, some time after it was sent.
    fn deliver(&mut self, to: usize, sent: &(Evacuated, Option<Duration>)) {
        let daemon = &mut self.daemons[to];
        let Some(confirmed_at) = sent.1 else { return };
        daemon.known.merge(&sent.0);
        daemon.confirmed_at = daemon.confirmed_at.max(Some(confirmed_at));
    }

    /// Checks that no daemon that may start tasks lacks an evacuation that was acknowledged longer
    /// ago than the limit.
    fn check(&self, seed: u64) {
        // A start that is decided now reaches its worker this much later.
        let bound = (self.now + START_DELAY).saturating_sub(EVACUATION_LIMIT);
        let long_requested = self.requested(bound);
        let still_requested: BTreeSet<_> =
            long_requested.intersection(&self.requested(self.now)).map(Arc::clone).collect();
        let since = |name: &Arc<str>| {
            let records = self.log.iter().filter(|(_, request)| request.data_centre == *name);
            records.map(|(at, _)| *at).max().unwrap_or_default()
        };
        let effective: Vec<_> =
            still_requested.into_iter().filter(|name| since(name) <= bound).collect();
        for daemon in &self.daemons {
            if !may_start(daemon.confirmed_at, self.now, EVACUATION_LIMIT) {
                continue;
            }
            let data_centres = daemon.known.newest().data_centres;
            for name in &effective {
                assert!(
                    data_centres.contains(name),
                    "seed {seed}: {name} at {:?}: {daemon:?}",
                    self.now
                );
            }
        }
    }
}

/// Random histories of crashes, restarts of all daemons, disconnections from the store, late
/// messages between daemons, truncations of the log, and evacuations that are withdrawn and
/// requested again. Each step is checked.
#[test]
fn no_daemon_that_may_start_lacks_an_acknowledged_evacuation() {
    for seed in 0..300 {
        let mut rng = StdRng::seed_from_u64(seed);
        let daemons = vec![Daemon::started(); 4];
        let mut simulation =
            Simulation { now: Duration::from_secs(1), log: Vec::new(), first: 0, daemons };
        let mut disconnected = [false; 4];
        let mut sent = Vec::new();
        for _ in 0..400 {
            simulation.now += Duration::from_millis(rng.random_range(1..400));
            let at = rng.random_range(0..4_usize);
            match rng.random_range(0..20) {
                0 | 1 => {
                    let name = ["a", "b", "c"][rng.random_range(0..3_usize)];
                    simulation.log.push((simulation.now, request(name, rng.random_bool(0.5))));
                }
                2 => simulation.daemons[at] = Daemon::started(),
                3 if rng.random_bool(0.1) => simulation.daemons.fill(Daemon::started()),
                4 => disconnected[at] = !disconnected[at],
                5 => simulation.first = simulation.log.len(),
                6..10 => {
                    let daemon = &simulation.daemons[at];
                    sent.push((daemon.known.newest(), daemon.confirmed_at));
                }
                10..13 if !sent.is_empty() => {
                    let sent = sent[rng.random_range(0..sent.len())].clone();
                    simulation.deliver(at, &sent);
                }
                _ if !disconnected[at] => simulation.read(at),
                _ => {}
            }
            simulation.check(seed);
        }
    }
}
