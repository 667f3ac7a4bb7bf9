//! Repetitions of a timed job that overlap, over a change of owner.
//!
//! Guards against a repetition that is lost. Its only task is still at work, so that nothing of it is stored, while a later repetition has
//! already ended and is stored. Its owner is stopped as planned, or killed. The next owner stops the task as superseded, never starts it
//! again, and shows the job as running for good.

mod support;

use sandshelf_jobs::{
    JobNumber, JobSpec, JobStage, ProgressRow, RepeatRule, RunKey, RunOutcome, TakeoverInfo,
    TaskKey,
};
use sandshelf_model::Millis;
use support::{end_report, job, run_report, second_owner, step, SchedulerRig, WALL_START_MS};

const JOB: u64 = 7;
const REPETITIONS: u32 = 4;
const INTERVAL_MS: Millis = 1_000;
const WORKER: &str = "w-1";

/// A job of four repetitions, the first of which is due when the first owner begins.
fn timed_job() -> JobSpec {
    JobSpec {
        repeat: Some(RepeatRule {
            count: REPETITIONS,
            first_due_ms: WALL_START_MS + 1_000,
            interval_ms: INTERVAL_MS,
        }),
        ..job(vec![step(1)])
    }
}

fn task(time: u32) -> TaskKey {
    TaskKey {
        time,
        ..support::task(JOB, 0, 0)
    }
}

/// An owner of the job whose only worker never ends a run by itself.
struct JobOwner {
    rig: SchedulerRig,
    running: Vec<RunKey>,
    ends: u64,
    row: ProgressRow,
}

impl JobOwner {
    fn first() -> Self {
        let mut rig = SchedulerRig::with_workers(&[WORKER]);
        rig.hand_in(JOB, 0, timed_job());
        Self {
            rig,
            running: Vec::new(),
            ends: 0,
            row: ProgressRow::default(),
        }
    }

    /// The next owner, which the worker tells of the runs that it still has.
    fn succeeded_by_next(self, running: Vec<RunKey>) -> Self {
        let epoch = self.rig.scheduler.epoch() + 1;
        let info = TakeoverInfo {
            epoch,
            rules_since: 1,
            claimed_at: self.rig.now,
            progress: [(JobNumber(JOB), self.row.clone())].into(),
            ..second_owner(&[WORKER])
        };
        let mut rig = SchedulerRig::new(info);
        rig.now = self.rig.now;
        rig.hand_in(JOB, 0, timed_job());
        rig.list(&[WORKER]);
        let mut next = Self {
            rig,
            running,
            ..self
        };
        next.advance(200);
        next
    }

    /// Advances the clock, with the worker's reports and durable writes.
    fn advance(&mut self, millis: Millis) {
        let until = self.rig.now + millis;
        while self.rig.now < until {
            self.report(vec![]);
            self.rig.advance(25);
            let starts = self.rig.take_starts();
            self.running
                .extend(starts.iter().map(|(_, start)| start.key));
            for batch in self.rig.commit_all() {
                let rows = batch.progress.into_iter();
                self.row = rows.last().map_or(self.row.clone(), |(_, row)| row);
            }
        }
    }

    /// Ends the run of a repetition as done.
    fn end(&mut self, time: u32) {
        let runs = self.running.iter();
        let place = runs.map(|run| run.task.time).position(|at| at == time);
        let run = self.running.remove(place.expect("it is running"));
        self.ends += 1;
        self.report(vec![end_report(self.ends, run, RunOutcome::Done)]);
        self.advance(100);
    }

    fn report(&mut self, ended: Vec<sandshelf_jobs::EndReport>) {
        let running = self.running.iter().map(|run| run_report(*run)).collect();
        self.rig.report(WORKER, running, ended);
    }

    fn is_running(&self, time: u32) -> bool {
        self.running.iter().any(|run| run.task == task(time))
    }
}

/// Plays the first owner until a repetition has ended, with all before it still at work.
fn owner_with_open_repetitions(ended: u32) -> JobOwner {
    let mut owner = JobOwner::first();
    owner.advance(u64::from(ended) * INTERVAL_MS + 500);
    assert!((0..=ended).all(|time| owner.is_running(time)));
    owner.end(ended);
    owner
}

/// Lets all repetitions of a job end once they run; the job is completed.
fn completes(mut owner: JobOwner) {
    owner.advance(u64::from(REPETITIONS) * INTERVAL_MS);
    while let Some(run) = owner.running.first() {
        owner.end(run.task.time);
    }
    assert_eq!(owner.row.stage, JobStage::Completed);
}

/// The runs of open repetitions go on under the next owner.
fn runs_of_open_repetitions_go_on(ended: u32) {
    let owner = owner_with_open_repetitions(ended);
    let running = owner.running.clone();
    let next = owner.succeeded_by_next(running);
    assert_eq!(next.rig.stops(), []);
    completes(next);
}

/// Open repetitions whose runs no worker has any more are started again.
fn open_repetitions_start_again(ended: u32) {
    let owner = owner_with_open_repetitions(ended);
    let next = owner.succeeded_by_next(vec![]);
    assert!((0..ended).all(|time| next.is_running(time)));
    completes(next);
}

/// Two owners in a row end before anything of the open repetition is stored.
fn a_run_goes_on_under_the_owner_after_next() {
    let owner = owner_with_open_repetitions(1);
    let running = owner.running.clone();
    let next = owner.succeeded_by_next(running.clone());
    let after_next = next.succeeded_by_next(running);
    assert_eq!(after_next.rig.stops(), []);
    completes(after_next);
}

sandshelf_cases::cases! {
    open_repetitions_at_work => runs_of_open_repetitions_go_on(2);
    open_repetitions_lost => open_repetitions_start_again(2);
    open_repetition_after_two_owners => a_run_goes_on_under_the_owner_after_next();
}
