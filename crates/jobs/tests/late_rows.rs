//! Rows of jobs that an owner reads long after its claim: what it acknowledged or gave up meanwhile must not start again.

mod support;

use sandshelf_jobs::{JobEvent, RunKey, RunOutcome};
use sandshelf_model::Millis;
use support::{
    end_report, job, renewal_report, run_report, second_owner, step, task, SchedulerRig,
};

/// How long runs of unknown jobs are remembered after a takeover.
const FOREIGN_RETENTION_MS: Millis = 15_000;

fn earlier_run() -> RunKey {
    RunKey {
        task: task(7, 0, 0),
        run: 11,
    }
}

/// Guards against a second start of a task whose end was acknowledged because its job's row was read too late.
fn an_end_of_an_unread_job_is_kept() {
    let mut rig = SchedulerRig::new(second_owner(&["w-1"]));
    rig.list(&["w-1", "w-2"]);
    rig.commit_all();
    while rig.now < 1_000 + FOREIGN_RETENTION_MS + 200 {
        rig.report("w-1", vec![run_report(earlier_run())], vec![]);
        rig.report("w-2", vec![], vec![]);
        rig.advance(100);
    }
    for _ in 0..5 {
        let end = end_report(1, earlier_run(), RunOutcome::Done);
        rig.report("w-1", vec![], vec![end]);
        rig.report("w-2", vec![], vec![]);
        rig.commit_all();
    }
    rig.handle(JobEvent::JobListed {
        number: earlier_run().task.job,
        version: 50,
        spec: Box::new(job(vec![step(1)])),
    });
    for _ in 0..10 {
        rig.report("w-1", vec![], vec![]);
        rig.report("w-2", vec![], vec![]);
        rig.advance(100);
    }
    let starts = rig.peek_starts();
    assert!(
        starts.is_empty(),
        "done on w-1 and started again: {starts:?}"
    );
}

/// Guards against a lease that ends too early where a worker restarts twice while a renewal without answer may be carried out.
fn a_late_renewal_after_two_restarts_is_waited_out() {
    const LATER_CLOCK: u64 = 2_000_000;
    let mut rig = SchedulerRig::new(sandshelf_jobs::TakeoverInfo::first(1, 1_000));
    rig.list(&["w-1"]);
    rig.answer_renewal("w-1", renewal_report(1, 4_000_000, vec![], vec![]));
    rig.commit_all();
    rig.actions.clear();
    let clock = 4_000_000 + rig.now;
    rig.answer_renewal("w-1", renewal_report(1, clock, vec![], vec![]));
    rig.advance(25);
    assert!(!rig.deadlines_of("w-1").is_empty());
    rig.fail_renewal("w-1");
    rig.advance(500);
    rig.answer_renewal("w-1", renewal_report(2, 100, vec![], vec![]));
    rig.advance(25);
    rig.advance(500);
    rig.answer_renewal(
        "w-1",
        renewal_report(3, LATER_CLOCK + rig.now, vec![], vec![]),
    );
    rig.hand_in(7, 0, job(vec![step(1)]));
    rig.advance(25);
    let (_, start) = rig.take_starts().pop().expect("a start");
    // The renewal that got no answer reaches the worker now, 1.1 s after it was given up.
    let leased_until = rig.now + 6_000;
    let running = vec![run_report(start.key)];
    rig.answer_renewal(
        "w-1",
        renewal_report(3, LATER_CLOCK + rig.now, running, vec![]),
    );
    rig.list(&["w-1", "w-2"]);
    rig.commit_all();
    rig.actions.clear();
    while rig.peek_starts().is_empty() {
        rig.advance(25);
        rig.fail_renewal("w-1");
        rig.report("w-2", vec![], vec![]);
        assert!(rig.now < leased_until + 6_000, "never started");
    }
    assert!(
        rig.now > leased_until,
        "started at {}, leased until {leased_until}",
        rig.now
    );
}

sandshelf_cases::cases! {
    end_of_unread_job => an_end_of_an_unread_job_is_kept();
    late_renewal_after_two_restarts => a_late_renewal_after_two_restarts_is_waited_out();
}
