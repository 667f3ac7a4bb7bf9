//! A large job comes. Small jobs after it must go on from step to step all the same: nearly all of the executors' room is free.

use std::thread;
use std::time::Duration;

use crate::record::{leave_runs_out, note, now_ms};
use crate::system::{System, PRICING, SETTLEMENT};
use crate::worker::Run;
use crate::Verdict;

const EXECUTORS: usize = 8;
/// The steps and tasks of the large job. A daemon takes steps of up to 10,000 tasks.
const STEPS: usize = 4;
const TASKS_PER_STEP: usize = 10_000;
/// Without the large job, the same tasks come in this many jobs.
const SMALLER_JOBS: usize = 80;
/// The tasks are over, or stuck, when none has ended for this long.
const QUIET_MS: u64 = 5_000;
/// The longest wait for that.
const MAX_WAIT_MS: u64 = 60_000;
/// The small jobs that follow: two steps of two tasks each.
const SMALL_JOBS: u64 = 20;
const PATIENCE: Duration = Duration::from_secs(14);
/// A job may have nothing running for this long while a task's turn has come and capacity for it is there.
const NOTHING_RUNS_MS: u64 = 3_000;

pub fn play(trouble: bool) -> Result<Verdict, String> {
    let system = System::start(2, EXECUTORS)?;
    let step =
        |count: usize| format!(r#"{{"count":{count},"cpu":1,"mem_mb":1,"estimated_ms":300}}"#);
    let jobs = match trouble {
        true => vec![vec![step(TASKS_PER_STEP); STEPS]],
        false => vec![vec![step(STEPS * TASKS_PER_STEP / SMALLER_JOBS)]; SMALLER_JOBS],
    };
    for (number, steps) in jobs.iter().enumerate() {
        let body = format!(
            r#"{{"spec":"work=300 cpu=1 mem=1","steps":[{}]}}"#,
            steps.join(",")
        );
        system.accept(
            SETTLEMENT,
            &format!("{:016x}", 0x1a46_e000_0000_0000u64 + number as u64),
            &body,
        )?;
    }
    note("the runs of these tasks are left out here");
    leave_runs_out(true);
    wait_quiet(&system)?;
    leave_runs_out(false);
    let names: Vec<String> = (0..SMALL_JOBS)
        .map(|number| format!("{:016x}", 0x5a11_0000_0000_0000 + number))
        .collect();
    for job in &names {
        let body = concat!(
            r#"{"spec":"work=500 cpu=1600 mem=3200","steps":[{"count":2,"cpu":1600,"mem_mb":3200,"estimated_ms":500},"#,
            r#"{"count":2,"cpu":1600,"mem_mb":3200,"estimated_ms":500,"after":[0]}]}"#
        );
        system.accept(PRICING, job, body)?;
    }
    thread::sleep(PATIENCE);
    let mut stuck = 0;
    for job in &names {
        system.state(0, PRICING, job);
        let idle = idle_ms(&system.fleet.runs_of(job), job);
        note(format!(
            "job {job}: nothing ran for {idle} ms although its second step's turn had come"
        ));
        stuck += usize::from(idle > NOTHING_RUNS_MS);
    }
    note(format!(
        "{stuck} of {SMALL_JOBS} small jobs had nothing running for over {NOTHING_RUNS_MS} ms"
    ));
    Ok(match stuck {
        0 => Verdict::Held,
        _ => Verdict::Broken(format!(
            "{stuck} jobs have nothing running although a task's turn has come"
        )),
    })
}

/// Waits until the first tasks are over, or no more of them end.
fn wait_quiet(system: &System) -> Result<(), String> {
    let started = now_ms();
    let (mut done, mut changed_at) = (0, started);
    while now_ms() < started + MAX_WAIT_MS {
        thread::sleep(Duration::from_millis(500));
        let runs = system.fleet.runs.lock().unwrap();
        let ended = runs.iter().filter(|run| run.over.is_some()).count();
        drop(runs);
        if ended > done {
            (done, changed_at) = (ended, now_ms());
        }
        if done >= STEPS * TASKS_PER_STEP || done > 0 && now_ms() > changed_at + QUIET_MS {
            note(format!(
                "{done} of {} tasks have ended",
                STEPS * TASKS_PER_STEP
            ));
            thread::sleep(Duration::from_secs(2));
            return Ok(());
        }
    }
    Err("the tasks go on".to_owned())
}

/// How long a job had nothing running after all tasks of its first step had ended `done` and before one of its second step began.
fn idle_ms(runs: &[Run], job: &str) -> u64 {
    let of_step = |step: u32| {
        let prefix = format!("{job}.0.{step}.");
        runs.iter().filter(move |run| run.task.starts_with(&prefix))
    };
    let done = of_step(0).filter_map(|run| run.over.filter(|(_, how)| *how == "done"));
    let done: Vec<u64> = done.map(|(at, _)| at).collect();
    if done.len() < 2 {
        return 0;
    }
    let turn = done.into_iter().max().unwrap_or(0);
    let began = of_step(1).map(|run| run.began_ms).min();
    began.unwrap_or(now_ms()).saturating_sub(turn)
}
