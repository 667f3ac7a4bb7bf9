//! Executors crash at random and come back, while jobs of the usual kinds are handed in. A sound job must not be shown as `failed`: only
//! ends `failed` count as attempts, and no run here ends so.

use std::thread;
use std::time::{Duration, Instant};

use crate::record::note;
use crate::system::{one_step, Queue, System, PRICING, SETTLEMENT};
use crate::Verdict;

const EXECUTORS: usize = 66;
/// One wave of crashes takes this many executors, one in ten (14 of 100 are allowed), for this long (4.5 s are allowed).
const CRASHES_PER_WAVE: usize = 7;
const DOWN: Duration = Duration::from_millis(2_000);
const WAVES: u32 = 38;
const WAVE_INTERVAL: Duration = Duration::from_millis(600);
/// For how long jobs are handed in, and at which interval; three of eight are of the first kind, as on the site's sheet.
const TRAFFIC: Duration = Duration::from_secs(24);
const JOB_INTERVAL: Duration = Duration::from_millis(95);
/// How long the jobs may take after the traffic.
const PATIENCE: Duration = Duration::from_secs(40);

pub fn play(trouble: bool) -> Result<Verdict, String> {
    let system = System::start(2, EXECUTORS)?;
    let fleet = system.fleet.clone();
    let waves = thread::spawn(move || {
        let started = Instant::now();
        let mut draw: u64 = 0x2545_f491_4f6c_dd1d;
        for wave in 1..=WAVES * u32::from(trouble) {
            let mut up = fleet.up();
            for _ in 0..CRASHES_PER_WAVE.min(up.len()) {
                draw ^= draw << 13;
                draw ^= draw >> 7;
                draw ^= draw << 17;
                let executor = up.swap_remove(draw as usize % up.len());
                fleet.crash(&executor, DOWN);
            }
            thread::sleep((WAVE_INTERVAL * wave).saturating_sub(started.elapsed()));
        }
    });
    let mut jobs: Vec<(Queue, String)> = Vec::new();
    let started = Instant::now();
    while started.elapsed() < TRAFFIC {
        let number = jobs.len() as u64;
        let job = format!("{:016x}", 0x5c0e_7a21_0000_0000 + number * 7_919);
        let (queue, body) = match number % 8 {
            0 | 3 | 6 => (
                PRICING,
                one_step(6, 1_600, 3_200, "1000", "", r#","estimated_ms":1000"#),
            ),
            _ => (
                SETTLEMENT,
                one_step(16, 1_800, 3_200, "2200", "", r#","estimated_ms":2200"#),
            ),
        };
        system.accept(queue, &job, &body)?;
        jobs.push((queue, job));
        thread::sleep((JOB_INTERVAL * (number as u32 + 1)).saturating_sub(started.elapsed()));
    }
    waves.join().map_err(|_| "the waves ended early")?;
    let until = Instant::now() + PATIENCE;
    let mut failed = Vec::new();
    let mut completed = 0;
    while let Some((queue, job)) = jobs.pop() {
        match system.state(0, queue, &job) {
            Some((200, state)) if state == "completed" => completed += 1,
            Some((200, state)) if state == "failed" => failed.push(job),
            _ if Instant::now() > until => return Err(format!("job {job} has no end")),
            _ => {
                jobs.insert(0, (queue, job));
                thread::sleep(Duration::from_millis(20));
            }
        }
    }
    let runs = system.fleet.runs.lock().unwrap().clone();
    let ended_failed = runs
        .iter()
        .filter(|run| run.over.is_some_and(|(_, how)| how == "failed"))
        .count();
    for job in &failed {
        let of_job = runs.iter().filter(|run| run.task.starts_with(job.as_str()));
        note(format!(
            "job {job} is shown as failed; its tasks had {} runs",
            of_job.count()
        ));
    }
    note(format!(
        "{completed} jobs completed, {} shown as failed; {} runs, {ended_failed} of them ended failed",
        failed.len(),
        runs.len()
    ));
    Ok(match failed.len() {
        0 => Verdict::Held,
        count => Verdict::Broken(format!(
            "{count} sound jobs are shown as failed; {ended_failed} runs have ended failed"
        )),
    })
}
