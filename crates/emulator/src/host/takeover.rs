//! Reads the stored state of the shard, page by page, when a host becomes its owner.

use std::collections::VecDeque;

use sandshelf_jobs::{JobEvent, StoredProgress, TakeoverInfo};
use sandshelf_lease::LeaseStage;
use sandshelf_model::Millis;

use super::{EmulatedHost, HostFault};
use crate::queue::Micros;
use crate::store::{JobRow, StoreCall, StoreReply, JOB_PARTS};

/// Timeout for one page of rows, as in the daemon's `jobs/takeover.rs`.
const PAGE_TIMEOUT_MS: Millis = 1_500;
/// Parts of the table of jobs that are read concurrently.
const PARTS_AT_ONCE: usize = 8;

/// The epoch of the first owner of the shard.
const FIRST_EPOCH: u64 = 1;

/// The state read so far.
#[derive(Debug, Default)]
pub(super) struct TakeoverReading {
    progress: StoredProgress,
    /// Parts not yet asked for.
    parts_left: VecDeque<u32>,
    /// Parts asked for but not yet received.
    parts_open: usize,
    events: Vec<JobEvent>,
    /// The lowest store version as of which a part was read. Changes are followed from there, so that none is missed.
    pub(super) follow_from: u64,
    /// The highest such version.
    newest: u64,
}

impl EmulatedHost {
    /// Reads the stored state of the shard. What the previous owner published comes first, because it suffices to renew the
    /// workers' leases.
    pub(super) fn read_takeover(&mut self, at: Micros) {
        self.begin_reading();
        self.call_store(at, StoreCall::ReadShard, PAGE_TIMEOUT_MS);
    }

    /// Reads the stored progress and the jobs, from the beginning.
    fn read_recorded(&mut self, at: Micros) {
        self.begin_reading();
        self.call_store(at, StoreCall::ReadProgress(None), PAGE_TIMEOUT_MS);
    }

    fn begin_reading(&mut self) {
        self.calls.drop_pages();
        self.control.takeover = Some(TakeoverReading {
            follow_from: u64::MAX,
            ..TakeoverReading::default()
        });
    }

    /// Handles a page; reading starts again if it failed (`None`).
    pub(super) fn handle_page(&mut self, at: Micros, reply: Option<StoreReply>) {
        let stage = self.control.lease.stage();
        if !matches!(stage, LeaseStage::Recovering | LeaseStage::Holding) {
            return;
        }
        let epoch = self.control.lease.row().map_or(0, |row| row.row.epoch);
        let fault = if epoch > FIRST_EPOCH {
            self.model.fault
        } else {
            HostFault::None
        };
        let reply = reply.filter(|_| fault != HostFault::EndlessTakeover);
        let Some(reading) = &mut self.control.takeover else {
            return;
        };
        match reply {
            Some(StoreReply::Progress(read, more)) => {
                if fault != HostFault::BlindTakeover {
                    reading.progress.rows.extend(read.rows);
                    reading.progress.pages.extend(read.pages);
                }
                if let Some(last) = more {
                    self.call_store(at, StoreCall::ReadProgress(Some(last)), PAGE_TIMEOUT_MS);
                    return;
                }
                reading.parts_left = (0..JOB_PARTS).collect();
                for _ in 0..PARTS_AT_ONCE {
                    self.read_next_part(at);
                }
            }
            Some(StoreReply::Shard(shard, store_ms)) => {
                let info = TakeoverInfo {
                    state_pending: true,
                    rules_since: 1,
                    roster: shard.roster,
                    silent: shard.silent,
                    interference: shard.interference,
                    store_ms,
                    ..TakeoverInfo::default()
                };
                self.take_over(at, info);
                self.read_recorded(at);
            }
            Some(StoreReply::Jobs(rows, version)) => {
                reading.follow_from = reading.follow_from.min(version);
                reading.newest = reading.newest.max(version);
                reading.events.extend(job_events(rows));
                reading.parts_open -= 1;
                self.read_next_part(at);
                self.finish_takeover(at);
            }
            _ if self.control.is_owner() => self.read_recorded(at),
            _ => self.read_takeover(at),
        }
    }

    fn read_next_part(&mut self, at: Micros) {
        let Some(reading) = &mut self.control.takeover else {
            return;
        };
        if let Some(part) = reading.parts_left.pop_front() {
            reading.parts_open += 1;
            self.call_store(at, StoreCall::ReadJobs(part), PAGE_TIMEOUT_MS);
        }
    }

    fn finish_takeover(&mut self, at: Micros) {
        let Some(reading) = &mut self.control.takeover else {
            return;
        };
        if reading.parts_open > 0 || !reading.parts_left.is_empty() {
            return;
        }
        let mut events = vec![JobEvent::StateRead {
            progress: std::mem::take(&mut reading.progress),
            claim_version: reading.newest,
        }];
        events.append(&mut reading.events);
        let follow_from = reading.follow_from;
        self.control.takeover = None;
        self.follow_jobs(at, follow_from);
        self.handle_events(at, events);
    }
}

/// Converts rows of the table of jobs to scheduler events.
pub(super) fn job_events(rows: Vec<(u64, JobRow)>) -> impl Iterator<Item = JobEvent> {
    rows.into_iter().map(|(version, row)| match row {
        JobRow::Job(number, spec) => JobEvent::JobListed {
            number,
            version,
            spec: Box::new((*spec).clone()),
        },
        JobRow::Cancelled(number) => JobEvent::CancelAsked(number),
    })
}
