//! Chooses workers for waiting tasks, and hands on those that find no room here.

use sandshelf_config::{JobSpec, UrgencyLevel};
use sandshelf_model::{AttemptId, Millis, ResourceSize, ShardId, TaskId, WorkerId};
use sandshelf_place::{
    PairSample, PendingKey, PlaceChoice, PlaceOutcome, PressureAction, PressureInput, TaskNeed,
    WorkerTenant,
};

use crate::events::{PlacedReason, ShardRoom, WaitReason};
use crate::journal::{JournalRecord, TaskHandoff};
use crate::owner::{HeldRoom, ShardOwner};
use crate::window::FamilyWindow;

/// The most placements decided for one event.
const MOST_PLACED: usize = 256;
/// The most waiting tasks looked at for one event.
const MOST_LOOKED_AT: usize = 1_024;
/// The most waiting tasks of one team and urgency looked at for one event.
const MOST_LOOKED_AT_PER_LIST: usize = 128;
/// The most records that may wait to be written before no more tasks are placed.
const MOST_BUFFERED: usize = 4_000;
/// How long a task waits for room here before it may be handed on.
const HANDOFF_AFTER_MS: Millis = 3_000;
/// The same for an urgent task.
const URGENT_HANDOFF_AFTER_MS: Millis = 200;
/// How often waiting tasks are looked through for ones to hand on.
const HANDOFF_EVERY_MS: Millis = 100;
/// The most tasks handed on for one event.
const MOST_HANDED_OFF: usize = 64;
/// The speed of a throttled attempt, in percent.
const THROTTLED_PERCENT: u32 = 40;
/// The full speed, in percent.
const FULL_PERCENT: u32 = 100;

/// How much less a task costs for each second that it has waited, so that no family waits for ever.
const BONUS_PER_SECOND: f64 = 0.003;

/// What one look at a waiting task came to.
enum LookOutcome {
    Placed,
    Waits(WaitReason),
    Ended,
}

impl ShardOwner {
    /// Places waiting tasks as far as room, quotas and the write buffer go.
    pub(crate) fn place_waiting(&mut self, now: Millis) {
        if self.queue.is_empty() {
            return;
        }
        if self.releasing || !self.lease.is_valid(now) || self.buffer.len() > MOST_BUFFERED {
            return;
        }
        let mut looks = MOST_LOOKED_AT;
        let mut places = MOST_PLACED;
        for key in self.queue.turn(&self.quotas) {
            self.place_list(now, &key, &mut looks, &mut places);
        }
    }

    fn place_list(&mut self, now: Millis, key: &PendingKey, looks: &mut usize, places: &mut usize) {
        let cursor = self.cursors.remove(key);
        let most = (*looks).min(MOST_LOOKED_AT_PER_LIST);
        let tasks = self.queue.tasks_after(key, cursor.as_ref(), most);
        let whole = tasks.len() < most;
        let last = tasks.last().cloned();
        if let (Some(task), false) = (last, whole) {
            self.cursors.insert(key.clone(), task);
        }
        *looks -= tasks.len();
        let mut window = FamilyWindow::default();
        for task in tasks {
            if let Some(spec) = self.state.spec(&task.job) {
                window.push(&spec.family, task);
            }
        }
        self.place_window(now, key, window, places);
    }

    /// Places tasks of a window, always one of the family that does the least harm where it would be placed next.
    fn place_window(
        &mut self,
        now: Millis,
        key: &PendingKey,
        mut window: FamilyWindow,
        places: &mut usize,
    ) {
        let mut smallest: Option<ResourceSize> = None;
        for family in window.families() {
            let cost = self.next_cost(now, &window, &family);
            window.set_cost(&family, cost);
        }
        while let Some((family, task)) = window.pop_cheapest() {
            if *places == 0 {
                return;
            }
            if self.placing.contains(&task) {
                continue;
            }
            match self.look_at(now, &task, &mut smallest) {
                LookOutcome::Placed => {
                    *places -= 1;
                    self.queue.note_placed(key.urgent);
                    self.urgent_waits |= key.urgent;
                    self.waiting.insert(task, WaitReason::Recording);
                    let cost = self.next_cost(now, &window, &family);
                    window.set_cost(&family, cost);
                }
                LookOutcome::Waits(reason) => {
                    self.waiting.insert(task, reason);
                }
                LookOutcome::Ended => {}
            }
        }
    }

    /// What the next task of a family would cost where it would be placed, less a bonus for having waited.
    fn next_cost(&mut self, now: Millis, window: &FamilyWindow, family: &str) -> f64 {
        let Some(task) = window.first(family) else {
            return f64::INFINITY;
        };
        let Some(spec) = self.state.spec(&task.job).cloned() else {
            return f64::INFINITY;
        };
        let need = TaskNeed::plain(spec.size, family);
        let since = self.waiting_since.get(task).copied().unwrap_or(now);
        let waited_s = now.saturating_sub(since) as f64 / 1_000.0;
        match self.pool.choose(&need, now) {
            PlaceOutcome::Placed(choice) => choice.cost - waited_s * BONUS_PER_SECOND,
            PlaceOutcome::NoRoom | PlaceOutcome::NeverFits => f64::INFINITY,
        }
    }

    fn look_at(
        &mut self,
        now: Millis,
        task: &TaskId,
        smallest: &mut Option<ResourceSize>,
    ) -> LookOutcome {
        let Some(spec) = self.state.spec(&task.job).cloned() else {
            return LookOutcome::Ended;
        };
        let size = self.families.reserve_size(&spec.family, &spec.size);
        let size = self.bounded_size(&spec, size);
        if !self.pool.could_ever_hold(&size) {
            return self.give_up_if_nowhere(task, &size);
        }
        if !self.quotas.allows(&spec.team, &size) {
            return LookOutcome::Waits(WaitReason::Quota);
        }
        if smallest.is_some_and(|smallest| smallest.fits_in(&size)) {
            return LookOutcome::Waits(WaitReason::Room);
        }
        let need = TaskNeed {
            size,
            family: spec.family.clone(),
            avoid: self.avoid.get(task).cloned(),
        };
        match self.pool.choose(&need, now) {
            PlaceOutcome::Placed(choice) => {
                if self.place(now, task, &spec, size, choice) {
                    LookOutcome::Placed
                } else {
                    LookOutcome::Waits(WaitReason::Room)
                }
            }
            PlaceOutcome::NoRoom => {
                *smallest = Some(size);
                self.avoid.remove(task);
                LookOutcome::Waits(WaitReason::Room)
            }
            PlaceOutcome::NeverFits => self.give_up_if_nowhere(task, &size),
        }
    }

    /// What was seen never makes a task larger than the largest worker, or it would wait for ever.
    fn bounded_size(&self, spec: &JobSpec, size: ResourceSize) -> ResourceSize {
        if size == spec.size || self.pool.could_ever_hold(&size) {
            size
        } else {
            spec.size
        }
    }

    fn place(
        &mut self,
        now: Millis,
        task: &TaskId,
        spec: &JobSpec,
        size: ResourceSize,
        choice: PlaceChoice,
    ) -> bool {
        let attempts = self
            .state
            .task_state(task)
            .map_or(0, |task_state| task_state.attempts);
        let attempt = AttemptId {
            task: task.clone(),
            number: attempts + 1,
        };
        let tenant = tenant_of(&attempt, spec, size);
        if self.pool.reserve(&choice.worker, tenant).is_err() {
            return false;
        }
        self.hold_room(&attempt, &choice.worker, spec, size);
        self.reasons.insert(
            attempt.clone(),
            PlacedReason {
                predicted: choice.predicted,
                looked_at: choice.looked_at,
                at: now,
            },
        );
        self.placing.insert(task.clone());
        self.buffer.push(JournalRecord::Placed {
            attempt,
            worker: choice.worker,
        });
        true
    }

    /// Ends a task that no worker of any shard could ever hold.
    fn give_up_if_nowhere(&mut self, task: &TaskId, size: &ResourceSize) -> LookOutcome {
        let elsewhere = self.rooms.iter().any(|room| size.fits_in(&room.capacity));
        let shards = self
            .config
            .as_ref()
            .map_or(0, |(_, _, shards)| shards.len());
        let heard = self.rooms.iter().filter(|room| room.shard != self.shard);
        let all_heard = heard.count() + 1 >= shards;
        if elsewhere || !all_heard {
            return LookOutcome::Waits(WaitReason::Room);
        }
        let reason = format!("no known worker is large enough for {size}");
        self.placing.insert(task.clone());
        self.buffer.push(JournalRecord::Unplaceable {
            task: task.clone(),
            reason,
        });
        LookOutcome::Ended
    }

    /// Counts room on a worker and a team's quota as held by an attempt.
    pub(crate) fn hold_room(
        &mut self,
        attempt: &AttemptId,
        worker: &WorkerId,
        spec: &JobSpec,
        size: ResourceSize,
    ) {
        self.quotas.hold(&spec.team, &size);
        let held = HeldRoom {
            worker: worker.clone(),
            team: spec.team.clone(),
            size,
        };
        if let Some(before) = self.held.insert(attempt.clone(), held) {
            self.quotas.release(&before.team, &before.size);
        }
    }

    /// Gives back the room and the quota of an attempt that runs no more; says where it was.
    pub(crate) fn drop_hold(&mut self, attempt: &AttemptId) -> Option<WorkerId> {
        self.reasons.remove(attempt);
        let held = self.held.remove(attempt)?;
        self.pool.release(&held.worker, attempt);
        self.quotas.release(&held.team, &held.size);
        Some(held.worker)
    }

    pub(crate) fn drop_all_holds(&mut self) {
        let attempts: Vec<AttemptId> = self.held.keys().cloned().collect();
        for attempt in attempts {
            self.drop_hold(&attempt);
        }
    }

    /// Holds room for an attempt that an earlier owner placed.
    pub(crate) fn hold_recovered(&mut self, worker: &WorkerId, attempt: &AttemptId) {
        let Some(spec) = self.state.spec(&attempt.task.job).cloned() else {
            return;
        };
        self.pool
            .record(worker, tenant_of(attempt, &spec, spec.size));
        self.hold_room(attempt, worker, &spec, spec.size);
    }

    /// Hands tasks that found no room here to shards that have some.
    pub(crate) fn hand_off_waiting(&mut self, now: Millis) {
        if self.releasing || !self.lease.is_valid(now) || self.rooms.is_empty() {
            return;
        }
        if now < self.next_handoff || self.buffer.len() > MOST_BUFFERED {
            return;
        }
        self.next_handoff = now + HANDOFF_EVERY_MS;
        let mut chosen = Vec::new();
        for (task, reason) in &self.waiting {
            if *reason != WaitReason::Room || self.placing.contains(task) {
                continue;
            }
            if chosen.len() >= MOST_HANDED_OFF {
                break;
            }
            if self.has_waited(now, task) {
                chosen.push(task.clone());
            }
        }
        chosen.sort();
        for task in chosen {
            self.hand_off(&task);
        }
    }

    fn has_waited(&self, now: Millis, task: &TaskId) -> bool {
        let Some(since) = self.waiting_since.get(task) else {
            return false;
        };
        let urgent = self
            .state
            .spec(&task.job)
            .is_some_and(|spec| self.pending_key(spec).urgent);
        let wait = if urgent {
            URGENT_HANDOFF_AFTER_MS
        } else {
            HANDOFF_AFTER_MS
        };
        let hops = self
            .state
            .task_state(task)
            .map_or(0, |task_state| task_state.hops)
            .min(6);
        now >= since + (wait << hops)
    }

    fn hand_off(&mut self, task: &TaskId) {
        let Some(spec) = self.state.spec(&task.job).cloned() else {
            return;
        };
        let urgent = spec.urgency == UrgencyLevel::Urgent;
        let Some(to) = self.shard_for(&spec.size, urgent) else {
            return;
        };
        let Some(mut state) = self.state.task_state(task).cloned() else {
            return;
        };
        state.hops += 1;
        let handoff = TaskHandoff {
            job: (*spec).clone(),
            index: task.index,
            state,
            revision: self.state.revision,
        };
        self.placing.insert(task.clone());
        self.buffer.push(JournalRecord::HandedOff {
            to,
            handoff: Box::new(handoff),
        });
    }

    /// The shard to hand a task to: one with room; else, where this one has no worker left or the task is urgent, one that
    /// could hold it and in whose queue it then waits.
    fn shard_for(&mut self, size: &ResourceSize, urgent: bool) -> Option<ShardId> {
        let with_room = self.shard_with_room(size);
        let homeless = self.pool.is_empty();
        if with_room.is_some() || !(urgent || homeless) {
            return with_room;
        }
        self.turn += 1;
        let own = &self.shard;
        let rooms = self.rooms.iter().filter(|room| &room.shard != own);
        let able: Vec<&ShardRoom> = rooms.filter(|room| size.fits_in(&room.capacity)).collect();
        let picked = able.get(self.turn % able.len().max(1))?;
        Some(picked.shard.clone())
    }

    /// Takes room from what another shard told of, so that not all tasks go to the same one.
    fn shard_with_room(&mut self, size: &ResourceSize) -> Option<ShardId> {
        let own = &self.shard;
        let room = self
            .rooms
            .iter_mut()
            .filter(|room| &room.shard != own && size.fits_in(&room.largest))
            .filter(|room| room.cpu_millis >= size.cpu_millis)
            .max_by_key(|room| room.cpu_millis)?;
        room.cpu_millis -= size.cpu_millis;
        Some(room.shard.clone())
    }

    /// Evicts an attempt that runs and can be resumed or run again.
    pub(crate) fn evict_requested(&mut self, attempt: &AttemptId) {
        let Some(worker) = self.state.current_worker(attempt).cloned() else {
            return;
        };
        let spec = self.state.spec(&attempt.task.job);
        let allowed = spec.is_some_and(|spec| spec.checkpoint || spec.repeatable);
        if let Some(session) = self.sessions.get_mut(&worker) {
            if allowed && session.confirmed.contains(attempt) {
                session.push_checkpoint(attempt);
            }
        }
    }

    /// Learns from a late measurement, and throttles or evicts where the service is hurt.
    pub(crate) fn on_slowdown(&mut self, now: Millis, worker: &WorkerId, sample: &PairSample) {
        self.pool.estimate.learn(sample, now);
        self.pool.set_band(worker, sample.band);
        if !self.lease.is_valid(now) {
            return;
        }
        let tenants: Vec<WorkerTenant> = self.pool.tenants(worker).to_vec();
        let input = PressureInput {
            worker,
            service: &sample.service,
            slowdown: sample.slowdown,
            band: sample.band,
            tenants: &tenants,
        };
        let action = self.gauge.judge(&input, &self.pool.estimate, now);
        let Some(session) = self.sessions.get_mut(worker) else {
            return;
        };
        match action {
            Some(PressureAction::Throttle { attempt }) => {
                self.counts.throttles += 1;
                session.push_throttle(&attempt, THROTTLED_PERCENT);
            }
            Some(PressureAction::Unthrottle { attempt }) => {
                session.push_throttle(&attempt, FULL_PERCENT);
            }
            Some(PressureAction::Evict { attempt }) => session.push_checkpoint(&attempt),
            None => {}
        }
    }
}

/// Describes an attempt's reservation.
pub(crate) fn tenant_of(attempt: &AttemptId, spec: &JobSpec, size: ResourceSize) -> WorkerTenant {
    WorkerTenant {
        attempt: attempt.clone(),
        size,
        family: spec.family.clone(),
        checkpoint: spec.checkpoint,
        repeatable: spec.repeatable,
        progress_percent: 0,
    }
}
