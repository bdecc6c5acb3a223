//! Evacuations of data centres: what each daemon knows of them, and when it may start tasks by that.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

use crosspath_border::operator::Evacuation;
use crosspath_node::evacuation::{Evacuated, Evacuations, may_start};
use rand::rngs::StdRng;
use rand::{RngExt as _, SeedableRng as _};

/// In which an evacuation has to be in force.
const WITHIN: Duration = Duration::from_secs(5);
/// For a start that was decided to reach its worker.
const START_TIME: Duration = Duration::from_millis(500);

fn word(data_centre: &str, asked: bool) -> Evacuation {
    Evacuation { data_centre: data_centre.into(), requested: asked }
}

fn names(evacuations: &Evacuations) -> Vec<String> {
    evacuations.newest().data_centres.iter().map(ToString::to_string).collect()
}

fn known() -> Evacuations {
    Evacuations::new(["a", "b", "c"].into_iter().map(Arc::from).collect())
}

#[test]
fn what_is_asked_for_holds_until_it_is_taken_back() {
    let mut daemon = known();
    daemon.take(4, &word("a", true)).expect("a known one");
    daemon.take(6, &word("b", true)).expect("a known one");
    // Asked twice is as good as once.
    daemon.take(7, &word("a", true)).expect("a known one");
    assert_eq!(names(&daemon), ["a", "b"]);
    daemon.take(9, &word("a", false)).expect("a known one");
    assert_eq!(names(&daemon), ["b"]);
    // What is not asked for can be taken back as well.
    daemon.take(10, &word("a", false)).expect("a known one");
    assert_eq!(names(&daemon), ["b"]);
}

#[test]
fn a_data_centre_that_there_is_not_is_refused_and_nothing_kept() {
    let mut daemon = known();
    let error = daemon.take(4, &word("z", true)).expect_err("there is no such one");
    assert_eq!(error.to_string(), "there is no data centre \"z\"; there are a, b, c");
    assert_eq!(names(&daemon), [""; 0]);
    let refused = daemon.replace(&[word("z", true), word("b", true)], 9);
    assert_eq!(refused.len(), 1);
    assert_eq!(names(&daemon), ["b"]);
}

/// The store has forgotten the records in between, among them the one that takes the first back.
#[test]
fn a_log_that_is_read_anew_counts_whole() {
    let mut daemon = known();
    daemon.take(4, &word("a", true)).expect("a known one");
    daemon.replace(&[word("b", true)], 40);
    assert_eq!(names(&daemon), ["b"]);
    // Records that the pages told of already.
    daemon.take(39, &word("a", true)).expect("a known one");
    assert_eq!(names(&daemon), ["b"]);
}

#[test]
fn of_two_daemons_the_one_that_has_read_more_is_believed() {
    let mut one = known();
    one.take(4, &word("a", true)).expect("a known one");
    let mut other = one.clone();
    other.take(8, &word("a", false)).expect("a known one");
    let old = one.newest();
    one.learn(&other.newest());
    assert_eq!(names(&one), [""; 0]);
    other.learn(&old);
    assert_eq!(names(&other), [""; 0]);
}

#[test]
fn nothing_starts_by_what_may_be_older_than_an_evacuation_may_take() {
    let heard = Duration::from_secs(20);
    assert!(may_start(Some(heard), heard + WITHIN - START_TIME, WITHIN));
    assert!(!may_start(Some(heard), heard + WITHIN, WITHIN));
    assert!(!may_start(None, Duration::from_millis(1), WITHIN), "nothing was heard yet");
}

/// A daemon: what it knows, and when that was known to be all.
#[derive(Debug, Clone)]
struct Daemon {
    known: Evacuations,
    next: Option<u64>,
    heard: Option<Duration>,
}

impl Daemon {
    fn born() -> Self {
        Self { known: known(), next: None, heard: None }
    }
}

/// The operators' log, when each record was acknowledged, and the daemons.
#[derive(Debug)]
struct World {
    now: Duration,
    log: Vec<(Duration, Evacuation)>,
    /// First record that the store still has; the newest of each data centre stays.
    first: usize,
    daemons: Vec<Daemon>,
}

impl World {
    fn asked(&self, until: Duration) -> BTreeSet<Arc<str>> {
        let mut newest = BTreeMap::new();
        for (at, word) in self.log.iter().filter(|(at, _)| *at <= until) {
            newest.insert(Arc::clone(&word.data_centre), (*at, word.requested));
        }
        newest.into_iter().filter(|(_, (_, asked))| *asked).map(|(name, _)| name).collect()
    }

    /// A read of the log as the daemons do it: whole at first and when records are gone, else what is new.
    fn read(&mut self, at: usize) {
        let end = self.log.len() as u64;
        let daemon = &mut self.daemons[at];
        let next = daemon.next.filter(|next| *next >= self.first as u64);
        match next {
            Some(next) => {
                for (at, (_, word)) in
                    (0..).zip(&self.log).skip(usize::try_from(next).expect("few"))
                {
                    daemon.known.take(at, word).expect("a known one");
                }
            }
            None => {
                let mut newest = BTreeMap::new();
                for (_, word) in &self.log {
                    newest.insert(Arc::clone(&word.data_centre), word.clone());
                }
                let left: Vec<_> = newest.into_values().filter(|word| word.requested).collect();
                assert_eq!(daemon.known.replace(&left, end), Vec::new());
            }
        }
        daemon.next = Some(end);
        daemon.heard = Some(self.now);
    }

    /// What one daemon said is heard by another some time later.
    fn tell(&mut self, to: usize, said: &(Evacuated, Option<Duration>)) {
        let daemon = &mut self.daemons[to];
        let Some(heard) = said.1 else { return };
        daemon.known.learn(&said.0);
        daemon.heard = daemon.heard.max(Some(heard));
    }

    /// No daemon that may start leaves out what has been acknowledged for as long as the bound allows.
    fn check(&self, seed: u64) {
        // A start that is decided now reaches its worker so much later.
        let bound = (self.now + START_TIME).saturating_sub(WITHIN);
        let long_asked = self.asked(bound);
        let still: BTreeSet<_> =
            long_asked.intersection(&self.asked(self.now)).map(Arc::clone).collect();
        let since = |name: &Arc<str>| {
            let words = self.log.iter().filter(|(_, word)| word.data_centre == *name);
            words.map(|(at, _)| *at).max().unwrap_or_default()
        };
        let settled: Vec<_> = still.into_iter().filter(|name| since(name) <= bound).collect();
        for daemon in &self.daemons {
            if !may_start(daemon.heard, self.now, WITHIN) {
                continue;
            }
            let knows = daemon.known.newest().data_centres;
            for name in &settled {
                assert!(knows.contains(name), "seed {seed}: {name} at {:?}: {daemon:?}", self.now);
            }
        }
    }
}

/// Kills, restarts of all, cuts from the store, late words of others, a store that forgets, evacuations taken
/// back and asked for again: histories by chance, each step checked.
#[test]
fn no_daemon_that_may_start_misses_an_old_evacuation() {
    for seed in 0..300 {
        let mut chance = StdRng::seed_from_u64(seed);
        let daemons = vec![Daemon::born(); 4];
        let mut world = World { now: Duration::from_secs(1), log: Vec::new(), first: 0, daemons };
        let mut cut = [false; 4];
        let mut said = Vec::new();
        for _ in 0..400 {
            world.now += Duration::from_millis(chance.random_range(1..400));
            let at = chance.random_range(0..4_usize);
            match chance.random_range(0..20) {
                0 | 1 => {
                    let name = ["a", "b", "c"][chance.random_range(0..3_usize)];
                    world.log.push((world.now, word(name, chance.random_bool(0.5))));
                }
                2 => world.daemons[at] = Daemon::born(),
                3 if chance.random_bool(0.1) => world.daemons.fill(Daemon::born()),
                4 => cut[at] = !cut[at],
                5 => world.first = world.log.len(),
                6..10 => {
                    let daemon = &world.daemons[at];
                    said.push((daemon.known.newest(), daemon.heard));
                }
                10..13 if !said.is_empty() => {
                    let said = said[chance.random_range(0..said.len())].clone();
                    world.tell(at, &said);
                }
                _ if !cut[at] => world.read(at),
                _ => {}
            }
            world.check(seed);
        }
    }
}
