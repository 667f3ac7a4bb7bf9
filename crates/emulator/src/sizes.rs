//! Estimates the encoded sizes of messages and rows, in bytes.

use sandshelf_jobs::{
    CommitBatch, EndReport, InterferenceRow, JobEvent, JobSpec, OrderAnswer, ProgressPage,
    ProgressRow, RenewalAnswer, RenewalReport, RosterPage, RunReport, SilentWorkers, TaskKey,
    WorkerCall,
};
use serde_json::to_vec;

/// Headers of a call to a worker: 150 of its 242 to 407 bytes.
const CALL_HEAD_BYTES: u64 = 150;
/// Headers of an answer: 130 of its 150 bytes.
const ANSWER_HEAD_BYTES: u64 = 130;
/// Headers of a call to the store, with the query.
pub const STORE_CALL_BYTES: u64 = 95;
/// A row of the store without its key and value.
const ROW_FRAME_BYTES: u64 = 60;
/// One route of a configuration.
const ROUTE_BYTES: u64 = 205;
/// A configuration without its routes.
const CONFIG_FRAME_BYTES: u64 = 450;
/// One worker's entry with its row. The stand-in sends 373 bytes because it also names the table.
const WORKER_ROW_BYTES: u64 = 353;
/// Digits of a job's number.
const JOB_DIGITS: u64 = 16;
/// A write of the owner that contains only the owner's row.
const OWNER_WRITE_BYTES: u64 = 430;

fn digits(number: u64) -> u64 {
    u64::from(number.checked_ilog10().unwrap_or(0)) + 1
}

/// Length of a value in the store's encoding (base64).
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

/// Field names and punctuation of an order to start a run, without the values.
const START_NAMES_BYTES: usize = 60;

/// Size of a call to a worker.
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
        WorkerCall::Renew(renewal) => {
            60 + digits(renewal.last_seen) + renewal.deadline.map_or(0, |at| 15 + digits(at))
        }
    };
    CALL_HEAD_BYTES + body + digits(epoch)
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

/// Size of a worker's answer.
pub fn worker_answer(event: &JobEvent) -> u64 {
    let body = match event {
        JobEvent::RenewalAnswered(_, RenewalAnswer::Report(listed)) => report(listed),
        JobEvent::StartAnswered(_, _, OrderAnswer::Refused(..)) => 38,
        _ => 20,
    };
    ANSWER_HEAD_BYTES + body
}

/// Size of a row as the store sends it, from the lengths of its key and value.
pub fn row(key: u64, value: u64) -> u64 {
    ROW_FRAME_BYTES + key + base64(value)
}

fn encoded<T: serde::Serialize>(value: &T) -> u64 {
    to_vec(value).map_or(0, |bytes| bytes.len() as u64)
}

/// Size of a job's row.
pub fn job_row(spec: &JobSpec) -> u64 {
    row(JOB_DIGITS, encoded(spec))
}

/// Size of a progress row.
pub fn progress_row(progress: &ProgressRow) -> u64 {
    row(JOB_DIGITS, encoded(progress))
}

/// Size of a page of the progress of a large job.
pub fn progress_page(page: &ProgressPage) -> u64 {
    row(JOB_DIGITS + 6, encoded(page))
}

/// Size of a job as its caller sends it: about that of its row.
pub fn submission(spec: &JobSpec) -> u64 {
    CALL_HEAD_BYTES + encoded(spec)
}

/// Size of a write of the owner.
pub fn owner_write(batch: &CommitBatch) -> u64 {
    let progress = batch.progress.iter();
    let progress = progress.map(|(_, row)| progress_row(row)).sum::<u64>();
    let published = batch
        .pending
        .as_ref()
        .map_or(0, |counts| row(7, encoded(counts)));
    let pages = batch.pages.iter();
    let pages = pages.map(|(_, page)| progress_page(page)).sum::<u64>();
    OWNER_WRITE_BYTES + progress + pages + published + shard_rows(batch)
}

/// Size of the roster, silence and interference rows in a batch, which the next owner reads.
pub fn shard_rows(batch: &CommitBatch) -> u64 {
    let head = batch.roster.head.iter().map(|head| row(6, encoded(head)));
    let pages = batch.roster.pages.values().map(roster_page);
    let silent = batch.silent.pages.values().map(silence_page);
    let interference = batch.interference.iter().map(interference_row);
    head.chain(pages).chain(silent).chain(interference).sum()
}

/// Size of a page of the roster.
pub fn roster_page(page: &RosterPage) -> u64 {
    row(10, encoded(page))
}

/// Size of a page of silence records.
pub fn silence_page(page: &SilentWorkers) -> u64 {
    row(10, encoded(page))
}

/// Size of the row of what was learnt about images.
pub fn interference_row(learnt: &InterferenceRow) -> u64 {
    row(9, encoded(learnt))
}

/// Size of an answer of the store without rows.
pub fn plain_answer() -> u64 {
    ANSWER_HEAD_BYTES + 60
}

/// Size of an answer of the store with the owner's row.
pub fn owner_row() -> u64 {
    plain_answer() + row(5, 190)
}

/// Size of an answer with a configuration of `routes` routes.
pub fn config_row(routes: usize) -> u64 {
    plain_answer() + row(6, CONFIG_FRAME_BYTES + routes as u64 * ROUTE_BYTES)
}

/// Size of an answer that lists `workers` workers.
pub fn worker_list(workers: usize) -> u64 {
    plain_answer() + workers as u64 * WORKER_ROW_BYTES
}
