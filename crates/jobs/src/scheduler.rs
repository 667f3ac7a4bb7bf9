//! The scheduler: all jobs and workers of a shard, and the dispatch of events.

use std::collections::{BTreeMap, BTreeSet, HashSet, VecDeque};
use std::sync::Arc;

use sandshelf_model::{Epoch, Millis, WorkerId};
use sandshelf_place::QuarantineBook;

use crate::crash::CrashBook;
use crate::events::{JobAction, JobEvent, WorkerCall};
use crate::foreign::ForeignRuns;
use crate::halls::EvacuatedHalls;
use crate::ids::{JobNumber, RunKey, TaskKey, WorkerIncarnation};
use crate::images::ImageTable;
use crate::job::{JobState, TaskStage};
use crate::limits::{
    SchedulerLimits, MAX_OWNER_PAUSE_MS, MAX_PASS_INTERVAL_MS, MIN_CLOCK_RATE_PERCENT,
    NEW_JOB_TAKEOVER_WAIT_MS, QUARANTINE_RULE, TAKEOVER_MARGIN_MS, WORKER_CHECK_INTERVAL_MS,
};
use crate::note::JobNote;
use crate::press::PressEstimate;
use crate::progress::ProgressRow;
use crate::rank::VainTries;
use crate::rooms::EndedRooms;
use crate::silent::{MarkBook, StoreClock};
use crate::spec::{JobSpec, QueueRules};
use crate::strain::WorkStrain;
use crate::swing::LoadBook;
use crate::takeover::{Recovery, TakeoverInfo, FIRST_EPOCH};
use crate::worker::WorkerState;

/// Each owner numbers its runs from its epoch times this, so that numbers rise over owners that know nothing of each other.
const RUNS_PER_EPOCH: u64 = 1 << 20;

/// A task, or a gang by its first task, that waits for a worker; sorted by urgency.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct WaitKey {
    pub(crate) priority: u32,
    pub(crate) objective_at: Millis,
    pub(crate) task: TaskKey,
}

/// Ends that one life of a worker listed, up to a number.
#[derive(Clone, Debug)]
pub(crate) struct NotedEnds {
    pub(crate) worker: WorkerId,
    pub(crate) incarnation: Option<WorkerIncarnation>,
    pub(crate) newest: u64,
}

/// A commit under way.
#[derive(Clone, Debug)]
pub(crate) struct PendingCommit {
    pub(crate) id: u64,
    /// Whether it publishes the roster, and with it how long leases are.
    pub(crate) roster: bool,
    /// Ends that are durable once it took effect.
    pub(crate) noted: Vec<NotedEnds>,
    /// Tasks whose newest crash is durable once it took effect.
    pub(crate) crashed: Vec<TaskKey>,
}

/// The owner's view of all jobs and workers of a shard.
#[derive(Clone, Debug)]
pub struct JobScheduler {
    pub(crate) limits: SchedulerLimits,
    pub(crate) epoch: Epoch,
    pub(crate) claim_version: u64,
    /// Whether the jobs and their progress have yet to be read.
    pub(crate) state_pending: bool,
    pub(crate) wall_ms: u64,
    pub(crate) jobs: BTreeMap<JobNumber, JobState>,
    pub(crate) inherited_progress: BTreeMap<JobNumber, ProgressRow>,
    pub(crate) finished: HashSet<JobNumber>,
    pub(crate) finished_at: VecDeque<(Millis, JobNumber)>,
    pub(crate) final_rows: BTreeMap<JobNumber, ProgressRow>,
    pub(crate) workers: BTreeMap<WorkerId, WorkerState>,
    /// When the newest list of workers came.
    pub(crate) last_list: Millis,
    /// Since when lists have come one soon after the other.
    pub(crate) lists_since: Millis,
    pub(crate) waiting: BTreeSet<WaitKey>,
    pub(crate) delayed: BTreeSet<(Millis, TaskKey)>,
    pub(crate) queues: BTreeMap<String, QueueRules>,
    pub(crate) evacuated: EvacuatedHalls,
    pub(crate) dirty: VecDeque<JobNumber>,
    pub(crate) dirty_set: HashSet<JobNumber>,
    pub(crate) urgent: bool,
    pub(crate) commit: Option<PendingCommit>,
    pub(crate) commit_count: u64,
    pub(crate) last_commit: Millis,
    pub(crate) pending_counts: BTreeMap<String, u64>,
    pub(crate) pending_published_at: Millis,
    pub(crate) roster: BTreeSet<WorkerId>,
    pub(crate) roster_changed: bool,
    pub(crate) roster_checked_at: Millis,
    /// Stops that were sent, with when each is looked at again.
    pub(crate) stop_queue: VecDeque<(Millis, WorkerId, RunKey)>,
    /// The workers in their order, until one comes or goes.
    pub(crate) worker_order: Option<Arc<[WorkerId]>>,
    /// When the next hold of each worker is due; entries of workers that are held or gone by then are passed over.
    pub(crate) hold_queue: BTreeSet<(Millis, WorkerId)>,
    /// Whether ends were taken in that no write was asked for yet.
    pub(crate) unacknowledged: bool,
    /// How long the leases are at most that workers hold, as a successor is told.
    pub(crate) roster_lease_ms: Millis,
    /// How long the leases of an earlier owner are at most.
    pub(crate) inherited_lease_ms: Millis,
    /// From when on none of them can last.
    pub(crate) inherited_until: Millis,
    /// Whether a successor is told of leases as long as this owner's; before that none is longer than an earlier owner's.
    pub(crate) lease_published: bool,
    pub(crate) store_clock: StoreClock,
    pub(crate) marks: MarkBook,
    pub(crate) recovery: Option<Recovery>,
    pub(crate) claimed_at: Millis,
    pub(crate) foreign: ForeignRuns,
    pub(crate) ended_rooms: EndedRooms,
    pub(crate) quarantine: QuarantineBook,
    pub(crate) crashes: CrashBook,
    pub(crate) images: ImageTable,
    pub(crate) press: PressEstimate,
    pub(crate) loads: LoadBook,
    pub(crate) strengths_at: Millis,
    pub(crate) room_changed: bool,
    pub(crate) last_pass: Millis,
    /// What the last pass need not have tried, where it was cut short.
    pub(crate) vain_tries: Option<VainTries>,
    pub(crate) workers_checked_at: Millis,
    /// Whether the last pass left tasks waiting.
    pub(crate) pass_left_some: bool,
    pub(crate) last_move: Millis,
    pub(crate) strain: WorkStrain,
    /// Orders to start that were sent and have no answer yet.
    pub(crate) starts_under_way: usize,
    pub(crate) last_tick: Millis,
    /// Until when this owner is sure that nobody has followed it; for ever before it is told.
    pub(crate) sure_until: Millis,
    /// Since when it is not.
    pub(crate) unsure_since: Option<Millis>,
    pub(crate) deposed: bool,
    pub(crate) actions: Vec<JobAction>,
}

impl JobScheduler {
    /// Starts with what is taken over.
    pub fn new(limits: SchedulerLimits, info: TakeoverInfo) -> Self {
        let inherited_lease_ms = info.inherited_lease_ms(&limits);
        let own_lease_ms = limits.lease_ms();
        let lease = inherited_lease_ms * 100 / MIN_CLOCK_RATE_PERCENT;
        let mut scheduler = Self {
            limits,
            epoch: info.epoch,
            claim_version: info.claim_version,
            state_pending: info.state_pending,
            wall_ms: info.wall_ms,
            jobs: BTreeMap::new(),
            inherited_progress: info.progress,
            finished: HashSet::new(),
            finished_at: VecDeque::new(),
            final_rows: BTreeMap::new(),
            workers: BTreeMap::new(),
            last_list: 0,
            lists_since: info.claimed_at,
            waiting: BTreeSet::new(),
            delayed: BTreeSet::new(),
            queues: BTreeMap::new(),
            evacuated: EvacuatedHalls::default(),
            dirty: VecDeque::new(),
            dirty_set: HashSet::new(),
            urgent: false,
            commit: None,
            commit_count: 0,
            last_commit: 0,
            pending_counts: BTreeMap::new(),
            // Jobs are taken in one after the other: their number is published once all are known.
            pending_published_at: info.claimed_at,
            roster: BTreeSet::new(),
            roster_changed: false,
            roster_checked_at: 0,
            stop_queue: VecDeque::new(),
            worker_order: None,
            hold_queue: BTreeSet::new(),
            unacknowledged: false,
            // Until nothing of an earlier owner's can be at work, workers may hold its leases, also those that have answered: a
            // lease never becomes shorter.
            roster_lease_ms: inherited_lease_ms.max(own_lease_ms),
            inherited_lease_ms,
            inherited_until: info.claimed_at + lease + TAKEOVER_MARGIN_MS,
            lease_published: info.epoch == FIRST_EPOCH || inherited_lease_ms >= own_lease_ms,
            store_clock: StoreClock::default(),
            marks: MarkBook::default(),
            claimed_at: info.claimed_at,
            foreign: ForeignRuns::default(),
            ended_rooms: EndedRooms::default(),
            recovery: Some(Recovery {
                unanswered: BTreeMap::new(),
                until: info.claimed_at + lease + TAKEOVER_MARGIN_MS,
                fresh_until: info.claimed_at + NEW_JOB_TAKEOVER_WAIT_MS,
                listed: false,
                lost_some: false,
            }),
            quarantine: QuarantineBook::with_rule(QUARANTINE_RULE),
            crashes: CrashBook::default(),
            images: ImageTable::default(),
            press: PressEstimate::default(),
            loads: LoadBook::default(),
            strengths_at: 0,
            room_changed: false,
            last_pass: 0,
            vain_tries: None,
            workers_checked_at: 0,
            pass_left_some: false,
            last_move: 0,
            strain: WorkStrain::default(),
            starts_under_way: 0,
            last_tick: 0,
            sure_until: Millis::MAX,
            unsure_since: None,
            deposed: false,
            actions: Vec::new(),
        };
        scheduler
            .press
            .restore(&mut scheduler.images, &info.strengths);
        let lives = info.roster.lives.into_iter().chain(std::iter::repeat(None));
        for ((worker, address), incarnation) in info.roster.workers.into_iter().zip(lives) {
            scheduler.expect_worker(info.claimed_at, worker, address, incarnation);
        }
        if info.rules_since > 0 && info.silent.epoch >= info.rules_since {
            scheduler.take_over_marks(info.claimed_at, info.store_ms, info.silent);
        }
        // The row that is found speaks for its own writer.
        scheduler.roster_changed = true;
        scheduler
    }

    /// This owner's epoch.
    pub fn epoch(&self) -> Epoch {
        self.epoch
    }

    /// Takes in one event and returns what is to be done.
    pub fn handle(&mut self, now: Millis, event: JobEvent) -> Vec<JobAction> {
        self.handle_all(now, [event])
    }

    /// Takes in events in their order and returns what is to be done; places, holds and writes are looked at once for all
    /// of them, so that an owner under load spends less on each.
    pub fn handle_all(
        &mut self,
        now: Millis,
        events: impl IntoIterator<Item = JobEvent>,
    ) -> Vec<JobAction> {
        // After a pause as long as the ownership lasts another owner may have finished what this one believes waiting.
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
        self.send_holds(now);
        self.begin_commit(now);
        std::mem::take(&mut self.actions)
    }

    fn handle_event(&mut self, now: Millis, event: JobEvent) {
        match event {
            JobEvent::JobListed {
                number,
                version,
                spec,
            } => self.handle_job_listed(now, number, version, *spec),
            JobEvent::StateRead {
                progress,
                claim_version,
            } => self.apply_recovered_state(progress, claim_version),
            JobEvent::CancelAsked(number) => self.cancel_job(now, number),
            JobEvent::WorkersUnreadable(workers) => self.mark_unreadable(&workers),
            JobEvent::WorkersListed(list) => self.handle_worker_list(now, list),
            JobEvent::StoreClock { at, at_most_ms } => self.store_clock.note(at, at_most_ms),
            JobEvent::QueuesChanged(queues) => self.queues = queues,
            JobEvent::HallsEvacuated(halls) => self.take_evacuated(now, halls),
            JobEvent::StartAnswered(worker, key, answer) => {
                self.starts_under_way = self.starts_under_way.saturating_sub(1);
                self.take_start_answer(now, &worker, key, answer);
            }
            JobEvent::StopAnswered(worker, key, answer) => {
                self.take_stop_answer(now, &worker, key, answer);
            }
            JobEvent::PaceAnswered(worker, key, answer) => {
                self.take_pace_answer(now, &worker, key, answer);
            }
            JobEvent::RenewalAnswered(worker, answer) => self.take_hold(now, &worker, answer),
            JobEvent::Committed(id) => self.take_commit(now, id),
            JobEvent::SureUntil(until) => self.take_tenure(now, until),
            JobEvent::Tick { wall_ms } => self.tick(now, wall_ms),
        }
    }

    fn tick(&mut self, now: Millis, wall_ms: u64) {
        self.wall_ms = wall_ms;
        if self.last_tick > 0 {
            self.strain
                .note_tick(now, now.saturating_sub(self.last_tick));
        }
        self.last_tick = now;
        self.look_at_tenure(now);
        self.open_due_repetitions(now);
        self.release_delayed(now);
        self.check_recovery(now);
        self.note_own_leases(now);
        let sure = !self.may_be_followed(now);
        if sure && now >= self.workers_checked_at + WORKER_CHECK_INTERVAL_MS {
            self.workers_checked_at = now;
            self.check_workers(now);
            self.move_standing_tasks(now);
            self.free_kept(now);
        }
        self.refresh_roster(now);
        self.forget_rooms(now);
        self.resend_stops(now);
        self.send_probes(now);
        if sure {
            self.move_slowed(now);
        }
        self.loads.refresh(now, &self.strain);
        // Readings change what serving tasks leave, and jobs grow late, without any event that frees room.
        self.room_changed |= now >= self.last_pass + MAX_PASS_INTERVAL_MS;
    }

    /// The rules of a job's queue: as configured now, else as they were when the job was accepted.
    pub(crate) fn rules<'a>(&'a self, spec: &'a JobSpec) -> &'a QueueRules {
        self.queues.get(&spec.queue).unwrap_or(&spec.rules)
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

    /// Puts a task that may be started into the queue; a gang waits as a whole, by its first task.
    pub(crate) fn enqueue(&mut self, now: Millis, key: TaskKey) {
        let Some(job) = self.jobs.get(&key.job) else {
            return;
        };
        let priority = self.rules(&job.spec).priority;
        let objective_at = job.due.objective_at;
        let Some(job) = self.jobs.get_mut(&key.job) else {
            return;
        };
        let gang = job.step_spec(&key).is_some_and(|step| step.gang);
        let Some(task) = job.task_mut(&key) else {
            return;
        };
        task.stage = TaskStage::Waiting;
        task.waiting_since = now;
        let task = job.queued_as(&key);
        let not_before = job.not_before(&key);
        if gang && !self.gang_is_whole(&task) {
            return;
        }
        if not_before > now {
            self.delayed.insert((not_before, task));
            return;
        }
        self.waiting.insert(WaitKey {
            priority,
            objective_at,
            task,
        });
        self.room_changed = true;
        // What has just come is tried at once, unless this owner is behind: a pass for each of 1,000 tasks a second looks at all
        // that wait before them.
        self.pass_left_some &= !self.strain.keeps_up();
    }

    /// Takes tasks out of the queue. All that wait are looked at, so that it is done only where something of the step or job
    /// waits: done for each end, beside 3,400 waiting tasks, it took 0.1 ms, two thirds of what an owner had.
    pub(crate) fn remove_waiting(&mut self, gone: impl Fn(&WaitKey) -> bool) {
        self.waiting.retain(|wait| !gone(wait));
    }

    fn release_delayed(&mut self, now: Millis) {
        while let Some((at, key)) = self.delayed.first().copied() {
            if at > now {
                return;
            }
            self.delayed.pop_first();
            let waits = |job: &JobState| {
                job.task(&key)
                    .is_some_and(|task| task.stage == TaskStage::Waiting)
            };
            if self.jobs.get(&key.job).is_some_and(waits) {
                self.enqueue(now, key);
            }
        }
    }

    /// Marks a job's progress as not durable.
    pub(crate) fn mark_dirty(&mut self, number: JobNumber) {
        if self.dirty_set.insert(number) {
            self.dirty.push_back(number);
        }
    }
}
