//! The workers of the platform: which worker is at which place, the store's list of them, and waiting lease renewals.

use std::collections::{HashMap, HashSet};
use std::ops::Range;

use rand::RngExt;
use rand_chacha::ChaCha8Rng;
use sandshelf_jobs::{
    JobEvent, RenewalAnswer, TaskKey, WorkerCall, WorkerIncarnation, WorkerListing,
};
use sandshelf_model::{HallId, Millis, ResourceSize, WorkerId};

use super::{EmulatedWorld, HostIncarnation, WorldEvent};
use crate::deployment::Deployment;
use crate::host::WorkerOrder;
use crate::interference::InterferenceModel;
use crate::oracle::{TailState, UsableCapacity};
use crate::queue::{Micros, MS};
use crate::worker::{address_of, EmulatedWorker, IncarnationClock, RunProgress, WorkerContext};

/// How long a worker that is gone stays listed: three report intervals.
pub(super) const GONE_LISTED_US: Micros = 3_300 * MS;
/// How long a worker keeps running tasks after the start of its draining, before it leaves.
const DRAIN_MS: std::ops::Range<Millis> = 3_500..9_000;

/// The base of worker incarnations: a start time in milliseconds since 1970.
const FIRST_INCARNATION_MS: u64 = 1_769_000_000_000;
/// The highest reading of a restarted worker's clock: clocks of real workers were up to two hours apart.
const MAX_CLOCK_MS: u64 = 7_200_000;

/// One incarnation of the worker at a place.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct PlaceIncarnation {
    place: usize,
    number: u32,
}

/// A lease renewal that waits at a worker until a run ends or its wait is over.
#[derive(Clone, Copy, Debug)]
struct WaitingRenewal {
    from: HostIncarnation,
    call: u64,
    until: Micros,
}

/// A place in the platform for one worker at a time.
#[derive(Debug)]
struct WorkerPlace {
    /// Counts the workers that this place has lost.
    incarnation: u32,
    worker: Option<EmulatedWorker>,
    /// The worker's entry in the store's list, and until when it stays listed once the worker is gone.
    entry: WorkerListing,
    listed_until: Micros,
    /// When the entry of a worker that is up is missing from the list; a past span where it is not missing.
    lapsed: Range<Micros>,
    /// Whether connections are refused while there is no worker; otherwise calls get no answer.
    refuses: bool,
    renewals: Vec<WaitingRenewal>,
    /// When its next update is due; `Micros::MAX` where none is scheduled.
    due: Micros,
}

/// All workers of the platform.
#[derive(Debug)]
pub(super) struct WorkerFleet {
    places: Vec<WorkerPlace>,
    /// How many workers have started so far.
    incarnations: usize,
    /// How many places share a rack.
    rack: usize,
}

impl WorkerFleet {
    pub(super) fn new(deployment: &Deployment, random: &mut ChaCha8Rng) -> Self {
        let mut fleet = Self {
            places: Vec::new(),
            incarnations: 0,
            rack: deployment.rack_size,
        };
        for place in 0..deployment.workers {
            let larger = place % 3 == 2;
            let size = deployment.worker_size;
            let capacity = match larger {
                true => ResourceSize::new(size.cpu_millis * 3 / 2, size.memory_mib * 3 / 2, 0),
                false => size,
            };
            let (entry, worker) = fleet.make_worker(place, capacity, random);
            fleet.places.push(WorkerPlace {
                incarnation: 0,
                worker: Some(worker),
                entry,
                listed_until: Micros::MAX,
                lapsed: 0..0,
                refuses: true,
                renewals: Vec::new(),
                due: Micros::MAX,
            });
        }
        fleet
    }

    fn make_worker(
        &mut self,
        place: usize,
        capacity: ResourceSize,
        random: &mut ChaCha8Rng,
    ) -> (WorkerListing, EmulatedWorker) {
        self.incarnations += 1;
        let id = WorkerId::from(format!("i-{:08x}", self.incarnations));
        let rack = format!("r1-{}", place / self.rack);
        let birth = IncarnationClock {
            incarnation: WorkerIncarnation(FIRST_INCARNATION_MS + self.incarnations as u64),
            at: 0,
            clock: 0,
            clock_percent: random.random_range(98..=100),
        };
        let entry = WorkerListing {
            incarnation: Some(birth.incarnation),
            worker: id.clone(),
            service: "desk".to_owned(),
            address: address_of(place),
            hall: HallId::from("north"),
            labels: vec!["a".to_owned(), rack.clone()],
            rack: Some(rack),
            capacity,
            draining: false,
        };
        (entry, EmulatedWorker::new(id, birth, capacity))
    }

    /// The name of the worker at a place.
    pub(super) fn id_at(&self, place: usize) -> Option<&WorkerId> {
        let worker = self.places[place].worker.as_ref();
        worker.map(|worker| &worker.id)
    }

    /// The current incarnation at a place.
    pub(super) fn incarnation_at(&self, place: usize) -> PlaceIncarnation {
        let number = self.places[place].incarnation;
        PlaceIncarnation { place, number }
    }

    /// Whether connections to a place without a worker are refused.
    pub(super) fn refuses(&self, place: usize) -> bool {
        self.places[place].refuses
    }

    pub(super) fn set_hangs(&mut self, target: PlaceIncarnation, hangs: bool) {
        let place = &mut self.places[target.place];
        if let (true, Some(worker)) = (place.incarnation == target.number, &mut place.worker) {
            worker.hangs = hangs;
        }
    }

    /// The workers listed in the store.
    pub(super) fn listed(&self, now: Micros) -> Vec<WorkerListing> {
        let is_listed =
            |place: &&WorkerPlace| now < place.listed_until && !place.lapsed.contains(&now);
        let listed = self.places.iter().filter(is_listed);
        listed.map(|place| place.entry.clone()).collect()
    }

    /// The free capacity of workers that are neither draining nor hanging.
    pub(super) fn usable_capacity(&self, calm_ms: Millis) -> UsableCapacity {
        let workers = self.places.iter().filter_map(|place| place.worker.as_ref());
        let usable = workers.filter(|worker| worker.draining_since.is_none() && !worker.hangs);
        let (mut used, mut total) = (0, 0);
        let mut free = Vec::new();
        for worker in usable {
            let taken = worker.used();
            used += taken.cpu_millis;
            total += worker.capacity.cpu_millis;
            free.push(worker.capacity.saturating_minus(&taken));
        }
        UsableCapacity {
            under_half: used * 2 < total,
            calm_ms,
            free,
        }
    }

    /// The standing tasks that are at work.
    pub(super) fn standing_at_work(&self, now: Micros) -> HashSet<TaskKey> {
        let workers = self.places.iter().filter_map(|place| place.worker.as_ref());
        let tasks = workers.flat_map(|worker| worker.standing_at_work(now));
        tasks.collect()
    }

    /// The serving tasks that are at work, each with its tail latency compared with its target.
    pub(super) fn serving_tails(
        &self,
        now: Micros,
        interference: &InterferenceModel,
    ) -> HashMap<TaskKey, TailState> {
        let workers = self.places.iter().filter_map(|place| place.worker.as_ref());
        let tasks = workers.flat_map(|worker| worker.serving_tails(now, interference));
        tasks.collect()
    }

    /// Drops the waiting renewals of a host whose connections are lost, since their answers would not arrive.
    pub(super) fn drop_renewals(&mut self, from: HostIncarnation) {
        for place in &mut self.places {
            place.renewals.retain(|renewal| renewal.from != from);
        }
    }

    /// Removes the entry at a place from the list for a span of time.
    pub(super) fn lapse_entry(&mut self, place: usize, lapsed: Range<Micros>) {
        self.places[place].lapsed = lapsed;
    }

    /// Removes the waiting renewals of a worker whose connections are closed; returns their senders and call numbers.
    pub(super) fn take_renewals(&mut self, place: usize) -> Vec<(HostIncarnation, u64)> {
        let renewals = std::mem::take(&mut self.places[place].renewals);
        let calls = renewals
            .into_iter()
            .map(|renewal| (renewal.from, renewal.call));
        calls.collect()
    }

    pub(super) fn count(&self) -> usize {
        self.places.len()
    }

    pub(super) fn rack_size(&self) -> usize {
        self.rack
    }
}

impl EmulatedWorld {
    fn platform_in_touch(&self) -> bool {
        self.monitor.in_touch(self.now)
    }

    /// Has a worker carry out an order. A lease renewal may wait there for the end of a run.
    pub(super) fn carry_out(
        &mut self,
        from: HostIncarnation,
        call: u64,
        place: usize,
        order: &WorkerOrder,
        answers: bool,
    ) {
        let in_touch = answers && self.platform_in_touch();
        let slot = &mut self.fleet.places[place];
        let Some(worker) = &mut slot.worker else {
            return;
        };
        let mut scene = WorkerContext {
            now: self.now,
            max_lease_ms: self.deployment.max_lease_ms,
            run_timing: self.deployment.run_timing,
            drain_ms: self.deployment.bounds.drain_ms,
            in_touch,
            catalog: &self.catalog,
            interference: &self.interference,
            oracle: &mut self.oracle,
        };
        let newer_owner = worker.would_fence(order.epoch);
        let event = worker.handle_order(order.epoch, &order.call, &mut scene);
        let hangs = worker.hangs;
        let wait_us = match (&order.call, &event) {
            (
                WorkerCall::Renew(renewal),
                JobEvent::RenewalAnswered(_, RenewalAnswer::Report(_)),
            ) => renewal.wait_ms * MS * u64::from(!worker.has_unacknowledged_ends()),
            _ => 0,
        };
        if wait_us > 0 {
            let until = self.now + wait_us;
            slot.renewals.push(WaitingRenewal { from, call, until });
        } else if answers && !hangs {
            self.answer_order(from, call, event);
            if newer_owner {
                self.plan_armed_cut(place);
            }
        }
        self.schedule_worker(place);
    }

    /// Answers the waiting renewals of a worker that has ended runs to report, and those whose wait is over; schedules the
    /// worker's next update.
    fn schedule_worker(&mut self, place: usize) {
        let now = self.now;
        let slot = &mut self.fleet.places[place];
        let Some(worker) = &slot.worker else {
            return;
        };
        let has_ends = worker.has_unacknowledged_ends();
        let (due, waiting) = std::mem::take(&mut slot.renewals)
            .into_iter()
            .partition(|renewal| has_ends || now >= renewal.until);
        slot.renewals = waiting;
        let due: Vec<WaitingRenewal> = due;
        let report = (!due.is_empty()).then(|| worker.report(now, &self.interference));
        let hangs = worker.hangs;
        let waits_end = slot.renewals.iter().map(|renewal| renewal.until);
        let next = worker.next_change().into_iter().chain(waits_end).min();
        let incarnation = PlaceIncarnation {
            place,
            number: slot.incarnation,
        };
        if let Some(next) = next.map(|next| next.max(now + 1)) {
            if next < slot.due || slot.due <= now {
                slot.due = next;
                self.queue.push(next, WorldEvent::WorkerDue(incarnation));
            }
        }
        for renewal in due {
            if let (Some(report), false) = (&report, hangs) {
                self.answer_order(renewal.from, renewal.call, report.clone());
            }
        }
    }

    /// Advances a worker to the current time, unless the update was scheduled for an earlier incarnation.
    pub(super) fn update_worker(&mut self, incarnation: PlaceIncarnation) {
        let slot = &mut self.fleet.places[incarnation.place];
        if slot.incarnation != incarnation.number {
            return;
        }
        if slot.due <= self.now {
            slot.due = Micros::MAX;
        }
        if let Some(worker) = &mut slot.worker {
            worker.advance(self.now, &mut self.oracle);
        }
        self.schedule_worker(incarnation.place);
    }

    /// Takes the worker away from a place; its runs are lost. `refuses` says whether connections are refused from then on.
    pub(super) fn lose_worker(&mut self, place: usize, refuses: bool) {
        let slot = &mut self.fleet.places[place];
        let Some(worker) = slot.worker.take() else {
            return;
        };
        for key in worker.running() {
            self.oracle.ended(&worker.id, key, None);
        }
        slot.incarnation += 1;
        slot.renewals.clear();
        slot.due = Micros::MAX;
        slot.refuses = refuses;
        slot.listed_until = match slot.lapsed.contains(&self.now) {
            true => self.now,
            false => self.now + GONE_LISTED_US,
        };
    }

    /// Starts a new worker, under a new name, at a place.
    pub(super) fn replace_worker(&mut self, place: usize) {
        let capacity = self.fleet.places[place].entry.capacity;
        let (entry, worker) = self.fleet.make_worker(place, capacity, &mut self.random);
        let slot = &mut self.fleet.places[place];
        slot.worker = Some(worker);
        slot.entry = entry;
        slot.listed_until = Micros::MAX;
        slot.lapsed = 0..0;
    }

    /// Restarts the worker at a place under its name. It has lost all state, and its clock restarts at a random reading.
    pub(super) fn restart_worker(&mut self, place: usize) {
        self.fleet.incarnations += 1;
        let birth = IncarnationClock {
            incarnation: WorkerIncarnation(FIRST_INCARNATION_MS + self.fleet.incarnations as u64),
            at: self.now,
            clock: self.random.random_range(0..MAX_CLOCK_MS),
            clock_percent: self.random.random_range(98..=100),
        };
        let slot = &mut self.fleet.places[place];
        if slot.worker.is_some() {
            return;
        }
        let id = slot.entry.worker.clone();
        slot.worker = Some(EmulatedWorker::new(id, birth, slot.entry.capacity));
        slot.entry.incarnation = Some(birth.incarnation);
        slot.entry.draining = false;
        slot.listed_until = Micros::MAX;
        slot.lapsed = 0..0;
    }

    /// Starts the draining of a worker, and schedules its departure after a random time.
    pub(super) fn drain_worker(&mut self, place: usize) {
        if self.fleet.places[place].worker.is_some() {
            let drain_ms = self.random.random_range(DRAIN_MS);
            self.drain_worker_for(place, drain_ms);
        }
    }

    /// Starts the draining of a worker, which leaves after `drain_ms`.
    pub(super) fn drain_worker_for(&mut self, place: usize, drain_ms: Millis) {
        let slot = &mut self.fleet.places[place];
        let Some(worker) = &mut slot.worker else {
            return;
        };
        worker.draining_since = Some(self.now);
        slot.entry.draining = true;
        let incarnation = PlaceIncarnation {
            place,
            number: slot.incarnation,
        };
        let leaves_at = self.now + drain_ms * MS;
        self.queue
            .push(leaves_at, WorldEvent::WorkerLeaves(incarnation));
    }

    pub(super) fn worker_leaves(&mut self, incarnation: PlaceIncarnation) {
        if self.fleet.places[incarnation.place].incarnation == incarnation.number {
            self.lose_worker(incarnation.place, false);
            self.fleet.places[incarnation.place].listed_until = self.now;
        }
    }

    /// Changes how the runs on a worker progress until `for_ms` have passed.
    pub(super) fn hinder_worker(&mut self, place: usize, progress: RunProgress, for_ms: Millis) {
        let incarnation = self.fleet.incarnation_at(place);
        self.set_run_progress(incarnation, progress);
        let recovers = WorldEvent::RunsProgress(incarnation, RunProgress::Usual);
        self.queue.push(self.now + for_ms * MS, recovers);
    }

    /// Changes how the runs on a worker progress from now on, unless it is of a later incarnation.
    pub(super) fn set_run_progress(&mut self, target: PlaceIncarnation, progress: RunProgress) {
        let slot = &mut self.fleet.places[target.place];
        let worker = slot.worker.as_mut();
        let Some(worker) = worker.filter(|_| slot.incarnation == target.number) else {
            return;
        };
        worker.advance(self.now, &mut self.oracle);
        worker.progress = progress;
        self.schedule_worker(target.place);
    }

    /// Has a worker hang: it still carries out orders, but does not answer until `for_ms` have passed.
    pub(super) fn hang_worker(&mut self, place: usize, for_ms: Millis) {
        let incarnation = PlaceIncarnation {
            place,
            number: self.fleet.places[place].incarnation,
        };
        self.fleet.set_hangs(incarnation, true);
        let recovers = WorldEvent::WorkerRecovers(incarnation);
        self.queue.push(self.now + for_ms * MS, recovers);
    }
}
