//! Preemption: which runs are stopped for waiting tasks, what becomes of the freed capacity, and stops that go wrong.

mod support;

use sandshelf_jobs::{
    EndReport, JobNote, JobSpec, RunKey, RunOutcome, RunReport, StepSpec, TakeoverInfo,
};
use sandshelf_model::{Millis, ResourceSize};
use support::standing_fleet::{
    limits, short_job, standing_job, FleetSetup, StandingFleet, SHORT_MS, STANDING_CPU,
};
use support::{end_report, job, run_report, step, SchedulerRig};

/// Three workers of the fleet have room for this many standing tasks.
const STANDING_ROOMS: u32 = 17;
/// How long after its order a stop has timed out at the latest, with a margin.
const STOP_OVER_MS: Millis = 2_000;

/// Three workers that are full of standing tasks: a step of 14 that may miss `may_miss`, and a step that may miss none.
fn full_fleet(seed: u64, preemption: bool, may_miss: Option<u32>) -> StandingFleet {
    let mut fleet = StandingFleet::new(FleetSetup {
        workers: 3,
        seed,
        preemption,
    });
    let spec = standing_job(may_miss);
    let others = STANDING_ROOMS - spec.steps[0].count;
    let mut rest = standing_job(Some(0));
    rest.steps[0].count = others;
    fleet.hand_in(spec);
    fleet.hand_in(rest);
    fleet.play(3_000);
    assert_eq!(fleet.standing_at_work(), STANDING_ROOMS as usize);
    fleet
}

/// One short task costs one standing task its room, and no more than `stops` are stopped for `tasks`.
fn no_more_is_stopped_than_needed(tasks: u32, may_miss: u32, stops: usize) {
    let mut fleet = full_fleet(1, true, Some(may_miss));
    fleet.hand_in(short_job(tasks, 1));
    fleet.play(4_000);
    assert_eq!(fleet.counts.preempted.len(), stops);
    assert_eq!(fleet.counts.short_in_time + fleet.counts.short_late, 1);
    fleet.play(3_000);
    assert_eq!(
        fleet.standing_at_work(),
        STANDING_ROOMS as usize,
        "standing tasks return once no short task needs their room"
    );
    assert_eq!(fleet.counts.preempted.len(), stops);
}

/// Nothing is stopped without the switch, for a step that has no allowance, or for tasks that need the capacity for long.
fn nothing_is_stopped(preemption: bool, may_miss: Option<u32>, estimate_ms: Millis) {
    let mut fleet = full_fleet(2, preemption, may_miss);
    let mut spec = short_job(1, 1);
    spec.steps[0].estimate_ms = estimate_ms;
    fleet.hand_in(spec);
    fleet.play(4_000);
    assert_eq!(fleet.counts.preempted, vec![]);
}

/// Short tasks that follow one another use the room of one standing task.
fn following_short_tasks_use_the_same_room() {
    let mut fleet = full_fleet(3, true, Some(1));
    for _ in 0..8 {
        fleet.hand_in(short_job(1, 1));
        fleet.play(SHORT_MS + 200);
    }
    fleet.play(3_000);
    assert_eq!(fleet.counts.preempted.len(), 1);
    assert_eq!(fleet.counts.hold_uses, 8);
    assert_eq!(fleet.standing_at_work(), STANDING_ROOMS as usize);
}

/// The same standing task would be stopped again and again if its step had no other task that may be stopped.
fn a_task_is_not_preempted_again_soon() {
    let mut fleet = full_fleet(4, true, Some(1));
    for _ in 0..6 {
        fleet.hand_in(short_job(1, 1));
        fleet.play(4_000);
    }
    let stopped = fleet.counts.preempted.iter();
    let mut tasks: Vec<_> = stopped.map(|(_, _, run)| run.task).collect();
    assert_eq!(tasks.len(), 6);
    tasks.dedup();
    assert_eq!(
        tasks.len(),
        6,
        "no task is stopped twice in a row: {tasks:?}"
    );
}

/// A worker that does not answer stop orders: the order is repeated, the hold ends, and another worker gives the room.
fn an_unanswered_stop_is_repeated_and_replaced() {
    let mut fleet = full_fleet(5, true, Some(3));
    for worker in fleet.workers.values_mut() {
        worker.ignores_stops = true;
    }
    fleet.hand_in(short_job(1, 1));
    fleet.play(200);
    let (_, deaf, run) = fleet.counts.preempted[0].clone();
    for (name, worker) in &mut fleet.workers {
        worker.ignores_stops = *name == deaf;
    }
    fleet.play(STOP_OVER_MS + 2_000);
    assert_eq!(fleet.counts.holds.get("timed out"), Some(&1));
    assert_eq!(fleet.counts.short_in_time + fleet.counts.short_late, 1);
    assert!(fleet.counts.preempted.len() <= 2);
    assert!(
        fleet.workers[&deaf].runs.contains_key(&run),
        "it goes on as long as the worker ignores the order"
    );
    fleet
        .workers
        .get_mut(&deaf)
        .expect("a worker")
        .ignores_stops = false;
    fleet.play(2_000);
    assert!(!fleet.workers[&deaf].runs.contains_key(&run));
    fleet.play(3_000);
    assert_eq!(fleet.standing_at_work(), STANDING_ROOMS as usize);
}

/// An owner that takes over while stops are under way does not know of them until the runs end. The fleet checks `may_miss` at each end.
fn a_new_owner_halfway_keeps_the_allowance(seed: u64, after_ms: Millis) {
    let mut fleet = full_fleet(seed, true, Some(1));
    fleet.hand_in(short_job(2, 1));
    fleet.play(after_ms);
    assert_eq!(fleet.counts.preempted.len(), 1);
    fleet.change_owner(true);
    fleet.hand_in(short_job(2, 1));
    fleet.play(6_000);
    assert_eq!(fleet.counts.short_in_time + fleet.counts.short_late, 2);
    fleet.play(6_000);
    assert_eq!(fleet.standing_at_work(), STANDING_ROOMS as usize);
}

/// Standing tasks that died with a worker count as unavailable: a step that lost as many as it may miss is left alone.
fn a_step_that_lost_tasks_is_left_alone() {
    let mut fleet = full_fleet(6, true, Some(3));
    let lost = fleet.workers.values_mut().next().expect("a worker");
    lost.lost = true;
    fleet.play(8_000);
    fleet.hand_in(short_job(1, 1));
    fleet.play(4_000);
    assert_eq!(fleet.counts.preempted, vec![]);
}

/// A worker with runs of less urgent jobs, in virtual time without a fleet.
struct OneWorker {
    rig: SchedulerRig,
    runs: Vec<RunKey>,
}

/// A filling or ordinary step of priority 2.
fn low_job(spec: StepSpec) -> JobSpec {
    let mut low = job(vec![spec]);
    low.rules.priority = 2;
    low.rules.stretch = 20.0;
    low
}

fn filling_step(memory_mib: u64, estimate_ms: Millis) -> StepSpec {
    StepSpec {
        size: ResourceSize::new(500, memory_mib, 0),
        fills: true,
        checkpoints: true,
        estimate_ms,
        image: "index".to_owned(),
        ..step(1)
    }
}

impl OneWorker {
    /// Starts a job of priority 2 with each of these steps.
    fn with(names: &[&str], steps: Vec<StepSpec>) -> Self {
        let mut rig = SchedulerRig::with_limits(limits(true), TakeoverInfo::first(1, 1_000));
        rig.list(names);
        for name in names {
            rig.report(name, vec![], vec![]);
        }
        let mut runs = Vec::new();
        for (number, spec) in steps.into_iter().enumerate() {
            rig.hand_in(number as u64 + 1, 1, low_job(spec));
            runs.extend(rig.take_starts().into_iter().map(|(_, start)| start.key));
        }
        Self { rig, runs }
    }

    /// Lets time pass and reports the runs of one worker with their progress in percent and their checkpoints.
    fn report(&mut self, after_ms: Millis, progress: &[(u32, Option<&str>)]) {
        self.rig.advance(after_ms);
        let reports = self.runs.iter().zip(progress);
        let reports = reports.map(|(key, (percent, checkpoint))| RunReport {
            percent: *percent,
            checkpoint: checkpoint.map(str::to_owned),
            ..run_report(*key)
        });
        let reports = reports.collect();
        self.rig.report("w-1", reports, vec![]);
    }

    fn stopped(&self) -> Vec<RunKey> {
        self.rig.stops().into_iter().map(|(_, key)| key).collect()
    }
}

/// A task of priority 0 that lacks memory, 8,000 MB more than is free.
fn memory_task() -> JobSpec {
    job(vec![StepSpec {
        size: ResourceSize::new(1_000, 12_000, 0),
        estimate_ms: 5_000,
        ..step(1)
    }])
}

/// Of filling tasks that hold the memory, the one with the freshest checkpoint goes, though it has done the most work.
fn the_freshest_checkpoint_goes_first() {
    let filling = filling_step(20_000, 30_000);
    let mut worker = OneWorker::with(&["w-1"], vec![filling.clone(), filling.clone(), filling]);
    assert_eq!(worker.runs.len(), 3);
    worker.report(500, &[(20, Some("a")), (40, Some("b")), (10, None)]);
    worker.report(500, &[(25, Some("a")), (45, Some("c")), (15, None)]);
    worker.rig.hand_in(50, 1, memory_task());
    assert_eq!(worker.stopped(), vec![worker.runs[1]]);
}

/// A run that ends before a stop of it would is left to end, and no other is stopped for its room.
fn nothing_is_stopped_that_ends_soon() {
    let filling = filling_step(20_000, 4_000);
    let mut worker = OneWorker::with(&["w-1"], vec![filling.clone(), filling.clone(), filling]);
    worker.report(3_400, &[(50, None), (85, None), (50, None)]);
    worker.rig.hand_in(50, 1, memory_task());
    assert_eq!(worker.stopped(), vec![]);
}

/// The freed memory is kept for the waiting task: the stopped task is not started there again before.
fn freed_capacity_is_held() {
    let filling = filling_step(20_000, 30_000);
    let mut worker = OneWorker::with(&["w-1"], vec![filling.clone(), filling.clone(), filling]);
    worker.report(3_000, &[(20, None), (40, None), (5, None)]);
    worker.rig.hand_in(50, 1, memory_task());
    let stopped = worker.stopped();
    assert_eq!(stopped, vec![worker.runs[2]]);
    worker.rig.advance(25);
    let ended: EndReport = end_report(1, stopped[0], RunOutcome::Stopped);
    let running = worker.runs[..2].iter().map(|key| run_report(*key));
    let running = running.collect();
    worker.rig.report("w-1", running, vec![ended]);
    worker.rig.advance(200);
    let starts: Vec<_> = worker.rig.take_starts();
    let started: Vec<u64> = starts.iter().map(|start| start.1.key.task.job.0).collect();
    assert_eq!(started, vec![50]);
}

/// A gang of priority 2 on two workers is stopped whole, though the room of one member suffices; a cheaper single run goes first.
fn gangs_are_stopped_whole(with_single: bool) {
    let member = StepSpec {
        gang: true,
        size: ResourceSize::new(9_000, 1_000, 0),
        estimate_ms: 60_000,
        ..step(2)
    };
    let single = StepSpec {
        size: ResourceSize::new(6_000, 1_000, 0),
        estimate_ms: 60_000,
        ..step(1)
    };
    let mut steps = vec![member];
    if with_single {
        steps.extend([single.clone(), single]);
    }
    let mut worker = OneWorker::with(&["w-1", "w-2"], steps);
    worker.rig.advance(2_000);
    let placed: Vec<RunKey> = worker.runs.clone();
    for name in ["w-1", "w-2"] {
        let at = worker.rig.actions.iter().filter_map(|action| match action {
            sandshelf_jobs::JobAction::Note(JobNote::Placed { key, worker, .. }) => {
                (worker.as_str() == name).then_some(*key)
            }
            _ => None,
        });
        let reports: Vec<RunReport> = at.map(run_report).collect();
        worker.rig.report(name, reports, vec![]);
    }
    let urgent = StepSpec {
        size: ResourceSize::new(13_000, 1_000, 0),
        estimate_ms: 5_000,
        ..step(1)
    };
    let urgent = match with_single {
        false => urgent,
        true => StepSpec {
            size: ResourceSize::new(7_000, 1_000, 0),
            ..urgent
        },
    };
    worker.rig.hand_in(50, 1, job(vec![urgent]));
    let mut stopped = worker.stopped();
    stopped.sort();
    match with_single {
        false => assert_eq!(stopped, placed),
        true => {
            assert_eq!(stopped.len(), 1);
            assert!(placed[2..].contains(&stopped[0]));
        }
    }
}

/// Less urgent runs go before standing tasks of the same priority.
fn lower_priorities_go_first() {
    let ordinary = StepSpec {
        size: ResourceSize::new(4_000, 1_000, 0),
        estimate_ms: 60_000,
        ..step(1)
    };
    let mut worker = OneWorker::with(&["w-1"], vec![ordinary]);
    let standing = StepSpec {
        size: ResourceSize::new(STANDING_CPU, 1_000, 0),
        standing: true,
        may_miss: Some(3),
        ..step(3)
    };
    worker.rig.hand_in(40, 1, job(vec![standing]));
    let starts = worker.rig.take_starts();
    worker
        .runs
        .extend(starts.into_iter().map(|start| start.1.key));
    assert_eq!(worker.runs.len(), 4);
    worker.report(2_000, &[(50, None), (100, None), (100, None), (100, None)]);
    worker.rig.hand_in(50, 1, short_job(1, 1));
    assert_eq!(worker.stopped(), vec![worker.runs[0]]);
}

sandshelf_cases::cases! {
    one_for_one => no_more_is_stopped_than_needed(1, 3, 1);
    as_many_as_may_be_missed => no_more_is_stopped_than_needed(4, 2, 2);
    switched_off => nothing_is_stopped(false, Some(3), SHORT_MS);
    no_allowance => nothing_is_stopped(true, Some(0), SHORT_MS);
    no_declared_allowance => nothing_is_stopped(true, None, SHORT_MS);
    needed_for_long => nothing_is_stopped(true, Some(3), 10_000);
    same_room => following_short_tasks_use_the_same_room();
    no_ping_pong => a_task_is_not_preempted_again_soon();
    unanswered_stop => an_unanswered_stop_is_repeated_and_replaced();
    new_owner_at_once => a_new_owner_halfway_keeps_the_allowance(7, 50);
    new_owner_during_the_stop => a_new_owner_halfway_keeps_the_allowance(8, 300);
    new_owner_after_the_stop => a_new_owner_halfway_keeps_the_allowance(9, 1_200);
    lost_tasks => a_step_that_lost_tasks_is_left_alone();
    fresh_checkpoint => the_freshest_checkpoint_goes_first();
    ends_soon => nothing_is_stopped_that_ends_soon();
    held => freed_capacity_is_held();
    gang_whole => gangs_are_stopped_whole(false);
    gang_spared => gangs_are_stopped_whole(true);
    lower_first => lower_priorities_go_first();
}
