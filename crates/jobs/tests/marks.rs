//! What is written of leases and of silent workers, and who may rely on it.
//!
//! A reviewer brought two runs of a task about on three ways: by a first roster that named no lease at all, by a reading of the
//! store's clock that was taken in late and kept for good, and by a worker that lists omitted for a moment while its mark
//! could still be read.

mod support;

use sandshelf_jobs::{
    JobEvent, RunKey, SchedulerLimits, SilentWorkers, StepSpec, TakeoverInfo, WorkerRoster,
};
use sandshelf_model::{Millis, ResourceSize, WorkerId};
use support::{job, listing, run_report, step, task, SchedulerRig};

/// What the store's clock is ahead of the rig's.
const STORE_AHEAD_MS: u64 = 500_000;

/// Limits of a deployment whose workers grant leases of 10 s.
fn long_leases() -> SchedulerLimits {
    SchedulerLimits {
        max_lease_ms: 10_000,
        ..SchedulerLimits::default()
    }
}

fn standing(count: u32) -> StepSpec {
    StepSpec {
        standing: true,
        ..step(count)
    }
}

/// What is durable after a rig's writes.
#[derive(Default)]
struct DurableRows {
    roster: WorkerRoster,
    silent: SilentWorkers,
}

impl DurableRows {
    /// Of an owner that marked its one worker: that one's lease is over at a time of the store's clock.
    fn marked(over_at: u64) -> Self {
        Self {
            roster: WorkerRoster {
                epoch: 1,
                workers: vec![(id("w-1"), listing("w-1").address)],
                lease_ms: Some(4_000),
                ..WorkerRoster::default()
            },
            silent: SilentWorkers {
                epoch: 1,
                over_at: [(id("w-1"), over_at)].into(),
                ..SilentWorkers::default()
            },
        }
    }

    fn write(&mut self, rig: &mut SchedulerRig) {
        for batch in rig.commit_all() {
            self.roster = batch.roster.unwrap_or(std::mem::take(&mut self.roster));
            self.silent = batch.silent.unwrap_or(std::mem::take(&mut self.silent));
        }
    }
}

fn show_clock(rig: &mut SchedulerRig, at: Millis) {
    rig.handle(JobEvent::StoreClock {
        at,
        at_most_ms: at + STORE_AHEAD_MS,
    });
}

fn id(name: &str) -> WorkerId {
    WorkerId::from(name)
}

/// The very first owner, with two workers.
fn first_owner() -> SchedulerRig {
    let mut rig = SchedulerRig::with_limits(long_leases(), TakeoverInfo::first(1, 1_000));
    rig.list(&["w-1", "w-2"]);
    let now = rig.now;
    show_clock(&mut rig, now);
    rig.report("w-1", vec![], vec![]);
    rig.report("w-2", vec![], vec![]);
    rig
}

/// The owner after that of epoch 1, which finds rows; its jobs are one that stands, with a task for each worker.
fn owner_after(claimed_at: Millis, rules_since: u64, rows: DurableRows) -> SchedulerRig {
    let mut rig = SchedulerRig::with_limits(
        long_leases(),
        TakeoverInfo {
            epoch: 2,
            claimed_at,
            claim_version: 100,
            rules_since,
            roster: rows.roster,
            silent: rows.silent,
            store_ms: claimed_at + STORE_AHEAD_MS,
            ..TakeoverInfo::default()
        },
    );
    rig.now = claimed_at;
    rig.hand_in(7, 50, job(vec![standing(2)]));
    rig.list(&["w-1", "w-2"]);
    rig
}

/// When such an owner starts what nobody reports, with one worker that answers and one that does not.
fn starts_after(rig: &mut SchedulerRig) -> Millis {
    let claimed_at = rig.now;
    while rig.peek_starts().is_empty() {
        rig.report("w-2", vec![], vec![]);
        rig.fail_renewal("w-1");
        rig.advance(25);
        assert!(rig.now < claimed_at + 20_000, "nothing starts");
    }
    rig.now - claimed_at
}

/// The first roster that is written names the leases that the owner grants.
fn the_first_roster_names_the_leases() {
    let mut rig = first_owner();
    let first = rig
        .take_commit()
        .expect("a write")
        .roster
        .expect("a roster");
    assert_eq!((first.epoch, first.lease_ms), (1, Some(4_000)));
}

/// A reading of the store's clock counts for the moment at which it came, however late it is taken in.
fn a_late_reading_counts_for_its_time() {
    let mut early = first_owner();
    let mut late = SchedulerRig::with_limits(long_leases(), TakeoverInfo::first(1, 1_000));
    late.list(&["w-1", "w-2"]);
    late.report("w-1", vec![], vec![]);
    late.report("w-2", vec![], vec![]);
    late.advance(300);
    show_clock(&mut late, 1_000);
    early.advance(300);
    let over_at = |rig: &mut SchedulerRig| {
        for _ in 0..30 {
            rig.advance(100);
            rig.report("w-2", vec![], vec![]);
            rig.fail_renewal("w-1");
        }
        let marks = rig
            .commit_all()
            .into_iter()
            .filter_map(|batch| batch.silent);
        marks.last().expect("marks").over_at[&id("w-1")]
    };
    assert_eq!(over_at(&mut late), over_at(&mut early));
}

/// A worker that lists omit while it is marked is forgotten; when it is listed again nothing prolongs its lease before the
/// mark is gone for certain.
fn a_mark_outlives_what_is_known_of_its_worker() {
    let mut rig = first_owner();
    let mut rows = DurableRows::default();
    rows.write(&mut rig);
    for _ in 0..60 {
        rig.advance(100);
        rig.report("w-2", vec![], vec![]);
        rig.fail_renewal("w-1");
        rows.write(&mut rig);
    }
    assert!(rows.silent.over_at.contains_key(&id("w-1")));
    rig.hand_in(50, 0, job(vec![step(1)]));
    rig.take_starts();
    rig.advance(100);
    let under_way = rig.take_commit().expect("a write under way");
    rig.list(&["w-2"]);
    rig.advance(50);
    rig.list(&["w-1", "w-2"]);
    rig.actions.clear();
    // Half of them have room on the other worker.
    let large = StepSpec {
        size: ResourceSize::new(7_000, 1_000, 0),
        ..standing(4)
    };
    rig.hand_in(7, 0, job(vec![large]));
    for _ in 0..10 {
        rig.report("w-1", vec![], vec![]);
        rig.advance(25);
    }
    let on_marked = |rig: &SchedulerRig| {
        let starts = rig.peek_starts();
        starts.iter().any(|(worker, _)| worker == "w-1")
    };
    assert!(
        !on_marked(&rig),
        "a successor would read that the lease is over"
    );
    rig.handle(JobEvent::Committed(under_way.id));
    rows.write(&mut rig);
    assert!(!rows.silent.over_at.contains_key(&id("w-1")));
    rig.report("w-1", vec![], vec![]);
    rig.advance(100);
    assert!(on_marked(&rig), "the mark is gone");
}

/// An owner of an earlier version came between: it neither heeded marks nor granted short leases, whatever the rows say.
fn rows_before_another_version_say_nothing() {
    let rows = DurableRows::marked(STORE_AHEAD_MS);
    let mut rig = owner_after(9_000, 0, rows);
    let waited = starts_after(&mut rig);
    assert!(waited >= 11_000, "{waited} ms; leases of 10 s may last");
}

/// The leases of an earlier version outlast the first answers of its successor, which goes on naming them.
fn longer_leases_are_named_until_they_are_over() {
    let mut rig = owner_after(9_000, 0, DurableRows::default());
    let key = RunKey {
        task: task(7, 0, 0),
        run: 11,
    };
    rig.report("w-1", vec![run_report(key)], vec![]);
    rig.report("w-2", vec![], vec![]);
    let mut rows = DurableRows::default();
    rows.write(&mut rig);
    assert_eq!(rows.roster.lease_ms, Some(10_000));
    for _ in 0..120 {
        rig.advance(100);
        rig.report("w-1", vec![run_report(key)], vec![]);
        rig.report("w-2", vec![], vec![]);
        rows.write(&mut rig);
    }
    assert_eq!(rows.roster.lease_ms, Some(4_000));
}

/// A worker that never answered its new owner is marked with the time at which the earlier owner's lease is over, not before.
fn an_unanswered_workers_mark_names_the_inherited_lease() {
    let rows = DurableRows {
        roster: WorkerRoster {
            epoch: 1,
            workers: vec![(id("w-1"), listing("w-1").address)],
            lease_ms: Some(4_000),
            ..WorkerRoster::default()
        },
        ..DurableRows::default()
    };
    let mut rig = owner_after(9_000, 1, rows);
    show_clock(&mut rig, 9_000);
    let mut written = DurableRows::default();
    for _ in 0..10 {
        rig.advance(100);
        rig.report("w-2", vec![], vec![]);
        rig.fail_renewal("w-1");
        written.write(&mut rig);
    }
    let over_at = written.silent.over_at[&id("w-1")] - STORE_AHEAD_MS;
    assert!((14_000..14_200).contains(&over_at), "{over_at}");
    let waited = starts_after(&mut rig);
    assert!(waited >= 3_000, "{waited} ms");
}

/// An inherited mark forbids this owner, too, to prolong the lease or to start anything there.
fn an_inherited_mark_is_heeded() {
    let rows = DurableRows::marked(STORE_AHEAD_MS + 9_500);
    let mut rig = owner_after(9_000, 1, rows);
    rig.commit_all();
    rig.actions.clear();
    rig.report("w-2", vec![], vec![]);
    rig.report("w-1", vec![], vec![]);
    assert!(rig.peek_starts().iter().all(|(worker, _)| worker == "w-2"));
    assert!(rig.deadlines_of("w-1").is_empty());
    rig.commit_all();
    rig.report("w-1", vec![], vec![]);
    rig.advance(100);
    assert!(!rig.deadlines_of("w-1").is_empty(), "the mark is gone");
}

/// Of two readings of the store's clock the one that says less counts: the other came late.
fn the_least_reading_counts() {
    let over_at = |second: u64| {
        let mut rig = first_owner();
        let at = rig.now;
        rig.handle(JobEvent::StoreClock {
            at,
            at_most_ms: at + STORE_AHEAD_MS + second,
        });
        for _ in 0..30 {
            rig.advance(100);
            rig.report("w-2", vec![], vec![]);
            rig.fail_renewal("w-1");
        }
        let marks = rig
            .commit_all()
            .into_iter()
            .filter_map(|batch| batch.silent);
        marks.last().expect("marks").over_at[&id("w-1")]
    };
    assert_eq!(over_at(400), over_at(0));
}

/// A worker that was marked answers its new owner once and falls silent again: what it reported is under the earlier lease, and
/// starts nowhere else before that is over.
fn a_first_report_is_under_the_inherited_lease() {
    let rows = DurableRows::marked(STORE_AHEAD_MS + 12_000);
    let mut rig = owner_after(9_000, 1, rows);
    let key = RunKey {
        task: task(7, 0, 0),
        run: 11,
    };
    rig.report("w-1", vec![run_report(key)], vec![]);
    let again = |rig: &SchedulerRig| {
        let starts = rig.peek_starts();
        starts.iter().any(|(_, start)| start.key.task == key.task)
    };
    while rig.now < 12_900 {
        rig.report("w-2", vec![], vec![]);
        rig.fail_renewal("w-1");
        rig.advance(25);
        assert!(!again(&rig), "started again at {}", rig.now);
    }
    while rig.now < 13_500 {
        rig.report("w-2", vec![], vec![]);
        rig.fail_renewal("w-1");
        rig.advance(25);
    }
    assert!(again(&rig));
}

/// One hold that gets lost marks nobody; two on end do, and as long as the mark stands the worker is asked without a wait, so that
/// its lease is prolonged in time.
fn one_lost_hold_marks_nobody() {
    let mut rig = first_owner();
    rig.commit_all();
    rig.fail_renewal("w-1");
    rig.advance(200);
    assert!(rig.commit_all().iter().all(|batch| batch.silent.is_none()));
    rig.advance(100);
    rig.fail_renewal("w-1");
    let marks = rig
        .commit_all()
        .into_iter()
        .filter_map(|batch| batch.silent);
    assert_eq!(marks.last().expect("marks").over_at.len(), 1);
    rig.actions.clear();
    rig.report("w-1", vec![], vec![]);
    rig.advance(75);
    assert_eq!(rig.renewal_waits("w-1"), [0]);
}

sandshelf_cases::cases! {
    least_reading => the_least_reading_counts();
    first_report => a_first_report_is_under_the_inherited_lease();
    one_lost_hold => one_lost_hold_marks_nobody();
    first_roster => the_first_roster_names_the_leases();
    late_reading => a_late_reading_counts_for_its_time();
    unlisted_mark => a_mark_outlives_what_is_known_of_its_worker();
    other_version => rows_before_another_version_say_nothing();
    named_until_over => longer_leases_are_named_until_they_are_over();
    unanswered_mark => an_unanswered_workers_mark_names_the_inherited_lease();
    inherited_mark => an_inherited_mark_is_heeded();
}
