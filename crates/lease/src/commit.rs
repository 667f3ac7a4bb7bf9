//! Durable writes: groups of records, lost answers, takeover and release, snapshots.

use std::sync::Arc;

use sandshelf_model::{content_digest, AttemptId, JobId, Millis, Sequence, TaskId, WorkerId};

use crate::events::{ShardAction, ShardNote};
use crate::journal::{CommitAnswer, CommitRequest, JournalRecord};
use crate::orders::StartOrder;
use crate::owner::ShardOwner;
use crate::ownership::LeaseStage;
use crate::recovery::{decode_snapshot, encode_snapshot};
use crate::row::{RowVersion, ShardRow, StoredRow};
use crate::state::{RecordEffect, ShardState, TaskStage};

/// The most records in one transaction.
const MOST_RECORDS: usize = 2_000;
/// The most journal rows that one transaction deletes.
const MOST_TRIMMED: u64 = 100;

/// The transaction under way; there is at most one.
#[derive(Clone, Debug)]
pub(crate) struct PendingCommit {
    request: CommitRequest,
    first_sent: Millis,
    sent: Millis,
    /// The outcome is unknown and the row is being read to learn it.
    checking: bool,
}

/// A snapshot on its way to the object store.
#[derive(Clone, Debug, Default)]
pub(crate) struct SnapshotWork {
    records: u64,
    under_way: Option<(String, Sequence)>,
    stored: Option<(String, Sequence)>,
}

impl SnapshotWork {
    pub(crate) fn note_stored(&mut self, digest: &str, stored: bool) {
        let Some((expected, sequence)) = self.under_way.take() else {
            return;
        };
        if expected == digest && stored {
            self.stored = Some((expected, sequence));
        }
    }
}

impl ShardOwner {
    /// Writes what has gathered, or renews the lease, where it is time for that.
    pub(crate) fn flush(&mut self, now: Millis) {
        self.check_overdue(now);
        if self.pending.is_some() {
            return;
        }
        let held = matches!(
            self.lease.stage(),
            LeaseStage::Holding | LeaseStage::Recovering
        );
        let records_wait = !self.buffer.is_empty();
        if self.releasing && !records_wait {
            self.release(now);
            return;
        }
        let spaced = now >= self.last_commit + self.times.commit_interval_ms || self.urgent_waits;
        let due = (records_wait && spaced) || self.lease.wants_renewal(now);
        if held && due {
            self.commit_buffer(now);
        }
    }

    fn commit_buffer(&mut self, now: Millis) {
        let count = self.buffer.len().min(MOST_RECORDS);
        let records: Vec<JournalRecord> = self.buffer.drain(..count).collect();
        let token = self.next_token();
        let (expect, mut row) = self.lease.next_row(token);
        if let Some((digest, sequence)) = self.snapshot.stored.take() {
            row.snapshot = Some(digest);
            row.snapshot_sequence = sequence;
        }
        self.urgent_waits = false;
        self.send_commit(now, expect, row, records);
    }

    pub(crate) fn send_commit(
        &mut self,
        now: Millis,
        expect: RowVersion,
        mut row: ShardRow,
        records: Vec<JournalRecord>,
    ) {
        let trim_from = row.trimmed_sequence;
        let trim_to = row.snapshot_sequence.min(trim_from + MOST_TRIMMED);
        row.trimmed_sequence = trim_to.max(trim_from);
        let request = CommitRequest {
            expect,
            trim_from,
            trim_to: row.trimmed_sequence,
            row,
            records,
        };
        self.counts.commits += 1;
        self.counts.records += request.records.len() as u64;
        if request.records.is_empty() {
            self.counts.renewals += 1;
        }
        self.last_commit = now;
        self.actions.push(ShardAction::Commit(request.clone()));
        self.pending = Some(PendingCommit {
            request,
            first_sent: now,
            sent: now,
            checking: false,
        });
    }

    /// Treats a transaction that was not answered in time as one of unknown outcome.
    fn check_overdue(&mut self, now: Millis) {
        let patience = self.times.answer_timeout_ms;
        let Some(pending) = &mut self.pending else {
            return;
        };
        if !pending.checking && now >= pending.sent + patience {
            pending.checking = true;
        }
        let asked = self.read_since.is_some_and(|since| now < since + patience);
        if pending.checking && !asked && now >= self.next_ask {
            self.ask_row(now);
        }
    }

    pub(crate) fn on_commit(&mut self, now: Millis, token: &str, answer: CommitAnswer) {
        let Some(pending) = &mut self.pending else {
            return;
        };
        if pending.request.row.token != token {
            return;
        }
        match answer {
            CommitAnswer::Committed { version } => self.complete(now, version),
            CommitAnswer::Conflict | CommitAnswer::Unknown => {
                // A conflict may be with this very write, where its first answer was lost.
                pending.checking = true;
                self.read_since = None;
            }
        }
    }

    pub(crate) fn on_row(&mut self, now: Millis, read: StoredRow) {
        let asked = self.read_since.take();
        if let Some(asked) = asked {
            self.lease.note_read_time(now.saturating_sub(asked));
        }
        let Some(pending) = &mut self.pending else {
            if self.lease.note_read(now, read) {
                self.lose();
            }
            return;
        };
        if read.row.token == pending.request.row.token {
            self.complete(now, read.version);
        } else if read.version == pending.request.expect {
            // Only a read that was asked for after the write was sent can tell that it has not arrived.
            let tells = asked.is_some_and(|asked| asked >= pending.sent);
            if pending.checking && tells {
                // The same conditional write may be sent again: at most one of the two can take effect.
                pending.checking = false;
                pending.sent = now;
                let request = pending.request.clone();
                self.counts.commits += 1;
                self.actions.push(ShardAction::Commit(request));
            }
        } else if asked.is_some() && read.version > pending.request.expect {
            let held = *self.lease.stage() != LeaseStage::Claiming;
            self.lease.return_to_watching();
            self.lease.note_read(now, read);
            self.forget_ownership();
            if held {
                self.note(ShardNote::Lost);
            }
        }
    }

    fn lose(&mut self) {
        self.forget_ownership();
        self.note(ShardNote::Lost);
    }

    fn complete(&mut self, now: Millis, version: RowVersion) {
        let pending = self
            .pending
            .take()
            .expect("a completed write was under way");
        let request = pending.request;
        let claimed = *self.lease.stage() == LeaseStage::Claiming;
        let released = request.row.owner.is_none();
        self.lease
            .note_committed(now, pending.first_sent, version, request.row.clone());
        if claimed {
            self.note(ShardNote::Claimed(request.row.epoch));
            return;
        }
        if released {
            self.forget_ownership();
            self.note(ShardNote::Released);
            return;
        }
        if request.records.iter().any(takes_from_inbox) {
            self.first_valid_inbox_read = self.inbox_read_number + 1;
        }
        for record in &request.records {
            self.apply_committed(now, record);
        }
        self.snapshot_if_due(request.records.len() as u64, request.row.sequence);
    }

    fn apply_committed(&mut self, now: Millis, record: &JournalRecord) {
        let placed_before = self.placed_before(record);
        if let JournalRecord::JobAdded { job, .. } = record {
            // A job that is declared anew may wait in another list from now on.
            self.unqueue_job(&job.name);
        }
        let effect = self.state.apply(record);
        match record {
            JournalRecord::Placed { attempt, worker } => match effect {
                RecordEffect::Applied => self.after_placed(now, attempt, worker),
                RecordEffect::Stale => {
                    self.placing.remove(&attempt.task);
                    self.drop_hold(attempt);
                }
            },
            JournalRecord::Requeued { attempt, cause, .. } => {
                self.after_requeued(now, attempt, *cause, effect)
            }
            JournalRecord::Finished { attempt, .. } => {
                self.after_ended(attempt);
                if effect == RecordEffect::Applied {
                    self.note(ShardNote::Finished(attempt.clone()));
                }
            }
            JournalRecord::Failed { task, reason }
            | JournalRecord::Unplaceable { task, reason } => {
                self.placing.remove(task);
                self.ending.retain(|attempt| &attempt.task != task);
                self.unqueue(task);
                self.note(ShardNote::GaveUp(task.clone(), reason.clone()));
            }
            JournalRecord::Cancelled { job } => self.unqueue_job(job),
            JournalRecord::HandedOff { handoff, .. } => {
                self.placing.remove(&handoff.task());
                self.unqueue(&handoff.task());
            }
            JournalRecord::JobAdded { job, .. } => self.enqueue_job(now, &job.name.clone()),
            JournalRecord::Adopted { handoff } => {
                self.adopting.remove(&handoff.task());
                self.enqueue(now, &handoff.task());
            }
            JournalRecord::InboxDropped { task } => {
                self.adopting.remove(task);
            }
            JournalRecord::Revised { .. } | JournalRecord::JobDropped { .. } => {}
        }
        for (worker, attempt) in placed_before {
            self.stop_if_moved_on(&worker, &attempt);
        }
    }

    fn after_placed(&mut self, now: Millis, attempt: &AttemptId, worker: &WorkerId) {
        self.placing.remove(&attempt.task);
        let since = self.waiting_since.get(&attempt.task).copied();
        let waited = now.saturating_sub(since.unwrap_or(now));
        self.unqueue(&attempt.task);
        self.note(ShardNote::Placed(attempt.clone(), worker.clone(), waited));
        let order = self.start_order(attempt);
        let Some(order) = order else { return };
        let spec = self.state.spec(&attempt.task.job);
        let run_ms = spec.map_or(order.run_ms, |spec| {
            self.families.run_time(&spec.family, spec.run_ms)
        });
        if let Some(session) = self.sessions.get_mut(worker) {
            session.expect_end(attempt, now + run_ms);
            session.push_start(order);
        }
    }

    fn start_order(&self, attempt: &AttemptId) -> Option<StartOrder> {
        let spec = self.state.spec(&attempt.task.job)?;
        let task_state = self.state.task_state(&attempt.task)?;
        let size = self.held.get(attempt).map_or(spec.size, |held| held.size);
        Some(StartOrder {
            attempt: attempt.clone(),
            size,
            program: spec.program.clone(),
            checkpoint: task_state.checkpoint.clone(),
            checkpointable: spec.checkpoint,
            run_ms: spec.run_ms,
        })
    }

    fn snapshot_if_due(&mut self, records: u64, sequence: Sequence) {
        self.snapshot.records += records;
        let busy = self.snapshot.under_way.is_some() || self.snapshot.stored.is_some();
        if busy || self.snapshot.records < self.times.records_per_snapshot {
            return;
        }
        let bytes = encode_snapshot(&self.state);
        let digest = content_digest(&bytes);
        self.snapshot.records = 0;
        self.snapshot.under_way = Some((digest.clone(), sequence));
        self.actions.push(ShardAction::StoreSnapshot {
            digest,
            bytes: Arc::new(bytes),
        });
    }

    pub(crate) fn on_loaded(
        &mut self,
        now: Millis,
        snapshot: Option<&[u8]>,
        groups: &[(Sequence, Vec<JournalRecord>)],
    ) {
        if *self.lease.stage() != LeaseStage::Recovering {
            return;
        }
        let Ok(state) = decode_snapshot(snapshot, groups) else {
            return;
        };
        self.adopt_state(now, state);
        self.lease.note_recovered();
        let placed = self.state.placed_count();
        self.note(ShardNote::Recovered { placed });
    }

    fn adopt_state(&mut self, now: Millis, state: ShardState) {
        self.state = state;
        let entries: Vec<_> = self.listed.values().cloned().collect();
        for entry in entries {
            self.add_worker(&entry);
        }
        let workers: Vec<_> = self.state.placed_workers().cloned().collect();
        for worker in workers {
            self.add_session(&worker);
            let attempts: Vec<_> = self.state.placed_on(&worker).cloned().collect();
            for attempt in attempts {
                self.hold_recovered(&worker, &attempt);
            }
        }
        let jobs: Vec<_> = self.state.jobs.keys().cloned().collect();
        for job in jobs {
            self.enqueue_job(now, &job);
        }
    }

    pub(crate) fn enqueue_job(&mut self, now: Millis, job: &JobId) {
        let Some(job_state) = self.state.jobs.get(job) else {
            return;
        };
        let waiting: Vec<u32> = job_state
            .tasks
            .iter()
            .filter(|(_, task_state)| task_state.stage == TaskStage::Waiting)
            .map(|(index, _)| *index)
            .collect();
        for index in waiting {
            let task = TaskId {
                job: job.clone(),
                index,
            };
            self.enqueue(now, &task);
        }
    }

    /// For how long workers that this owner could not reach may still run what it or an earlier one renewed.
    fn remaining_silence(&self, now: Millis) -> Millis {
        let own = self.times.task_lease_ms + self.times.drift_ms;
        let unreached = self.sessions.values().filter(|session| !session.fenced);
        unreached
            .map(|session| session.silent_until.saturating_sub(now))
            .fold(own, Millis::max)
    }

    /// Releases the shard; comes before renewals, or those would put it off for ever where the store is slow.
    fn release(&mut self, now: Millis) {
        if *self.lease.stage() != LeaseStage::Holding {
            return;
        }
        let token = self.next_token();
        let (expect, mut row) = self.lease.next_row(token);
        row.owner = None;
        row.silence_ms = self.remaining_silence(now);
        self.send_commit(now, expect, row, Vec::new());
    }
}

/// Whether a record takes an entry out of the inbox.
fn takes_from_inbox(record: &JournalRecord) -> bool {
    matches!(
        record,
        JournalRecord::Adopted { .. } | JournalRecord::InboxDropped { .. }
    )
}
