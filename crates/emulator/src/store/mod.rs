//! Emulates the store: rows for jobs, progress and shard ownership with their sizes, and feeds that wait for changes.

mod calls;

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use sandshelf_jobs::{
    CommitBatch, InterferenceRow, JobNumber, JobSpec, PageKey, ProgressPage, ProgressRow,
    SilentWorkers, StoredProgress, WorkerChanges, WorkerListing, WorkerPage, WorkerRoster,
};
use sandshelf_lease::{RowVersion, ShardRow, StoredRow};
use sandshelf_model::{Millis, WorkerId};

use crate::queue::{Micros, MS};
use crate::sizes;
pub use calls::{ConfigRow, JobRow, OwnerWrite, StoreCall, StoreReply};

/// Time that an answer without a write takes, in milliseconds.
const ANSWER_MS: Micros = 4;
/// Time that a write occupies its part, in milliseconds; a part handles one write at a time.
const WRITE_MS: Micros = 5;
/// Number of parts that the table of jobs is split into.
pub const JOB_PARTS: u32 = 32;
/// Index of the part for the owner's writes, which follows the parts for jobs.
const OWNER_PART: usize = JOB_PARTS as usize;
/// Maximum number of rows in a page of progress.
const PAGE_ROWS: usize = 500;
/// The store's clock at the start of a simulation, in milliseconds.
const CLOCK_START_MS: Millis = 5_000_000;
/// Longest time that a write waits for its part; if it would wait longer, it is rejected.
const MAX_WRITE_WAIT: Micros = 1_000 * MS;

/// State that a shard owner publishes in addition to progress, for the next owner.
#[derive(Clone, Debug, Default)]
pub struct ShardState {
    /// The workers that may run tasks.
    pub roster: WorkerRoster,
    /// The silence records of workers that do not answer.
    pub silent: SilentWorkers,
    /// The learnt interference between images.
    pub interference: InterferenceRow,
    /// The sizes of the pages of the roster and of silence records as rows, in bytes.
    page_bytes: BTreeMap<WorkerPage, [u64; 2]>,
    /// The size of the learned interference as a row, in bytes.
    interference_bytes: u64,
}

impl ShardState {
    /// Applies what a write changes of it.
    fn apply(&mut self, batch: &CommitBatch) {
        batch.roster.apply_to(&mut self.roster);
        batch.silent.apply_to(&mut self.silent);
        for (number, page) in &batch.roster.pages {
            let bytes = self.page_bytes.entry(*number).or_default();
            bytes[0] = sizes::roster_page(page);
        }
        for (number, page) in &batch.silent.pages {
            let bytes = self.page_bytes.entry(*number).or_default();
            bytes[1] = sizes::silence_page(page);
        }
        if let Some(interference) = &batch.interference {
            self.interference = interference.clone();
            self.interference_bytes = sizes::interference_row(interference);
        }
    }

    /// The size of its rows, in bytes.
    fn bytes(&self) -> u64 {
        let pages = self.page_bytes.values().flatten();
        pages.sum::<u64>() + self.interference_bytes
    }
}

/// An answer with its size and time.
#[derive(Debug)]
pub struct StoreAnswer {
    /// The answer.
    pub reply: StoreReply,
    /// Its size in bytes.
    pub bytes: u64,
    /// The time at which it leaves the store.
    pub at: Micros,
}

/// The store's rows and state.
#[derive(Debug)]
pub struct EmulatedStore {
    version: RowVersion,
    owner: StoredRow,
    /// Jobs and cancellations in the order of their versions, with their sizes in bytes.
    jobs: Vec<(RowVersion, JobRow, u64)>,
    /// All known job numbers, and whether the job is cancelled.
    numbers: BTreeMap<JobNumber, bool>,
    /// Progress rows with their sizes in bytes.
    pub progress: BTreeMap<JobNumber, (ProgressRow, u64)>,
    /// Pages of the progress of large jobs, with their sizes in bytes.
    progress_pages: BTreeMap<PageKey, (ProgressPage, u64)>,
    shard: ShardState,
    config: (RowVersion, ConfigRow),
    /// The time at which each part is free for the next write.
    parts_free: Vec<Micros>,
    /// The time until which it answers nobody.
    pub silent_until: Micros,
    /// The time until which it is slow, and the factor by which its answers then take longer.
    pub slow: (Micros, u64),
    /// The hosts whose calls it refuses, each with the time at which that ends.
    refused_hosts: BTreeMap<usize, Micros>,
}

impl Default for EmulatedStore {
    fn default() -> Self {
        Self {
            version: 0,
            owner: StoredRow {
                version: 0,
                row: ShardRow::default(),
            },
            jobs: Vec::new(),
            numbers: BTreeMap::new(),
            progress: BTreeMap::new(),
            progress_pages: BTreeMap::new(),
            shard: ShardState::default(),
            config: (0, ConfigRow::default()),
            parts_free: vec![0; OWNER_PART + 1],
            silent_until: 0,
            slow: (0, 1),
            refused_hosts: BTreeMap::new(),
        }
    }
}

impl EmulatedStore {
    /// The store's clock at a virtual time, in milliseconds.
    pub fn clock_ms(now: Micros) -> Millis {
        CLOCK_START_MS + now / MS
    }

    /// The configuration in the store.
    pub fn config(&self) -> ConfigRow {
        self.config.1
    }

    /// The name in the owner's row.
    pub fn owner_name(&self) -> Option<&str> {
        self.owner.row.owner.as_ref().map(|owner| owner.as_str())
    }

    /// Writes a configuration with `routes` routes, as the operator does; returns its version.
    pub fn configure(&mut self, routes: usize) -> u64 {
        self.version += 1;
        let version = self.config.1.version + 3;
        self.config = (self.version, ConfigRow { version, routes });
        version
    }

    fn slowness(&self, now: Micros) -> u64 {
        match self.slow {
            (until, times) if now < until => times,
            _ => 1,
        }
    }

    /// Queues a write in a part; returns the time at which it is done, or `None` if it would wait too long.
    fn schedule_write(&mut self, now: Micros, part: usize) -> Option<Micros> {
        let slowness = self.slowness(now);
        let free = &mut self.parts_free[part];
        let begins = now.max(*free);
        if begins > now + MAX_WRITE_WAIT {
            return None;
        }
        *free = begins + WRITE_MS * MS * slowness;
        Some(*free)
    }

    /// Refuses all calls of a host until a time.
    pub fn refuse_host(&mut self, host: usize, until: Micros) {
        self.refused_hosts.insert(host, until);
    }

    /// Whether it refuses the calls of a host.
    pub fn refuses(&self, now: Micros, host: usize) -> bool {
        let until = self.refused_hosts.get(&host);
        until.is_some_and(|until| now < *until)
    }

    /// The answer to a call that is refused at once.
    pub fn refusal(&self, now: Micros) -> StoreAnswer {
        StoreAnswer {
            reply: StoreReply::Rejected,
            bytes: sizes::plain_answer(),
            at: now + ANSWER_MS * MS * self.slowness(now),
        }
    }

    /// Whether a feed has changes to report; `true` for all other calls.
    pub fn has_changes(&self, call: &StoreCall) -> bool {
        match call {
            StoreCall::FollowJobs(after) => self.jobs.last().is_some_and(|row| row.0 > *after),
            StoreCall::FollowConfig(after) => self.config.0 > *after,
            _ => true,
        }
    }

    /// Executes a call of a host at `now`. `workers` is the current list of workers.
    pub fn answer(
        &mut self,
        now: Micros,
        call: &StoreCall,
        workers: &[WorkerListing],
    ) -> StoreAnswer {
        let part = match call {
            StoreCall::Write(_) => Some(OWNER_PART),
            StoreCall::PutJob(_, number, _) | StoreCall::PutCancel(_, number) => {
                Some(job_part(*number) as usize)
            }
            _ => None,
        };
        let at = match part {
            Some(part) => self.schedule_write(now, part),
            None => Some(now + ANSWER_MS * MS * self.slowness(now)),
        };
        let Some(at) = at else {
            return StoreAnswer {
                reply: StoreReply::Rejected,
                bytes: sizes::plain_answer(),
                at: now + MAX_WRITE_WAIT,
            };
        };
        let (reply, bytes) = self.reply(now, call, workers);
        StoreAnswer { reply, bytes, at }
    }

    fn reply(
        &mut self,
        now: Micros,
        call: &StoreCall,
        workers: &[WorkerListing],
    ) -> (StoreReply, u64) {
        match call {
            StoreCall::ReadOwner | StoreCall::CheckWrite => {
                (StoreReply::Owner(self.owner.clone()), sizes::owner_row())
            }
            StoreCall::Write(write) => (self.write(write), sizes::plain_answer()),
            StoreCall::ReadProgress(behind) => self.progress_page(*behind),
            StoreCall::ReadShard => {
                let bytes = sizes::owner_row() + self.shard.bytes();
                let clock = Self::clock_ms(now);
                (
                    StoreReply::Shard(Box::new(self.shard.clone()), clock),
                    bytes,
                )
            }
            StoreCall::ReadJobs(part) => self.job_rows(|row| job_part(row.1.number()) == *part),
            StoreCall::FollowJobs(after) => {
                let newer = self.jobs.partition_point(|row| row.0 <= *after);
                let first = self.jobs.get(newer).map_or(RowVersion::MAX, |row| row.0);
                self.job_rows(|row| row.0 >= first)
            }
            StoreCall::FollowWorkers(known) => {
                let changes = worker_changes(known, workers);
                let bytes = sizes::worker_list(changes.listed.len() + changes.removed.len());
                let clock = Self::clock_ms(now);
                (StoreReply::WorkerChanges(changes, clock), bytes)
            }
            StoreCall::ListWorkers => {
                let bytes = sizes::worker_list(workers.len());
                (
                    StoreReply::Workers(workers.to_vec(), Self::clock_ms(now)),
                    bytes,
                )
            }
            StoreCall::ReadConfig => {
                let bytes = sizes::config_row(self.config.1.routes);
                (StoreReply::Config(self.config.1, self.version), bytes)
            }
            StoreCall::FollowConfig(after) => {
                let changed = self.config.0 > *after;
                let bytes = match changed {
                    true => sizes::config_row(self.config.1.routes),
                    false => sizes::plain_answer(),
                };
                (StoreReply::Config(self.config.1, self.version), bytes)
            }
            StoreCall::PutJob(_, number, spec) => {
                self.put_job(*number, spec);
                (StoreReply::Done, sizes::plain_answer())
            }
            StoreCall::PutCancel(_, number) => {
                self.put_cancel(*number);
                (StoreReply::Done, sizes::plain_answer())
            }
            StoreCall::CheckJob(_, number, _) => (
                StoreReply::Known(self.has_job(*number)),
                sizes::plain_answer(),
            ),
            StoreCall::ReadJob(..) => (StoreReply::Done, sizes::plain_answer() + 900),
        }
    }

    fn write(&mut self, write: &OwnerWrite) -> StoreReply {
        if write.version != self.owner.version {
            return StoreReply::Conflict(self.owner.clone());
        }
        self.version += 1;
        self.owner = StoredRow {
            version: self.version,
            row: write.row.clone(),
        };
        for key in &write.batch.obsolete_pages {
            self.progress_pages.remove(key);
        }
        for (number, row) in &write.batch.progress {
            let bytes = sizes::progress_row(row);
            self.progress.insert(*number, (row.clone(), bytes));
        }
        for (key, page) in &write.batch.pages {
            let bytes = sizes::progress_page(page);
            self.progress_pages.insert(*key, (page.clone(), bytes));
        }
        self.shard.apply(&write.batch);
        StoreReply::Written(self.version)
    }

    fn progress_page(&self, behind: Option<JobNumber>) -> (StoreReply, u64) {
        use std::ops::Bound::{Excluded, Unbounded};
        let from = behind.map_or(Unbounded, Excluded);
        let mut bytes = sizes::plain_answer();
        let mut read = StoredProgress::default();
        let mut more = None;
        for (number, (row, size)) in self.progress.range((from, Unbounded)) {
            bytes += size;
            read.rows.insert(*number, row.clone());
            for (key, (page, size)) in self.pages_of(*number) {
                bytes += size;
                read.pages.insert(*key, page.clone());
            }
            if read.rows.len() + read.pages.len() >= PAGE_ROWS {
                more = Some(*number);
                break;
            }
        }
        (StoreReply::Progress(read, more), bytes)
    }

    /// The pages of a job's progress with their sizes in bytes.
    fn pages_of(
        &self,
        job: JobNumber,
    ) -> impl Iterator<Item = (&PageKey, &(ProgressPage, u64))> + '_ {
        let first = PageKey {
            job,
            time: 0,
            step: 0,
            page: 0,
        };
        let pages = self.progress_pages.range(first..);
        pages.take_while(move |(key, _)| key.job == job)
    }

    fn job_rows(&self, wanted: impl Fn(&(RowVersion, JobRow, u64)) -> bool) -> (StoreReply, u64) {
        let mut bytes = sizes::plain_answer();
        let mut rows = Vec::new();
        for row in self.jobs.iter().filter(|row| wanted(row)) {
            bytes += row.2;
            rows.push((row.0, row.1.clone()));
        }
        (StoreReply::Jobs(rows, self.version), bytes)
    }

    fn put_job(&mut self, number: JobNumber, spec: &Arc<JobSpec>) {
        if self.numbers.contains_key(&number) {
            return;
        }
        self.version += 1;
        self.numbers.insert(number, false);
        let row = JobRow::Job(number, spec.clone());
        self.jobs.push((self.version, row, sizes::job_row(spec)));
    }

    fn has_job(&self, number: JobNumber) -> bool {
        self.numbers.contains_key(&number)
    }

    fn put_cancel(&mut self, number: JobNumber) {
        if self.numbers.insert(number, true) == Some(false) {
            self.version += 1;
            let row = JobRow::Cancelled(number);
            self.jobs.push((self.version, row, sizes::row(23, 2)));
        }
    }
}

/// The part that holds a job's row.
fn job_part(number: JobNumber) -> u32 {
    (number.0 % u64::from(JOB_PARTS)) as u32
}

/// What differs in the list of workers from what a host knows.
fn worker_changes(
    known: &BTreeMap<WorkerId, WorkerListing>,
    workers: &[WorkerListing],
) -> WorkerChanges {
    let named: BTreeSet<&WorkerId> = workers.iter().map(|entry| &entry.worker).collect();
    let changed = workers
        .iter()
        .filter(|entry| known.get(&entry.worker) != Some(*entry));
    let removed = known.keys().filter(|id| !named.contains(id));
    WorkerChanges {
        listed: changed.cloned().collect(),
        removed: removed.cloned().collect(),
        unreadable: Vec::new(),
    }
}
