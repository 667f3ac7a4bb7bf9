//! Silence records of an owner that has run for long.
//!
//! Guards against a record that ends before the lease: the store's clock runs a little faster than the owner's, and the oldest reading of
//! it, which shows the smallest lead, counted for good.

mod support;

use sandshelf_jobs::{JobEvent, SilentWorkers};
use sandshelf_model::{Millis, WorkerId};
use support::SchedulerRig;

/// How far the store's clock is ahead of the rig's at time 0.
const STORE_CLOCK_AHEAD_MS: Millis = 500_000;
/// How much faster the store's clock runs, as one part in this many.
const DRIFT_PARTS: Millis = 2_000;
/// How often the owner is told a reading.
const READING_INTERVAL_MS: Millis = 60_000;

/// What the store's clock shows at a time of the rig's.
fn store_clock(at: Millis) -> Millis {
    at + at / DRIFT_PARTS + STORE_CLOCK_AHEAD_MS
}

/// A worker falls silent after its owner has run for a while: its silence record does not end before its lease.
fn a_record_does_not_end_before_the_lease(uptime_ms: Millis) {
    let mut rig = SchedulerRig::with_workers(&["w-1", "w-2"]);
    rig.commit_all();
    let mut reading_at = 0;
    while rig.now < uptime_ms {
        if rig.now >= reading_at {
            reading_at = rig.now + READING_INTERVAL_MS;
            let at = rig.now;
            rig.handle(JobEvent::StoreClock {
                at,
                at_most_ms: store_clock(at),
            });
        }
        rig.actions.clear();
        rig.report("w-1", vec![], vec![]);
        rig.report("w-2", vec![], vec![]);
        rig.advance(100);
    }
    let leased_until = rig.deadlines_of("w-1").into_iter().max();
    let leased_until = leased_until.expect("a renewal that extends the lease");
    let mut silent = SilentWorkers::default();
    while silent.over_at.is_empty() {
        rig.advance(100);
        rig.report("w-2", vec![], vec![]);
        rig.fail_renewal("w-1");
        for batch in rig.commit_all() {
            batch.silent.apply_to(&mut silent);
        }
        assert!(rig.now < uptime_ms + 10_000, "no record is written");
    }
    let over_at = silent.over_at[&WorkerId::from("w-1")];
    assert!(
        over_at >= store_clock(leased_until),
        "the record ends {} ms before the lease",
        store_clock(leased_until) - over_at
    );
}

sandshelf_cases::cases! {
    silence_record_of_a_young_owner => a_record_does_not_end_before_the_lease(5_000);
    silence_record_after_clock_drift => a_record_does_not_end_before_the_lease(600_000);
}
