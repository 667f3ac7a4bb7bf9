//! How many bytes messages have in their encoded form.

use sandshelf_jobs::{
    CommitBatch, EndReport, JobEvent, JobSpec, OrderAnswer, ProgressRow, RenewalAnswer,
    RenewalReport, RunReport, TaskKey, WorkerCall,
};
use serde_json::to_vec;

/// The head of a call to a worker: 150 bytes of 242 to 407 measured.
const CALL_HEAD: u64 = 150;
/// The head of an answer: 130 bytes of 150 measured.
const ANSWER_HEAD: u64 = 130;
/// The head of a call to the store with its query.
pub const STORE_CALL_BYTES: u64 = 95;
/// The fields of a row beside its key and value.
const ROW_FRAME: u64 = 60;
/// One route of a configuration: 205 bytes.
const ROUTE_BYTES: u64 = 205;
/// A configuration without routes.
const CONFIG_FRAME: u64 = 450;
/// One worker's entry: 353 bytes with its row; 373 bytes were measured at the stand-in, which also names the table.
const WORKER_ROW: u64 = 353;
/// The digits of a job's number.
const JOB_DIGITS: u64 = 16;
/// A write of the owner with its own row, without any other: 430 bytes.
const OWNER_WRITE: u64 = 430;

fn digits(number: u64) -> u64 {
    u64::from(number.checked_ilog10().unwrap_or(0)) + 1
}

/// A text in the store's encoding of values.
fn base64(length: u64) -> u64 {
    length.div_ceil(3) * 4
}

fn task(key: &TaskKey) -> u64 {
    let numbers = [key.time, key.step, key.index];
    JOB_DIGITS + 3 + numbers.map(u64::from).map(digits).iter().sum::<u64>()
}

fn text(value: &Option<String>) -> u64 {
    value.as_ref().map_or(0, |text| text.len() as u64)
}

/// The names and signs of an order to start beside its values, in the form that workers take.
const START_NAMES_BYTES: usize = 60;

/// A call to a worker.
pub fn worker_call(epoch: u64, call: &WorkerCall) -> u64 {
    let body = match call {
        WorkerCall::Start(start) => {
            let numbers = digits(start.key.run) + digits(start.deadline);
            let checkpoint = start
                .checkpoint
                .as_ref()
                .map_or(0, |saved| saved.len() + 16);
            let texts = start.payload.len() + checkpoint + START_NAMES_BYTES;
            texts as u64 + numbers + task(&start.key.task)
        }
        WorkerCall::Stop(key) => 40 + task(&key.task) + digits(key.run),
        WorkerCall::Pace(key, _) => 56 + task(&key.task) + digits(key.run),
        WorkerCall::Renew(hold) => {
            60 + digits(hold.last_seen) + hold.deadline.map_or(0, |at| 15 + digits(at))
        }
    };
    CALL_HEAD + body + digits(epoch)
}

fn running(run: &RunReport) -> u64 {
    let numbers = digits(run.key.run) + digits(u64::from(run.percent));
    let gauge = run.gauge.map_or(0, |gauge| 1 + digits(gauge));
    10 + task(&run.key.task) + numbers + gauge + text(&run.checkpoint)
}

fn ended(end: &EndReport) -> u64 {
    let numbers = digits(end.number) + digits(end.key.run);
    18 + task(&end.key.task) + numbers + text(&end.checkpoint)
}

fn report(report: &RenewalReport) -> u64 {
    let lists = report.running.iter().map(running).sum::<u64>();
    45 + lists + report.ended.iter().map(ended).sum::<u64>()
}

/// A worker's answer.
pub fn worker_answer(event: &JobEvent) -> u64 {
    let body = match event {
        JobEvent::RenewalAnswered(_, RenewalAnswer::Report(listed)) => report(listed),
        JobEvent::StartAnswered(_, _, OrderAnswer::Refused(..)) => 38,
        _ => 20,
    };
    ANSWER_HEAD + body
}

/// A row with a key and a value of some length, as the store sends it.
pub fn row(key: u64, value: u64) -> u64 {
    ROW_FRAME + key + base64(value)
}

fn encoded<T: serde::Serialize>(value: &T) -> u64 {
    to_vec(value).map_or(0, |bytes| bytes.len() as u64)
}

/// A job's row.
pub fn job_row(spec: &JobSpec) -> u64 {
    row(JOB_DIGITS, encoded(spec))
}

/// A row of progress.
pub fn progress_row(progress: &ProgressRow) -> u64 {
    row(JOB_DIGITS, encoded(progress))
}

/// A job as its caller sends it: about what its row holds.
pub fn submission(spec: &JobSpec) -> u64 {
    CALL_HEAD + encoded(spec)
}

/// A write of the owner.
pub fn owner_write(batch: &CommitBatch) -> u64 {
    let progress = batch.progress.iter();
    let progress = progress.map(|(_, row)| progress_row(row)).sum::<u64>();
    let published = batch
        .pending
        .as_ref()
        .map_or(0, |counts| row(7, encoded(counts)));
    OWNER_WRITE + progress + published + shard_rows(batch)
}

/// The rows of the owner that a successor reads, as far as a batch writes them.
pub fn shard_rows(batch: &CommitBatch) -> u64 {
    let roster = batch
        .roster
        .as_ref()
        .map_or(0, |roster| row(6, encoded(roster)));
    let silent = batch
        .silent
        .as_ref()
        .map_or(0, |marks| row(6, encoded(marks)));
    let strengths = batch.interference.as_ref();
    roster + silent + strengths.map_or(0, |learnt| row(9, encoded(learnt)))
}

/// The answer of the store to anything that shows no row.
pub fn plain_answer() -> u64 {
    ANSWER_HEAD + 60
}

/// An answer of the store with the owner's row.
pub fn owner_row() -> u64 {
    plain_answer() + row(5, 190)
}

/// A configuration of so many routes in its row.
pub fn config_row(routes: usize) -> u64 {
    plain_answer() + row(6, CONFIG_FRAME + routes as u64 * ROUTE_BYTES)
}

/// The list of so many workers.
pub fn worker_list(workers: usize) -> u64 {
    plain_answer() + workers as u64 * WORKER_ROW
}
