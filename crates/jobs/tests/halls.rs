//! Halls that operators evacuate: nothing is started there, and what is at work stays.

mod support;

use std::collections::BTreeSet;

use sandshelf_jobs::{JobAction, JobEvent, JobNote, RunOutcome, StepSpec, WorkerListing};
use sandshelf_model::HallId;
use support::{ended, job, listing, runs, second_owner, step, SchedulerRig};

/// A worker in a hall.
fn entry(name: &str, hall: &str) -> WorkerListing {
    WorkerListing {
        hall: HallId::from(hall),
        ..listing(name)
    }
}

fn entries() -> Vec<WorkerListing> {
    vec![entry("w-1", "north"), entry("w-2", "south")]
}

/// An owner of a worker in each of two halls.
fn owner() -> SchedulerRig {
    let mut rig = SchedulerRig::with_workers(&["w-1", "w-2"]);
    rig.list_entries(entries());
    rig
}

fn evacuate(rig: &mut SchedulerRig, halls: &[&str]) {
    let halls: BTreeSet<HallId> = halls.iter().map(|hall| HallId::from(*hall)).collect();
    rig.tell(JobEvent::HallsEvacuated(halls));
}

/// The workers that tasks were started on since the last look.
fn places(rig: &mut SchedulerRig) -> BTreeSet<String> {
    let starts = rig.take_starts().into_iter();
    starts.map(|(worker, _)| worker).collect()
}

/// Time passes, and both workers say that nothing is at work.
fn pass_with_reports(rig: &mut SchedulerRig, millis: u64) {
    let until = rig.now + millis;
    while rig.now < until {
        rig.pass(100);
        rig.report("w-1", vec![], vec![]);
        rig.report("w-2", vec![], vec![]);
    }
}

fn only(name: &str) -> BTreeSet<String> {
    BTreeSet::from([name.to_owned()])
}

fn everything_goes_to_the_other_hall() {
    let mut rig = owner();
    evacuate(&mut rig, &["north"]);
    rig.hand_in(1, 0, job(vec![step(10)]));
    assert_eq!(places(&mut rig), only("w-2"));
}

/// Where all halls are evacuated jobs wait, and begin as soon as one is taken back.
fn jobs_wait_for_a_hall() {
    let mut rig = owner();
    evacuate(&mut rig, &["north", "south"]);
    rig.hand_in(1, 0, job(vec![step(4)]));
    pass_with_reports(&mut rig, 3_000);
    assert!(rig.take_starts().is_empty());
    evacuate(&mut rig, &["north"]);
    // The next pass over what waits comes with the next tick.
    rig.pass(25);
    assert_eq!(places(&mut rig), only("w-2"));
}

/// A task at work goes on; what ends there without being done goes on elsewhere.
fn what_is_at_work_stays() {
    let mut rig = SchedulerRig::with_workers(&["w-1"]);
    rig.list_entries(vec![entry("w-1", "north")]);
    let stands = StepSpec {
        standing: true,
        ..step(1)
    };
    rig.hand_in(1, 0, job(vec![stands]));
    let (_, start) = rig.take_starts().pop().expect("a start");
    rig.list_entries(entries());
    rig.report("w-2", vec![], vec![]);
    evacuate(&mut rig, &["north"]);
    for _ in 0..30 {
        rig.pass(100);
        rig.report("w-1", vec![runs(start.key)], vec![]);
        rig.report("w-2", vec![], vec![]);
    }
    assert_eq!(rig.stops(), Vec::new());
    assert!(!rig.deadlines_of("w-1").is_empty());
    rig.report("w-1", vec![], vec![ended(1, start.key, RunOutcome::Failed)]);
    assert_eq!(places(&mut rig), only("w-2"));
}

/// A worker that joins an evacuated hall gets nothing either, nor one that moves there under its name.
fn workers_that_come_get_nothing() {
    let mut rig = owner();
    evacuate(&mut rig, &["west"]);
    rig.list_entries(vec![
        entry("w-1", "west"),
        entry("w-2", "south"),
        entry("w-3", "west"),
    ]);
    rig.report("w-3", vec![], vec![]);
    rig.hand_in(1, 0, job(vec![step(10)]));
    assert_eq!(places(&mut rig), only("w-2"));
}

/// A new owner that is told before it begins starts nothing there, whatever it takes over.
fn a_successor_keeps_to_it() {
    let mut rig = SchedulerRig::new(second_owner(&["w-1", "w-2"]));
    evacuate(&mut rig, &["north"]);
    rig.hand_in(1, 50, job(vec![step(6)]));
    rig.list_entries(entries());
    rig.report("w-1", vec![], vec![]);
    rig.report("w-2", vec![], vec![]);
    rig.pass(2_000);
    assert_eq!(places(&mut rig), only("w-2"));
}

/// The log tells of both, and the figures of what still runs there.
fn operators_are_told() {
    let mut rig = owner();
    rig.hand_in(1, 0, job(vec![step(4)]));
    let there = rig.take_starts();
    let there = there.iter().filter(|(worker, _)| worker == "w-1").count();
    evacuate(&mut rig, &["north"]);
    let counts = rig.scheduler.counts(rig.now);
    assert_eq!((counts.evacuated_halls, counts.evacuated_runs), (1, there));
    assert_eq!(counts.open_workers, 1);
    rig.pass(500);
    evacuate(&mut rig, &[]);
    let told = rig.actions.iter().filter_map(|action| match action {
        JobAction::Note(JobNote::HallEvacuated { hall, runs, .. }) => Some((hall.clone(), *runs)),
        JobAction::Note(JobNote::HallBack { hall, lasted_ms }) => {
            Some((hall.clone(), *lasted_ms as usize))
        }
        _ => None,
    });
    let north = || HallId::from("north");
    assert_eq!(told.collect::<Vec<_>>(), [(north(), there), (north(), 500)]);
    assert_eq!(rig.scheduler.counts(rig.now).evacuated_halls, 0);
}

sandshelf_cases::cases! {
    other_hall => everything_goes_to_the_other_hall();
    all_halls => jobs_wait_for_a_hall();
    at_work => what_is_at_work_stays();
    joining_workers => workers_that_come_get_nothing();
    successor => a_successor_keeps_to_it();
    told => operators_are_told();
}
