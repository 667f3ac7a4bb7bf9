//! A job is repeated, and its times overlap: one time takes longer than the next ones. The owner's process is killed meanwhile. Each time
//! of the job must be done all the same.

use std::thread;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use crate::record::{note, now_ms};
use crate::system::{System, PRICING};
use crate::Verdict;

const JOB: &str = "36f87b21d94b5c0e";
/// How often the job is repeated, and at which interval.
const TIMES: usize = 4;
const INTERVAL_MS: u64 = 1_000;
/// How long the tasks of the long time take, and those of the others.
const LONG_TIME: usize = 1;
const LONG_MS: u64 = 4_000;
const WORK_MS: u64 = 400;
/// When the process is killed, after the first time is due: the long time is at work and the next one is done.
const KILL_AT_MS: u64 = 2_800;
/// How long the process is down.
const DOWN: Duration = Duration::from_millis(500);
/// How long after the last time is due the job has to be done: its longest time five times over.
const PATIENCE_MS: u64 = 20_000;
/// A job may have nothing running for this long while a task's turn has come.
const NOTHING_RUNS_MS: u64 = 3_000;

pub fn play(trouble: bool) -> Result<Verdict, String> {
    let mut system = System::start(3, 8)?;
    let since_1970 = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default();
    let first_due = now_ms() + 500;
    let body = format!(
        r#"{{"spec":"work={WORK_MS} long_time={LONG_TIME} long_work={LONG_MS} cpu=1600 mem=3200","repeat_count":{TIMES},"start_at_ms":{},"interval_ms":{INTERVAL_MS},"steps":[{{"count":2,"cpu":1600,"mem_mb":3200,"estimated_ms":{WORK_MS}}}]}}"#,
        since_1970.as_millis() as u64 + 500
    );
    system.accept(PRICING, JOB, &body)?;
    if trouble {
        thread::sleep(Duration::from_millis(
            (first_due + KILL_AT_MS).saturating_sub(now_ms()),
        ));
        system.kill_owner(DOWN)?;
    }
    let until = first_due + TIMES as u64 * INTERVAL_MS + PATIENCE_MS;
    let mut state = String::new();
    while now_ms() < until && state != "completed" {
        thread::sleep(Duration::from_millis(1_000));
        for at in 0..system.daemons.len() {
            if let Some((200, shown)) = system.state(at, PRICING, JOB) {
                state = shown;
            }
        }
    }
    let runs = system.fleet.runs_of(JOB);
    let mut missing = Vec::new();
    for time in 0..TIMES {
        for index in 0..2 {
            let task = format!("{JOB}.{time}.0.{index}");
            let done = runs
                .iter()
                .any(|run| run.task == task && run.over.is_some_and(|(_, how)| how == "done"));
            if !done {
                missing.push(task);
            }
        }
    }
    let running = runs.iter().any(|run| run.over.is_none());
    let last = runs
        .iter()
        .filter_map(|run| run.over)
        .map(|(at, _)| at)
        .max()
        .unwrap_or(0);
    let idle = if running {
        0
    } else {
        now_ms().saturating_sub(last)
    };
    note(format!(
        "shown as {state}; never done: {missing:?}; nothing of the job has run for {idle} ms"
    ));
    match (missing.is_empty(), state.as_str()) {
        (true, "completed") => Ok(Verdict::Held),
        (false, _) if idle > NOTHING_RUNS_MS => Ok(Verdict::Broken(format!(
            "{} tasks whose time has come are never done: nothing of the job has run for {idle} ms, and it is shown as {state}",
            missing.len()
        ))),
        _ => Err(format!("the job is still {state}")),
    }
}
