//! Explores every interleaving, to a depth, of two owners, one shard, two workers and a store that loses answers.
//!
//! From a state in which one owner runs a task, each step delivers one of the messages on their way, delivers it and loses
//! its answer, or lets time pass. After each step no task may run in two places.

mod support;

use sandshelf_cases::cases;
use sandshelf_config::JobSpec;
use sandshelf_fakes::{FakeStore, FakeWorker};
use sandshelf_lease::{LeaseStage, LeaseTimes, ShardAction, ShardEvent, ShardNote, ShardOwner};
use sandshelf_model::{HostId, Millis, ResourceSize, ShardId, TeamId, WorkerId};
use sandshelf_place::WorkerEntry;
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use support::jobs::{job, once, set_of};
use support::truth::RunTruth;

/// Short durations, so that a few steps of time reach past every one of them.
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
/// The steps of time that are tried: within an answer's time, past a lease, past everything.
const TIME_STEPS: [Millis; 3] = [310, 1_150, 2_100];
/// How many of each owner's messages on their way are tried next.
const TRIED_MESSAGES: usize = 2;
/// How deep CI explores.
const CI_DEPTH: usize = 6;

#[derive(Clone)]
struct Message {
    from: usize,
    action: ShardAction,
}

/// The whole state; cloned for each choice.
#[derive(Clone)]
struct State {
    now: Millis,
    owners: Vec<ShardOwner>,
    store: FakeStore,
    workers: BTreeMap<WorkerId, FakeWorker>,
    messages: Vec<Message>,
    shard: ShardId,
}

#[derive(Clone, Copy, Debug)]
enum Choice {
    Deliver(usize),
    DeliverLosingAnswer(usize),
    Drop(usize),
    Pass(Millis),
}

impl State {
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
        let set = Arc::new(set_of(jobs));
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

    fn pass(&mut self, length: Millis) {
        self.now += length;
        let now = self.now;
        self.workers
            .values_mut()
            .for_each(|worker| worker.advance(now));
        for owner in 0..self.owners.len() {
            self.feed(owner, ShardEvent::Tick);
        }
    }

    /// What becomes of a message at the other end.
    fn serve(&mut self, action: &ShardAction) -> Option<ShardEvent> {
        let ShardAction::SendOrders { worker, orders } = action else {
            return self.store.serve(&self.shard, action);
        };
        let there = self.workers.get_mut(worker).expect("a listed worker");
        let report = there.handle(self.now, orders);
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
            Choice::Pass(length) => self.pass(length),
        }
    }

    fn choices(&self) -> Vec<Choice> {
        let mut choices: Vec<Choice> = TIME_STEPS.map(Choice::Pass).to_vec();
        for owner in 0..self.owners.len() {
            let sent = self.messages.iter().enumerate();
            let sent = sent.filter(|(_, message)| message.from == owner);
            let positions: Vec<usize> = sent.map(|(position, _)| position).collect();
            let tried = positions.iter().take(TRIED_MESSAGES);
            choices.extend(tried.map(|&position| Choice::Deliver(position)));
            if let Some(&first) = positions.first() {
                choices.push(Choice::DeliverLosingAnswer(first));
                choices.push(Choice::Drop(first));
            }
        }
        choices
    }

    fn check(&self, path: &[Choice]) {
        let mut truth = RunTruth::default();
        if let Err(problem) = truth.check(&self.workers) {
            panic!("{problem} after {path:?}");
        }
        RunTruth::check_attempts(self.workers.values())
            .unwrap_or_else(|problem| panic!("{problem} after {path:?}"));
    }

    /// Delivers everything in order until the first owner runs the task.
    fn settle(&mut self) {
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
            // The other owner only watches until the exploration begins.
            self.messages.retain(|message| message.from == 0);
        }
        panic!("the task does not start");
    }
}

/// Where an exploration begins.
#[derive(Clone, Copy, Debug)]
enum Start {
    /// The first owner runs the task.
    Running,
    /// The second owner has just taken over; the first one's last messages are still on their way.
    TakenOver,
    /// As before, and one worker that the second owner reached is fenced.
    OneFenced,
}

impl State {
    /// Keeps the first owner silent, its messages on their way, until the second holds the shard.
    fn take_over(&mut self) {
        self.feed(0, ShardEvent::Tick);
        for _ in 0..400 {
            if *self.owners[1].stage() == LeaseStage::Holding {
                return;
            }
            self.now += 20;
            self.feed(1, ShardEvent::Tick);
            self.deliver_of(1, |_| true);
        }
        panic!("the second owner does not take over");
    }

    /// Lets the second owner reach the worker on which nothing runs.
    fn fence_idle_worker(&mut self) {
        let idle = self
            .workers
            .iter()
            .find(|(_, worker)| worker.running().count() == 0);
        let idle = idle.map(|(name, _)| name.clone()).expect("one is idle");
        for _ in 0..20 {
            let fenced = self.owners[1]
                .session(&idle)
                .is_some_and(|session| session.fenced);
            if fenced {
                return;
            }
            self.now += 20;
            self.feed(1, ShardEvent::Tick);
            self.deliver_of(1, |action| match action {
                ShardAction::SendOrders { worker, .. } => *worker == idle,
                _ => true,
            });
        }
        panic!("the idle worker is not fenced");
    }

    fn deliver_of(&mut self, owner: usize, wanted: impl Fn(&ShardAction) -> bool) {
        while let Some(position) = self
            .messages
            .iter()
            .position(|message| message.from == owner && wanted(&message.action))
        {
            self.apply(Choice::Deliver(position));
        }
    }
}

fn explore(state: &State, depth: usize, path: &mut Vec<Choice>) -> u64 {
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

/// Explores from the state in which the task runs; `SANDSHELF_DEPTH` goes deeper than CI.
fn every_interleaving(start: Start, jobs: Vec<JobSpec>) {
    let wish = std::env::var("SANDSHELF_DEPTH").ok();
    let depth = wish.and_then(|text| text.parse().ok()).unwrap_or(CI_DEPTH);
    let mut state = State::new(jobs);
    state.settle();
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
    once_taken_over => every_interleaving(Start::TakenOver, vec![once("once", 1, 60_000)]);
    once_one_fenced => every_interleaving(Start::OneFenced, vec![once("once", 1, 60_000)]);
    short_task_that_ends => every_interleaving(Start::Running, vec![job("short", 1, 400)]);
}
