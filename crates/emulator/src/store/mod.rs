//! The emulated store: rows of jobs, progress and ownership, each with its size, and feeds that wait for changes.

mod calls;

use std::collections::BTreeMap;
use std::sync::Arc;

use sandshelf_jobs::{
    CommitBatch, InterferenceRow, JobNumber, JobSpec, ProgressRow, SilentWorkers, WorkerListing,
    WorkerRoster,
};
use sandshelf_lease::{RowVersion, ShardRow, StoredRow};
use sandshelf_model::Millis;

use crate::queue::{Micros, MS};
use crate::sizes;
pub use calls::{ConfigRow, JobRow, OwnerWrite, StoreCall, StoreReply};

/// How long an answer takes.
const ANSWER_MS: Micros = 4;
/// How long a write takes in its part, which takes one after the other.
const WRITE_MS: Micros = 5;
/// Into how many parts the jobs are spread.
pub const JOB_PARTS: u32 = 32;
/// The part that the owner writes to.
const OWNER_PART: usize = JOB_PARTS as usize;
/// The most rows of one answer.
const PAGE_ROWS: usize = 500;
/// The store's clock at the start of a play.
const CLOCK_START_MS: Millis = 5_000_000;
/// What a write waits for its turn at most before it is turned away.
const LONGEST_TURN: Micros = 1_000 * MS;

/// What an owner publishes beside progress.
#[derive(Clone, Debug, Default)]
pub struct ShardState {
    /// The workers that may hold tasks.
    pub roster: WorkerRoster,
    /// The marks of silent ones.
    pub silent: SilentWorkers,
    /// What is learnt of images.
    pub strengths: InterferenceRow,
    /// Their bytes as rows.
    bytes: [u64; 3],
}

/// An answer, how large it is and when the store has it.
#[derive(Debug)]
pub struct StoreAnswer {
    /// What is answered.
    pub reply: StoreReply,
    /// Its bytes.
    pub bytes: u64,
    /// When it leaves the store.
    pub at: Micros,
}

/// All rows.
#[derive(Debug)]
pub struct EmulatedStore {
    version: RowVersion,
    owner: StoredRow,
    /// Jobs and marks in the order of their versions, with their sizes.
    jobs: Vec<(RowVersion, JobRow, u64)>,
    numbers: BTreeMap<JobNumber, bool>,
    /// Progress with the size of each row.
    pub progress: BTreeMap<JobNumber, (ProgressRow, u64)>,
    shard: ShardState,
    config: (RowVersion, ConfigRow),
    parts_free: Vec<Micros>,
    /// Until when it answers nobody.
    pub silent_until: Micros,
    /// Until when it is slow, and by how much.
    pub slow: (Micros, u64),
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
            shard: ShardState::default(),
            config: (0, ConfigRow::default()),
            parts_free: vec![0; OWNER_PART + 1],
            silent_until: 0,
            slow: (0, 1),
        }
    }
}

impl EmulatedStore {
    /// Its clock.
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

    /// The operator writes a configuration; returns its version.
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

    /// When a write in a part is done; none where it would wait for too long.
    fn take_turn(&mut self, now: Micros, part: usize) -> Option<Micros> {
        let slowness = self.slowness(now);
        let free = &mut self.parts_free[part];
        let begins = now.max(*free);
        if begins > now + LONGEST_TURN {
            return None;
        }
        *free = begins + WRITE_MS * MS * slowness;
        Some(*free)
    }

    /// Whether a feed has something to say.
    pub fn has_changes(&self, ask: &StoreCall) -> bool {
        match ask {
            StoreCall::FollowJobs(after) => self.jobs.last().is_some_and(|row| row.0 > *after),
            StoreCall::FollowConfig(after) => self.config.0 > *after,
            _ => true,
        }
    }

    /// Answers what a host asks for, as of now.
    pub fn answer(
        &mut self,
        now: Micros,
        ask: &StoreCall,
        workers: &[WorkerListing],
    ) -> StoreAnswer {
        let part = match ask {
            StoreCall::Write(_) => Some(OWNER_PART),
            StoreCall::PutJob(_, number, _) | StoreCall::PutCancel(_, number) => {
                Some(job_part(*number) as usize)
            }
            _ => None,
        };
        let at = match part {
            Some(part) => self.take_turn(now, part),
            None => Some(now + ANSWER_MS * MS * self.slowness(now)),
        };
        let Some(at) = at else {
            return StoreAnswer {
                reply: StoreReply::Rejected,
                bytes: sizes::plain_answer(),
                at: now + LONGEST_TURN,
            };
        };
        let (reply, bytes) = self.reply(now, ask, workers);
        StoreAnswer { reply, bytes, at }
    }

    fn reply(
        &mut self,
        now: Micros,
        ask: &StoreCall,
        workers: &[WorkerListing],
    ) -> (StoreReply, u64) {
        match ask {
            StoreCall::ReadOwner | StoreCall::CheckWrite => {
                (StoreReply::Owner(self.owner.clone()), sizes::owner_row())
            }
            StoreCall::Write(write) => (self.write(write), sizes::plain_answer()),
            StoreCall::ReadProgress(behind) => self.progress_page(*behind),
            StoreCall::ReadShard => {
                let bytes = sizes::owner_row() + self.shard.bytes.iter().sum::<u64>();
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
        for (number, row) in &write.batch.progress {
            let bytes = sizes::progress_row(row);
            self.progress.insert(*number, (row.clone(), bytes));
        }
        let written = |batch| sizes::shard_rows(&batch);
        let batch = &write.batch;
        if let Some(roster) = &batch.roster {
            self.shard.roster = roster.clone();
            self.shard.bytes[0] = written(CommitBatch {
                roster: Some(roster.clone()),
                ..CommitBatch::default()
            });
        }
        if let Some(silent) = &batch.silent {
            self.shard.silent = silent.clone();
            self.shard.bytes[1] = written(CommitBatch {
                silent: Some(silent.clone()),
                ..CommitBatch::default()
            });
        }
        if let Some(strengths) = &batch.interference {
            self.shard.strengths = strengths.clone();
            self.shard.bytes[2] = written(CommitBatch {
                interference: Some(strengths.clone()),
                ..CommitBatch::default()
            });
        }
        StoreReply::Written(self.version)
    }

    fn progress_page(&self, behind: Option<JobNumber>) -> (StoreReply, u64) {
        use std::ops::Bound::{Excluded, Unbounded};
        let from = behind.map_or(Unbounded, Excluded);
        let page = self.progress.range((from, Unbounded)).take(PAGE_ROWS);
        let mut bytes = sizes::plain_answer();
        let mut rows = Vec::new();
        for (number, (row, size)) in page {
            bytes += size;
            rows.push((*number, row.clone()));
        }
        let more = rows.last().map(|(number, _)| *number);
        let more = more.filter(|_| rows.len() == PAGE_ROWS);
        (StoreReply::Progress(rows, more), bytes)
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

    fn put_cancel(&mut self, number: JobNumber) {
        if self.numbers.insert(number, true) == Some(false) {
            self.version += 1;
            let row = JobRow::Cancelled(number);
            self.jobs.push((self.version, row, sizes::row(23, 2)));
        }
    }
}

/// The part that a job's row is in.
fn job_part(number: JobNumber) -> u32 {
    (number.0 % u64::from(JOB_PARTS)) as u32
}
