//! The workers of the platform: who is at which place, what is listed, and holds that wait for an end.

use rand::RngExt;
use rand_chacha::ChaCha8Rng;
use sandshelf_jobs::{JobEvent, RenewalAnswer, WorkerCall, WorkerIncarnation, WorkerListing};
use sandshelf_model::{HallId, Millis, ResourceSize, WorkerId};

use super::{EmulatedWorld, Happening, HostLife};
use crate::deployment::Deployment;
use crate::host::WorkerOrder;
use crate::oracle::UsableCapacity;
use crate::queue::{Micros, MS};
use crate::worker::{address_of, EmulatedWorker, WorkerBirth, WorkerScene};

/// How long a worker that is gone stays listed: three of its reports.
const GHOST: Micros = 3_300 * MS;
/// How long a worker serves on after it has said that it leaves.
const SERVES_ON_MS: std::ops::Range<Millis> = 3_500..9_000;

/// When the first worker began, in milliseconds since 1970.
const FIRST_LIFE_MS: u64 = 1_769_000_000_000;
/// What the clock of a worker that has started again shows at most: those of the operators' workers were up to two hours apart.
const MOST_CLOCK_MS: u64 = 7_200_000;

/// One life of the worker at a place.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct PlaceLife {
    place: usize,
    life: u32,
}

/// A hold that waits at a worker for an end.
#[derive(Clone, Copy, Debug)]
struct WaitingHold {
    from: HostLife,
    call: u64,
    until: Micros,
}

/// A place where a worker stands.
#[derive(Debug)]
struct WorkerPlace {
    life: u32,
    worker: Option<EmulatedWorker>,
    /// The worker's entry in the list, and until when it stays there once the worker is gone.
    entry: WorkerListing,
    listed_until: Micros,
    /// Whether connections are refused while no worker is there; else calls get no answer.
    refuses: bool,
    holds: Vec<WaitingHold>,
    /// When the next look at it is due.
    due: Micros,
}

/// All workers.
#[derive(Debug)]
pub(super) struct WorkerFleet {
    places: Vec<WorkerPlace>,
    incarnations: usize,
    rack: usize,
}

impl WorkerFleet {
    pub(super) fn new(deployment: &Deployment, random: &mut ChaCha8Rng) -> Self {
        let mut fleet = Self {
            places: Vec::new(),
            incarnations: 0,
            rack: deployment.rack,
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
                life: 0,
                worker: Some(worker),
                entry,
                listed_until: Micros::MAX,
                refuses: true,
                holds: Vec::new(),
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
        let birth = WorkerBirth {
            life: WorkerIncarnation(FIRST_LIFE_MS + self.incarnations as u64),
            at: 0,
            clock: 0,
            clock_percent: random.random_range(98..=100),
        };
        let entry = WorkerListing {
            incarnation: Some(birth.life),
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

    /// The incarnation that stands at a place.
    pub(super) fn id_at(&self, place: usize) -> Option<&WorkerId> {
        let worker = self.places[place].worker.as_ref();
        worker.map(|worker| &worker.id)
    }

    /// Which life of a worker stands at a place.
    pub(super) fn life_at(&self, place: usize) -> PlaceLife {
        let life = self.places[place].life;
        PlaceLife { place, life }
    }

    /// Whether connections to a place without a worker are refused.
    pub(super) fn refuses(&self, place: usize) -> bool {
        self.places[place].refuses
    }

    pub(super) fn set_hangs(&mut self, at: PlaceLife, hangs: bool) {
        let place = &mut self.places[at.place];
        if let (true, Some(worker)) = (place.life == at.life, &mut place.worker) {
            worker.hangs = hangs;
        }
    }

    /// The list of workers as the store has it.
    pub(super) fn listed(&self, now: Micros) -> Vec<WorkerListing> {
        let listed = self.places.iter().filter(|place| now < place.listed_until);
        listed.map(|place| place.entry.clone()).collect()
    }

    /// What is free on workers that stay and can be reached.
    pub(super) fn sound_room(&self, calm_ms: Millis) -> UsableCapacity {
        let workers = self.places.iter().filter_map(|place| place.worker.as_ref());
        let sound = workers.filter(|worker| worker.draining_since.is_none() && !worker.hangs);
        let (mut used, mut whole) = (0, 0);
        let mut free = Vec::new();
        for worker in sound {
            let taken = worker.used();
            used += taken.cpu_millis;
            whole += worker.capacity.cpu_millis;
            free.push(worker.capacity.saturating_minus(&taken));
        }
        UsableCapacity {
            under_half: used * 2 < whole,
            calm_ms,
            free,
        }
    }

    /// Forgets the holds of a host that wait: nobody hears their answers.
    pub(super) fn drop_holds(&mut self, from: HostLife) {
        for place in &mut self.places {
            place.holds.retain(|hold| hold.from != from);
        }
    }

    pub(super) fn count(&self) -> usize {
        self.places.len()
    }

    pub(super) fn rack_size(&self) -> usize {
        self.rack
    }
}

impl EmulatedWorld {
    fn scene_in_touch(&self) -> bool {
        self.watch.in_touch(self.now)
    }

    /// A worker takes an order; a hold may wait there.
    pub(super) fn carry_out(
        &mut self,
        from: HostLife,
        call: u64,
        place: usize,
        order: &WorkerOrder,
        answers: bool,
    ) {
        let in_touch = answers && self.scene_in_touch();
        let at = &mut self.fleet.places[place];
        let Some(worker) = &mut at.worker else {
            return;
        };
        let mut scene = WorkerScene {
            now: self.now,
            max_lease_ms: self.deployment.max_lease_ms,
            drain_ms: self.deployment.bounds.drain_ms,
            in_touch,
            book: &self.book,
            interference: &self.interference,
            oracle: &mut self.oracle,
        };
        let event = worker.take(order.epoch, &order.call, &mut scene);
        let hangs = worker.hangs;
        let waits = match (&order.call, &event) {
            (WorkerCall::Renew(hold), JobEvent::RenewalAnswered(_, RenewalAnswer::Report(_))) => {
                hold.wait_ms * MS * u64::from(!worker.has_ended())
            }
            _ => 0,
        };
        if waits > 0 {
            let until = self.now + waits;
            at.holds.push(WaitingHold { from, call, until });
        } else if answers && !hangs {
            self.answer_order(from, call, event);
        }
        self.plan_worker(place);
    }

    /// Answers holds that wait for an end where there is one, or that have waited long enough, and plans the next look.
    fn plan_worker(&mut self, place: usize) {
        let now = self.now;
        let at = &mut self.fleet.places[place];
        let Some(worker) = &at.worker else {
            return;
        };
        let ended = worker.has_ended();
        let (over, waiting) = std::mem::take(&mut at.holds)
            .into_iter()
            .partition(|hold| ended || now >= hold.until);
        at.holds = waiting;
        let over: Vec<WaitingHold> = over;
        let report = (!over.is_empty()).then(|| worker.report(now, &self.interference));
        let hangs = worker.hangs;
        let holds = at.holds.iter().map(|hold| hold.until);
        let next = worker.next_change().into_iter().chain(holds).min();
        let life = PlaceLife {
            place,
            life: at.life,
        };
        if let Some(next) = next.map(|next| next.max(now + 1)) {
            if next < at.due || at.due <= now {
                at.due = next;
                self.queue.push(next, Happening::WorkerDue(life));
            }
        }
        for hold in over {
            if let (Some(report), false) = (&report, hangs) {
                self.answer_order(hold.from, hold.call, report.clone());
            }
        }
    }

    /// Something is due at a worker.
    pub(super) fn settle_worker(&mut self, life: PlaceLife) {
        let at = &mut self.fleet.places[life.place];
        if at.life != life.life {
            return;
        }
        if at.due <= self.now {
            at.due = Micros::MAX;
        }
        if let Some(worker) = &mut at.worker {
            worker.settle(self.now, &mut self.oracle);
        }
        self.plan_worker(life.place);
    }

    /// The worker at a place is over, and all that ran there.
    pub(super) fn lose_worker(&mut self, place: usize, refuses: bool) {
        let at = &mut self.fleet.places[place];
        let Some(worker) = at.worker.take() else {
            return;
        };
        for key in worker.live() {
            self.oracle.ended(&worker.id, key, None);
        }
        at.life += 1;
        at.holds.clear();
        at.due = Micros::MAX;
        at.refuses = refuses;
        at.listed_until = self.now + GHOST;
    }

    /// Another incarnation starts at a place.
    pub(super) fn bring_worker_back(&mut self, place: usize) {
        let capacity = self.fleet.places[place].entry.capacity;
        let (entry, worker) = self.fleet.make_worker(place, capacity, &mut self.random);
        let at = &mut self.fleet.places[place];
        at.worker = Some(worker);
        at.entry = entry;
        at.listed_until = Micros::MAX;
    }

    /// The worker at a place starts again under its name: it knows nothing of before, and its clock shows anything.
    pub(super) fn restart_worker(&mut self, place: usize) {
        self.fleet.incarnations += 1;
        let birth = WorkerBirth {
            life: WorkerIncarnation(FIRST_LIFE_MS + self.fleet.incarnations as u64),
            at: self.now,
            clock: self.random.random_range(0..MOST_CLOCK_MS),
            clock_percent: self.random.random_range(98..=100),
        };
        let at = &mut self.fleet.places[place];
        if at.worker.is_some() {
            return;
        }
        let id = at.entry.worker.clone();
        at.worker = Some(EmulatedWorker::new(id, birth, at.entry.capacity));
        at.entry.incarnation = Some(birth.life);
        at.entry.draining = false;
        at.listed_until = Micros::MAX;
    }

    /// A worker says that it leaves.
    pub(super) fn drain_worker(&mut self, place: usize) {
        let at = &mut self.fleet.places[place];
        let Some(worker) = &mut at.worker else {
            return;
        };
        worker.draining_since = Some(self.now);
        at.entry.draining = true;
        let life = PlaceLife {
            place,
            life: at.life,
        };
        let serves_on = self.random.random_range(SERVES_ON_MS) * MS;
        self.queue
            .push(self.now + serves_on, Happening::WorkerLeaves(life));
    }

    pub(super) fn worker_leaves(&mut self, life: PlaceLife) {
        if self.fleet.places[life.place].life == life.life {
            self.lose_worker(life.place, false);
            self.fleet.places[life.place].listed_until = self.now;
        }
    }

    /// A worker hangs for some time.
    pub(super) fn hang_worker(&mut self, place: usize, for_ms: Millis) {
        let life = PlaceLife {
            place,
            life: self.fleet.places[place].life,
        };
        self.fleet.set_hangs(life, true);
        let well = Happening::WorkerWell(life);
        self.queue.push(self.now + for_ms * MS, well);
    }
}
