//! An acknowledgement of ends that was meant for an executor's former life is carried out late, by its next life, which drops ends that
//! nobody has read. No task may be started again after a run that ended `done` and was taken note of.

use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

use crate::record::{leave_runs_out, note};
use crate::system::{one_step, System, PRICING};
use crate::worker::{Return, Run};
use crate::Verdict;

/// How many ends the executor has listed before its acknowledgement goes astray.
const ENDS_BEFORE: i64 = 120;
/// How late the acknowledgement is carried out; 2 to 12 s are named.
const LATE: Duration = Duration::from_millis(8_500);
/// When the executor crashes, after the acknowledgement was sent, and how long it is down.
const CRASH_AFTER: Duration = Duration::from_millis(1_000);
const DOWN: Duration = Duration::from_millis(4_500);
/// How long after another call was left unanswered the late one is carried out: some tasks have ended meanwhile.
const UNREAD: Duration = Duration::from_millis(350);
/// The jobs: one at this interval, for this long.
const JOB_INTERVAL: Duration = Duration::from_millis(60);
const TRAFFIC: Duration = Duration::from_secs(40);

pub fn play(trouble: bool) -> Result<Verdict, String> {
    let system = Arc::new(System::start_with(2, 8, Return::FormerId)?);
    note("most runs are left out here");
    leave_runs_out(true);
    let over = Arc::new(AtomicBool::new(false));
    let (callers, ended) = (system.clone(), over.clone());
    let traffic = thread::spawn(move || hand_in(&callers, &ended));
    let played = if trouble { disturb(&system) } else { calm() };
    thread::sleep(Duration::from_secs(4));
    over.store(true, Ordering::SeqCst);
    let jobs = traffic.join().map_err(|_| "the traffic ended early")??;
    played?;
    thread::sleep(Duration::from_secs(2));
    let runs = system.fleet.runs.lock().unwrap().clone();
    let mut again = 0;
    for done in runs.iter().filter(|run| is_noted_done(run)) {
        let ended = done.over.map_or(0, |(at, _)| at);
        let later = runs
            .iter()
            .filter(|run| run.task == done.task && run.began_ms > ended);
        for run in later {
            again += 1;
            note(format!(
                "{}: run {} on {} ended done at {ended}, noted at {:?}; run {} began on {} at {}",
                done.task, done.run, done.worker, done.noted, run.run, run.worker, run.began_ms
            ));
        }
    }
    note(format!(
        "{jobs} jobs, {} runs, {again} starts after an end that was noted",
        runs.len()
    ));
    Ok(match again {
        0 => Verdict::Held,
        _ => Verdict::Broken(format!(
            "{again} tasks are started again after a noted end `done`"
        )),
    })
}

/// Hands in small jobs until the case is over; returns how many were accepted.
fn hand_in(system: &System, over: &AtomicBool) -> Result<u64, String> {
    let started = Instant::now();
    let mut number = 0;
    while !over.load(Ordering::SeqCst) && started.elapsed() < TRAFFIC {
        let job = format!("{:016x}", 0x1d94_b5c0_0000_0000 + number);
        let body = one_step(8, 800, 800, "300", "", r#","estimated_ms":300"#);
        system.accept(PRICING, &job, &body)?;
        number += 1;
        thread::sleep((JOB_INTERVAL * number as u32).saturating_sub(started.elapsed()));
    }
    Ok(number)
}

fn calm() -> Result<(), String> {
    thread::sleep(Duration::from_secs(18));
    Ok(())
}

fn disturb(system: &System) -> Result<(), String> {
    let executor = system.fleet.workers.lock().unwrap()[0].clone();
    let until = Instant::now() + Duration::from_secs(20);
    while executor.ends() < ENDS_BEFORE {
        if Instant::now() > until {
            return Err(format!(
                "the executor has listed {} ends only",
                executor.ends()
            ));
        }
        thread::sleep(Duration::from_millis(10));
    }
    let acknowledgement = executor.catch_next("/hold", ENDS_BEFORE / 2);
    let sent = Instant::now();
    thread::sleep(CRASH_AFTER);
    system.fleet.crash(&executor, DOWN);
    thread::sleep(LATE.saturating_sub(sent.elapsed()));
    let next = system
        .fleet
        .present(&executor.id)
        .ok_or("the executor isn't back")?;
    next.catch_next("/hold", 0);
    thread::sleep(UNREAD);
    note(format!(
        "{} ends in the new life; the late call comes {} ms after it was sent",
        next.ends(),
        sent.elapsed().as_millis()
    ));
    system.fleet.carry_out_late(&executor.id, &acknowledgement);
    Ok(())
}

fn is_noted_done(run: &Run) -> bool {
    run.over.is_some_and(|(_, how)| how == "done") && run.noted.is_some() && !run.lapsed
}
