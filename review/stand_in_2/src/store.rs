//! The platform's log store: partitions with fenced appends, the newest record of each key, and the
//! group whose members own the partitions of one topic.

use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddr;
use std::sync::{Arc, Condvar, Mutex, MutexGuard, PoisonError};
use std::thread;
use std::time::{Duration, Instant};

use base64::Engine as _;
use base64::engine::general_purpose::STANDARD;
use serde_json::{Value, json};

use crate::http::{self, Call, Reply};

/// Partitions of a topic (`platform.parts`).
pub const PARTS: usize = 24;
/// Largest record (`platform.record_bytes`).
const RECORD_BYTES: usize = 262_144;
/// Largest append (`platform.call_bytes`).
const CALL_BYTES: usize = 2_097_152;
/// Size over which a partition drops its oldest records (`platform.part_mb`).
const PART_BYTES: usize = 200_000_000;
/// Time that an answer takes.
const LATENCY: Duration = Duration::from_millis(4);
/// Most items and bytes of a page of the newest records.
const PAGE_ITEMS: usize = 500;
const PAGE_BYTES: usize = 1_000_000;
/// Number of a producer's last appends whose answers are kept.
const KEPT_ANSWERS: usize = 5;

#[derive(Debug, Default)]
struct Partition {
    records: VecDeque<Arc<[u8]>>,
    /// Offset of the first record that is kept.
    first: u64,
    /// Size of the records that are kept.
    bytes: usize,
    newest: BTreeMap<String, (Vec<u8>, u64)>,
    epoch: u64,
    answers: VecDeque<(u64, (u64, u64))>,
}

impl Partition {
    fn end(&self) -> u64 {
        self.first + self.records.len() as u64
    }

    fn add(&mut self, record: &[u8]) {
        let offset = self.end();
        let key_end = 1 + record.first().map_or(0, |length| usize::from(*length));
        let key = String::from_utf8_lossy(record.get(1..key_end).unwrap_or_default()).into_owned();
        let value = record.get(key_end..).unwrap_or_default();
        if value.is_empty() {
            self.newest.remove(&key);
        } else {
            self.newest.insert(key, (value.to_vec(), offset));
        }
        self.records.push_back(record.into());
        self.bytes += record.len();
        while self.bytes > PART_BYTES
            && let Some(oldest) = self.records.pop_front()
        {
            self.bytes -= oldest.len();
            self.first += 1;
        }
    }
}

#[derive(Debug)]
struct Member {
    heard: Instant,
    ttl: Duration,
}

/// Group that deals partitions to its members evenly. A partition moves once its holder has joined
/// with the newest generation, has left, or was silent for its time.
#[derive(Debug)]
struct Group {
    members: BTreeMap<String, Member>,
    generation: u64,
    holders: Vec<Option<String>>,
}

impl Group {
    fn expire(&mut self, now: Instant) {
        let silent = self.members.iter().filter(|(_, member)| now > member.heard + member.ttl);
        for name in silent.map(|(name, _)| name.clone()).collect::<Vec<_>>() {
            self.leave(&name);
        }
    }

    fn leave(&mut self, name: &str) {
        if self.members.remove(name).is_some() {
            self.generation += 1;
        }
        for holder in self.holders.iter_mut().filter(|holder| holder.as_deref() == Some(name)) {
            *holder = None;
        }
    }

    fn join(&mut self, now: Instant, name: &str, ttl: Duration, known: u64) -> Vec<usize> {
        self.expire(now);
        if self.members.insert(name.to_owned(), Member { heard: now, ttl }).is_none() {
            self.generation += 1;
        }
        let names: Vec<_> = self.members.keys().cloned().collect();
        let mut own = Vec::new();
        for (number, holder) in self.holders.iter_mut().enumerate() {
            let target = &names[number % names.len()];
            if holder.as_deref() == Some(name) && target != name && known >= self.generation {
                *holder = None;
            }
            let holder = holder.get_or_insert_with(|| target.clone());
            if holder == name && target == name {
                own.push(number);
            }
        }
        own
    }
}

#[derive(Debug)]
struct State {
    partitions: BTreeMap<(String, u64), Partition>,
    group: Group,
    /// Whether every call is answered with 503 and has no effect.
    busy: bool,
    /// Gate whose calls are answered so.
    turned_away: Option<usize>,
    /// Appends that were refused because a record or the whole call is too large.
    too_large: u64,
}

/// The store. Clones share it.
#[derive(Debug, Clone)]
pub struct Store {
    shared: Arc<(Mutex<State>, Condvar)>,
}

impl Store {
    pub fn start() -> Self {
        let group = Group { members: BTreeMap::new(), generation: 0, holders: vec![None; PARTS] };
        let partitions = BTreeMap::new();
        let state = State { partitions, group, busy: false, turned_away: None, too_large: 0 };
        Self { shared: Arc::new((Mutex::new(state), Condvar::new())) }
    }

    /// Serves one daemon at an address of its own, the gate.
    pub fn open_gate(&self, gate: usize) -> SocketAddr {
        let serving = self.clone();
        http::serve(Arc::new(move |call| Some(serving.handle(gate, &call))))
    }

    /// Turns the calls through one gate away with 503, or those of none.
    pub fn turn_away(&self, gate: Option<usize>) {
        self.lock().turned_away = gate;
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.shared.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Begins or ends an outage in which every call is answered with 503. The members' times wait
    /// meanwhile.
    pub fn set_busy(&self, busy: bool) {
        let mut state = self.lock();
        state.busy = busy;
        let now = Instant::now();
        state.group.members.values_mut().for_each(|member| member.heard = now);
    }

    pub fn too_large(&self) -> u64 {
        self.lock().too_large
    }

    /// Writes a record as operators and workers do.
    pub fn write(&self, topic: &str, key: &str, value: &[u8]) {
        let mut record = vec![u8::try_from(key.len()).expect("keys are short")];
        record.extend_from_slice(key.as_bytes());
        record.extend_from_slice(value);
        self.lock().partitions.entry((topic.to_owned(), 0)).or_default().add(&record);
        self.shared.1.notify_all();
    }

    fn handle(&self, gate: usize, call: &Call) -> Reply {
        thread::sleep(LATENCY);
        if self.refuses(gate) {
            return Reply::empty(503);
        }
        match (call.method.as_str(), call.path.as_str()) {
            ("POST", "/crosspath/log-append") => self.append(call),
            ("GET", "/crosspath/log-read") => self.read(gate, call),
            ("GET", "/crosspath/log-newest") => self.newest(call),
            ("POST", "/crosspath/log-join") => self.join(call),
            ("POST", "/crosspath/log-leave") => {
                let body: Value = serde_json::from_slice(&call.body).unwrap_or_default();
                self.lock().group.leave(body["member"].as_str().unwrap_or_default());
                Reply::json(200, &json!({}))
            }
            ("GET", "/crosspath/log-owners") => {
                let mut state = self.lock();
                state.group.expire(Instant::now());
                let rows = state.group.holders.iter().enumerate();
                let rows = rows.filter_map(|(number, holder)| {
                    Some(json!(["keyed.crosspath.shards", number, holder.as_ref()?, 0]))
                });
                Reply::json(200, &json!({ "owners": rows.collect::<Vec<_>>() }))
            }
            _ => Reply::empty(404),
        }
    }

    fn refuses(&self, gate: usize) -> bool {
        let state = self.lock();
        state.busy || state.turned_away == Some(gate)
    }

    fn append(&self, call: &Call) -> Reply {
        let mut records = Vec::new();
        let mut rest = call.body.as_slice();
        while let Some((length, following)) = rest.split_first_chunk::<4>() {
            let length = u32::from_be_bytes(*length) as usize;
            let Some((record, following)) = following.split_at_checked(length) else {
                return Reply::empty(400);
            };
            records.push(record);
            rest = following;
        }
        let mut state = self.lock();
        if call.body.len() > CALL_BYTES || records.iter().any(|record| record.len() > RECORD_BYTES)
        {
            state.too_large += 1;
            return Reply::empty(400);
        }
        let topic = call.parameter("topic").unwrap_or_default().to_owned();
        if topic == "keyed.servers" {
            return Reply::empty(403);
        }
        let id = (topic, call.number("part").unwrap_or(0));
        let partition = state.partitions.entry(id).or_default();
        if call.number("at").is_some_and(|at| at != partition.end()) {
            return Reply::json(412, &json!({ "end": partition.end() }));
        }
        let owner = call.number("epoch").zip(call.number("call_seq"));
        if let Some((epoch, sequence)) = owner {
            if epoch < partition.epoch {
                let body = json!({ "reason": "fenced", "epoch": partition.epoch });
                return Reply::json(409, &body);
            }
            if epoch > partition.epoch {
                partition.epoch = epoch;
                partition.answers.clear();
            } else {
                let known = partition.answers.iter().find(|(known, _)| *known == sequence);
                if let Some((_, (offset, end))) = known {
                    return Reply::json(200, &json!({ "offset": offset, "end": end }));
                }
                let wanted = partition.answers.back().map_or(0, |(last, _)| last + 1);
                if sequence != wanted {
                    return Reply::json(409, &json!({ "reason": "seq", "call_seq": wanted }));
                }
            }
        }
        let offset = partition.end();
        records.iter().for_each(|record| partition.add(record));
        let end = partition.end();
        if let Some((_, sequence)) = owner {
            partition.answers.push_back((sequence, (offset, end)));
            if partition.answers.len() > KEPT_ANSWERS {
                partition.answers.pop_front();
            }
        }
        drop(state);
        self.shared.1.notify_all();
        Reply::json(200, &json!({ "offset": offset, "end": end }))
    }

    fn read(&self, gate: usize, call: &Call) -> Reply {
        let wait = Duration::from_millis(call.number("wait_ms").unwrap_or(0).min(30_000));
        let deadline = Instant::now() + wait;
        let from = call.number("from").unwrap_or(0);
        let most = usize::try_from(call.number("max_kb").unwrap_or(1_024) * 1_024).unwrap_or(0);
        let id = (
            call.parameter("topic").unwrap_or_default().to_owned(),
            call.number("part").unwrap_or(0),
        );
        let mut state = self.lock();
        loop {
            let now = Instant::now();
            let partition = state.partitions.entry(id.clone()).or_default();
            if from < partition.first {
                return Reply::json(410, &json!({ "first": partition.first }));
            }
            if partition.end() > from || now >= deadline {
                let mut bytes = partition.end().to_be_bytes().to_vec();
                bytes.extend_from_slice(&partition.first.to_be_bytes());
                let start = usize::try_from(from - partition.first).unwrap_or(usize::MAX);
                for record in partition.records.iter().skip(start) {
                    if bytes.len() > 16 && bytes.len() + record.len() > most {
                        break;
                    }
                    let length = u32::try_from(record.len()).expect("records are short");
                    bytes.extend_from_slice(&length.to_be_bytes());
                    bytes.extend_from_slice(record);
                }
                return Reply { status: 200, body: bytes };
            }
            let waited = self.shared.1.wait_timeout(state, deadline - now);
            state = waited.unwrap_or_else(PoisonError::into_inner).0;
            // A read that waits ends once its daemon is turned away.
            if state.turned_away == Some(gate) {
                return Reply::empty(503);
            }
        }
    }

    fn newest(&self, call: &Call) -> Reply {
        let after = call.parameter("after");
        let topic = call.parameter("topic").unwrap_or_default().to_owned();
        let mut state = self.lock();
        let partition =
            state.partitions.entry((topic, call.number("part").unwrap_or(0))).or_default();
        let (mut items, mut bytes, mut more) = (Vec::new(), 0, false);
        for (key, (value, offset)) in &partition.newest {
            if after.is_some_and(|after| key.as_str() <= after) {
                continue;
            }
            let full = items.len() >= PAGE_ITEMS || bytes + value.len() > PAGE_BYTES;
            if full && !items.is_empty() {
                more = true;
                break;
            }
            bytes += value.len();
            let value = STANDARD.encode(value);
            items.push(json!({ "private_key": key, "value": value, "offset": offset }));
        }
        Reply::json(200, &json!({ "items": items, "more": more, "end": partition.end() }))
    }

    fn join(&self, call: &Call) -> Reply {
        let body: Value = serde_json::from_slice(&call.body).unwrap_or_default();
        let member = body["member"].as_str().unwrap_or_default();
        let ttl = Duration::from_millis(body["ttl_ms"].as_u64().unwrap_or(0));
        let known = body["generation"].as_u64().unwrap_or(0);
        let mut state = self.lock();
        let own = state.group.join(Instant::now(), member, ttl, known);
        let parts = own.into_iter().map(|number| json!(["keyed.crosspath.shards", number, 0]));
        let parts: Vec<_> = parts.collect();
        Reply::json(200, &json!({ "generation": state.group.generation, "parts": parts }))
    }
}
