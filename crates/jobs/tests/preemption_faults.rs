//! Preemption beside gangs, held standing tasks, tasks that take part of a room, and draining workers.

mod support;

use sandshelf_jobs::{
    JobAction, JobEvent, JobNote, JobNumber, JobSpec, RunKey, RunOutcome, RunReport, StepSpec,
    StopCause, TakeoverInfo,
};
use sandshelf_model::{LoadPolicy, Millis, ResourceSize};
use support::standing_fleet::{
    limits, short_job, standing_job, FleetSetup, StandingFleet, STANDING_COUNT,
};
use support::{end_report, job, run_report, step, SchedulerRig};

/// How long after its order a stop has timed out at the latest.
const STOP_OVER_MS: Millis = 1_600;

fn at_work(key: RunKey) -> RunReport {
    RunReport {
        percent: 100,
        ..run_report(key)
    }
}

fn preempted(rig: &SchedulerRig) -> Vec<RunKey> {
    let stopped = rig.actions.iter().filter_map(|action| match action {
        JobAction::Note(JobNote::Stopped {
            key,
            cause: StopCause::Preempted,
            ..
        }) => Some(*key),
        _ => None,
    });
    stopped.collect()
}

fn started_keys(rig: &mut SchedulerRig) -> Vec<RunKey> {
    let starts = rig.take_starts().into_iter();
    starts.map(|(_, start)| start.key).collect()
}

fn one_worker(fair_order: bool) -> SchedulerRig {
    let mut limits = limits(true);
    if fair_order {
        limits.policies = limits.policies.with(LoadPolicy::FairOrder);
    }
    let mut rig = SchedulerRig::with_limits(limits, TakeoverInfo::first(1, 1_000));
    rig.list(&["w-1"]);
    rig.report("w-1", vec![], vec![]);
    rig
}

fn low_job(spec: StepSpec) -> JobSpec {
    let mut low = job(vec![spec]);
    low.rules.priority = 2;
    low.rules.stretch = 20.0;
    low
}

/// Guards against the stop of one member of a standing gang, which ends all its members and so more than the step may miss.
fn a_standing_gang_is_left_alone(gang: bool, stops: usize) {
    let mut rig = one_worker(false);
    let standing = StepSpec {
        size: ResourceSize::new(5_000, 1_000, 0),
        standing: true,
        gang,
        may_miss: Some(1),
        ..step(3)
    };
    rig.hand_in(1, 1, job(vec![standing]));
    let runs = started_keys(&mut rig);
    assert_eq!(runs.len(), 3);
    rig.advance(1_000);
    rig.report("w-1", runs.into_iter().map(at_work).collect(), vec![]);
    rig.hand_in(2, 1, short_job(1, 1));
    rig.advance(200);
    assert_eq!(preempted(&rig).len(), stops);
}

/// Guards against stops for a standing task that fair order does not let start, as short tasks have waited lately.
fn nothing_is_stopped_for_a_held_task(fair_order: bool, stops: usize) {
    let mut rig = one_worker(fair_order);
    let filling = StepSpec {
        size: ResourceSize::new(500, 20_000, 0),
        fills: true,
        checkpoints: true,
        estimate_ms: 60_000,
        image: "index".to_owned(),
        ..step(3)
    };
    rig.hand_in(1, 1, low_job(filling));
    let runs = started_keys(&mut rig);
    assert_eq!(runs.len(), 3);
    // No worker is large enough for this short task, so it waits.
    rig.hand_in(2, 1, {
        let mut large = short_job(1, 1);
        large.steps[0].size.cpu_millis = 20_000;
        large
    });
    rig.advance(300);
    let reports = || runs.iter().map(|key| run_report(*key)).collect();
    rig.report("w-1", reports(), vec![]);
    rig.hand_in(3, 1, {
        let mut standing = standing_job(Some(1));
        standing.steps[0].count = 1;
        standing
    });
    rig.advance(500);
    assert_eq!(preempted(&rig).len(), stops);
}

/// Guards against a room that is held for as long as a small task runs in a part of it: nobody uses the rest.
fn the_unused_part_of_a_room_is_released() {
    let mut rig = one_worker(false);
    let low = StepSpec {
        size: ResourceSize::new(14_000, 1_000, 0),
        estimate_ms: 60_000,
        ..step(1)
    };
    rig.hand_in(1, 1, low_job(low));
    let low_run = started_keys(&mut rig)[0];
    rig.advance(1_000);
    rig.report("w-1", vec![run_report(low_run)], vec![]);
    let urgent = |cpu_millis, estimate_ms| {
        job(vec![StepSpec {
            size: ResourceSize::new(cpu_millis, 1_000, 0),
            estimate_ms,
            ..step(1)
        }])
    };
    rig.hand_in(2, 1, urgent(12_000, 5_000));
    assert_eq!(preempted(&rig), vec![low_run]);
    rig.handle(JobEvent::CancelAsked(JobNumber(2)));
    rig.hand_in(3, 1, urgent(2_000, 60_000));
    let mut small = started_keys(&mut rig);
    rig.advance(200);
    let ended = end_report(1, low_run, RunOutcome::Stopped);
    rig.report(
        "w-1",
        small.iter().copied().map(run_report).collect(),
        vec![ended],
    );
    rig.advance(200);
    small.extend(started_keys(&mut rig));
    let mut restarted = Vec::new();
    for _ in 0..4 {
        rig.report(
            "w-1",
            small.iter().copied().map(run_report).collect(),
            vec![],
        );
        rig.advance(500);
        restarted.extend(started_keys(&mut rig));
        if !restarted.is_empty() {
            break;
        }
    }
    let restarted: Vec<u64> = restarted.iter().map(|run| run.task.job.0).collect();
    assert_eq!(restarted, vec![1], "the preempted task starts again");
}

/// Guards against the end of a preempted task while tasks of its step that were moved off a draining worker are unavailable.
fn draining_waits_for_the_stop(seed: u64, may_miss: u32) {
    let mut fleet = StandingFleet::new(FleetSetup {
        workers: 4,
        seed,
        preemption: true,
    });
    fleet.hand_in(standing_job(Some(may_miss)));
    let mut rest = standing_job(Some(0));
    rest.steps[0].count = 22 - STANDING_COUNT;
    fleet.hand_in(rest);
    fleet.play(3_000);
    fleet.hand_in(short_job(1, 1));
    fleet.play(50);
    let (_, at, _) = fleet.counts.preempted[0].clone();
    let others = fleet
        .workers
        .iter()
        .filter(|(name, worker)| **name != at && worker.runs.keys().any(|run| run.task.job.0 == 1));
    let drained = others.map(|(name, _)| name.clone()).next();
    let drained = fleet.workers.get_mut(&drained.expect("a worker"));
    let drained = drained.expect("a worker");
    drained.entry.draining = true;
    let name = drained.entry.worker.to_string();
    let entries = fleet.workers.values();
    let entries = entries.map(|worker| worker.entry.clone()).collect();
    fleet.rig.list_entries(entries);
    fleet.apply_actions();
    fleet.play(STOP_OVER_MS + 1_500);
    let left = fleet.workers[&name].runs.values();
    assert_eq!(left.filter(|run| run.spec.standing).count(), 0);
}

fn draining_waits_for_stops(may_miss: u32) {
    for seed in 1..=10 {
        draining_waits_for_the_stop(seed, may_miss);
    }
}

/// Guards against the repetition of an unanswered stop after other tasks of the step were lost with their worker.
fn an_unanswered_stop_is_not_repeated_beyond_the_allowance() {
    let mut fleet = StandingFleet::new(FleetSetup {
        workers: 4,
        seed: 1,
        preemption: true,
    });
    fleet.hand_in(standing_job(Some(1)));
    let mut rest = standing_job(Some(0));
    rest.steps[0].count = 22 - STANDING_COUNT;
    fleet.hand_in(rest);
    fleet.play(3_000);
    for worker in fleet.workers.values_mut() {
        worker.ignores_stops = true;
    }
    fleet.hand_in(short_job(1, 1));
    fleet.play(50);
    let (_, at, run) = fleet.counts.preempted[0].clone();
    let mut others = fleet
        .workers
        .iter_mut()
        .filter(|(name, worker)| **name != at && worker.runs.keys().any(|run| run.task.job.0 == 1));
    others.next().expect("a worker").1.lost = true;
    fleet.play(5_000);
    for worker in fleet.workers.values_mut() {
        worker.ignores_stops = false;
    }
    fleet.play(12_000);
    assert!(fleet.workers[&at].runs.contains_key(&run));
}

sandshelf_cases::cases! {
    unanswered_stop => an_unanswered_stop_is_not_repeated_beyond_the_allowance();
    standing_gang => a_standing_gang_is_left_alone(true, 0);
    standing_tasks => a_standing_gang_is_left_alone(false, 1);
    held_standing_task => nothing_is_stopped_for_a_held_task(true, 0);
    standing_task_not_held => nothing_is_stopped_for_a_held_task(false, 1);
    part_of_a_room => the_unused_part_of_a_room_is_released();
    draining => draining_waits_for_stops(1);
    draining_of_three => draining_waits_for_stops(3);
}
