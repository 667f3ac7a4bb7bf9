//! What a successor doesn't wait for: workers that its predecessor has not published, and jobs that arrived after its claim.
//!
//! A successor waits for the workers of the durable roster and of the first list that it reads. While the store is out nothing is
//! published and entries lapse, so that a worker with leased runs can be in neither: its tasks were started elsewhere at once.

mod support;

use sandshelf_jobs::{
    JobEvent, RunKey, SchedulerLimits, StartCall, StepSpec, TakeoverInfo, WorkerListing,
    WorkerRoster,
};
use sandshelf_model::{Millis, ResourceSize};
use support::{job, listing, run_report, step, SchedulerRig};

/// How long after its last renewal nobody claims the shard, and how long after that the owner is sure of itself.
const OWNERSHIP_MS: Millis = 1_200;
const SURE_MARGIN_MS: Millis = 800;
/// How long a successor waits for a worker that never answers: a lease on a clock that is 2 % slow, and its margin.
const UNANSWERED_WAIT_MS: Millis = 4_081 + 1_000;

/// Why a worker is not in the durable roster.
#[derive(Clone, Copy)]
enum UnpublishedWorker {
    /// It has just come.
    New,
    /// It had fallen silent while lists omitted it, and came back.
    Forgotten,
    /// It was draining and empty, and takes tasks again.
    NoLongerDraining,
}

/// The first owner of the shard, and the roster that is durable.
struct FirstOwner {
    rig: SchedulerRig,
    roster: WorkerRoster,
}

impl FirstOwner {
    fn new(names: &[&str]) -> Self {
        let mut owner = Self {
            rig: SchedulerRig::with_limits(
                SchedulerLimits::default(),
                TakeoverInfo::first(1, 1_000),
            ),
            roster: WorkerRoster::default(),
        };
        owner.rig.defers_roster = true;
        owner.rig.list(names);
        for name in names {
            owner.rig.report(name, vec![], vec![]);
        }
        owner.write();
        owner
    }

    fn write(&mut self) {
        self.rig.advance(200);
        for batch in self.rig.commit_all() {
            batch.roster.apply_to(&mut self.roster);
        }
    }

    fn publishes(&self, name: &str) -> bool {
        let mut workers = self.roster.workers.iter();
        workers.any(|(worker, _)| worker.as_str() == name)
    }

    /// Brings the worker `w-1` up such that it answers and no write that names it has taken effect.
    fn add_worker(&mut self, unpublished: UnpublishedWorker) {
        let rig = &mut self.rig;
        match unpublished {
            UnpublishedWorker::New => {}
            UnpublishedWorker::Forgotten => {
                rig.list(&["w-2"]);
                for _ in 0..60 {
                    rig.advance(100);
                    rig.report("w-2", vec![], vec![]);
                    rig.fail_renewal("w-1");
                }
                self.write();
            }
            UnpublishedWorker::NoLongerDraining => {
                let draining = WorkerListing {
                    draining: true,
                    ..listing("w-1")
                };
                rig.list_entries(vec![draining, listing("w-2")]);
                self.write();
            }
        }
        assert!(!self.publishes("w-1"));
        self.rig.actions.clear();
        self.rig.list(&["w-1", "w-2"]);
        self.rig.report("w-2", vec![], vec![]);
        self.rig.report("w-1", vec![], vec![]);
    }

    /// The worker `w-1` reports a run that it was ordered to start. Returns the end of its lease.
    fn renew_lease(&mut self, start: &StartCall) -> Millis {
        self.rig.report("w-1", vec![run_report(start.key)], vec![]);
        self.rig.advance(200);
        let renewals = self.rig.deadlines_of("w-1");
        renewals.into_iter().fold(start.deadline, Millis::max)
    }
}

/// A task that only the empty worker `w-1` has room for.
fn large_step(count: u32) -> StepSpec {
    StepSpec {
        size: ResourceSize::new(16_000, 1_000, 0),
        ..step(count)
    }
}

/// The store is out from the moment at which a worker comes, and the owner dies. Its successor reads a roster and a list without it.
fn a_successor_waits_for_an_unpublished_worker(unpublished: UnpublishedWorker) {
    let names: &[&str] = match unpublished {
        UnpublishedWorker::New => &["w-2"],
        UnpublishedWorker::Forgotten | UnpublishedWorker::NoLongerDraining => &["w-1", "w-2"],
    };
    let mut owner = FirstOwner::new(names);
    owner.add_worker(unpublished);
    owner.rig.hand_in(7, 50, job(vec![large_step(2)]));
    owner.rig.advance(100);
    let starts = owner.rig.take_starts();
    let Some((_, start)) = starts.into_iter().find(|(name, _)| name == "w-1") else {
        return starts_once_published(owner);
    };
    let leased_until = owner.renew_lease(&start);
    let claimed_at = owner.rig.now + OWNERSHIP_MS;
    let mut rig = SchedulerRig::new(TakeoverInfo {
        epoch: 2,
        rules_since: 1,
        claimed_at,
        claim_version: 100,
        roster: owner.roster,
        ..TakeoverInfo::default()
    });
    rig.now = claimed_at;
    rig.hand_in(7, 50, job(vec![large_step(2)]));
    rig.list(&["w-2", "w-3"]);
    rig.report("w-2", vec![], vec![]);
    rig.report("w-3", vec![], vec![]);
    rig.advance(25);
    let again = rig.peek_starts().into_iter();
    let again: Vec<RunKey> = again.map(|(_, start)| start.key).collect();
    assert!(
        !again.iter().any(|run| run.task == start.key.task),
        "started again at {}, leased until {leased_until}",
        rig.now
    );
}

/// Once the worker is published it gets the task.
fn starts_once_published(mut owner: FirstOwner) {
    owner.write();
    assert!(owner.publishes("w-1"));
    owner.rig.report("w-1", vec![], vec![]);
    owner.rig.advance(100);
    let starts = owner.rig.take_starts();
    assert!(starts.iter().any(|(name, _)| name == "w-1"), "{starts:?}");
}

/// An owner that can't renew learns of a job that is newer than the claim of its successor, and starts it on a worker that the successor
/// doesn't reach.
fn a_job_newer_than_the_claim_runs_once() {
    let job_version = 200;
    let mut owner = FirstOwner::new(&["w-1"]);
    let renewed_at = owner.rig.now;
    let sure_until = renewed_at + OWNERSHIP_MS + SURE_MARGIN_MS;
    owner.rig.handle(JobEvent::SureUntil(sure_until));
    let claimed_at = renewed_at + OWNERSHIP_MS;
    while owner.rig.now < claimed_at + 100 {
        owner.rig.advance(25);
        owner.rig.report("w-1", vec![], vec![]);
    }
    owner.rig.actions.clear();
    owner.rig.hand_in(9, job_version, job(vec![step(1)]));
    owner.rig.advance(25);
    let Some((_, start)) = owner.rig.take_starts().pop() else {
        return;
    };
    let leased_until = owner.renew_lease(&start);
    let mut rig = SchedulerRig::new(TakeoverInfo {
        epoch: 2,
        rules_since: 1,
        claimed_at,
        claim_version: job_version - 1,
        roster: owner.roster,
        ..TakeoverInfo::default()
    });
    rig.now = claimed_at;
    rig.list(&["w-1", "w-2"]);
    rig.hand_in(9, job_version, job(vec![step(1)]));
    while rig.peek_starts().is_empty() {
        rig.advance(25);
        rig.fail_renewal("w-1");
        rig.report("w-2", vec![], vec![]);
        assert!(
            rig.now < claimed_at + 2 * UNANSWERED_WAIT_MS,
            "never started"
        );
    }
    assert!(
        rig.now > leased_until,
        "started at {}, claimed at {claimed_at}, leased until {leased_until}",
        rig.now
    );
}

sandshelf_cases::cases! {
    start_on_unpublished_worker => a_successor_waits_for_an_unpublished_worker(UnpublishedWorker::New);
    start_on_unpublished_returned_worker => a_successor_waits_for_an_unpublished_worker(UnpublishedWorker::Forgotten);
    start_on_unpublished_undrained_worker => a_successor_waits_for_an_unpublished_worker(UnpublishedWorker::NoLongerDraining);
    job_after_the_claim_on_unreached_worker => a_job_newer_than_the_claim_runs_once();
}
