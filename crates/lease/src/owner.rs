//! One entry host's dealings with one shard: events in, actions out.
//!
//! The parts: [`crate::commit`] writes durably, [`crate::intake`] takes in configurations and handed-off tasks,
//! [`crate::placing`] chooses workers, [`crate::reports`] deals with what workers answer.

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
    FamilyPrior, PendingKey, PendingQueue, PlaceWeights, PressureGauge, QuotaLedger, WorkerEntry,
    WorkerPool,
};

use crate::commit::{PendingCommit, SnapshotWork};
use crate::events::{
    OwnerCounts, PlacedReason, ShardAction, ShardEvent, ShardNote, ShardRoom, WaitReason,
};
use crate::journal::JournalRecord;
use crate::ownership::{LeaseStage, ShardLease};
use crate::session::WorkerSession;
use crate::state::ShardState;
use crate::times::LeaseTimes;

/// How often a watcher reads the row, as a part of the shard lease.
const READS_PER_LEASE: u64 = 6;
/// How often the inbox is read, in milliseconds.
const INBOX_EVERY_MS: Millis = 1_000;

/// Room and quota that an attempt holds.
#[derive(Clone, Debug)]
pub(crate) struct HeldRoom {
    pub(crate) worker: WorkerId,
    pub(crate) team: TeamId,
    pub(crate) size: ResourceSize,
}

/// One entry host's view of one shard.
#[derive(Clone)]
pub struct ShardOwner {
    pub(crate) shard: ShardId,
    pub(crate) host: HostId,
    pub(crate) times: LeaseTimes,
    pub(crate) lease: ShardLease,
    pub(crate) rank: Option<u32>,
    pub(crate) state: ShardState,
    pub(crate) pool: WorkerPool,
    pub(crate) queue: PendingQueue,
    pub(crate) quotas: QuotaLedger,
    pub(crate) families: FamilyPrior,
    pub(crate) gauge: PressureGauge,
    pub(crate) sessions: BTreeMap<WorkerId, WorkerSession>,
    pub(crate) listed: BTreeMap<WorkerId, WorkerEntry>,
    pub(crate) leaving: BTreeSet<WorkerId>,
    pub(crate) gone: BTreeSet<WorkerId>,
    pub(crate) config: Option<(Revision, Arc<ConfigSet>, Arc<Vec<ShardId>>)>,
    pub(crate) rooms: Vec<ShardRoom>,
    pub(crate) buffer: Vec<JournalRecord>,
    pub(crate) adopting: BTreeSet<TaskId>,
    pub(crate) ending: BTreeSet<AttemptId>,
    pub(crate) placing: BTreeSet<TaskId>,
    pub(crate) pending: Option<PendingCommit>,
    pub(crate) snapshot: SnapshotWork,
    pub(crate) last_commit: Millis,
    pub(crate) urgent_waits: bool,
    pub(crate) claimed_at: Millis,
    pub(crate) silence_ms: Millis,
    pub(crate) loading_since: Option<Millis>,
    pub(crate) releasing: bool,
    pub(crate) next_read: Millis,
    pub(crate) next_ask: Millis,
    pub(crate) next_load: Millis,
    pub(crate) next_handoff: Millis,
    pub(crate) read_since: Option<Millis>,
    pub(crate) inbox_read_number: u64,
    pub(crate) first_valid_inbox_read: u64,
    pub(crate) next_inbox: Millis,
    pub(crate) waiting: BTreeMap<TaskId, WaitReason>,
    pub(crate) waiting_since: HashMap<TaskId, Millis>,
    pub(crate) reasons: HashMap<AttemptId, PlacedReason>,
    pub(crate) cursors: BTreeMap<PendingKey, TaskId>,
    pub(crate) held: HashMap<AttemptId, HeldRoom>,
    pub(crate) avoid: HashMap<TaskId, WorkerId>,
    pub(crate) tokens: u64,
    pub(crate) turn: usize,
    pub(crate) counts: OwnerCounts,
    pub(crate) actions: Vec<ShardAction>,
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
    /// Starts out watching `shard` from `host`; equal seeds give equal choices.
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
            families: FamilyPrior::default(),
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
            snapshot: SnapshotWork::default(),
            last_commit: 0,
            urgent_waits: false,
            claimed_at: 0,
            silence_ms: 0,
            loading_since: None,
            releasing: false,
            next_read: 0,
            next_ask: 0,
            next_load: 0,
            next_handoff: 0,
            read_since: None,
            inbox_read_number: 0,
            first_valid_inbox_read: 0,
            next_inbox: 0,
            waiting: BTreeMap::new(),
            waiting_since: HashMap::new(),
            reasons: HashMap::new(),
            cursors: BTreeMap::new(),
            held: HashMap::new(),
            avoid: HashMap::new(),
            tokens: 0,
            turn: 0,
            counts: OwnerCounts::default(),
            actions: Vec::new(),
            broken: false,
        }
    }

    /// Takes in one event and returns what to do.
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
            ShardEvent::RowReadFailed => self.read_since = None,
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
            } => self.on_worker(now, &worker, epoch, number, report),
            ShardEvent::WorkersListed {
                present,
                leaving,
                gone,
            } => self.on_listed(present, leaving, gone),
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

    /// Does what one worker's answer may call for, without a look at every worker.
    fn follow_up(&mut self, now: Millis, worker: &WorkerId) {
        self.flush(now);
        if self.may_send(now) {
            self.send_to(now, worker);
        }
    }

    /// Does whatever is due by now.
    fn advance(&mut self, now: Millis) {
        self.watch_row(now);
        self.claim_if_free(now);
        self.load_if_claimed(now);
        if *self.lease.stage() == LeaseStage::Holding {
            self.take_in_config();
            self.read_inbox(now);
            self.retire_lapsed(now);
            self.place_waiting(now);
            self.hand_off_waiting(now);
        }
        self.flush(now);
        self.send_orders(now);
    }

    fn watch_row(&mut self, now: Millis) {
        let watching = *self.lease.stage() == LeaseStage::Watching;
        let asked = self
            .read_since
            .is_some_and(|since| now < since + self.times.answer_timeout_ms);
        if !watching || asked || now < self.next_read {
            return;
        }
        self.next_read = now + self.times.shard_lease_ms / READS_PER_LEASE;
        self.ask_row(now);
    }

    pub(crate) fn ask_row(&mut self, now: Millis) {
        self.read_since = Some(now);
        self.next_ask = now + self.times.answer_timeout_ms;
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
        let patience = self.times.shard_lease_ms;
        let asked = self
            .loading_since
            .is_some_and(|since| now < since + patience);
        if asked || now < self.next_load {
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
        self.next_inbox = now + INBOX_EVERY_MS;
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

    /// Whether workers may be sent anything: the grace is not over and the shard is not being released.
    fn may_send(&self, now: Millis) -> bool {
        self.lease.may_renew_tasks(now) && !self.releasing
    }

    fn send_to(&mut self, now: Millis, worker: &WorkerId) {
        let epoch = self.epoch();
        let Some(session) = self.sessions.get_mut(worker) else {
            return;
        };
        if session.is_overdue(now, &self.times) {
            session.note_lost(now, &self.times);
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
        self.tokens += 1;
        format!("{}:{}:{}", self.host, self.shard, self.tokens)
    }

    pub(crate) fn pending_key(&self, spec: &JobSpec) -> PendingKey {
        PendingKey {
            urgent: spec.urgency == UrgencyLevel::Urgent,
            team: spec.team.clone(),
        }
    }

    /// Drops all that only an owner may keep.
    pub(crate) fn forget_ownership(&mut self) {
        self.state = ShardState::default();
        self.queue = PendingQueue::default();
        self.sessions.clear();
        self.buffer.clear();
        self.adopting.clear();
        self.ending.clear();
        self.placing.clear();
        self.waiting.clear();
        self.waiting_since.clear();
        self.reasons.clear();
        self.cursors.clear();
        self.avoid.clear();
        self.pending = None;
        self.snapshot = SnapshotWork::default();
        self.loading_since = None;
        self.releasing = false;
        self.drop_all_holds();
        self.rebuild_pool();
    }

    /// Empties the pool of reservations but keeps what was learned.
    pub(crate) fn rebuild_pool(&mut self) {
        let workers: Vec<WorkerId> = self.pool.workers().cloned().collect();
        for worker in workers {
            let attempts: Vec<AttemptId> = self
                .pool
                .tenants(&worker)
                .iter()
                .map(|tenant| tenant.attempt.clone())
                .collect();
            for attempt in attempts {
                self.pool.release(&worker, &attempt);
            }
            self.pool.set_open(&worker, false);
        }
    }
}
