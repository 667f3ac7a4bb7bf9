//! Performs a shard's durable writes: record groups, claim and release, snapshots, and retries after lost answers.

use std::sync::Arc;

use sandshelf_model::{content_digest, AttemptId, JobId, Millis, Sequence, TaskId, WorkerId};

use crate::events::{ShardAction, ShardNote};
use crate::journal::{CommitAnswer, CommitRequest, JournalRecord};
use crate::orders::StartOrder;
use crate::owner::ShardOwner;
use crate::ownership::LeaseStage;
use crate::recovery::{decode_snapshot, encode_snapshot};
use crate::row::{RowVersion, ShardRow, StoredRow};
use crate::state::{RecordEffect, ShardState};
use crate::task_state::TaskStage;

/// The maximum number of journal records in one transaction.
const MAX_RECORDS_PER_COMMIT: usize = 2_000;
/// The maximum number of journal rows that one transaction deletes.
const MAX_TRIMMED_PER_COMMIT: u64 = 100;

/// The transaction in progress; there is at most one.
#[derive(Clone, Debug)]
pub(crate) struct PendingCommit {
    request: CommitRequest,
    first_sent: Millis,
    /// When it was last sent.
    sent: Millis,
    /// The outcome is unknown; the row is read to find out.
    checking: bool,
}

/// The progress of writing snapshots to the object store.
#[derive(Clone, Debug, Default)]
pub(crate) struct SnapshotProgress {
    /// Records committed since the last snapshot was encoded.
    records: u64,
    /// The digest and sequence of the snapshot that is being stored.
    in_progress: Option<(String, Sequence)>,
    /// The digest and sequence of a stored snapshot that the row doesn't name yet.
    stored: Option<(String, Sequence)>,
}

impl SnapshotProgress {
    pub(crate) fn note_stored(&mut self, digest: &str, stored: bool) {
        let Some((expected, sequence)) = self.in_progress.take() else {
            return;
        };
        if expected == digest && stored {
            self.stored = Some((expected, sequence));
        }
    }
}

impl ShardOwner {
    /// Commits the buffered records, renews the lease or releases the shard, whichever is due.
    pub(crate) fn flush(&mut self, now: Millis) {
        self.check_overdue(now);
        if self.pending.is_some() {
            return;
        }
        let held = matches!(
            self.lease.stage(),
            LeaseStage::Holding | LeaseStage::Recovering
        );
        let has_records = !self.buffer.is_empty();
        if self.releasing && !has_records {
            self.release(now);
            return;
        }
        let interval_passed =
            now >= self.last_commit + self.times.commit_interval_ms || self.urgent_pending;
        let due = (has_records && interval_passed) || self.lease.wants_renewal(now);
        if held && due {
            self.commit_buffer(now);
        }
    }

    fn commit_buffer(&mut self, now: Millis) {
        let count = self.buffer.len().min(MAX_RECORDS_PER_COMMIT);
        let records: Vec<JournalRecord> = self.buffer.drain(..count).collect();
        let token = self.next_token();
        let (expect, mut row) = self.lease.next_row(token);
        if let Some((digest, sequence)) = self.snapshot.stored.take() {
            row.snapshot = Some(digest);
            row.snapshot_sequence = sequence;
        }
        self.urgent_pending = false;
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
        let trim_to = row
            .snapshot_sequence
            .min(trim_from + MAX_TRIMMED_PER_COMMIT);
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

    /// Reads the row to find out the outcome of a transaction that was not answered within the timeout.
    fn check_overdue(&mut self, now: Millis) {
        let timeout_ms = self.times.answer_timeout_ms;
        let Some(pending) = &mut self.pending else {
            return;
        };
        if !pending.checking && now >= pending.sent + timeout_ms {
            pending.checking = true;
        }
        let reading = self
            .row_read_since
            .is_some_and(|since| now < since + timeout_ms);
        if pending.checking && !reading && now >= self.next_row_read {
            self.request_row_read(now);
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
                // A conflict may be caused by this same write, where it took effect and its first answer was lost.
                pending.checking = true;
                self.row_read_since = None;
            }
        }
    }

    pub(crate) fn on_row(&mut self, now: Millis, read: StoredRow) {
        let requested_at = self.row_read_since.take();
        if let Some(requested_at) = requested_at {
            self.lease.note_read_time(now.saturating_sub(requested_at));
        }
        let Some(pending) = &mut self.pending else {
            if self.lease.note_read(now, read) {
                self.lose_shard();
            }
            return;
        };
        if read.row.token == pending.request.row.token {
            self.complete(now, read.version);
        } else if read.version == pending.request.expect {
            // Only a read that was requested after the write was sent can show that the write has not taken effect.
            let conclusive = requested_at.is_some_and(|requested_at| requested_at >= pending.sent);
            if pending.checking && conclusive {
                // The same conditional write can be retried: at most one of the two can take effect.
                pending.checking = false;
                pending.sent = now;
                let request = pending.request.clone();
                self.counts.commits += 1;
                self.actions.push(ShardAction::Commit(request));
            }
        } else if requested_at.is_some() && read.version > pending.request.expect {
            let held = *self.lease.stage() != LeaseStage::Claiming;
            self.lease.return_to_watching();
            self.lease.note_read(now, read);
            self.forget_ownership();
            if held {
                self.note(ShardNote::Lost);
            }
        }
    }

    fn lose_shard(&mut self) {
        self.forget_ownership();
        self.note(ShardNote::Lost);
    }

    fn complete(&mut self, now: Millis, version: RowVersion) {
        let pending = self.pending.take().expect("a completed write was pending");
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
        if request.records.iter().any(removes_inbox_entry) {
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
            // The new declaration of a job may assign its tasks to another list of waiting tasks.
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
            self.stop_if_superseded(&worker, &attempt);
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
        let busy = self.snapshot.in_progress.is_some() || self.snapshot.stored.is_some();
        if busy || self.snapshot.records < self.times.records_per_snapshot {
            return;
        }
        let bytes = encode_snapshot(&self.state);
        let digest = content_digest(&bytes);
        self.snapshot.records = 0;
        self.snapshot.in_progress = Some((digest.clone(), sequence));
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

    /// For how many milliseconds from `now` unreachable workers may still run tasks
    /// that this or an earlier owner renewed.
    fn remaining_silence_ms(&self, now: Millis) -> Millis {
        let own = self.times.task_lease_ms + self.times.drift_ms;
        let unreached = self.sessions.values().filter(|session| !session.fenced);
        unreached
            .map(|session| session.silent_until.saturating_sub(now))
            .fold(own, Millis::max)
    }

    /// Releases the shard. A release takes precedence over renewals, which would defer it forever on a slow store.
    fn release(&mut self, now: Millis) {
        if *self.lease.stage() != LeaseStage::Holding {
            return;
        }
        let token = self.next_token();
        let (expect, mut row) = self.lease.next_row(token);
        row.owner = None;
        row.silence_ms = self.remaining_silence_ms(now);
        self.send_commit(now, expect, row, Vec::new());
    }
}

/// Whether a record's transaction removes an entry from the inbox.
fn removes_inbox_entry(record: &JournalRecord) -> bool {
    matches!(
        record,
        JournalRecord::Adopted { .. } | JournalRecord::InboxDropped { .. }
    )
}
