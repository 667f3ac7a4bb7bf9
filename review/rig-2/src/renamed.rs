//! The operator replaces a route by one of another name with the same host, prefix and service. Accepted jobs must still be known there.

use std::thread;
use std::time::Duration;

use crate::record::note;
use crate::system::{one_step, put_config, Queue, System, PRICING, SETTLEMENT, WATCH};
use crate::Verdict;

/// The route that takes the place of [`SETTLEMENT`].
const NEW_NAME: Queue = Queue {
    name: "r-settlement-2",
    ..SETTLEMENT
};
const DONE_JOB: &str = "0d94b5c0e36f87b2";
const RUNNING_JOB: &str = "1d94b5c0e36f87b2";
/// When a change of the configuration is in force everywhere, with a margin.
const IN_FORCE: Duration = Duration::from_millis(5_000);

pub fn play(trouble: bool) -> Result<Verdict, String> {
    let system = System::start(2, 4)?;
    system.accept(
        SETTLEMENT,
        DONE_JOB,
        &one_step(2, 1_800, 3_200, "1000", "", r#","estimated_ms":1000"#),
    )?;
    system.accept(
        SETTLEMENT,
        RUNNING_JOB,
        &one_step(2, 1_800, 3_200, "30000", "", r#","estimated_ms":30000"#),
    )?;
    thread::sleep(Duration::from_millis(4_000));
    for job in [DONE_JOB, RUNNING_JOB] {
        let state = system.state(0, SETTLEMENT, job);
        if !matches!(&state, Some((200, _))) {
            return Err(format!(
                "job {job} isn't shown before the change: {state:?}"
            ));
        }
    }
    let settlement = if trouble { NEW_NAME } else { SETTLEMENT };
    put_config(&system.store, 12, &[PRICING, settlement, WATCH]);
    thread::sleep(IN_FORCE);
    let mut unknown = Vec::new();
    for at in 0..2 {
        for job in [DONE_JOB, RUNNING_JOB] {
            match system.state(at, settlement, job) {
                Some((200, _)) => {}
                Some((410, _)) => unknown.push(job),
                other => return Err(format!("job {job}: {other:?}")),
            }
        }
    }
    note(format!("answered with 410: {unknown:?}"));
    Ok(match unknown.is_empty() {
        true => Verdict::Held,
        false => Verdict::Broken(format!(
            "{} of 4 questions for accepted jobs are answered with 410",
            unknown.len()
        )),
    })
}
