//! Explores the interleavings, up to a depth, of two owners of one shard, two workers and a store that loses answers.
//!
//! The exploration starts in a state in which a task runs. Each step delivers one of the messages in flight, delivers it
//! and loses its answer, drops it, or lets time pass. After each step no task may run on two workers.

mod support;

use sandshelf_cases::cases;
use sandshelf_config::JobSpec;
use sandshelf_fakes::{FakeStore, FakeWorker};
use sandshelf_lease::{LeaseStage, LeaseTimes, ShardAction, ShardEvent, ShardNote, ShardOwner};
use sandshelf_model::{HostId, Millis, ResourceSize, ShardId, TeamId, WorkerId};
use sandshelf_place::WorkerEntry;
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use support::checker::InvariantChecker;
use support::jobs::{at_most_once_job, config_set, job};

/// Short durations, so that a few time steps exceed each of them.
const TIMES: LeaseTimes = LeaseTimes {
    shard_lease_ms: 1_000,
    task_lease_ms: 1_000,
    renewal_grace_ms: 1_000,
    drift_ms: 20,
    answer_timeout_ms: 300,
    order_interval_ms: 300,
    commit_interval_ms: 10,
    records_per_snapshot: 12,
    stagger_ms: 100,
};
/// The time steps that are tried, in milliseconds: just past the answer timeout, past a lease, and past the silence time,
/// which exceeds all other durations.
const TIME_STEPS: [Millis; 3] = [310, 1_150, 2_100];
/// The number of each owner's messages in flight, oldest first, that are tried as the next to be delivered.
const MAX_TRIED_MESSAGES: usize = 2;
/// The number of steps that CI explores.
const CI_DEPTH: usize = 6;

/// A message in flight.
#[derive(Clone)]
struct Message {
    /// The position of the owner that sent it.
    from: usize,
    action: ShardAction,
}

/// The state of owners, workers, store and messages; cloned for each choice.
#[derive(Clone)]
struct ExploredState {
    now: Millis,
    owners: Vec<ShardOwner>,
    store: FakeStore,
    workers: BTreeMap<WorkerId, FakeWorker>,
    messages: Vec<Message>,
    shard: ShardId,
}

/// One step of an exploration; messages are given by their position among those in flight.
#[derive(Clone, Copy, Debug)]
enum Choice {
    /// A message and the answer to it arrive.
    Deliver(usize),
    /// A message arrives; the answer to it is lost.
    DeliverLosingAnswer(usize),
    /// A message is lost.
    Drop(usize),
    /// This much time passes, in milliseconds; workers and owners notice it.
    Pass(Millis),
}

impl ExploredState {
    fn new(jobs: Vec<JobSpec>) -> Self {
        let shard = ShardId::from("shard-0");
        let names = ["worker-1", "worker-2"].map(WorkerId::from);
        let capacity = ResourceSize::new(1_000, 1_000, 0);
        let workers = names.iter().map(|name| {
            let worker = FakeWorker::new(name.clone(), capacity);
            (name.clone(), worker)
        });
        let owners = (0..2).map(|number| {
            let host = HostId::from(format!("host-{number}"));
            ShardOwner::new(shard.clone(), host, TIMES, number)
        });
        let mut state = Self {
            now: 1,
            owners: owners.collect(),
            store: FakeStore::default(),
            workers: workers.collect(),
            messages: Vec::new(),
            shard: shard.clone(),
        };
        let set = Arc::new(config_set(jobs));
        let present: Vec<WorkerEntry> = names
            .iter()
            .map(|name| WorkerEntry::plain(name.as_str(), capacity))
            .collect();
        for owner in 0..2 {
            let listed = ShardEvent::WorkersListed {
                present: present.clone(),
                leaving: BTreeSet::new(),
                gone: BTreeSet::new(),
            };
            state.feed(owner, listed);
            let quota = ShardEvent::QuotaSliceUpdated {
                team: TeamId::from("team"),
                slice: ResourceSize::new(1 << 30, 1 << 30, 0),
            };
            state.feed(owner, quota);
            let configured = ShardEvent::Configured {
                revision: 1,
                set: set.clone(),
                shards: Arc::new(vec![shard.clone()]),
            };
            state.feed(owner, configured);
        }
        state
    }

    fn feed(&mut self, owner: usize, event: ShardEvent) {
        let actions = self.owners[owner].handle(self.now, event);
        for action in actions {
            match action {
                ShardAction::Note(ShardNote::InvariantBroken(problem)) => panic!("{problem}"),
                ShardAction::Note(_) | ShardAction::ReadInbox { .. } => {}
                action => self.messages.push(Message {
                    from: owner,
                    action,
                }),
            }
        }
    }

    fn pass(&mut self, duration_ms: Millis) {
        self.now += duration_ms;
        let now = self.now;
        self.workers
            .values_mut()
            .for_each(|worker| worker.advance(now));
        for owner in 0..self.owners.len() {
            self.feed(owner, ShardEvent::Tick);
        }
    }

    /// Lets the receiver of a message handle it; returns the answer, none where the message has none.
    fn serve(&mut self, action: &ShardAction) -> Option<ShardEvent> {
        let ShardAction::SendOrders { worker, orders } = action else {
            return self.store.serve(&self.shard, action);
        };
        let worker_state = self.workers.get_mut(worker).expect("the worker is listed");
        let report = worker_state.handle(self.now, orders);
        Some(ShardEvent::WorkerAnswered {
            worker: worker.clone(),
            epoch: orders.epoch,
            number: orders.number,
            report: Some(report),
        })
    }

    fn apply(&mut self, choice: Choice) {
        match choice {
            Choice::Deliver(position) => {
                let message = self.messages.remove(position);
                if let Some(event) = self.serve(&message.action) {
                    self.feed(message.from, event);
                }
            }
            Choice::DeliverLosingAnswer(position) => {
                let message = self.messages.remove(position);
                self.serve(&message.action);
            }
            Choice::Drop(position) => {
                self.messages.remove(position);
            }
            Choice::Pass(duration_ms) => self.pass(duration_ms),
        }
    }

    fn choices(&self) -> Vec<Choice> {
        let mut choices: Vec<Choice> = TIME_STEPS.map(Choice::Pass).to_vec();
        for owner in 0..self.owners.len() {
            let sent = self.messages.iter().enumerate();
            let sent = sent.filter(|(_, message)| message.from == owner);
            let positions: Vec<usize> = sent.map(|(position, _)| position).collect();
            let tried = positions.iter().take(MAX_TRIED_MESSAGES);
            choices.extend(tried.map(|&position| Choice::Deliver(position)));
            if let Some(&first) = positions.first() {
                choices.push(Choice::DeliverLosingAnswer(first));
                choices.push(Choice::Drop(first));
            }
        }
        choices
    }

    fn check(&self, path: &[Choice]) {
        let mut checker = InvariantChecker::default();
        if let Err(problem) = checker.check(&self.workers) {
            panic!("{problem} after {path:?}");
        }
        InvariantChecker::check_attempts(self.workers.values())
            .unwrap_or_else(|problem| panic!("{problem} after {path:?}"));
    }

    /// Delivers all messages in order until the first owner holds the shard and the task runs.
    fn run_until_running(&mut self) {
        for _ in 0..200 {
            while !self.messages.is_empty() {
                self.apply(Choice::Deliver(0));
            }
            let running = self
                .workers
                .values()
                .any(|worker| worker.running().count() > 0);
            if running && *self.owners[0].stage() == LeaseStage::Holding {
                return;
            }
            self.pass(20);
            // Until the exploration begins, the second owner's messages are dropped, so that it doesn't claim the shard.
            self.messages.retain(|message| message.from == 0);
        }
        panic!("the task does not start");
    }
}

/// The state from which an exploration starts.
#[derive(Clone, Copy, Debug)]
enum Start {
    /// The first owner holds the shard and the task runs.
    Running,
    /// The second owner has just taken over; the first owner's last messages are still in flight.
    TakenOver,
    /// Like [`Start::TakenOver`], and the worker on which nothing runs has been fenced by the second owner.
    OneFenced,
}

impl ExploredState {
    /// Ticks the first owner no longer and keeps its messages in flight, until the second owner holds the shard.
    fn take_over(&mut self) {
        self.feed(0, ShardEvent::Tick);
        for _ in 0..400 {
            if *self.owners[1].stage() == LeaseStage::Holding {
                return;
            }
            self.now += 20;
            self.feed(1, ShardEvent::Tick);
            self.deliver_from(1, |_| true);
        }
        panic!("the second owner does not take over");
    }

    /// Lets the second owner fence the worker on which nothing runs, without reaching the other worker.
    fn fence_idle_worker(&mut self) {
        let idle = self
            .workers
            .iter()
            .find(|(_, worker)| worker.running().count() == 0);
        let idle = idle
            .map(|(name, _)| name.clone())
            .expect("one worker is idle");
        for _ in 0..20 {
            let fenced = self.owners[1]
                .session(&idle)
                .is_some_and(|session| session.fenced);
            if fenced {
                return;
            }
            self.now += 20;
            self.feed(1, ShardEvent::Tick);
            self.deliver_from(1, |action| match action {
                ShardAction::SendOrders { worker, .. } => *worker == idle,
                _ => true,
            });
        }
        panic!("the idle worker is not fenced");
    }

    /// Delivers those messages of an owner that satisfy `wanted`.
    fn deliver_from(&mut self, owner: usize, wanted: impl Fn(&ShardAction) -> bool) {
        while let Some(position) = self
            .messages
            .iter()
            .position(|message| message.from == owner && wanted(&message.action))
        {
            self.apply(Choice::Deliver(position));
        }
    }
}

/// Explores all choices up to a depth; returns the number of paths.
fn explore(state: &ExploredState, depth: usize, path: &mut Vec<Choice>) -> u64 {
    if depth == 0 {
        return 1;
    }
    let mut paths = 0;
    for choice in state.choices() {
        let mut next = state.clone();
        path.push(choice);
        next.apply(choice);
        next.check(path);
        paths += explore(&next, depth - 1, path);
        path.pop();
    }
    paths
}

/// Explores from `start`, up to the depth in `SANDSHELF_DEPTH`, or [`CI_DEPTH`] where that isn't set.
fn every_interleaving(start: Start, jobs: Vec<JobSpec>) {
    let text = std::env::var("SANDSHELF_DEPTH").ok();
    let depth = text.and_then(|text| text.parse().ok()).unwrap_or(CI_DEPTH);
    let mut state = ExploredState::new(jobs);
    state.run_until_running();
    match start {
        Start::Running => {}
        Start::TakenOver => state.take_over(),
        Start::OneFenced => {
            state.take_over();
            state.fence_idle_worker();
        }
    }
    let paths = explore(&state, depth, &mut Vec::new());
    println!("{paths} paths of {depth} steps explored");
    assert!(paths > 10_000);
}

cases! {
    repeatable_running => every_interleaving(Start::Running, vec![job("plain", 1, 60_000)]);
    repeatable_taken_over => every_interleaving(Start::TakenOver, vec![job("plain", 1, 60_000)]);
    repeatable_one_fenced => every_interleaving(Start::OneFenced, vec![job("plain", 1, 60_000)]);
    at_most_once_taken_over => every_interleaving(Start::TakenOver, vec![at_most_once_job("once", 1, 60_000)]);
    at_most_once_one_fenced => every_interleaving(Start::OneFenced, vec![at_most_once_job("once", 1, 60_000)]);
    short_task_that_ends => every_interleaving(Start::Running, vec![job("short", 1, 400)]);
}
