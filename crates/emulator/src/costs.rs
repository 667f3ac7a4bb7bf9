//! Processor time that each action of a host costs.
//!
//! The costs of calls and their bytes come from `sandshelf-call-costs` (rounded median of three runs on a busy machine), those
//! of the scheduler from `sandshelf-emulate --measure`. On the users' platform a process also pays for wake-ups and system
//! calls: `PLATFORM_PERCENT` is such that an owner of 490 workers uses as much processor time as it does there on a comparable
//! day.

use sandshelf_jobs::{JobAction, JobEvent, RenewalAnswer, WorkerCall};

use crate::queue::Micros;

/// Cost on the users' platform in percent of the cost on the measuring machine.
const PLATFORM_PERCENT: u64 = 170;
/// One direction of an order or lease renewal, without the cost per byte. Call and answer together take 40 us.
const CALL_HALF_US: Micros = 20;
/// Opening a connection, without the first call over it: 60 us.
pub const CONNECT_US: Micros = 60;
/// A tick of the control thread with its timers. Idle hosts use 3.6 thousandths of a core for 40 ticks a second.
pub const TICK_US: Micros = 25;
/// Giving up a call that timed out.
const GIVE_UP_US: Micros = 15;
/// Reading or writing a notice of a renewal.
pub const NOTICE_US: Micros = 20;
/// A caller's request with its headers and its answer, without the calls to the store that it causes.
pub const REQUEST_US: Micros = 120;
/// Start of the process until it accepts connections.
pub const LAUNCH_US: Micros = 5_000;
/// Decoding a worker's report, in nanoseconds per byte: 12 us for 590 bytes.
const REPORT_BYTE_NS: u64 = 20;
/// Decoding rows of the store, in nanoseconds per byte: 2.3 ms for 459 KB of jobs, 1.2 ms for 183 KB of workers, 1.7 ms for 275 KB of configuration.
const ROW_BYTE_NS: u64 = 6;
/// Encoding a call, in nanoseconds per byte: 64 us for 23 KB of progress.
const ENCODE_BYTE_NS: u64 = 3;

/// Fixed cost of a scheduler step, for any number of events: checking renewals, placements and writes. 3 us by the fit.
const STEP_US: Micros = 3;
/// Checking one worker in a tick, in nanoseconds: 130 us for 490 workers by the fit.
const TICK_WORKER_NS: u64 = 260;
/// One running task in a worker's report, in nanoseconds.
const RUN_NS: u64 = 1_000;
/// One ended run in a worker's report.
const END_US: Micros = 10;
/// An answer to an order, or another event without a list.
const ORDER_ANSWER_US: Micros = 1;
/// A job that the store lists.
const JOB_US: Micros = 10;
/// One worker in the list of workers, in nanoseconds.
const WORKER_NS: u64 = 800;
/// An order to start a run, with the choice of its worker.
const START_US: Micros = 17;
/// Fixed cost of a placement pass over the waiting tasks.
const PASS_US: Micros = 180;
/// One waiting task in a placement pass, in nanoseconds.
const WAITING_NS: u64 = 300;
/// Any other call or write.
const CALL_US: Micros = 1;

/// Converts a measured cost to the cost on the users' platform.
pub fn on_platform(measured: Micros) -> Micros {
    measured * PLATFORM_PERCENT / 100
}

/// Cost of sending a call of `bytes` bytes to a worker or to the store.
pub fn send_us(bytes: u64) -> Micros {
    CALL_HALF_US + bytes * ENCODE_BYTE_NS / 1_000
}

/// Cost of receiving a worker's answer of `bytes` bytes.
pub fn worker_answer_us(bytes: u64) -> Micros {
    CALL_HALF_US + bytes * REPORT_BYTE_NS / 1_000
}

/// Cost of receiving an answer of the store of `bytes` bytes.
pub fn store_answer_us(bytes: u64) -> Micros {
    CALL_HALF_US + bytes * ROW_BYTE_NS / 1_000
}

/// Cost of giving up a call that timed out.
pub fn give_up_us() -> Micros {
    GIVE_UP_US
}

/// Cost of one scheduler step that handles `events` and returns `actions`. `pass` is the number of waiting tasks if the step
/// included a placement pass, else `None`.
pub fn scheduler_us(events: &[EventWeight], actions: &[JobAction], pass: Option<usize>) -> Micros {
    let events: Micros = events.iter().map(|event| event.0).sum();
    let actions: Micros = actions.iter().map(action_us).sum();
    let pass = pass.map_or(0, |waiting| PASS_US + waiting as u64 * WAITING_NS / 1_000);
    STEP_US + events + actions + pass
}

/// Processor time that the scheduler spends on one event, in microseconds.
#[derive(Clone, Copy, Debug)]
pub struct EventWeight(Micros);

impl EventWeight {
    /// Derives the cost from the event's kind, the length of its lists, and the number of workers that the scheduler knows.
    pub fn of(event: &JobEvent, workers: usize) -> Self {
        EventWeight(match event {
            JobEvent::RenewalAnswered(_, RenewalAnswer::Report(report)) => {
                let running = report.running.len() as u64 * RUN_NS / 1_000;
                running + report.ended.len() as u64 * END_US
            }
            JobEvent::JobListed { .. } => JOB_US,
            JobEvent::WorkersListed(list) => list.len() as u64 * WORKER_NS / 1_000,
            JobEvent::WorkersChanged(changes) => {
                ORDER_ANSWER_US + changes.listed.len() as u64 * WORKER_NS / 1_000
            }
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
            | JobEvent::OwnershipOverdue(_)
            | JobEvent::StoreClock { .. }
            | JobEvent::StateRead { .. } => ORDER_ANSWER_US,
        })
    }
}

/// Cost of producing one action: choosing a worker, a pace, or the content of a write.
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
