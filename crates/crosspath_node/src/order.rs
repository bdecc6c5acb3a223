//! Sends one order to a worker and reports the result to the shard's scheduler.

use std::sync::Arc;
use std::time::Duration;

use crosspath_border::worker::{Error, Poll, Start, Started};
use crosspath_job::TaskId;
use crosspath_schedule::Event;
use crosspath_schedule::lease::Terms;
use tokio::sync::mpsc;

use crate::clock;
use crate::node::Node;
use crate::watch::Watch;

/// Time after the scheduler's decision within which a start must be sent; after that it is
/// abandoned.
const START_EXPIRY: Duration = Duration::from_millis(250);

/// An order that is about to be sent to a worker.
#[derive(Debug)]
pub(crate) struct Order {
    node: Arc<Node>,
    watch: Arc<Watch>,
    events: mpsc::UnboundedSender<Event>,
    terms: Terms,
    token: u64,
    decided_at: Duration,
}

impl Order {
    pub(crate) fn new(
        node: &Arc<Node>,
        watch: &Arc<Watch>,
        events: &mpsc::UnboundedSender<Event>,
        terms: Terms,
        token: u64,
    ) -> Self {
        Self {
            node: Arc::clone(node),
            watch: Arc::clone(watch),
            events: events.clone(),
            terms,
            token,
            decided_at: clock::now(),
        }
    }

    /// Sends a start, with a lease deadline computed just before. A start that is late, or that
    /// this daemon may no longer order, is not sent and is reported as [`Error::NotReached`].
    pub(crate) async fn start(self, mut start: Start) {
        let answer = self.try_start(&mut start).await;
        let worker = Arc::clone(&self.watch.target.id);
        let (task, run) = (start.task, start.run);
        self.events.send(Event::StartAnswered { worker, task, run, answer }).ok();
    }

    async fn try_start(&self, start: &mut Start) -> Result<Started, Error> {
        let permit = self.watch.start_slots.acquire().await;
        let Ok(_permit) = permit else { return Err(Error::NotReached) };
        let now = clock::now();
        // The start is not sent if it is too late, or if another daemon may by now be the owner or
        // the data centre be evacuated.
        let is_late = now > self.decided_at + START_EXPIRY;
        if is_late || !self.node.may_act(now) || !self.node.may_start(now) {
            return Err(Error::NotReached);
        }
        start.deadline_ms = self.watch.deadline_ms(now, self.terms.initial);
        let answer = self.node.runner.start(&self.watch.target, start).await?;
        if let Some(clock_ms) = answer.clock_ms {
            self.watch.update_clock(clock_ms);
        }
        Ok(answer.value)
    }

    pub(crate) async fn stop(self, task: TaskId, run: u64) {
        let answer = self.node.runner.stop(&self.watch.target, task, run, self.token).await;
        let worker = Arc::clone(&self.watch.target.id);
        let answer = answer.map(|timestamped| timestamped.value);
        self.events.send(Event::StopAnswered { worker, task, run, answer }).ok();
    }

    /// Polls the worker once, without extending its leases.
    pub(crate) async fn poll(self) {
        let sent = clock::now();
        let acknowledged = self.watch.acknowledged();
        let wait = Duration::ZERO;
        let poll = Poll { token: self.token, acknowledged, deadline_ms: None, wait };
        let worker = Arc::clone(&self.watch.target.id);
        match self.node.runner.poll(&self.watch.target, &poll).await {
            Ok(reply) => {
                self.watch.update_clock(reply.clock_ms);
                self.events.send(Event::Polled { worker, sent, extended: false, reply }).ok();
            }
            // The worker's regular polls detect whether it is silent.
            Err(error) => log::info!("event=look_failed worker={worker} error=\"{error}\""),
        }
    }

    /// Limits a run to `percent` of its speed. A failure is only logged.
    pub(crate) async fn throttle(self, task: TaskId, run: u64, percent: u32) {
        let target = &self.watch.target;
        let answer = self.node.runner.throttle(target, task, run, percent, self.token).await;
        if let Err(error) = answer {
            let worker = &target.id;
            log::info!("event=pace_failed task={task} run={run} worker={worker} error=\"{error}\"");
        }
    }
}
