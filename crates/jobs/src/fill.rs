//! How what serving tasks leave on a worker is dealt to the filling tasks there.

use std::cmp::Ordering;
use std::collections::BTreeMap;

use sandshelf_model::Millis;
use smallvec::SmallVec;

use crate::due::{DueTimes, EndWorth};
use crate::ids::{RunKey, TaskKey};
use crate::images::ImageId;
use crate::press::{target_load, PressEstimate};
use crate::swing::LoadBook;
use crate::worker::WorkerState;

/// The share of its target load up to which a serving task may be loaded. 0.94 was measured to cost filling tasks as much as
/// it gains serving ones (a tenth of their worth), 0.87 more; higher values cost serving more than they gain.
const LOAD_MARGIN: f64 = 1.0;
/// From when on a pace that is set now takes effect.
const PACE_FROM_MS: Millis = 150;
/// Until when it lasts at the latest, as a rule: readings come twice a second.
const PACE_UNTIL_MS: Millis = 600;
/// A pair weaker than this doesn't matter to the pace.
const WEAK_STRENGTH: f64 = 0.3;
/// A filling task counts as having at least so much of its work left.
const LEAST_LEFT: f64 = 0.05;

/// What the serving steps on a worker leave, in the order of the steps. It is copied for each look at the worker: a worker has
/// seldom more than eight.
type ServingRooms = SmallVec<[ServingRoom; 8]>;

/// What the tasks of a serving step leave for filling tasks.
#[derive(Clone, Copy, Debug)]
struct ServingRoom {
    image: ImageId,
    /// By how much, as a share, its load may rise over what it is without filling tasks.
    allowed: f64,
}

impl ServingRoom {
    /// What the tasks of a serving step leave until paces are looked at again.
    fn of(step: &TaskKey, image: ImageId, loads: &LoadBook, now: Millis) -> Self {
        let most = target_load() * LOAD_MARGIN;
        let allowed = |ahead: Millis| {
            let expected = loads.forecast(step, now + ahead);
            (most / expected.load - 1.0).max(0.0)
        };
        Self {
            image,
            allowed: allowed(PACE_FROM_MS).min(allowed(PACE_UNTIL_MS)),
        }
    }
}

/// How urgent a filling task is beside others: those of jobs that can still end in time come first.
///
/// Answers an overload of filling jobs. What goes to a job that is late anyway is taken from one that may yet be in time; going by what time
/// it is, and not by when the job can end, the processors went to jobs until the moment at which they turned late.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct FillUrgency {
    worth: EndWorth,
    due: DueTimes,
}

impl FillUrgency {
    /// Of a job that needs so much longer, were it slowed down no more.
    pub(crate) fn new(now: Millis, due: DueTimes, needs_ms: Millis) -> Self {
        Self {
            worth: due.worth_at(now + needs_ms),
            due,
        }
    }
}

/// A filling task that has yet to be placed.
#[derive(Clone, Copy, Debug)]
pub(crate) struct FillAsk {
    pub(crate) urgency: FillUrgency,
    pub(crate) image: ImageId,
    /// The processors that it uses at full pace, in thousandths of a core.
    pub(crate) cpu_millis: u64,
}

/// One filling task that wants a share of what serving tasks leave.
#[derive(Clone, Copy, Debug)]
struct FillWant {
    urgency: FillUrgency,
    /// How much of the tightest serving task's room it takes up until its end; what takes up least goes first.
    cost: f64,
    key: Option<RunKey>,
    image: ImageId,
    /// The share of the worker's processors that it uses at full pace.
    load: f64,
}

impl FillWant {
    /// The order in which filling tasks get their share.
    fn order(&self, other: &Self) -> Ordering {
        let worth = self.urgency.worth.cmp(&other.urgency.worth);
        worth
            .then(self.cost.total_cmp(&other.cost))
            .then(self.urgency.cmp(&other.urgency))
    }
}

/// The serving and filling tasks of a worker, as the dealing of shares sees them.
#[derive(Clone, Debug)]
pub(crate) struct FillBoard {
    rooms: ServingRooms,
    /// The filling tasks, the one that goes first in front.
    wants: Vec<FillWant>,
    capacity_cpu: f64,
    /// The processors that no ordinary task holds, in thousandths of a core.
    ///
    /// Standing tasks don't count: measured days show filling tasks that use nearly all of a worker's processors beside
    /// standing ones that were declared to need nine tenths.
    left_cpu: f64,
    /// What the filling tasks use at full pace, in thousandths of a core.
    filling_cpu: u64,
}

impl FillBoard {
    /// What a worker's tasks look like by now.
    pub(crate) fn new(
        worker: &WorkerState,
        press: &PressEstimate,
        loads: &LoadBook,
        now: Millis,
    ) -> Self {
        let capacity = worker.entry.capacity.cpu_millis;
        let watched = worker
            .runs
            .iter()
            .filter(|(_, record)| record.target_ms > 0);
        let steps: BTreeMap<TaskKey, ImageId> = watched
            .map(|(key, record)| (key.task.first_of_step(), record.image))
            .collect();
        let rooms = steps.iter();
        let rooms = rooms.map(|(step, image)| ServingRoom::of(step, *image, loads, now));
        let mut board = Self {
            rooms: rooms.collect(),
            wants: Vec::new(),
            capacity_cpu: capacity.max(1) as f64,
            left_cpu: capacity.saturating_sub(worker.ordinary_cpu()) as f64,
            filling_cpu: worker.filling_cpu(),
        };
        for (key, record) in worker.runs.iter().filter(|(_, record)| record.fills) {
            let ask = FillAsk {
                urgency: FillUrgency::new(now, record.due, record.remaining_ms()),
                image: record.image,
                cpu_millis: record.full_use() as u64,
            };
            let left = LEAST_LEFT.max(1.0 - f64::from(record.percent) / 100.0);
            let want = board.want(press, &ask, left);
            board.wants.push(FillWant {
                key: Some(*key),
                ..want
            });
        }
        let wants = &mut board.wants;
        wants.sort_by(|one, other| one.order(other).then(one.key.cmp(&other.key)));
        board
    }

    /// What a filling task wants, with `left` of its work to do.
    fn want(&self, press: &PressEstimate, ask: &FillAsk, left: f64) -> FillWant {
        let strengths = self
            .rooms
            .iter()
            .map(|room| press.strength(room.image, ask.image));
        let load = ask.cpu_millis as f64 / self.capacity_cpu;
        FillWant {
            urgency: ask.urgency,
            cost: strengths.fold(WEAK_STRENGTH, f64::max) * load * left,
            key: None,
            image: ask.image,
            load,
        }
    }

    /// Deals what serving tasks leave: each filling task and its share.
    pub(crate) fn deal(&self, press: &PressEstimate) -> Vec<(RunKey, f64)> {
        let mut rooms = self.rooms.clone();
        let mut shares = Vec::with_capacity(self.wants.len());
        for want in &self.wants {
            let share = take_share(&mut rooms, want, press);
            shares.extend(want.key.map(|key| (key, share)));
        }
        shares
    }

    /// The share at which one more filling task would work, by what serving tasks leave and by the processors that no
    /// ordinary task holds.
    pub(crate) fn foreseen_share(&self, press: &PressEstimate, ask: &FillAsk) -> f64 {
        let asked = self.want(press, ask, 1.0);
        let mut rooms = self.rooms.clone();
        for want in &self.wants {
            // Of equal ones, such as tasks of the same step, those that are there go first.
            if asked.order(want).is_lt() {
                break;
            }
            take_share(&mut rooms, want, press);
        }
        let share = take_share(&mut rooms, &asked, press);
        let wanted = (self.filling_cpu + ask.cpu_millis).max(1) as f64;
        share.min(self.left_cpu / wanted)
    }

    /// What part of the room that the tightest serving task leaves one more filling task would take up; 1 where there is
    /// none.
    pub(crate) fn room_taken(&self, press: &PressEstimate, ask: &FillAsk) -> f64 {
        let load = ask.cpu_millis as f64 / self.capacity_cpu;
        let taken = self.rooms.iter().map(|room| {
            let own = press.strength(room.image, ask.image) * load;
            own / room.allowed.max(own).max(f64::MIN_POSITIVE)
        });
        taken.fold(0.0, f64::max)
    }

    /// Whether serving tasks are read here.
    pub(crate) fn has_serving(&self) -> bool {
        !self.rooms.is_empty()
    }

    /// Whether anything fills here.
    pub(crate) fn has_filling(&self) -> bool {
        !self.wants.is_empty()
    }
}

/// Gives a filling task its share of what is left of the rooms.
fn take_share(rooms: &mut [ServingRoom], want: &FillWant, press: &PressEstimate) -> f64 {
    let mut share: f64 = 1.0;
    for room in rooms.iter() {
        let strength = press.strength(room.image, want.image);
        if strength >= WEAK_STRENGTH {
            share = share.min(room.allowed / (strength * want.load).max(f64::MIN_POSITIVE));
        }
    }
    for room in rooms.iter_mut() {
        let used = press.strength(room.image, want.image) * want.load * share;
        room.allowed = (room.allowed - used).max(0.0);
    }
    share
}
