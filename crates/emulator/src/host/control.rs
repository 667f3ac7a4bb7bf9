//! Emulates the control thread: claims the shard when it has no owner, and runs its scheduler while this host owns it.

use std::collections::BTreeMap;
use std::sync::Arc;

use rand::Rng;
use rand_chacha::ChaCha8Rng;
use sandshelf_jobs::admission::LoadView;
use sandshelf_jobs::{
    CommitBatch, JobAction, JobEvent, JobScheduler, SchedulerCounts, SchedulerLimits, TakeoverInfo,
    WorkerCall, WorkerChanges, WorkerListing,
};
use sandshelf_lease::{LeaseStage, LeaseTimes, OwnerWatch, ShardLease};
use sandshelf_model::{HostId, Millis, WorkerId};

use super::takeover::TakeoverReading;
use super::tenure::ShardTenure;
use super::writes::{WriteState, READ_TIMEOUT_MS};
use super::{
    CallBody, CallPeer, EmulatedHost, HostAction, HostFault, HostModel, HostStrength, WorkItem,
    WorkerOrder,
};
use crate::costs::{self, EventWeight};
use crate::queue::{Micros, MS};
use crate::store::{EmulatedStore, OwnerWrite, StoreCall, StoreReply};
use crate::worker::place_of;

// Same values as in the daemon: `jobs/owner.rs`, `jobs/owner/claim.rs`, `jobs/owner/strength.rs` and `jobs/writer.rs`.
pub(super) const SHARD_LEASE_MS: Millis = 1_200;
const CLAIM_STAGGER_MS: Millis = 6;
const FIRST_CLAIM_RANK_FACTOR: u32 = 5;
const KEEP_FINISHED_MS: Millis = 130_000;

/// The list of workers by name.
type WorkerList = Arc<BTreeMap<WorkerId, WorkerListing>>;

/// Wall-clock time at the start of a simulation, in milliseconds since 1970.
pub const WALL_START_MS: Millis = 1_764_700_000_000;

/// Statistics of a shard owner's scheduler.
#[derive(Clone, Copy, Debug)]
pub struct OwnerStats {
    /// The owner's epoch.
    pub epoch: u64,
    /// The scheduler's counts.
    pub counts: SchedulerCounts,
}

/// State of the shard that this host owns.
#[derive(Debug)]
pub(super) struct OwnedShard {
    pub(super) scheduler: JobScheduler,
    /// Version of the configuration whose queues the scheduler knows.
    queues_version: u64,
    /// Number of workers in the last list.
    workers: usize,
    pub(super) tenure: ShardTenure,
    /// The list of workers as read; `None` before the first one.
    list: Option<WorkerList>,
}

/// State of the control thread of one process of a host.
#[derive(Debug)]
pub(super) struct OwnerControl {
    id: HostId,
    name: String,
    strength: HostStrength,
    pub(super) limits: SchedulerLimits,
    pub(super) lease: ShardLease,
    /// The drawn place in the order in which hosts claim; lower ranks claim earlier.
    rank: u32,
    claimed_at: Millis,
    pub(super) owned: Option<OwnedShard>,
    pub(super) pending_batch: Option<CommitBatch>,
    pub(super) writing: Option<WriteState>,
    pub(super) watch: OwnerWatch,
    /// The time from which no earlier owner gives orders, if that is after this host's claim; otherwise 0.
    earlier_orders_until: Millis,
    /// The time from which the other hosts are told of the next renewal, in milliseconds.
    pub(super) next_notice: Millis,
    pub(super) takeover: Option<TakeoverReading>,
}

impl OwnerControl {
    pub(super) fn new(
        name: &str,
        incarnation: u32,
        model: &HostModel,
        limits: SchedulerLimits,
        random: &mut ChaCha8Rng,
    ) -> Self {
        let id = HostId::from(format!("{name}.{incarnation:016x}"));
        let times = LeaseTimes {
            stagger_ms: CLAIM_STAGGER_MS,
            ..LeaseTimes::derive(SHARD_LEASE_MS, limits.max_lease_ms, Millis::MAX / 4)
        };
        let strength = HostStrength::of(model);
        Self {
            lease: ShardLease::new(id.clone(), times),
            id,
            name: name.to_owned(),
            strength,
            limits,
            rank: strength.draw_rank(random),
            claimed_at: 0,
            owned: None,
            pending_batch: None,
            writing: None,
            watch: OwnerWatch::default(),
            earlier_orders_until: 0,
            next_notice: 0,
            takeover: None,
        }
    }

    pub(super) fn epoch(&self) -> Option<u64> {
        self.owned.as_ref().map(|owned| owned.scheduler.epoch())
    }

    /// The list of workers as this owner knows it; `None` before it has read it.
    pub(super) fn owned_list(&self) -> Option<WorkerList> {
        self.owned.as_ref()?.list.clone()
    }

    /// Replaces that list.
    pub(super) fn set_list(&mut self, list: BTreeMap<WorkerId, WorkerListing>) {
        if let Some(owned) = &mut self.owned {
            owned.workers = list.len();
            owned.list = Some(Arc::new(list));
        }
    }

    /// Applies changes to that list.
    pub(super) fn change_list(&mut self, changes: &WorkerChanges) {
        let Some(owned) = &mut self.owned else {
            return;
        };
        let list = Arc::make_mut(owned.list.get_or_insert_with(Arc::default));
        for entry in &changes.listed {
            list.insert(entry.worker.clone(), entry.clone());
        }
        for worker in &changes.removed {
            list.remove(worker);
        }
        owned.workers = list.len();
    }

    /// The load that this owner publishes; `None` if it publishes none.
    pub(super) fn load_view(&self, now: Millis) -> Option<LoadView> {
        self.owned.as_ref()?.scheduler.load_view(now)
    }

    pub(super) fn is_owner(&self) -> bool {
        self.owned.is_some()
    }

    pub(super) fn stats(&self, now: Micros) -> Option<OwnerStats> {
        let owned = self.owned.as_ref()?;
        Some(OwnerStats {
            epoch: owned.scheduler.epoch(),
            counts: owned.scheduler.counts(now / MS),
        })
    }

    /// Drops the ownership with its unfinished write and takeover, because the process has ended.
    pub(super) fn clear(&mut self) {
        self.owned = None;
        self.writing = None;
        self.takeover = None;
    }

    /// Whether the shard's recorded owner is an earlier incarnation of this host, so that this one may claim the shard at once.
    /// Always `false` for weak hosts.
    fn owner_is_earlier_incarnation(&self) -> bool {
        let watching = *self.lease.stage() == LeaseStage::Watching;
        let owner = self.lease.row().and_then(|seen| seen.row.owner.as_ref());
        let earlier = owner.is_some_and(|owner| {
            let (name, _) = owner.as_str().rsplit_once('.').unwrap_or_default();
            *owner != self.id && name == self.name
        });
        watching && earlier && self.strength != HostStrength::Weak
    }

    /// The rank for the next claim. It is larger before the first owner of the shard.
    fn claim_rank(&self) -> u32 {
        let owned_before = self.lease.row().is_some_and(|seen| seen.row.epoch > 0);
        self.rank
            * if owned_before {
                1
            } else {
                FIRST_CLAIM_RANK_FACTOR
            }
    }
}

fn count_starts(actions: &[JobAction]) -> usize {
    let starts = actions.iter().filter(|action| {
        let JobAction::Call { call, .. } = action else {
            return false;
        };
        matches!(call, WorkerCall::Start(_))
    });
    starts.count()
}

impl EmulatedHost {
    pub(super) fn tick(&mut self, at: Micros) {
        if self.control.owned.is_some() {
            self.check_tenure(at);
            self.refresh_queues(at);
            let wall_ms = WALL_START_MS + at / MS;
            self.handle_events(at, vec![JobEvent::Tick { wall_ms }]);
        }
        self.write_next(at);
        if *self.control.lease.stage() == LeaseStage::Watching {
            self.watch(at);
        }
    }

    pub(super) fn refresh_queues(&mut self, at: Micros) {
        let version = self.config.in_force().map_or(0, |config| config.version);
        let Some(owned) = &mut self.control.owned else {
            return;
        };
        if owned.queues_version != version {
            owned.queues_version = version;
            let queues = self.config.queues();
            self.handle_events(at, vec![JobEvent::QueuesChanged(queues)]);
        }
    }

    /// Passes events to the scheduler and carries out its actions.
    pub(super) fn handle_events(&mut self, at: Micros, events: Vec<JobEvent>) {
        let Some(owned) = &mut self.control.owned else {
            return;
        };
        let weights: Vec<EventWeight> = events
            .iter()
            .map(|event| EventWeight::of(event, owned.workers))
            .collect();
        let measured = self.meter.begin(&events);
        let (_, before) = owned.scheduler.last_pass();
        let began = self.meter.processor_time();
        let actions = owned.scheduler.handle_all(at / MS, events);
        let took = self.meter.processor_time() - began;
        let (waiting, last) = owned.scheduler.last_pass();
        let pass = (last != before).then_some(waiting + count_starts(&actions));
        self.meter.end(measured, &weights, &actions, pass, took);
        let at = self.spend(at, costs::scheduler_us(&weights, &actions, pass));
        for action in actions {
            self.act(at, action);
        }
    }

    fn act(&mut self, at: Micros, action: JobAction) {
        match action {
            JobAction::Note(note) => self.actions.push((at, HostAction::Noted(note))),
            JobAction::Deposed => self.step_down(),
            JobAction::Commit(batch) => {
                self.control.pending_batch = Some(batch);
                self.write_next(at);
            }
            JobAction::Call {
                worker,
                address,
                call,
            } => {
                let Some(epoch) = self.control.epoch() else {
                    return;
                };
                let is_stop = matches!(call, WorkerCall::Stop(_));
                if is_stop && self.model.fault == HostFault::NoStops {
                    return;
                }
                let place = place_of(address);
                let is_renewal = matches!(call, WorkerCall::Renew(_));
                let order = WorkerOrder {
                    epoch,
                    worker,
                    call,
                };
                let mut body = Some(CallBody::Order(order));
                if !is_renewal {
                    body = body.and_then(|body| self.calls.acquire_slot(place, body));
                }
                if let Some(body) = body {
                    let peer = CallPeer::Worker(place);
                    self.inbox.push_back(WorkItem::Begin(peer, body));
                }
            }
        }
    }

    /// Stops owning the shard at once, without writing to the store.
    pub(super) fn step_down(&mut self) {
        self.control.owned = None;
        self.control.pending_batch = None;
        self.control.takeover = None;
        self.control.rank = self.control.strength.draw_rank(&mut self.random);
        self.control.lease.return_to_watching();
    }

    pub(super) fn token(&mut self) -> String {
        format!("{:016x}", self.random.next_u64())
    }

    /// Reads the owner's row periodically, and claims the shard when its owner's lease has run out.
    fn watch(&mut self, at: Micros) {
        let now = at / MS;
        let control = &self.control;
        let rank = control.claim_rank();
        let free = control.lease.may_claim(now, rank)
            || control.owner_is_earlier_incarnation()
            || control
                .watch
                .may_claim_early(now, &control.lease, control.rank);
        if free && control.writing.is_none() {
            let token = self.token();
            self.control.earlier_orders_until = self.control.lease.earlier_orders_until(now, rank);
            self.control.claimed_at = now;
            let (version, row) = self.control.lease.begin_claim(token);
            self.write(
                at,
                OwnerWrite {
                    version,
                    row,
                    batch: CommitBatch::default(),
                },
            );
            return;
        }
        if control.watch.wants_read(now) && self.config.in_force().is_some() {
            self.control.watch.begin_read(now);
            self.call_store(at, StoreCall::ReadOwner, READ_TIMEOUT_MS);
        }
    }

    pub(super) fn handle_owner_row(&mut self, at: Micros, reply: Option<StoreReply>) {
        let now = at / MS;
        let row = match reply {
            Some(StoreReply::Owner(row)) => Some(row),
            _ => None,
        };
        self.control.watch.end_read(now, row.as_ref());
        match row {
            Some(row) => {
                let age_ms = match row.row.sent_store_ms {
                    0 => 0,
                    sent_store_ms => EmulatedStore::clock_ms(at).saturating_sub(sent_store_ms),
                };
                self.control.lease.note_aged_read(now, row, age_ms);
            }
            _ if *self.control.lease.stage() == LeaseStage::Watching => {
                self.control.lease.return_to_watching();
            }
            _ => {}
        }
    }

    /// Begins to own the shard and to renew the workers' leases, from the state that the previous owner published.
    pub(super) fn take_over(&mut self, at: Micros, info: TakeoverInfo) {
        if *self.control.lease.stage() != LeaseStage::Recovering {
            return;
        }
        self.control.lease.note_recovered();
        let epoch = self.control.lease.row().map_or(0, |row| row.row.epoch);
        let limits = SchedulerLimits {
            keep_finished_ms: KEEP_FINISHED_MS,
            ..self.control.limits
        };
        let took_ms = at / MS - self.control.claimed_at;
        self.actions.push((at, HostAction::Owned(epoch, took_ms)));
        let info = TakeoverInfo {
            epoch,
            claimed_at: at / MS,
            earlier_orders_until: self.control.earlier_orders_until,
            wall_ms: WALL_START_MS + at / MS,
            ..info
        };
        self.calls.reset_worker_connections();
        self.control.owned = Some(OwnedShard {
            scheduler: JobScheduler::new(limits, info),
            queues_version: 0,
            workers: 0,
            tenure: ShardTenure::new(self.control.claimed_at),
            list: None,
        });
        self.list_workers(at);
        self.refresh_queues(at);
        let wall_ms = WALL_START_MS + at / MS;
        self.handle_events(at, vec![JobEvent::Tick { wall_ms }]);
    }
}
