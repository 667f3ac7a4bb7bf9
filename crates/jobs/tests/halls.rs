//! Halls that operators evacuate: no task is started there, and running tasks continue.

mod support;

use std::collections::BTreeSet;

use sandshelf_jobs::{JobAction, JobEvent, JobNote, RunOutcome, StepSpec, WorkerListing};
use sandshelf_model::HallId;
use support::{end_report, job, listing, run_report, second_owner, step, SchedulerRig};

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

/// An owner with one worker in each of two halls.
fn owner() -> SchedulerRig {
    let mut rig = SchedulerRig::with_workers(&["w-1", "w-2"]);
    rig.list_entries(entries());
    rig
}

fn evacuate(rig: &mut SchedulerRig, halls: &[&str]) {
    let halls: BTreeSet<HallId> = halls.iter().map(|hall| HallId::from(*hall)).collect();
    rig.handle(JobEvent::HallsEvacuated(halls));
}

/// The workers on which tasks were started since the previous call.
fn start_workers(rig: &mut SchedulerRig) -> BTreeSet<String> {
    let starts = rig.take_starts().into_iter();
    starts.map(|(worker, _)| worker).collect()
}

/// Lets time pass while both workers report no runs.
fn pass_with_reports(rig: &mut SchedulerRig, millis: u64) {
    let until = rig.now + millis;
    while rig.now < until {
        rig.advance(100);
        rig.report("w-1", vec![], vec![]);
        rig.report("w-2", vec![], vec![]);
    }
}

fn only(name: &str) -> BTreeSet<String> {
    BTreeSet::from([name.to_owned()])
}

fn tasks_go_to_the_other_hall() {
    let mut rig = owner();
    evacuate(&mut rig, &["north"]);
    rig.hand_in(1, 0, job(vec![step(10)]));
    assert_eq!(start_workers(&mut rig), only("w-2"));
}

/// While all halls are evacuated jobs wait; they start as soon as one hall is returned to service.
fn jobs_wait_until_a_hall_is_returned() {
    let mut rig = owner();
    evacuate(&mut rig, &["north", "south"]);
    rig.hand_in(1, 0, job(vec![step(4)]));
    pass_with_reports(&mut rig, 3_000);
    assert!(rig.take_starts().is_empty());
    evacuate(&mut rig, &["north"]);
    // The next placement pass comes with the next tick.
    rig.advance(25);
    assert_eq!(start_workers(&mut rig), only("w-2"));
}

/// A running task continues. When its run fails, the task is started in another hall.
fn running_tasks_continue() {
    let mut rig = SchedulerRig::with_workers(&["w-1"]);
    rig.list_entries(vec![entry("w-1", "north")]);
    let standing_step = StepSpec {
        standing: true,
        ..step(1)
    };
    rig.hand_in(1, 0, job(vec![standing_step]));
    let (_, start) = rig.take_starts().pop().expect("a start");
    rig.list_entries(entries());
    rig.commit_all();
    rig.report("w-2", vec![], vec![]);
    evacuate(&mut rig, &["north"]);
    for _ in 0..30 {
        rig.advance(100);
        rig.report("w-1", vec![run_report(start.key)], vec![]);
        rig.report("w-2", vec![], vec![]);
    }
    assert_eq!(rig.stops(), Vec::new());
    assert!(!rig.deadlines_of("w-1").is_empty());
    rig.report(
        "w-1",
        vec![],
        vec![end_report(1, start.key, RunOutcome::Failed)],
    );
    assert_eq!(start_workers(&mut rig), only("w-2"));
}

/// A worker that joins an evacuated hall gets no tasks, nor does a worker that moves there under its name.
fn joining_workers_get_no_tasks() {
    let mut rig = owner();
    evacuate(&mut rig, &["west"]);
    rig.list_entries(vec![
        entry("w-1", "west"),
        entry("w-2", "south"),
        entry("w-3", "west"),
    ]);
    rig.report("w-3", vec![], vec![]);
    rig.hand_in(1, 0, job(vec![step(10)]));
    assert_eq!(start_workers(&mut rig), only("w-2"));
}

/// A new owner that learns of the evacuation before it takes over starts nothing there, whichever jobs it takes over.
fn a_successor_starts_nothing_in_an_evacuated_hall() {
    let mut rig = SchedulerRig::new(second_owner(&["w-1", "w-2"]));
    evacuate(&mut rig, &["north"]);
    rig.hand_in(1, 50, job(vec![step(6)]));
    rig.list_entries(entries());
    rig.report("w-1", vec![], vec![]);
    rig.report("w-2", vec![], vec![]);
    rig.advance(2_000);
    assert_eq!(start_workers(&mut rig), only("w-2"));
}

/// The evacuation and the return of a hall are logged, and the runs that continue there are counted.
fn evacuations_are_logged_and_counted() {
    let mut rig = owner();
    rig.hand_in(1, 0, job(vec![step(4)]));
    let evacuated_runs = rig.take_starts();
    let evacuated_runs = evacuated_runs
        .iter()
        .filter(|(worker, _)| worker == "w-1")
        .count();
    evacuate(&mut rig, &["north"]);
    let counts = rig.scheduler.counts(rig.now);
    assert_eq!(
        (counts.evacuated_halls, counts.evacuated_runs),
        (1, evacuated_runs)
    );
    assert_eq!(counts.open_workers, 1);
    rig.advance(500);
    evacuate(&mut rig, &[]);
    let logged = rig.actions.iter().filter_map(|action| match action {
        JobAction::Note(JobNote::HallEvacuated { hall, runs, .. }) => Some((hall.clone(), *runs)),
        JobAction::Note(JobNote::HallBack { hall, lasted_ms }) => {
            Some((hall.clone(), *lasted_ms as usize))
        }
        _ => None,
    });
    let north = || HallId::from("north");
    assert_eq!(
        logged.collect::<Vec<_>>(),
        [(north(), evacuated_runs), (north(), 500)]
    );
    assert_eq!(rig.scheduler.counts(rig.now).evacuated_halls, 0);
}

sandshelf_cases::cases! {
    other_hall => tasks_go_to_the_other_hall();
    all_halls => jobs_wait_until_a_hall_is_returned();
    running_tasks => running_tasks_continue();
    joining_workers => joining_workers_get_no_tasks();
    successor => a_successor_starts_nothing_in_an_evacuated_hall();
    logged => evacuations_are_logged_and_counted();
}
