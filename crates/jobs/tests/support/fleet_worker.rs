//! The workers of the fleet with standing tasks, and the runs on them.

use std::collections::BTreeMap;

use sandshelf_jobs::{EndReport, RunKey, RunOutcome, StepSpec, TaskKey, WorkerListing};
use sandshelf_model::{Millis, ResourceSize};

/// How long a task takes from its start until it is at work.
pub const START_MS: Millis = 600;
/// How long the end of a run takes to arrive at the owner.
const ANSWER_MS: Millis = 25;

/// A run on a worker.
#[derive(Clone, Debug)]
pub struct FleetRun {
    pub spec: StepSpec,
    pub started: Millis,
    /// When it ends by itself.
    pub ends_at: Option<Millis>,
    /// When the order that was given ends it.
    pub stops_at: Option<Millis>,
}

impl FleetRun {
    pub fn is_at_work(&self, now: Millis) -> bool {
        self.spec.standing && now >= self.started + START_MS
    }

    pub fn percent(&self, now: Millis) -> u32 {
        if self.spec.standing {
            return if self.is_at_work(now) { 100 } else { 0 };
        }
        let worked = (now - self.started) * 100;
        (worked / self.spec.estimate_ms.max(1)).min(99) as u32
    }
}

/// A worker of the fleet.
#[derive(Clone, Debug)]
pub struct FleetWorker {
    pub entry: WorkerListing,
    pub runs: BTreeMap<RunKey, FleetRun>,
    pub lost: bool,
    /// Whether it leaves stop orders without an answer and does not carry them out.
    pub ignores_stops: bool,
    pub end_count: u64,
    /// The ends that the owner has not been told, each with the time from which on it may be.
    pub ends: Vec<(Millis, EndReport)>,
    /// When the renewal in flight was sent, and how long it may wait.
    pub renewal: Option<(Millis, Millis)>,
}

impl FleetWorker {
    /// Ends the runs that are over. Returns the standing tasks at work that an order ended.
    pub fn end_runs(&mut self, now: Millis) -> Vec<TaskKey> {
        let over = |run: &FleetRun| {
            run.ends_at.is_some_and(|at| now >= at) || run.stops_at.is_some_and(|at| now >= at)
        };
        let ended = self.runs.iter().filter(|(_, run)| over(run));
        let ended: Vec<RunKey> = ended.map(|(key, _)| *key).collect();
        let mut stopped = Vec::new();
        for key in ended {
            let run = self.runs.remove(&key).expect("a run");
            self.end_count += 1;
            if run.is_at_work(now) {
                stopped.push(key.task);
            }
            let end = EndReport {
                number: self.end_count,
                key,
                outcome: match run.ends_at.is_some_and(|at| now >= at) {
                    true => RunOutcome::Done,
                    false => RunOutcome::Stopped,
                },
                checkpoint: None,
            };
            self.ends.push((now + ANSWER_MS, end));
        }
        stopped
    }

    pub fn used(&self) -> ResourceSize {
        let rooms = self.runs.values().map(|run| run.spec.room());
        rooms.fold(ResourceSize::default(), |sum, room| {
            sum.plus(&room).expect("small sizes")
        })
    }
}
