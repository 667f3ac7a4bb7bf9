//! The scheduler: the state of all jobs and workers of a shard, and the dispatch of events.

use std::collections::{BTreeMap, BTreeSet, HashSet, VecDeque};
use std::sync::Arc;

use sandshelf_model::{Epoch, Millis, WorkerId};
use sandshelf_place::QuarantineTracker;

use crate::admission::LoadMeter;
use crate::answer_patience::AnswerPatience;
use crate::backlog::BacklogMonitor;
use crate::capacity::EndedJobSizes;
use crate::copies::SlowRunWatch;
use crate::crash::CrashTracker;
use crate::dirty::{DirtyParts, UnwrittenEnds};
use crate::events::{JobAction, JobEvent, WorkerCall};
use crate::foreign::ForeignRuns;
use crate::halls::EvacuatedHalls;
use crate::hedge::StartOrders;
use crate::ids::{JobNumber, RunKey, TaskKey, WorkerIncarnation};
use crate::images::ImageTable;
use crate::interference::InterferenceEstimate;
use crate::job::JobState;
use crate::limits::{
    SchedulerLimits, MAX_ORDER_AGE_MS, MAX_OWNER_PAUSE_MS, MAX_PASS_INTERVAL_MS,
    MIN_CLOCK_RATE_PERCENT, NEW_JOB_TAKEOVER_WAIT_MS, QUARANTINE_RULE, TAKEOVER_MARGIN_MS,
    WORKER_CHECK_INTERVAL_MS,
};
use crate::load_forecast::LoadHistory;
use crate::note::JobNote;
use crate::obsolete_pages::ObsoletePages;
use crate::preemption::PreemptionState;
use crate::progress::ProgressRow;
use crate::progress_page::StoredProgress;
use crate::queues::{QueueAddress, QueueDirectory};
use crate::rank::FailedPlacements;
use crate::reservations::ReservationBook;
use crate::roster::RosterMembers;
use crate::shares::{FairShares, FillingLimits, StandingShortage};
use crate::silent::SilenceRecords;
use crate::spec::{JobSpec, QueueRules};
use crate::store_clock::ClockBound;
use crate::takeover::{RecoveryState, TakeoverInfo, FIRST_EPOCH};
use crate::wait_key::WaitKey;
use crate::worker::WorkerState;

/// Each owner numbers its runs from its epoch times this number, so that run numbers increase across owners without coordination.
const RUNS_PER_EPOCH: u64 = 1 << 20;

/// The recorded ends of one incarnation of a worker, up to a number.
#[derive(Clone, Debug)]
pub(crate) struct NotedEnds {
    pub(crate) worker: WorkerId,
    pub(crate) incarnation: Option<WorkerIncarnation>,
    /// The number of the newest recorded end.
    pub(crate) newest: u64,
}

/// A commit that was requested and has not taken effect yet.
#[derive(Clone, Debug)]
pub(crate) struct PendingCommit {
    pub(crate) id: u64,
    /// Whether the commit publishes the head of the roster, and with it the length of leases.
    pub(crate) roster_head: bool,
    /// The ends that are durable once the commit has taken effect.
    pub(crate) noted: Vec<NotedEnds>,
    /// The tasks whose newest crash record is durable once the commit has taken effect.
    pub(crate) crashed: Vec<TaskKey>,
}

/// The owner's view of all jobs and workers of a shard.
#[derive(Clone, Debug)]
pub struct JobScheduler {
    pub(crate) limits: SchedulerLimits,
    pub(crate) epoch: Epoch,
    pub(crate) claim_version: u64,
    /// Whether the jobs and their progress have not been read yet.
    pub(crate) state_pending: bool,
    /// The wall-clock time at the last tick, in milliseconds since 1970; 0 if unknown.
    pub(crate) wall_ms: u64,
    pub(crate) jobs: BTreeMap<JobNumber, JobState>,
    /// The progress of jobs whose rows have not been handled yet, as read at the takeover.
    pub(crate) inherited_progress: StoredProgress,
    /// The jobs that have ended; later rows of them are ignored.
    pub(crate) finished: HashSet<JobNumber>,
    /// When each job ended, oldest first, until the removal of its rows is requested.
    pub(crate) finished_at: VecDeque<(Millis, JobNumber)>,
    /// The final progress of ended jobs that has not been written yet.
    pub(crate) final_rows: BTreeMap<JobNumber, ProgressRow>,
    pub(crate) obsolete_pages: ObsoletePages,
    pub(crate) workers: BTreeMap<WorkerId, WorkerState>,
    /// The known workers that the worker list doesn't contain.
    pub(crate) unlisted: BTreeSet<WorkerId>,
    /// When the newest worker list arrived.
    pub(crate) last_list: Millis,
    /// Since when worker lists have arrived without a gap longer than `MAX_LIST_GAP_MS`.
    pub(crate) lists_since: Millis,
    pub(crate) waiting: BTreeSet<WaitKey>,
    /// Waiting tasks that must not start before a time.
    pub(crate) delayed: BTreeSet<(Millis, TaskKey)>,
    pub(crate) queues: QueueDirectory,
    pub(crate) evacuated: EvacuatedHalls,
    pub(crate) dirty: DirtyParts,
    /// Ends that wait until all progress is written that had changed when they were noted.
    pub(crate) unwritten_ends: Option<UnwrittenEnds>,
    /// Whether the next commit must not wait for the shortest interval between commits.
    pub(crate) urgent: bool,
    pub(crate) commit: Option<PendingCommit>,
    pub(crate) commit_count: u64,
    pub(crate) last_commit: Millis,
    /// The published number of waiting jobs by queue; none before this owner has counted them.
    pub(crate) pending_counts: Option<BTreeMap<QueueAddress, u64>>,
    pub(crate) pending_published_at: Millis,
    pub(crate) roster: RosterMembers,
    pub(crate) roster_checked_at: Millis,
    /// The stop orders that were sent, each with the time at which it is checked again.
    pub(crate) stop_queue: VecDeque<(Millis, WorkerId, RunKey)>,
    /// The sorted ids of all workers, cached until a worker is added or removed.
    pub(crate) worker_order: Option<Arc<[WorkerId]>>,
    /// When the next lease renewal of each worker is due; entries of workers that have an open renewal or are gone by then are skipped.
    pub(crate) renewal_queue: BTreeSet<(Millis, WorkerId)>,
    /// Whether ends were recorded for which no commit was requested yet.
    pub(crate) unacknowledged: bool,
    /// The length of leases, in milliseconds, as published in the roster for a successor: the longest that this owner grants while it
    /// can renew its ownership, or the length that an earlier owner published, while its leases may last and it is longer.
    pub(crate) roster_lease_ms: Millis,
    /// The length of leases that earlier owners published, in milliseconds. One that could not renew its ownership granted longer ones.
    pub(crate) inherited_lease_ms: Millis,
    /// From this time on no lease of an earlier owner can be valid, however long it was.
    pub(crate) inherited_until: Millis,
    /// Until when an order of an earlier owner may be carried out; 0 for the first owner.
    pub(crate) earlier_orders_until: Millis,
    /// Whether the durable roster allows leases as long as this owner's. Until then this owner grants none longer than an earlier owner's.
    pub(crate) lease_published: bool,
    pub(crate) store_clock: ClockBound,
    pub(crate) silence_records: SilenceRecords,
    pub(crate) recovery: Option<RecoveryState>,
    pub(crate) claimed_at: Millis,
    pub(crate) foreign: ForeignRuns,
    pub(crate) ended_job_sizes: EndedJobSizes,
    pub(crate) quarantine: QuarantineTracker,
    pub(crate) crashes: CrashTracker,
    pub(crate) images: ImageTable,
    pub(crate) interference: InterferenceEstimate,
    pub(crate) load_history: LoadHistory,
    pub(crate) interference_written_at: Millis,
    /// Whether waiting tasks are to be tried again, since capacity may have been freed or a task has been queued.
    pub(crate) room_changed: bool,
    pub(crate) last_pass: Millis,
    /// The placements that the last pass tried in vain, if it was cut short.
    pub(crate) failed_placements: Option<FailedPlacements>,
    pub(crate) filling_limits: FillingLimits,
    pub(crate) shares: FairShares,
    pub(crate) standing_shortage: StandingShortage,
    pub(crate) reservations: ReservationBook,
    pub(crate) workers_checked_at: Millis,
    /// Whether the last placement pass left tasks waiting.
    pub(crate) pass_left_tasks: bool,
    pub(crate) last_move: Millis,
    pub(crate) slow_runs: SlowRunWatch,
    pub(crate) backlog: BacklogMonitor,
    pub(crate) load_meter: LoadMeter,
    pub(crate) preemption: PreemptionState,
    /// The number of start orders that were sent and have no answer yet.
    pub(crate) unanswered_starts: usize,
    /// The start orders of short tasks that may be unanswered.
    pub(crate) start_orders: StartOrders,
    /// How long answers to start orders usually take.
    pub(crate) start_patience: AnswerPatience,
    /// How much longer than its wait the answer to a lease renewal usually takes.
    pub(crate) renewal_patience: AnswerPatience,
    pub(crate) last_tick: Millis,
    /// Until when this owner is sure that no other host owns the shard; `Millis::MAX` before the first [`JobEvent::SureUntil`].
    pub(crate) sure_until: Millis,
    /// Whether this owner can't renew its ownership at present.
    pub(crate) ownership_overdue: bool,
    /// Since when this owner has been unsure; none while it is sure.
    pub(crate) unsure_since: Option<Millis>,
    /// Whether this owner has lost its ownership: it handles no event any more.
    pub(crate) deposed: bool,
    pub(crate) actions: Vec<JobAction>,
}

impl JobScheduler {
    /// Creates the scheduler of a new owner from the state that it takes over.
    pub fn new(limits: SchedulerLimits, info: TakeoverInfo) -> Self {
        let inherited_lease_ms = info.inherited_lease_ms(&limits);
        let own_lease_ms = limits.lease_ms();
        let lease = inherited_lease_ms * 100 / MIN_CLOCK_RATE_PERCENT;
        let last_orders_at = info.claimed_at.max(info.earlier_orders_until);
        let inherited_until = last_orders_at + lease + TAKEOVER_MARGIN_MS;
        let earlier_orders_until = match info.epoch {
            FIRST_EPOCH => 0,
            _ => last_orders_at + TAKEOVER_MARGIN_MS + MAX_ORDER_AGE_MS,
        };
        let mut scheduler = Self {
            limits,
            epoch: info.epoch,
            claim_version: info.claim_version,
            state_pending: info.state_pending,
            wall_ms: info.wall_ms,
            jobs: BTreeMap::new(),
            inherited_progress: StoredProgress::default(),
            finished: HashSet::new(),
            finished_at: VecDeque::new(),
            final_rows: BTreeMap::new(),
            obsolete_pages: ObsoletePages::default(),
            workers: BTreeMap::new(),
            unlisted: BTreeSet::new(),
            last_list: 0,
            lists_since: info.claimed_at,
            waiting: BTreeSet::new(),
            delayed: BTreeSet::new(),
            queues: QueueDirectory::default(),
            evacuated: EvacuatedHalls::default(),
            dirty: DirtyParts::default(),
            unwritten_ends: None,
            urgent: false,
            commit: None,
            commit_count: 0,
            last_commit: 0,
            pending_counts: None,
            // Jobs are handled one by one, so the number of waiting jobs is published only once all are known.
            pending_published_at: info.claimed_at,
            roster: RosterMembers::default(),
            roster_checked_at: 0,
            stop_queue: VecDeque::new(),
            worker_order: None,
            renewal_queue: BTreeSet::new(),
            unacknowledged: false,
            // As long as runs of an earlier owner can be running, workers may hold its leases, even workers that have answered:
            // a lease is never shortened.
            roster_lease_ms: inherited_lease_ms.max(own_lease_ms),
            inherited_lease_ms,
            inherited_until,
            earlier_orders_until,
            lease_published: info.epoch == FIRST_EPOCH || inherited_lease_ms >= own_lease_ms,
            store_clock: ClockBound::default(),
            silence_records: SilenceRecords::default(),
            claimed_at: info.claimed_at,
            foreign: ForeignRuns::default(),
            ended_job_sizes: EndedJobSizes::default(),
            recovery: Some(RecoveryState {
                unanswered: BTreeMap::new(),
                until: inherited_until,
                new_jobs_wait_until: info.claimed_at + NEW_JOB_TAKEOVER_WAIT_MS,
                listed: false,
                worker_lost: false,
            }),
            quarantine: QuarantineTracker::with_rule(QUARANTINE_RULE),
            crashes: CrashTracker::default(),
            images: ImageTable::default(),
            interference: InterferenceEstimate::default(),
            load_history: LoadHistory::default(),
            interference_written_at: 0,
            room_changed: false,
            last_pass: 0,
            failed_placements: None,
            filling_limits: FillingLimits::default(),
            shares: FairShares::default(),
            standing_shortage: StandingShortage::default(),
            reservations: ReservationBook::default(),
            workers_checked_at: 0,
            pass_left_tasks: false,
            last_move: 0,
            slow_runs: SlowRunWatch::default(),
            backlog: BacklogMonitor::default(),
            load_meter: LoadMeter::default(),
            preemption: PreemptionState::default(),
            unanswered_starts: 0,
            start_orders: StartOrders::default(),
            start_patience: AnswerPatience::default(),
            renewal_patience: AnswerPatience::default(),
            last_tick: 0,
            sure_until: Millis::MAX,
            ownership_overdue: false,
            unsure_since: None,
            deposed: false,
            actions: Vec::new(),
        };
        scheduler.inherit_progress(info.progress);
        scheduler
            .interference
            .restore(&mut scheduler.images, &info.interference);
        let incarnations = info.roster.incarnations.into_iter();
        let incarnations = incarnations.chain(std::iter::repeat(None));
        for ((worker, address), named) in info.roster.workers.into_iter().zip(incarnations) {
            let named = named.map(|named| named.restore(info.claimed_at, info.store_ms));
            scheduler.expect_worker(info.claimed_at, worker, address, named);
        }
        if info.rules_since > 0 && info.silent.epoch >= info.rules_since {
            scheduler.inherit_silence_records(info.claimed_at, info.store_ms, info.silent);
        }
        // The head of the roster carries the epoch of its own writer, so this owner writes it again.
        scheduler.roster.head_changed = true;
        if info.rules_since == 0 && info.epoch > FIRST_EPOCH {
            // An owner of another version may have written the roster in another form.
            scheduler.roster.rewrite();
        }
        scheduler
    }

    /// This owner's epoch.
    pub fn epoch(&self) -> Epoch {
        self.epoch
    }

    /// Handles one event and returns the actions to carry out.
    pub fn handle(&mut self, now: Millis, event: JobEvent) -> Vec<JobAction> {
        self.handle_all(now, [event])
    }

    /// Handles events in order and returns the actions to carry out. Placement, lease renewals and commits run once for the whole
    /// batch, so that an owner under load spends less time on each event.
    ///
    /// Once the ownership is lost, the only action is [`JobAction::Deposed`].
    pub fn handle_all(
        &mut self,
        now: Millis,
        events: impl IntoIterator<Item = JobEvent>,
    ) -> Vec<JobAction> {
        // After a pause as long as the ownership lasts, another owner may have finished tasks that this owner still considers waiting.
        if self.last_tick > 0 && now > self.last_tick + MAX_OWNER_PAUSE_MS {
            self.deposed = true;
        }
        for event in events {
            if self.deposed {
                break;
            }
            self.handle_event(now, event);
        }
        if self.deposed {
            return vec![JobAction::Deposed];
        }
        self.place_waiting(now);
        self.preempt_for_waiting(now);
        self.send_renewals(now);
        self.begin_commit(now);
        std::mem::take(&mut self.actions)
    }

    fn handle_event(&mut self, now: Millis, event: JobEvent) {
        match event {
            JobEvent::JobListed {
                number,
                version,
                spec,
            } => {
                self.handle_job_listed(now, number, version, *spec);
                self.adopt_stopped_runs(number);
            }
            JobEvent::StateRead {
                progress,
                claim_version,
            } => self.apply_recovered_state(progress, claim_version),
            JobEvent::CancelAsked(number) => self.cancel_job(now, number),
            JobEvent::WorkersUnreadable(workers) => self.mark_unreadable(&workers),
            JobEvent::WorkersListed(list) => self.handle_worker_list(now, list),
            JobEvent::WorkersChanged(changes) => self.handle_worker_changes(now, changes),
            JobEvent::StoreClock { at, at_most_ms } => self.store_clock.note(at, at_most_ms),
            JobEvent::QueuesChanged(queues) => self.change_queues(queues),
            JobEvent::HallsEvacuated(halls) => self.apply_evacuated_halls(now, halls),
            JobEvent::StartAnswered(worker, key, answer) => {
                self.unanswered_starts = self.unanswered_starts.saturating_sub(1);
                self.handle_start_answer(now, &worker, key, answer);
            }
            JobEvent::StopAnswered(worker, key, answer) => {
                self.handle_stop_answer(now, &worker, key, answer);
            }
            JobEvent::PaceAnswered(worker, key, answer) => {
                self.handle_pace_answer(now, &worker, key, answer);
            }
            JobEvent::RenewalAnswered(worker, answer) => {
                self.handle_renewal_answer(now, &worker, answer)
            }
            JobEvent::Committed(id) => self.handle_commit(now, id),
            JobEvent::SureUntil(until) => self.handle_tenure(now, until),
            JobEvent::OwnershipOverdue(overdue) => self.set_ownership_overdue(now, overdue),
            JobEvent::Tick { wall_ms } => self.tick(now, wall_ms),
        }
    }

    fn tick(&mut self, now: Millis, wall_ms: u64) {
        self.wall_ms = wall_ms;
        if self.last_tick > 0 {
            self.backlog
                .record_tick(now, now.saturating_sub(self.last_tick));
        }
        self.last_tick = now;
        self.check_tenure(now);
        self.open_due_repetitions(now);
        self.release_delayed(now);
        self.check_recovery(now);
        self.publish_own_lease(now);
        let sure = !self.may_be_succeeded(now);
        if sure && now >= self.workers_checked_at + WORKER_CHECK_INTERVAL_MS {
            self.workers_checked_at = now;
            self.check_workers(now);
            self.hedge_renewals(now);
            self.move_standing_tasks(now);
            self.release_reserved(now);
        }
        self.refresh_roster(now);
        self.forget_ended_sizes(now);
        self.resend_stops(now);
        self.settle_overdue_starts(now);
        self.settle_verdicts(now);
        self.send_probes(now);
        if sure {
            self.move_slowed_tasks(now);
            self.check_slow_runs(now);
        }
        self.load_history.refresh(now, &self.backlog);
        self.sample_load(now);
        // Load readings change the capacity that serving tasks leave, and jobs become late, without any event that frees capacity.
        self.room_changed |= now >= self.last_pass + MAX_PASS_INTERVAL_MS;
    }

    /// The rules of a job's queue: those in the current configuration, otherwise those with which the job was accepted.
    pub(crate) fn rules<'a>(&'a self, spec: &'a JobSpec) -> &'a QueueRules {
        self.queues.rules_of(spec).unwrap_or(&spec.rules)
    }

    /// The number of a task's next run.
    pub(crate) fn run_number(&self, runs_before: u64) -> u64 {
        self.epoch * RUNS_PER_EPOCH + runs_before + 1
    }

    pub(crate) fn call(&mut self, worker: &WorkerId, call: WorkerCall) {
        let Some(state) = self.workers.get(worker) else {
            return;
        };
        self.actions.push(JobAction::Call {
            worker: worker.clone(),
            address: state.entry.address,
            call,
        });
    }

    pub(crate) fn note(&mut self, note: JobNote) {
        self.actions.push(JobAction::Note(note));
    }
}
