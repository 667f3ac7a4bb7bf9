//! What is stored about leases and silent workers, and who may rely on it.
//!
//! Guards against two runs of one task, which came about in three ways: a first roster that stated
//! no length of leases, a reading of the store's clock that was handled late and kept for good, and
//! a worker that lists omitted for a moment while its silence record could still be read.

mod support;

use sandshelf_jobs::{
    JobEvent, RunKey, SchedulerLimits, SilentWorkers, StepSpec, TakeoverInfo, WorkerRoster,
};
use sandshelf_model::{Millis, ResourceSize, WorkerId};
use support::{job, listing, run_report, step, task, SchedulerRig};

/// How far the store's clock is ahead of the rig's.
const STORE_CLOCK_AHEAD_MS: u64 = 500_000;

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

/// The rows that are durable after a rig's writes.
#[derive(Default)]
struct DurableRows {
    roster: WorkerRoster,
    silent: SilentWorkers,
}

impl DurableRows {
    /// Rows of an owner that recorded the silence of its only worker, whose lease ends at `over_at`
    /// on the store's clock.
    fn with_silence_record(over_at: u64) -> Self {
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
            batch.roster.apply_to(&mut self.roster);
            batch.silent.apply_to(&mut self.silent);
        }
    }
}

/// Makes everything durable that the owner wants to write, and returns the silence records in it.
fn written_records(rig: &mut SchedulerRig) -> SilentWorkers {
    let mut records = SilentWorkers::default();
    for batch in rig.commit_all() {
        batch.silent.apply_to(&mut records);
    }
    records
}

fn report_store_clock(rig: &mut SchedulerRig, at: Millis) {
    rig.handle(JobEvent::StoreClock {
        at,
        at_most_ms: at + STORE_CLOCK_AHEAD_MS,
    });
}

fn id(name: &str) -> WorkerId {
    WorkerId::from(name)
}

/// The first owner of the shard, with two workers.
fn first_owner() -> SchedulerRig {
    let mut rig = SchedulerRig::with_limits(long_leases(), TakeoverInfo::first(1, 1_000));
    rig.list(&["w-1", "w-2"]);
    let now = rig.now;
    report_store_clock(&mut rig, now);
    rig.report("w-1", vec![], vec![]);
    rig.report("w-2", vec![], vec![]);
    rig
}

/// The owner of epoch 2, which finds `rows`, with one standing job that has a task for each worker.
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
            store_ms: claimed_at + STORE_CLOCK_AHEAD_MS,
            ..TakeoverInfo::default()
        },
    );
    rig.now = claimed_at;
    rig.hand_in(7, 50, job(vec![standing(2)]));
    rig.list(&["w-1", "w-2"]);
    rig
}

/// How long such an owner waits before it starts a task that nobody reports, while `w-2` answers
/// and `w-1` does not.
fn wait_before_start(rig: &mut SchedulerRig) -> Millis {
    let claimed_at = rig.now;
    while rig.peek_starts().is_empty() {
        rig.report("w-2", vec![], vec![]);
        rig.fail_renewal("w-1");
        rig.advance(25);
        assert!(rig.now < claimed_at + 20_000, "nothing starts");
    }
    rig.now - claimed_at
}

/// The first roster that is written states the length of the owner's leases.
fn the_first_roster_states_the_lease_length() {
    let mut rig = first_owner();
    let first = rig.take_commit().expect("a write").roster;
    let first = first.head.expect("the head of a roster");
    assert_eq!((first.epoch, first.lease_ms), (1, Some(4_000)));
}

/// A reading of the store's clock counts for the moment at which it arrived, however late it is
/// handled.
fn a_late_reading_counts_for_its_arrival() {
    let mut early = first_owner();
    let mut late = SchedulerRig::with_limits(long_leases(), TakeoverInfo::first(1, 1_000));
    late.list(&["w-1", "w-2"]);
    late.report("w-1", vec![], vec![]);
    late.report("w-2", vec![], vec![]);
    late.advance(300);
    report_store_clock(&mut late, 1_000);
    early.advance(300);
    let over_at = |rig: &mut SchedulerRig| {
        for _ in 0..30 {
            rig.advance(100);
            rig.report("w-2", vec![], vec![]);
            rig.fail_renewal("w-1");
        }
        written_records(rig).over_at[&id("w-1")]
    };
    assert_eq!(over_at(&mut late), over_at(&mut early));
}

/// A worker with a silence record that lists omit is forgotten. When it is listed again its lease
/// is not renewed before the record is certainly gone.
fn a_silence_record_outlives_the_workers_entry() {
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
    let in_flight = rig.take_commit().expect("a write in flight");
    rig.list(&["w-2"]);
    rig.advance(50);
    rig.list(&["w-1", "w-2"]);
    rig.actions.clear();
    // Half of these tasks fit on the other worker.
    let large = StepSpec {
        size: ResourceSize::new(7_000, 1_000, 0),
        ..standing(4)
    };
    rig.hand_in(7, 0, job(vec![large]));
    for _ in 0..10 {
        rig.report("w-1", vec![], vec![]);
        rig.advance(25);
    }
    let starts_on_recorded = |rig: &SchedulerRig| {
        let starts = rig.peek_starts();
        starts.iter().any(|(worker, _)| worker == "w-1")
    };
    assert!(
        !starts_on_recorded(&rig),
        "a successor would read that the lease is over"
    );
    rig.handle(JobEvent::Committed(in_flight.id));
    rows.write(&mut rig);
    assert!(!rows.silent.over_at.contains_key(&id("w-1")));
    rig.report("w-1", vec![], vec![]);
    rig.advance(100);
    assert!(starts_on_recorded(&rig), "the record is gone");
}

/// An owner of an earlier version ran in between: it neither respected silence records nor granted
/// short leases, whatever the rows say.
fn rows_from_before_another_version_are_ignored() {
    let rows = DurableRows::with_silence_record(STORE_CLOCK_AHEAD_MS);
    let mut rig = owner_after(9_000, 0, rows);
    let waited = wait_before_start(&mut rig);
    assert!(waited >= 11_000, "{waited} ms; leases of 10 s may last");
}

/// The leases of an earlier version's owner outlast the workers' first answers to its successor,
/// which keeps publishing their length until they are over.
fn longer_leases_are_published_until_they_are_over() {
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

/// A worker that never answered the new owner gets a silence record with the end of the earlier
/// owner's lease, not an earlier time.
fn a_workers_silence_record_covers_the_inherited_lease() {
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
    report_store_clock(&mut rig, 9_000);
    let mut written = DurableRows::default();
    for _ in 0..10 {
        rig.advance(100);
        rig.report("w-2", vec![], vec![]);
        rig.fail_renewal("w-1");
        written.write(&mut rig);
    }
    let over_at = written.silent.over_at[&id("w-1")] - STORE_CLOCK_AHEAD_MS;
    assert!((14_000..14_200).contains(&over_at), "{over_at}");
    let waited = wait_before_start(&mut rig);
    assert!(waited >= 3_000, "{waited} ms");
}

/// An inherited silence record forbids the new owner as well to renew the worker's lease or to
/// start anything there.
fn an_inherited_silence_record_is_respected() {
    let rows = DurableRows::with_silence_record(STORE_CLOCK_AHEAD_MS + 9_500);
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
    assert!(!rig.deadlines_of("w-1").is_empty(), "the record is gone");
}

/// Of two readings of the store's clock the smaller one counts: the other one was delayed.
fn the_smallest_reading_counts() {
    let over_at = |second: u64| {
        let mut rig = first_owner();
        let at = rig.now;
        rig.handle(JobEvent::StoreClock {
            at,
            at_most_ms: at + STORE_CLOCK_AHEAD_MS + second,
        });
        for _ in 0..30 {
            rig.advance(100);
            rig.report("w-2", vec![], vec![]);
            rig.fail_renewal("w-1");
        }
        written_records(&mut rig).over_at[&id("w-1")]
    };
    assert_eq!(over_at(400), over_at(0));
}

/// A worker with a silence record answers the new owner once and falls silent again. The run that
/// it reported is under the earlier lease and starts nowhere else before that lease is over.
fn a_first_report_is_under_the_inherited_lease() {
    let rows = DurableRows::with_silence_record(STORE_CLOCK_AHEAD_MS + 12_000);
    let mut rig = owner_after(9_000, 1, rows);
    rig.commit_all();
    let key = RunKey {
        task: task(7, 0, 0),
        run: 11,
    };
    rig.report("w-1", vec![run_report(key)], vec![]);
    let restarted = |rig: &SchedulerRig| {
        let starts = rig.peek_starts();
        starts.iter().any(|(_, start)| start.key.task == key.task)
    };
    while rig.now < 12_900 {
        rig.report("w-2", vec![], vec![]);
        rig.fail_renewal("w-1");
        rig.advance(25);
        assert!(!restarted(&rig), "started again at {}", rig.now);
    }
    while rig.now < 13_500 {
        rig.report("w-2", vec![], vec![]);
        rig.fail_renewal("w-1");
        rig.advance(25);
    }
    assert!(restarted(&rig));
}

/// One lost renewal causes no silence record; two in a row do. While the record exists the worker
/// is polled without a wait, so that its lease is renewed in time.
fn one_lost_renewal_causes_no_silence_record() {
    let mut rig = first_owner();
    rig.commit_all();
    rig.fail_renewal("w-1");
    rig.advance(200);
    assert!(rig.commit_all().iter().all(|batch| batch.silent.is_empty()));
    rig.advance(100);
    rig.fail_renewal("w-1");
    assert_eq!(written_records(&mut rig).over_at.len(), 1);
    rig.actions.clear();
    rig.report("w-1", vec![], vec![]);
    rig.advance(75);
    assert_eq!(rig.renewal_waits("w-1"), [0]);
}

sandshelf_cases::cases! {
    smallest_reading => the_smallest_reading_counts();
    first_report => a_first_report_is_under_the_inherited_lease();
    one_lost_renewal => one_lost_renewal_causes_no_silence_record();
    first_roster => the_first_roster_states_the_lease_length();
    late_reading => a_late_reading_counts_for_its_arrival();
    unlisted_silence_record => a_silence_record_outlives_the_workers_entry();
    owner_of_another_version => rows_from_before_another_version_are_ignored();
    published_until_over => longer_leases_are_published_until_they_are_over();
    silence_record_of_inherited_lease => a_workers_silence_record_covers_the_inherited_lease();
    inherited_silence_record => an_inherited_silence_record_is_respected();
}
