//! Claims on payment keys, kept in memory by the owner of their partition.
//!
//! An entry VM claims the key before it sends the payment to an upstream, and afterwards says how
//! it ended. A key that the table does not hold was never claimed here; whether an earlier owner
//! saw it follows from the time in the key and the time since which this owner knows every claim.
//! A key is good for a bounded time, after which its claim is forgotten and the key refused.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use crosspath_state::name::CallerName;
use crosspath_state::time::Wall;
use serde::{Deserialize, Serialize};

use crate::answer::{Answer, NotRun, Unknown};
use crate::key::Key;

/// SHA-256 over the service, method, path and body of a request.
pub type Digest = String;

/// Bounds of the table.
#[derive(Debug, Clone, Copy)]
pub struct Bounds {
    /// Keys kept.
    pub keys: usize,
    /// Bytes of answers kept, over all keys.
    pub answer_bytes: usize,
    /// How long a key is good for.
    pub retention: Duration,
    /// Largest difference between two wall clocks.
    pub skew: Duration,
}

/// Marks one attempt to claim, so that a claim whose answer was lost can be made again.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Nonce(pub u64);

/// A claim as an entry VM makes it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Request {
    /// The key.
    pub key: Key,
    /// Who sent it.
    pub caller: CallerName,
    /// What was sent.
    pub digest: Digest,
}

/// An answer of an upstream, kept for re-sends.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Recorded {
    /// Its status.
    pub status: u16,
    /// Its content type, if it had one.
    pub content_type: Option<String>,
    /// Its body.
    pub body: Vec<u8>,
}

/// How a claimed request ended.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Outcome {
    /// The upstream answered.
    Answered(Recorded),
    /// The upstream answered, too much to keep.
    AnsweredLarge {
        /// Its status.
        status: u16,
    },
    /// It is not known.
    Unknown(Unknown),
    /// It was certainly not run; the key may be used again.
    NotRun,
}

impl Outcome {
    /// Bytes of the answer that is kept.
    fn bytes(&self) -> usize {
        match self {
            Self::Answered(recorded) => recorded.body.len(),
            Self::AnsweredLarge { .. } | Self::Unknown(_) | Self::NotRun => 0,
        }
    }
}

/// What the owner says to a claim.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Verdict {
    /// Send it; nobody else has or will.
    Granted,
    /// It was answered before, like this.
    Answered(Recorded),
    /// It was answered before with this status; the body was too large to keep.
    AnsweredLarge {
        /// The status.
        status: u16,
    },
    /// Do not send it; answer this.
    Final(Answer),
    /// This daemon does not own the key, or cannot decide now.
    NotOwner,
}

#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
enum Phase {
    Running,
    Ended(Outcome),
}

/// A claim in the table.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Claim {
    request: Request,
    nonce: Nonce,
    due: Wall,
    phase: Phase,
}

impl Claim {
    fn answer_bytes(&self) -> usize {
        match &self.phase {
            Phase::Running => 0,
            Phase::Ended(outcome) => outcome.bytes(),
        }
    }
}

/// The owner's table.
#[derive(Debug)]
pub struct Table {
    bounds: Bounds,
    claims: BTreeMap<Key, Claim>,
    eviction_order: VecDeque<Key>,
    answer_bytes: usize,
}

impl Table {
    /// Makes an empty table.
    #[must_use]
    pub fn new(bounds: Bounds) -> Self {
        Self { bounds, claims: BTreeMap::new(), eviction_order: VecDeque::new(), answer_bytes: 0 }
    }

    /// Claims a key at `now`, for a request that ends within `remaining`, for an owner that knows every
    /// claim on keys made after `since`.
    pub fn claim(
        &mut self,
        request: &Request,
        nonce: Nonce,
        remaining: Duration,
        complete_since: Wall,
        now: Wall,
    ) -> Verdict {
        self.evict_expired(now);
        if let Some(claim) = self.claims.get(&request.key) {
            let again = claim.nonce == nonce && claim.request == *request;
            if again && claim.phase == Phase::Running {
                return Verdict::Granted;
            }
            return verdict_on_repeat(claim, request, now);
        }
        if let Some(answer) = self.refusal(request.key, complete_since, now) {
            return Verdict::Final(answer);
        }
        let due = now.after(remaining);
        let claim = Claim { request: request.clone(), nonce, due, phase: Phase::Running };
        self.insert(request.key, claim);
        Verdict::Granted
    }

    fn refusal(&self, key: Key, complete_since: Wall, now: Wall) -> Option<Answer> {
        let Bounds { keys, retention, skew, .. } = self.bounds;
        let created = key.created();
        match () {
            () if now > created.after(retention) => Some(Answer::Unknown(Unknown::KeyExpired)),
            // The time in the key and the time of the take-over are read on two clocks, and the
            // earlier owner took keys up to one skew ahead of its own.
            () if created <= complete_since.after(skew * 2) => {
                Some(Answer::Unknown(Unknown::KeyBeforeOwner))
            }
            // From here on no owner can have granted the key: "not run" is certain.
            () if created > now.after(skew) => Some(Answer::NotRun(NotRun::KeyFromFuture)),
            () if self.claims.len() >= keys => Some(Answer::NotRun(NotRun::KeysFull)),
            () => None,
        }
    }

    /// Notes how a claimed request ended. The first end counts; a late second one is dropped.
    pub fn settle(&mut self, request: &Request, outcome: Outcome) {
        let Some(claim) = self.claims.get_mut(&request.key) else {
            return;
        };
        if claim.request != *request || claim.phase != Phase::Running {
            return;
        }
        if outcome == Outcome::NotRun {
            self.claims.remove(&request.key);
            return;
        }
        let bytes = outcome.bytes();
        let outcome = match outcome {
            Outcome::Answered(recorded) if self.answer_bytes + bytes > self.bounds.answer_bytes => {
                Outcome::AnsweredLarge { status: recorded.status }
            }
            outcome => outcome,
        };
        self.answer_bytes += outcome.bytes();
        claim.phase = Phase::Ended(outcome);
    }

    /// What is known of a key of `caller`.
    #[must_use]
    pub fn look_up(&self, key: Key, caller: &CallerName, now: Wall) -> Option<Verdict> {
        let claim = self.claims.get(&key)?;
        (claim.request.caller == *caller).then(|| current_verdict(claim, now))
    }

    /// Claims on keys that `matches`, to be handed to another owner.
    #[must_use]
    pub fn claims_where(&self, matches: impl Fn(&Key) -> bool) -> Vec<Claim> {
        let claims = self.claims.iter().filter(|(key, _)| matches(key));
        claims.map(|(_, claim)| claim.clone()).collect()
    }

    /// Takes over claims of another owner; what is known here already stays.
    pub fn take_over(&mut self, claims: Vec<Claim>) {
        for claim in claims {
            let key = claim.request.key;
            if !self.claims.contains_key(&key) {
                self.insert(key, claim);
            }
        }
    }

    /// Forgets every key, as when the daemon's ownership has ended.
    pub fn clear(&mut self) {
        self.claims.clear();
        self.eviction_order.clear();
        self.answer_bytes = 0;
    }

    /// How many keys it holds.
    #[must_use]
    pub fn len(&self) -> usize {
        self.claims.len()
    }

    /// Whether it holds no key.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.claims.is_empty()
    }

    fn insert(&mut self, key: Key, claim: Claim) {
        self.answer_bytes += claim.answer_bytes();
        self.claims.insert(key, claim);
        self.eviction_order.push_back(key);
    }

    /// Forgets keys that are refused for their age anyway. They stand about in the order of their
    /// creation; one that is out of order stays until those before it go.
    fn evict_expired(&mut self, now: Wall) {
        let kept_for = self.bounds.retention + self.bounds.skew;
        while let Some(key) = self.eviction_order.front() {
            if now <= key.created().after(kept_for) {
                return;
            }
            let evicted = self.claims.remove(key);
            self.answer_bytes -= evicted.map_or(0, |evicted| evicted.answer_bytes());
            self.eviction_order.pop_front();
        }
    }
}

fn verdict_on_repeat(claim: &Claim, request: &Request, now: Wall) -> Verdict {
    let same_caller = claim.request.caller == request.caller;
    if !same_caller || claim.request.digest != request.digest {
        return Verdict::Final(Answer::KeyMismatch);
    }
    current_verdict(claim, now)
}

fn current_verdict(claim: &Claim, now: Wall) -> Verdict {
    match &claim.phase {
        Phase::Running if now > claim.due => Verdict::Final(Answer::Unknown(Unknown::OutcomeLost)),
        Phase::Running => Verdict::Final(Answer::Unknown(Unknown::InProgress)),
        Phase::Ended(Outcome::Answered(recorded)) => Verdict::Answered(recorded.clone()),
        Phase::Ended(Outcome::AnsweredLarge { status }) => {
            Verdict::AnsweredLarge { status: *status }
        }
        Phase::Ended(Outcome::Unknown(reason)) => Verdict::Final(Answer::Unknown(*reason)),
        Phase::Ended(Outcome::NotRun) => Verdict::Final(Answer::Unknown(Unknown::OutcomeLost)),
    }
}
