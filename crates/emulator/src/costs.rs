//! What each thing that a host does costs of a processor core.
//!
//! Calls and their bytes were measured by `sandshelf-call-costs` (three runs on a machine that other work kept busy: the middle
//! one, rounded), the scheduler's own time by `sandshelf-emulate --measure`. What a process pays for wake-ups and system calls
//! on the users' platform comes on top; `PLATFORM_PERCENT` was set so that an owner of 490 workers uses what it was
//! seen to use there on a day like the one played.

use sandshelf_jobs::{JobAction, JobEvent, RenewalAnswer, WorkerCall};

use crate::queue::Micros;

/// By how much more than in the measurements everything costs, in percent.
const PLATFORM_PERCENT: u64 = 170;
/// An order or a hold and its answer, without what grows with their bytes: 40 us measured, half for each way.
const CALL_HALF_US: Micros = 20;
/// A new connection beside its first call: 60 us measured.
pub const CONNECT_US: Micros = 60;
/// A tick of the control thread with its timers: hosts at rest were seen to use 3.6 thousandths of a core for 40 a second.
pub const TICK_US: Micros = 25;
/// A call that is waited for in vain.
const GIVE_UP_US: Micros = 15;
/// A request of a caller with its head and answer, without the calls to the store that it leads to.
pub const REQUEST_US: Micros = 120;
/// The start of the process until it takes connections.
pub const LAUNCH_US: Micros = 5_000;
/// Decoding of what a worker lists, by byte: 12 us for 590 bytes.
const LIST_NS: u64 = 20;
/// Decoding of rows, by byte: 2.3 ms for 459 KB of jobs, 1.2 ms for 183 KB of workers, 1.7 ms for 275 KB of configuration.
const ROW_NS: u64 = 6;
/// Encoding, by byte: 64 us for 23 KB of progress.
const ENCODE_NS: u64 = 3;

/// A step of the scheduler for any number of events: holds, places and writes are looked at. 3 us by the fit.
const STEP_US: Micros = 3;
/// A tick's looks at each worker, in nanoseconds: 130 us by the fit at 490 workers.
const TICK_WORKER_NS: u64 = 260;
/// A run that a worker lists, in nanoseconds.
const RUN_NS: u64 = 1_000;
/// An end that it lists.
const END_US: Micros = 10;
/// An answer to an order.
const ORDER_ANSWER_US: Micros = 1;
/// A job that is listed.
const JOB_US: Micros = 10;
/// A worker that is listed, in nanoseconds.
const WORKER_NS: u64 = 800;
/// An order to start, with the choice of its place.
const START_US: Micros = 17;
/// A look for places for waiting tasks.
const PASS_US: Micros = 180;
/// Each task that waits at such a look, in nanoseconds.
const WAITING_NS: u64 = 300;
/// Any other call.
const CALL_US: Micros = 1;

/// What it costs on the users' platform.
pub fn on_platform(measured: Micros) -> Micros {
    measured * PLATFORM_PERCENT / 100
}

/// Sending a call to a worker or to the store.
pub fn send_us(bytes: u64) -> Micros {
    CALL_HALF_US + bytes * ENCODE_NS / 1_000
}

/// Taking in a worker's answer.
pub fn worker_answer_us(bytes: u64) -> Micros {
    CALL_HALF_US + bytes * LIST_NS / 1_000
}

/// Taking in an answer of the store.
pub fn store_answer_us(bytes: u64) -> Micros {
    CALL_HALF_US + bytes * ROW_NS / 1_000
}

/// Giving up a call that got no answer in time.
pub fn give_up_us() -> Micros {
    GIVE_UP_US
}

/// The scheduler's own time for events taken in together, with the actions that they led to; `pass` is how many tasks
/// waited where places for them were looked for.
pub fn scheduler_us(events: &[EventWeight], actions: &[JobAction], pass: Option<usize>) -> Micros {
    let events: Micros = events.iter().map(|event| event.0).sum();
    let actions: Micros = actions.iter().map(action_us).sum();
    let pass = pass.map_or(0, |waiting| PASS_US + waiting as u64 * WAITING_NS / 1_000);
    STEP_US + events + actions + pass
}

/// What one event costs the scheduler.
#[derive(Clone, Copy, Debug)]
pub struct EventWeight(Micros);

impl EventWeight {
    /// By its kind, by how much it lists, and by how many workers the scheduler knows.
    pub fn of(event: &JobEvent, workers: usize) -> Self {
        EventWeight(match event {
            JobEvent::RenewalAnswered(_, RenewalAnswer::Report(report)) => {
                let running = report.running.len() as u64 * RUN_NS / 1_000;
                running + report.ended.len() as u64 * END_US
            }
            JobEvent::JobListed { .. } => JOB_US,
            JobEvent::WorkersListed(list) => list.len() as u64 * WORKER_NS / 1_000,
            JobEvent::Tick { .. } => workers as u64 * TICK_WORKER_NS / 1_000,
            JobEvent::RenewalAnswered(..)
            | JobEvent::StartAnswered(..)
            | JobEvent::StopAnswered(..)
            | JobEvent::PaceAnswered(..)
            | JobEvent::WorkersUnreadable(_)
            | JobEvent::CancelAsked(_)
            | JobEvent::Committed(_)
            | JobEvent::QueuesChanged(_)
            | JobEvent::HallsEvacuated(_)
            | JobEvent::SureUntil(_)
            | JobEvent::StoreClock { .. }
            | JobEvent::StateRead { .. } => ORDER_ANSWER_US,
        })
    }
}

/// Choosing a place, a pace, or what to write.
fn action_us(action: &JobAction) -> Micros {
    match action {
        JobAction::Call {
            call: WorkerCall::Start(_),
            ..
        } => START_US,
        JobAction::Call { .. } | JobAction::Commit(_) => CALL_US,
        JobAction::Note(_) | JobAction::Deposed => 0,
    }
}
