//! Crash notes that are withdrawn because the worker answers after all.
//!
//! Guards against a sound task that is held back for ever. A task with two crash notes waits until
//! the second one is durable. While the store was out, both workers answered again and both notes
//! were withdrawn: nothing was left to be written, and the task waited for a write that never came.
//! Where one note was left, it waited until the store was back.

mod support;

use sandshelf_jobs::{JobAction, JobEvent, RunKey, StepSpec, WorkerCall};
use sandshelf_model::{Millis, WorkerId};
use support::{job, step, SchedulerRig};

/// Longer than any lease.
const LEASE_IS_OVER_MS: Millis = 8_000;
/// How long a task that nothing holds back may take to start.
const SOON_MS: Millis = 3_000;

/// An owner with some workers and a standing task.
struct CutOffFleet {
    rig: SchedulerRig,
    /// Whether the store accepts writes.
    store_up: bool,
    /// The worker that doesn't answer.
    cut_off: Vec<String>,
}

impl CutOffFleet {
    fn new(workers: &[&str]) -> Self {
        let mut rig = SchedulerRig::with_workers(workers);
        rig.commit_all();
        let standing = StepSpec {
            standing: true,
            ..step(1)
        };
        rig.hand_in(1, 1, job(vec![standing]));
        Self {
            rig,
            store_up: true,
            cut_off: Vec::new(),
        }
    }

    /// Advances until the task is started, at most for a time; returns its worker and run.
    fn next_start(&mut self, within: Millis) -> Option<(String, RunKey)> {
        let until = self.rig.now + within;
        while self.rig.now < until {
            self.rig.advance(25);
            self.answer_writes();
            self.answer_renewals();
            if let Some((worker, start)) = self.rig.take_starts().pop() {
                return Some((worker, start.key));
            }
        }
        None
    }

    fn answer_writes(&mut self) {
        if !self.store_up {
            return;
        }
        if let Some(batch) = self.rig.take_commit() {
            self.rig.handle(JobEvent::Committed(batch.id));
        }
    }

    /// Workers that are not cut off answer their renewals and list no run; others don't answer.
    fn answer_renewals(&mut self) {
        let renewals = self.rig.actions.iter().filter_map(|action| match action {
            JobAction::Call {
                worker,
                call: WorkerCall::Renew(_),
                ..
            } => Some(worker.clone()),
            _ => None,
        });
        let renewed: Vec<WorkerId> = renewals.collect();
        for worker in renewed {
            if self.cut_off.iter().any(|name| name == worker.as_str()) {
                self.rig.fail_renewal(worker.as_str());
                continue;
            }
            self.rig.actions.retain(|action| {
                !matches!(action, JobAction::Call { worker: called, call: WorkerCall::Renew(_), .. } if *called == worker)
            });
            self.rig.report(worker.as_str(), Vec::new(), Vec::new());
        }
    }

    /// The task is started, and its worker is cut off right after that.
    fn cut_off_after_start(&mut self) {
        let start = self.next_start(LEASE_IS_OVER_MS);
        let (worker, _) = start.expect("the task is started");
        self.cut_off.push(worker);
    }
}

/// Two workers are cut off, each right after the start of the task, and their leases run out. While
/// the store is out, both answer again.
fn both_notes_are_withdrawn_while_the_store_is_out() {
    let mut fleet = CutOffFleet::new(&["w-1", "w-2"]);
    fleet.cut_off_after_start();
    fleet.cut_off_after_start();
    fleet.store_up = false;
    assert_eq!(
        fleet.next_start(LEASE_IS_OVER_MS),
        None,
        "no worker is left"
    );
    fleet.cut_off.clear();
    let during = fleet.next_start(SOON_MS);
    fleet.store_up = true;
    let started = during.or_else(|| fleet.next_start(SOON_MS));
    assert!(started.is_some(), "the task is held back");
}

/// Two workers are cut off, each right after the start of the task, the second one while the store
/// is out. The first one answers again, and a third one has been sound throughout.
fn one_note_is_withdrawn_while_the_store_is_out() {
    let mut fleet = CutOffFleet::new(&["w-1", "w-2", "w-3"]);
    fleet.cut_off_after_start();
    fleet.cut_off_after_start();
    fleet.store_up = false;
    let held = fleet.next_start(LEASE_IS_OVER_MS);
    assert_eq!(held, None, "the second note is not durable");
    fleet.cut_off.remove(0);
    let started = fleet.next_start(SOON_MS);
    assert!(started.is_some(), "the task is held back");
}

sandshelf_cases::cases! {
    one_withdrawn_while_the_store_is_out => one_note_is_withdrawn_while_the_store_is_out();
    both_withdrawn_while_the_store_is_out => both_notes_are_withdrawn_while_the_store_is_out();
}
