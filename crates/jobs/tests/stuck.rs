//! Runs without progress on steps that allow no copies: when they are stopped, and when their tasks start again.

mod support;

use sandshelf_jobs::copies::{
    is_standing_stuck, judge_run, slow_runs, stalled_ms, ProgressSpan, RestartCost, RestartGain,
    RestartTrial, RunProgress, StepProgress,
};
use sandshelf_jobs::{
    JobAction, JobNote, RunKey, RunOutcome, RunReport, SchedulerLimits, StepSpec, StopCause,
    TakeoverInfo,
};
use sandshelf_model::{LoadPolicies, LoadPolicy, Millis, ResourceSize};
use support::copying::run_at;
use support::{end_report, job, second_owner, step, SchedulerRig};

const WORKERS: [&str; 4] = ["w-1", "w-2", "w-3", "w-4"];

fn limits() -> SchedulerLimits {
    SchedulerLimits {
        policies: LoadPolicies::default().with(LoadPolicy::StuckRuns),
        stop_timeout_ms: 400,
        ..SchedulerLimits::default()
    }
}

/// A step that spreads over the workers.
fn spread_step(count: u32) -> StepSpec {
    StepSpec {
        size: ResourceSize::new(4_000, 4_000, 0),
        most_per_worker: 1,
        ..step(count)
    }
}

/// An owner of four workers, and the runs of a job of one step.
struct StuckRig {
    rig: SchedulerRig,
    runs: Vec<(String, RunKey)>,
}

impl StuckRig {
    fn new(limits: SchedulerLimits, spec: StepSpec) -> Self {
        let mut rig = SchedulerRig::with_limits(limits, TakeoverInfo::first(1, 1_000));
        rig.list(&WORKERS);
        for name in WORKERS {
            rig.report(name, vec![], vec![]);
        }
        rig.hand_in(7, 0, job(vec![spec]));
        let starts = rig.take_starts();
        let runs = starts
            .into_iter()
            .map(|(worker, start)| (worker, start.key));
        Self {
            rig,
            runs: runs.collect(),
        }
    }

    /// All workers report after a time; the runs are at these percents.
    fn report(&mut self, after: Millis, percents: &[u32]) {
        self.rig.advance(after);
        for name in WORKERS {
            let own = self.runs.iter().zip(percents);
            let own = own.filter(|((worker, _), _)| worker == name);
            let own = own.map(|((_, key), percent)| run_at(*key, *percent));
            let own: Vec<RunReport> = own.collect();
            self.rig.report(name, own, vec![]);
        }
        self.rig.advance(100);
    }

    /// The first run is stalled at 20 % while the others progress.
    fn stall(&mut self, times: u32) {
        for time in 1..=times {
            let others = (time * 10).min(99);
            self.report(200, &[others.min(20), others, others, others]);
        }
    }

    fn stuck_stops(&self) -> Vec<RunKey> {
        let stops = self.rig.actions.iter().filter_map(|action| match action {
            JobAction::Note(JobNote::Stopped {
                key,
                cause: StopCause::Stuck,
                ..
            }) => Some(*key),
            _ => None,
        });
        stops.collect()
    }
}

/// A stuck run is stopped; its task starts on another worker, but only once the end is listed. Guards against two runs of one task.
fn a_stuck_run_moves() {
    let mut stuck = StuckRig::new(limits(), spread_step(3));
    stuck.stall(12);
    let (worker, key) = stuck.runs[0].clone();
    assert_eq!(stuck.stuck_stops(), [key]);
    stuck.rig.advance(1_000);
    assert!(stuck.rig.take_starts().is_empty(), "the end is not listed");
    let stopped = end_report(1, key, RunOutcome::Stopped);
    stuck.rig.report(&worker, vec![], vec![stopped]);
    for name in WORKERS {
        let own = stuck.runs.iter().skip(1).filter(|run| run.0 == name);
        let own = own.map(|run| run_at(run.1, 99)).collect();
        stuck.rig.report(name, own, vec![]);
    }
    stuck.rig.advance(100);
    let starts = stuck.rig.take_starts();
    assert_eq!(starts.len(), 1);
    assert_eq!(starts[0].1.key.task, key.task);
    assert_ne!(starts[0].0, worker);
}

/// Guards against a stop of a run that progresses, of any run with the switch off, and of a run for which no other worker has room.
fn nothing_is_stopped(limits: SchedulerLimits, tasks: u32, stalled: bool) {
    let mut stuck = StuckRig::new(limits, spread_step(tasks));
    for time in 1..=12 {
        let even = [time * 8, time * 8 + 1, time * 8 - 1, time * 7];
        match stalled {
            true => stuck.stall(1),
            false => stuck.report(200, &even),
        }
    }
    assert!(stuck.rig.stops().is_empty());
}

/// A task is restarted twice at most, however its runs go on.
fn a_task_is_restarted_twice_at_most() {
    let mut stuck = StuckRig::new(limits(), spread_step(3));
    let mut stops = 0;
    for number in 1..=4 {
        for _ in 0..20 {
            stuck.report(200, &[10, 50, 50]);
        }
        let (worker, key) = stuck.runs[0].clone();
        if !stuck.stuck_stops().contains(&key) {
            continue;
        }
        stops += 1;
        let stopped = end_report(number, key, RunOutcome::Stopped);
        stuck.rig.report(&worker, vec![], vec![stopped]);
        stuck.rig.advance(50);
        for _ in 0..10 {
            let starts = stuck.rig.take_starts();
            let again = starts
                .into_iter()
                .find(|start| start.1.key.task == key.task);
            if let Some((worker, start)) = again {
                stuck.runs[0] = (worker, start.key);
                break;
            }
            for name in WORKERS {
                let own = stuck.runs.iter().skip(1).filter(|run| run.0 == name);
                let own = own.map(|run| run_at(run.1, 60)).collect();
                stuck.rig.report(name, own, vec![]);
            }
            stuck.rig.advance(500);
        }
    }
    assert_eq!(stops, 2);
}

/// A worker on which two runs stall gets no new tasks for a while.
fn a_stalled_worker_gets_no_tasks() {
    let spec = StepSpec {
        size: ResourceSize::new(1_000, 1_000, 0),
        most_per_worker: 2,
        ..step(8)
    };
    let mut stuck = StuckRig::new(limits(), spec);
    assert_eq!(stuck.runs.len(), 8);
    let stalled_worker = stuck.runs[0].0.clone();
    for time in 1..=5 {
        let percents = stuck.runs.iter();
        let percents = percents.map(|(worker, _)| match *worker == stalled_worker {
            true => 10.min(time * 10),
            false => time * 10,
        });
        let percents: Vec<u32> = percents.collect();
        stuck.report(200, &percents);
    }
    let noted = stuck.rig.actions.iter().any(|action| {
        matches!(action, JobAction::Note(JobNote::WorkerStalled { worker, runs: 2 }) if worker.as_str() == stalled_worker)
    });
    assert!(noted);
    stuck.rig.hand_in(8, 0, job(vec![step(30)]));
    let starts = stuck.rig.take_starts();
    assert_eq!(starts.len(), 30);
    assert!(starts.iter().all(|(worker, _)| *worker != stalled_worker));
}

/// Of four standing tasks, some are at work no more. They are stopped only as far as the step may miss them, and never while at work.
fn standing_tasks_move(may_miss: Option<u32>, away: usize, stopped: usize) {
    let spec = StepSpec {
        standing: true,
        may_miss,
        ..spread_step(3)
    };
    let mut stuck = StuckRig::new(limits(), spec);
    stuck.report(300, &[100, 100, 100]);
    let percents: Vec<u32> = (0..3)
        .map(|index| if index < away { 0 } else { 100 })
        .collect();
    stuck.report(300, &percents);
    assert!(stuck.stuck_stops().is_empty(), "away for too short a time");
    for _ in 0..4 {
        stuck.report(300, &percents);
    }
    assert_eq!(stuck.stuck_stops().len(), stopped);
    let away: Vec<RunKey> = stuck.runs.iter().take(away).map(|run| run.1).collect();
    assert!(stuck.stuck_stops().iter().all(|key| away.contains(key)));
}

/// A standing task that is at work again in time is left alone.
fn a_standing_task_that_returns_stays() {
    let spec = StepSpec {
        standing: true,
        ..spread_step(1)
    };
    let mut stuck = StuckRig::new(limits(), spec);
    for percent in [100, 0, 100, 0, 100, 0, 100] {
        stuck.report(250, &[percent]);
    }
    assert!(stuck.stuck_stops().is_empty());
}

/// A new owner halfway finds the stuck run still running: it keeps it, judges it by what it reads itself, and starts nothing else.
fn a_new_owner_judges_anew() {
    let mut rig = SchedulerRig::with_limits(limits(), second_owner(&WORKERS));
    rig.hand_in(7, 50, job(vec![step(3)]));
    rig.list(&WORKERS);
    let runs: Vec<RunKey> = (0..3)
        .map(|index| RunKey {
            task: support::task(7, 0, index),
            run: 11,
        })
        .collect();
    for time in 0..12 {
        for (index, name) in WORKERS.iter().enumerate() {
            let percent = if index == 0 { 20 } else { 20 + time * 6 };
            let own = runs.get(index).map(|key| run_at(*key, percent));
            rig.report(name, own.into_iter().collect(), vec![]);
        }
        rig.advance(300);
    }
    assert!(rig.take_starts().is_empty());
    assert_eq!(rig.stops().first().map(|stop| stop.1), Some(runs[0]));
}

/// A run that has done this much in this time, and has been stalled since.
fn progress(percent: u32, in_ms: Millis, stalled: Millis) -> RunProgress {
    let moving = ProgressSpan {
        took_ms: in_ms,
        gained: percent,
    };
    RunProgress {
        percent,
        whole: ProgressSpan {
            took_ms: in_ms + stalled,
            gained: percent,
        },
        recent: None,
        moving,
        stalled_ms: stalled,
        ..RunProgress::default()
    }
}

fn step_of(runs: &[RunProgress], done_ms: &[Millis]) -> StepProgress {
    let tasks = runs.len() + done_ms.len();
    StepProgress::new((0..).zip(runs.iter().copied()).collect(), done_ms, tasks)
}

/// A restart is judged by its whole cost: the stop, the start and the work from the checkpoint, at the pace of earlier restarts.
fn restarts_are_judged(run: RunProgress, kept_percent: u32, rerun_percent: u64, pays: bool) {
    let cost = RestartCost {
        stop_ms: 900,
        restore_ms: 600,
        kept_percent,
        rerun_percent,
    };
    let step = step_of(&[run], &[850, 900, 800]);
    assert_eq!(judge_run(&run, &step, &cost).is_some(), pays);
}

/// Guards against taking coarse progress for none: a run of a minute shows a new percent every 0.6 s.
fn long_runs_do_not_stall() {
    let run = progress(10, 6_000, 1_100);
    let step = step_of(&[run], &[60_000]);
    assert_eq!(stalled_ms(&run, &step), 0);
    let run = progress(10, 6_000, 3_000);
    assert_eq!(stalled_ms(&run, &step), 3_000);
}

/// Restarts end once they don't help, and one is tried again later.
fn restarts_are_learnt() {
    let trial = RestartTrial {
        stopped_at: 1_000,
        remaining_ms: 5_000,
        typical_ms: 850,
    };
    let mut gain = RestartGain::default();
    for _ in 0..2 {
        assert!(gain.allows_restart(1_000));
        gain.note_restart(1_000);
        assert!(!gain.note_outcome(9_000, &trial, 5_950));
    }
    assert!(!gain.allows_restart(9_000));
    assert!(gain.rerun_percent() > 300);
    assert!(gain.allows_restart(32_000), "one is tried again");
    gain.note_restart(32_000);
    assert!(!gain.allows_restart(33_000));
    for _ in 0..8 {
        gain.note_restart(33_000);
        assert!(gain.note_outcome(3_000, &trial, 850));
    }
    assert!(gain.allows_restart(33_500));
    assert!(gain.rerun_percent() < 200);
}

/// Slow runs are found by the rate of their siblings only; the run that ends last comes first.
fn slow_runs_are_found(runs: &[RunProgress], done_ms: &[Millis], slow: &[u32]) {
    let found = slow_runs(&step_of(runs, done_ms), false);
    let found: Vec<u32> = found.iter().map(|run| run.index).collect();
    assert_eq!(found, slow);
}

/// While tasks wait, only a copy that saves capacity is worth it.
fn copies_save_capacity_while_tasks_wait() {
    let run = progress(50, 1_500, 0);
    let step = step_of(&[run], &[850, 850, 850]);
    assert_eq!(slow_runs(&step, false).len(), 1);
    assert!(slow_runs(&step, true).is_empty());
}

sandshelf_cases::cases! {
    moves => a_stuck_run_moves();
    switch_off => nothing_is_stopped(SchedulerLimits::default(), 3, true);
    progresses => nothing_is_stopped(limits(), 3, false);
    no_room_elsewhere => nothing_is_stopped(limits(), 4, true);
    twice_at_most => a_task_is_restarted_twice_at_most();
    stalled_worker => a_stalled_worker_gets_no_tasks();
    standing_within_may_miss => standing_tasks_move(Some(1), 1, 1);
    standing_beyond_may_miss => standing_tasks_move(Some(1), 2, 0);
    standing_may_not_miss => standing_tasks_move(Some(0), 1, 0);
    standing_without_limit => standing_tasks_move(None, 1, 1);
    standing_returns => a_standing_task_that_returns_stays();
    taken_over => a_new_owner_judges_anew();
    stood_for_long => restarts_are_judged(progress(50, 425, 3_000), 0, 100, true);
    stood_briefly => restarts_are_judged(progress(50, 425, 500), 0, 100, false);
    nearly_done_and_slow => restarts_are_judged(progress(90, 4_000, 0), 0, 100, false);
    begun_and_slow => restarts_are_judged(progress(5, 500, 0), 0, 100, true);
    slow_again => restarts_are_judged(progress(5, 500, 0), 0, 700, false);
    quick => restarts_are_judged(progress(50, 425, 0), 0, 100, false);
    from_checkpoint => restarts_are_judged(progress(80, 700, 2_000), 75, 100, true);
    long_runs => long_runs_do_not_stall();
    learnt => restarts_are_learnt();
    slow_among_runs => slow_runs_are_found(&[progress(4, 300, 0), progress(35, 300, 0), progress(34, 300, 0)], &[], &[0]);
    slow_after_done => slow_runs_are_found(&[progress(20, 1_200, 0), progress(14, 1_200, 0)], &[850, 870], &[1, 0]);
    one_sibling_of_many => slow_runs_are_found(&[progress(4, 300, 0), progress(35, 300, 0), progress(0, 10, 0)], &[], &[]);
    nearly_done => slow_runs_are_found(&[progress(95, 1_500, 0)], &[850, 870, 860], &[]);
    no_siblings => slow_runs_are_found(&[progress(1, 5_000, 0)], &[], &[]);
    even => slow_runs_are_found(&[progress(35, 300, 0), progress(30, 300, 0), progress(40, 300, 0)], &[], &[]);
    scarce => copies_save_capacity_while_tasks_wait();
    standing_short => assert!(!is_standing_stuck(900, 900));
    standing_long => assert!(is_standing_stuck(1_000, 900));
}
