//! The state machine of one entry host for one shard: handles events and returns actions.
//!
//! Its methods are split by topic: [`crate::commit`] performs durable writes, [`crate::intake`] handles configurations,
//! handed-off tasks and worker lists, [`crate::placing`] chooses workers, [`crate::reports`] handles worker reports.

mod verify;
mod view;

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::fmt;
use std::sync::Arc;

use sandshelf_config::{ConfigSet, JobSpec, UrgencyLevel};
use sandshelf_model::{
    AttemptId, HostId, Millis, ResourceSize, Revision, ShardId, TaskId, TeamId, WorkerId,
};
use sandshelf_place::{
    FamilyHistory, PendingKey, PendingQueue, PlaceWeights, PressureGauge, QuotaLedger, WorkerEntry,
    WorkerPool,
};

use crate::commit::{PendingCommit, SnapshotProgress};
use crate::events::{
    OwnerCounts, PlacedReason, ShardAction, ShardEvent, ShardNote, ShardRoom, WaitReason,
};
use crate::journal::JournalRecord;
use crate::ownership::{LeaseStage, ShardLease};
use crate::session::WorkerSession;
use crate::state::ShardState;
use crate::times::LeaseTimes;

/// How many times per shard lease a watching host reads the shard's row.
const ROW_READS_PER_LEASE: u64 = 6;
/// Interval between reads of the inbox of handed-off tasks, in milliseconds.
const INBOX_READ_INTERVAL_MS: Millis = 1_000;

/// The worker capacity and team quota that are held for one attempt.
#[derive(Clone, Debug)]
pub(crate) struct AttemptHold {
    pub(crate) worker: WorkerId,
    pub(crate) team: TeamId,
    pub(crate) size: ResourceSize,
}

/// One entry host's state machine for one shard, whether the host owns the shard or only watches it.
#[derive(Clone)]
pub struct ShardOwner {
    pub(crate) shard: ShardId,
    pub(crate) host: HostId,
    pub(crate) times: LeaseTimes,
    pub(crate) lease: ShardLease,
    /// This host's position among the candidates for the shard, from 0; none where it must not claim the shard.
    pub(crate) rank: Option<u32>,
    pub(crate) state: ShardState,
    pub(crate) pool: WorkerPool,
    pub(crate) queue: PendingQueue,
    pub(crate) quotas: QuotaLedger,
    pub(crate) families: FamilyHistory,
    pub(crate) gauge: PressureGauge,
    pub(crate) sessions: BTreeMap<WorkerId, WorkerSession>,
    /// Workers as the platform lists them.
    pub(crate) listed: BTreeMap<WorkerId, WorkerEntry>,
    /// Workers that the platform wants drained.
    pub(crate) leaving: BTreeSet<WorkerId>,
    /// Workers that are gone for good.
    pub(crate) gone: BTreeSet<WorkerId>,
    pub(crate) config: Option<(Revision, Arc<ConfigSet>, Arc<Vec<ShardId>>)>,
    /// Free capacity of the other shards, as last published.
    pub(crate) rooms: Vec<ShardRoom>,
    /// Records that wait for the next commit.
    pub(crate) buffer: Vec<JournalRecord>,
    /// Tasks whose removal from the inbox is buffered or being committed.
    pub(crate) adopting: BTreeSet<TaskId>,
    /// Attempts whose end is buffered or being committed.
    pub(crate) ending: BTreeSet<AttemptId>,
    /// Tasks whose placement, hand-off or end as unplaceable is buffered or being committed.
    pub(crate) placing: BTreeSet<TaskId>,
    /// The commit in progress.
    pub(crate) pending: Option<PendingCommit>,
    pub(crate) snapshot: SnapshotProgress,
    pub(crate) last_commit: Millis,
    /// Whether the next commit must not wait for the commit interval.
    pub(crate) urgent_pending: bool,
    pub(crate) claimed_at: Millis,
    /// For how long after the claim an unreachable worker may run tasks that an earlier owner renewed.
    pub(crate) silence_ms: Millis,
    pub(crate) loading_since: Option<Millis>,
    pub(crate) releasing: bool,
    pub(crate) next_watch_read: Millis,
    pub(crate) next_row_read: Millis,
    pub(crate) next_load: Millis,
    pub(crate) next_handoff: Millis,
    /// When the row read in progress was requested.
    pub(crate) row_read_since: Option<Millis>,
    /// The number of the newest inbox read.
    pub(crate) inbox_read_number: u64,
    /// Inbox reads with lower numbers may show entries that have been removed since.
    pub(crate) first_valid_inbox_read: u64,
    pub(crate) next_inbox: Millis,
    pub(crate) wait_reasons: BTreeMap<TaskId, WaitReason>,
    pub(crate) waiting_since: HashMap<TaskId, Millis>,
    pub(crate) placed_reasons: HashMap<AttemptId, PlacedReason>,
    /// Per list of waiting tasks, the last task examined when the list was not examined to its end.
    pub(crate) cursors: BTreeMap<PendingKey, TaskId>,
    pub(crate) held: HashMap<AttemptId, AttemptHold>,
    /// Per task, the worker on which it last failed.
    pub(crate) avoid: HashMap<TaskId, WorkerId>,
    pub(crate) token_count: u64,
    /// Rotates over the shards that a task may be handed to.
    pub(crate) handoff_rotation: usize,
    pub(crate) counts: OwnerCounts,
    pub(crate) actions: Vec<ShardAction>,
    /// An invariant was violated; all further events are ignored.
    broken: bool,
}

impl fmt::Debug for ShardOwner {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter
            .debug_struct("ShardOwner")
            .field("shard", &self.shard)
            .field("host", &self.host)
            .field("stage", self.lease.stage())
            .finish_non_exhaustive()
    }
}

impl ShardOwner {
    /// Creates the state machine of `host` for `shard`; it starts by watching the shard.
    ///
    /// `seed` initializes the random choice of workers: equal seeds and events give equal choices.
    pub fn new(shard: ShardId, host: HostId, times: LeaseTimes, seed: u64) -> Self {
        Self {
            lease: ShardLease::new(host.clone(), times),
            pool: WorkerPool::new(seed, PlaceWeights::default()),
            gauge: PressureGauge::new(PlaceWeights::default()),
            shard,
            host,
            times,
            rank: Some(0),
            state: ShardState::default(),
            queue: PendingQueue::default(),
            quotas: QuotaLedger::default(),
            families: FamilyHistory::default(),
            sessions: BTreeMap::new(),
            listed: BTreeMap::new(),
            leaving: BTreeSet::new(),
            gone: BTreeSet::new(),
            config: None,
            rooms: Vec::new(),
            buffer: Vec::new(),
            adopting: BTreeSet::new(),
            ending: BTreeSet::new(),
            placing: BTreeSet::new(),
            pending: None,
            snapshot: SnapshotProgress::default(),
            last_commit: 0,
            urgent_pending: false,
            claimed_at: 0,
            silence_ms: 0,
            loading_since: None,
            releasing: false,
            next_watch_read: 0,
            next_row_read: 0,
            next_load: 0,
            next_handoff: 0,
            row_read_since: None,
            inbox_read_number: 0,
            first_valid_inbox_read: 0,
            next_inbox: 0,
            wait_reasons: BTreeMap::new(),
            waiting_since: HashMap::new(),
            placed_reasons: HashMap::new(),
            cursors: BTreeMap::new(),
            held: HashMap::new(),
            avoid: HashMap::new(),
            token_count: 0,
            handoff_rotation: 0,
            counts: OwnerCounts::default(),
            actions: Vec::new(),
            broken: false,
        }
    }

    /// Handles one event and returns the actions to execute.
    ///
    /// After an invariant was violated it returns no actions any more.
    pub fn handle(&mut self, now: Millis, event: ShardEvent) -> Vec<ShardAction> {
        if self.broken {
            return Vec::new();
        }
        let answered = match &event {
            ShardEvent::WorkerAnswered { worker, .. } => Some(worker.clone()),
            _ => None,
        };
        self.dispatch(now, event);
        match answered {
            Some(worker) => self.follow_up(now, &worker),
            None => self.advance(now),
        }
        if let Err(problem) = self.verify() {
            self.broken = true;
            self.actions.clear();
            self.note(ShardNote::InvariantBroken(problem));
        }
        std::mem::take(&mut self.actions)
    }

    fn dispatch(&mut self, now: Millis, event: ShardEvent) {
        match event {
            ShardEvent::Tick => {}
            ShardEvent::RowRead(read) => self.on_row(now, read),
            ShardEvent::RowReadFailed => self.row_read_since = None,
            ShardEvent::CommitAnswered { token, answer } => self.on_commit(now, &token, answer),
            ShardEvent::StateLoaded { snapshot, groups } => {
                self.on_loaded(now, snapshot.as_deref(), &groups)
            }
            ShardEvent::StateLoadFailed => self.loading_since = None,
            ShardEvent::SnapshotStored { digest, stored } => {
                self.snapshot.note_stored(&digest, stored)
            }
            ShardEvent::InboxRead {
                read_number,
                handoffs,
            } => self.on_inbox(read_number, handoffs),
            ShardEvent::WorkerAnswered {
                worker,
                epoch,
                number,
                report,
            } => self.on_worker_answer(now, &worker, epoch, number, report),
            ShardEvent::WorkersListed {
                present,
                leaving,
                gone,
            } => self.on_workers_listed(present, leaving, gone),
            ShardEvent::Configured {
                revision,
                set,
                shards,
            } => self.on_configured(revision, set, shards),
            ShardEvent::RoomReceived(rooms) => self.rooms = rooms,
            ShardEvent::QuotaSliceUpdated { team, slice } => self.quotas.set_slice(&team, slice),
            ShardEvent::SlowdownMeasured { worker, sample } => {
                self.on_slowdown(now, &worker, &sample)
            }
            ShardEvent::EvictRequested(attempt) => self.evict_requested(&attempt),
            ShardEvent::RankUpdated(rank) => self.rank = rank,
            ShardEvent::Release => self.releasing = true,
        }
    }

    /// Commits and sends what one worker's answer may require, without scanning every worker.
    fn follow_up(&mut self, now: Millis, worker: &WorkerId) {
        self.flush(now);
        if self.may_send(now) {
            self.send_to(now, worker);
        }
    }

    /// Performs everything that is due at `now`.
    fn advance(&mut self, now: Millis) {
        self.watch_row(now);
        self.claim_if_free(now);
        self.load_if_claimed(now);
        if *self.lease.stage() == LeaseStage::Holding {
            self.apply_config();
            self.read_inbox(now);
            self.reclaim_expired(now);
            self.place_waiting(now);
            self.hand_off_waiting(now);
        }
        self.flush(now);
        self.send_orders(now);
    }

    fn watch_row(&mut self, now: Millis) {
        let watching = *self.lease.stage() == LeaseStage::Watching;
        let reading = self
            .row_read_since
            .is_some_and(|since| now < since + self.times.answer_timeout_ms);
        if !watching || reading || now < self.next_watch_read {
            return;
        }
        self.next_watch_read = now + self.times.shard_lease_ms / ROW_READS_PER_LEASE;
        self.request_row_read(now);
    }

    pub(crate) fn request_row_read(&mut self, now: Millis) {
        self.row_read_since = Some(now);
        self.next_row_read = now + self.times.answer_timeout_ms;
        self.counts.row_reads += 1;
        self.actions.push(ShardAction::ReadRow);
    }

    fn claim_if_free(&mut self, now: Millis) {
        let Some(rank) = self.rank else { return };
        if self.releasing || self.pending.is_some() || !self.lease.may_claim(now, rank) {
            return;
        }
        let released = self
            .lease
            .row()
            .is_some_and(|seen| seen.row.owner.is_none());
        self.silence_ms = match self.lease.row() {
            Some(seen) if released => seen.row.silence_ms,
            _ => self.times.silence_ms(),
        };
        let token = self.next_token();
        let (expect, row) = self.lease.begin_claim(token);
        self.claimed_at = now;
        self.send_commit(now, expect, row, Vec::new());
    }

    fn load_if_claimed(&mut self, now: Millis) {
        if *self.lease.stage() != LeaseStage::Recovering {
            return;
        }
        let timeout_ms = self.times.shard_lease_ms;
        let loading = self
            .loading_since
            .is_some_and(|since| now < since + timeout_ms);
        if loading || now < self.next_load {
            return;
        }
        self.next_load = now + self.times.answer_timeout_ms;
        self.loading_since = Some(now);
        let row = &self.lease.row().expect("a claimed shard has its row").row;
        self.actions.push(ShardAction::LoadState {
            snapshot: row.snapshot.clone(),
            after: row.snapshot_sequence,
            to: row.sequence,
        });
    }

    fn read_inbox(&mut self, now: Millis) {
        if now < self.next_inbox {
            return;
        }
        self.next_inbox = now + INBOX_READ_INTERVAL_MS;
        self.inbox_read_number += 1;
        self.actions.push(ShardAction::ReadInbox {
            read_number: self.inbox_read_number,
        });
    }

    fn send_orders(&mut self, now: Millis) {
        if !self.may_send(now) {
            return;
        }
        let due: Vec<WorkerId> = self
            .sessions
            .iter()
            .filter(|(_, session)| session.is_due(now) || session.is_overdue(now, &self.times))
            .map(|(worker, _)| worker.clone())
            .collect();
        for worker in due {
            self.send_to(now, &worker);
        }
    }

    /// Whether messages may be sent to workers: the renewal grace is not over and the shard is not being released.
    fn may_send(&self, now: Millis) -> bool {
        self.lease.may_renew_tasks(now) && !self.releasing
    }

    fn send_to(&mut self, now: Millis, worker: &WorkerId) {
        let epoch = self.epoch();
        let Some(session) = self.sessions.get_mut(worker) else {
            return;
        };
        if session.is_overdue(now, &self.times) {
            session.note_failed(now, &self.times);
        }
        if !session.is_due(now) {
            return;
        }
        let orders = session.make_orders(now, &self.shard, epoch, &self.times);
        self.counts.messages += 1;
        self.actions.push(ShardAction::SendOrders {
            worker: worker.clone(),
            orders,
        });
    }

    pub(crate) fn note(&mut self, note: ShardNote) {
        self.actions.push(ShardAction::Note(note));
    }

    pub(crate) fn next_token(&mut self) -> String {
        self.token_count += 1;
        format!("{}:{}:{}", self.host, self.shard, self.token_count)
    }

    pub(crate) fn pending_key(&self, spec: &JobSpec) -> PendingKey {
        PendingKey {
            urgent: spec.urgency == UrgencyLevel::Urgent,
            team: spec.team.clone(),
        }
    }

    /// Drops all state that only the shard's owner may keep.
    pub(crate) fn forget_ownership(&mut self) {
        self.state = ShardState::default();
        self.queue = PendingQueue::default();
        self.sessions.clear();
        self.buffer.clear();
        self.adopting.clear();
        self.ending.clear();
        self.placing.clear();
        self.wait_reasons.clear();
        self.waiting_since.clear();
        self.placed_reasons.clear();
        self.cursors.clear();
        self.avoid.clear();
        self.pending = None;
        self.snapshot = SnapshotProgress::default();
        self.loading_since = None;
        self.releasing = false;
        self.drop_all_holds();
        self.rebuild_pool();
    }

    /// Releases all reservations in the worker pool and closes its workers, but keeps its learned estimates.
    pub(crate) fn rebuild_pool(&mut self) {
        let workers: Vec<WorkerId> = self.pool.workers().cloned().collect();
        for worker in workers {
            let attempts: Vec<AttemptId> = self
                .pool
                .reservations(&worker)
                .iter()
                .map(|reservation| reservation.attempt.clone())
                .collect();
            for attempt in attempts {
                self.pool.release(&worker, &attempt);
            }
            self.pool.set_open(&worker, false);
        }
    }
}
