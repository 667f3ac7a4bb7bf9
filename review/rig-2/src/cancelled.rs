//! The store loses the answer to a hand-in and does the write late. A client that leaves cancels meanwhile and is told that there is no such
//! job. After that, the job must not be started.

use std::sync::atomic::{AtomicUsize, Ordering};
use std::thread;
use std::time::Duration;

use crate::record::{note, now_ms};
use crate::system::{one_step, System, PRICING};
use crate::Verdict;

const JOB: &str = "7b21d94b5c0e36f8";
/// How late the store does the write; 1 to 6 s are allowed.
const LATE_MS: u64 = 6_000;
/// How long after the acknowledgement of a cancel no task may be started any more.
const CANCEL_MS: u64 = 3_000;

pub fn play(trouble: bool) -> Result<Verdict, String> {
    let system = System::start(2, 4)?;
    let body = one_step(2, 1_600, 3_200, "1000", "", r#","estimated_ms":1000"#);
    if trouble {
        let lost = AtomicUsize::new(0);
        system.store.set_late(Some(Box::new(move |puts| {
            let hands_in = puts
                .iter()
                .any(|(table, key)| table == "jobs" && key == JOB);
            (hands_in && lost.fetch_add(1, Ordering::SeqCst) == 0).then_some(LATE_MS)
        })));
    }
    let answer = system.submit(0, PRICING, JOB, &body);
    if trouble && answer == Some(200) {
        return Err("the store's answer was not lost".to_owned());
    }
    // The client leaves: it doesn't hand the job in again, and cancels it in case it was taken.
    thread::sleep(Duration::from_millis(300));
    let path = format!("{}{JOB}", PRICING.prefix);
    let acknowledged = match system.ask(1, "DELETE", &path, "") {
        Some((200 | 410, _)) => now_ms(),
        other => return Err(format!("the cancel was not acknowledged: {other:?}")),
    };
    thread::sleep(Duration::from_millis(LATE_MS + 4_000));
    system.state(0, PRICING, JOB);
    let runs = system.fleet.runs_of(JOB);
    let late = runs
        .iter()
        .filter(|run| run.began_ms > acknowledged + CANCEL_MS);
    let late: Vec<u64> = late.map(|run| run.began_ms - acknowledged).collect();
    note(format!(
        "{} runs; begun so many ms after the acknowledgement, beyond {CANCEL_MS}: {late:?}",
        runs.len()
    ));
    Ok(match late.is_empty() {
        true => Verdict::Held,
        false => Verdict::Broken(format!(
            "{} tasks of a job begin later than {CANCEL_MS} ms after its cancelling was acknowledged",
            late.len()
        )),
    })
}
