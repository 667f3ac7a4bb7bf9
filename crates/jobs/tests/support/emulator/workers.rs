//! Emulated workers: how they come and go, what arrives at them, and runs as time passes.

use std::collections::BTreeMap;

use rand::RngExt;
use sandshelf_jobs::{
    EndReport, JobEvent, OrderAnswer, RunKey, RunOutcome, TaskKey, WorkerCall, WorkerIncarnation,
};
use sandshelf_model::{Millis, WorkerId};

use super::halls::hall_of;
use super::{
    answer_event, GhostEntry, Message, ParkedHold, PlatformEmulator, SentCall, GHOST_MS,
    PATIENCE_MS, SOUND_AFTER_MS,
};
use crate::support::emulated_worker::{EmulatedRun, EmulatedWorker, ShrinkingRoom, REPORT_MS};
use crate::support::listing;
use crate::support::oracle::UsableCapacity;

/// When the first life of the first worker began, in milliseconds since 1970.
const FIRST_LIFE_MS: u64 = 1_769_000_000_000;
/// Nobody has taken a hold.
const NO_LIFE: WorkerIncarnation = WorkerIncarnation(0);
/// What the clock of a worker that has started again shows at most, by an eighth: two hours, as was seen.
const MOST_CLOCK_MS: u64 = 1_000_000;

impl PlatformEmulator {
    pub(super) fn fresh_worker(&mut self, place: usize) -> EmulatedWorker {
        self.incarnations += 1;
        EmulatedWorker {
            id: WorkerId::from(format!("w-{}", self.incarnations)),
            life: WorkerIncarnation(FIRST_LIFE_MS + self.incarnations as u64),
            place,
            clock_percent: self.random.random_range(98..=100),
            clock_from: (0, 0),
            fence: 0,
            lease_until: 0,
            runs: BTreeMap::new(),
            newest: BTreeMap::new(),
            ended: Vec::new(),
            end_count: 0,
            lapsed_at: 0,
            dark_until: 0,
            refuses: false,
            shown_from: 0,
            cut_since: 0,
            cut_until: 0,
            leaves_at: None,
            draining_since: None,
            for_good: false,
            room: ShrinkingRoom::new(listing("w-1").capacity),
        }
    }

    pub(super) fn restart_worker(&mut self, index: usize) {
        let mut place = self.workers[index].place;
        if self.workers[index].for_good {
            place = self.places;
            self.places += 1;
            self.gone.insert(self.workers[index].id.clone());
        }
        let fresh = self.fresh_worker(place);
        let gone = std::mem::replace(&mut self.workers[index], fresh);
        for (task, run) in gone.runs {
            let key = RunKey { task, run: run.run };
            self.oracle.ended(&gone.id, key, None);
        }
    }

    /// A worker crashes; another incarnation is back in its place some time later, or it starts again under its name.
    pub(super) fn crash_worker(&mut self, index: usize) {
        let again = self.plan.same_name > 0 && !self.workers[index].for_good;
        if again && self.chance(self.plan.same_name) {
            return self.start_again(index);
        }
        if self.plan.down_ms == 0 || self.workers[index].for_good {
            return self.restart_worker(index);
        }
        let down = self.random.random_range(1_000..self.plan.down_ms);
        let listed = self.random.random_range(2_000..GHOST_MS).min(down);
        self.leave_entry(index, self.now + listed);
        let id = self.workers[index].id.clone();
        self.gone.insert(id);
        self.restart_worker(index);
        self.workers[index].dark_until = self.now + down;
    }

    /// A worker goes down and starts again under its name: it knows nothing of before, and its clock shows anything.
    fn start_again(&mut self, index: usize) {
        self.leave_entry(index, self.now + GHOST_MS);
        let id = self.workers[index].id.clone();
        self.restart_worker(index);
        let down = match self.random.random_range(0..3) {
            0 => self.random.random_range(0..50),
            1 => self.random.random_range(50..700),
            _ => self.random.random_range(700..6_000),
        };
        let back = self.now + down;
        let clock = self.random.random_range(0..8) * self.random.random_range(0..MOST_CLOCK_MS);
        let shown_from = back + self.random.random_range(0..1_500);
        let refuses = self.random.random_bool(0.5);
        let worker = &mut self.workers[index];
        worker.id = id;
        worker.clock_from = (clock, back);
        worker.lease_until = 0;
        worker.dark_until = back;
        worker.shown_from = shown_from;
        worker.refuses = refuses;
    }

    /// Lists go on to show a worker's entry for a while after it is gone.
    pub(super) fn leave_entry(&mut self, index: usize, until: Millis) {
        let worker = &self.workers[index];
        self.ghosts.push(GhostEntry {
            until,
            worker: worker.id.clone(),
            life: worker.life,
            place: worker.place,
        });
    }

    /// Whoever stood at a place before is known to be replaced once the next is up.
    fn light_up(&mut self, index: usize) {
        if self.workers[index].dark_until != self.now {
            return;
        }
        let place = self.workers[index].place;
        let before = self.ghosts.iter().filter(|ghost| ghost.place == place);
        for ghost in before {
            self.gone.remove(&ghost.worker);
        }
    }

    /// Whether a worker left no other at its place that could answer for it.
    pub(super) fn is_gone_for_good(&self, worker: &WorkerId) -> bool {
        self.gone.contains(worker)
    }

    /// What is free on workers that stay and can be reached.
    pub(super) fn sound_room(&self) -> UsableCapacity {
        let capacity = listing("w-1").capacity;
        let cut = self.hall_cut().map(|cut| cut.hall);
        let sound = |worker: &&EmulatedWorker| {
            let up = self.now >= worker.cut_until && self.now >= worker.dark_until;
            let up = up && cut != Some(hall_of(worker.place));
            worker.draining_since.is_none() && up
        };
        let sound: Vec<_> = self.workers.iter().filter(sound).collect();
        let used = sound.iter().map(|worker| worker.used().cpu_millis);
        let half = sound.len() as u64 * capacity.cpu_millis / 2;
        UsableCapacity {
            under_half: used.sum::<u64>() < half,
            calm_ms: 0,
            free: sound
                .iter()
                .map(|worker| capacity.saturating_minus(&worker.used()))
                .collect(),
        }
    }

    pub(super) fn step_workers(&mut self) {
        let now = self.now;
        for index in 0..self.workers.len() {
            self.light_up(index);
            self.crash_under_tasks(index);
            if self.workers[index].leaves_at.is_some_and(|at| now >= at) {
                self.restart_worker(index);
            }
            let worker = &mut self.workers[index];
            // A worker can't report while the store is out.
            if now.is_multiple_of(REPORT_MS) && now >= self.store_out_until {
                worker.room.report();
            }
            let lapsed = worker.clock(now) > worker.lease_until;
            if lapsed {
                worker.lapsed_at = now;
            }
            let over: Vec<(TaskKey, RunOutcome)> = worker
                .runs
                .iter()
                .filter_map(|(task, run)| {
                    let outcome = if now >= run.ends_at {
                        Some(match run.stopping {
                            true => RunOutcome::Stopped,
                            false => run.outcome?,
                        })
                    } else {
                        lapsed.then_some(RunOutcome::Lapsed)
                    };
                    Some((*task, outcome?))
                })
                .collect();
            let sound = now > worker.cut_until + SOUND_AFTER_MS;
            let lapses = over.iter().filter(|(_, how)| *how == RunOutcome::Lapsed);
            if sound {
                self.sound_lapses += lapses.count();
            }
            for (task, outcome) in over {
                let run = worker.runs.remove(&task).expect("it was listed");
                worker.end_count += 1;
                let key = RunKey { task, run: run.run };
                let end = EndReport {
                    number: worker.end_count,
                    key,
                    outcome,
                    checkpoint: None,
                };
                worker.ended.push((now, end));
                self.oracle.ended(&worker.id, key, Some(outcome));
            }
        }
    }

    /// A worker goes down where a task that crashes it has been at work for long enough.
    fn crash_under_tasks(&mut self, index: usize) {
        let worker = &self.workers[index];
        let due = |run: &EmulatedRun| run.crashes_at.is_some_and(|at| self.now >= at);
        let under = worker.runs.iter().find(|(_, run)| due(run));
        let Some((task, run)) = under.map(|(task, run)| (*task, run.run)) else {
            return;
        };
        let id = worker.id.clone();
        self.oracle.crashed(&id, RunKey { task, run });
        self.crash_worker(index);
    }

    pub(super) fn arrive(&mut self, sent: SentCall) {
        let now = self.now;
        let SentCall {
            epoch,
            worker: id,
            held_by,
            hold,
            call,
            answers,
        } = sent;
        let index = self.workers.iter().position(|worker| worker.id == id);
        let Some(index) = index else {
            if answers && self.is_gone_for_good(&id) {
                let event = answer_event(&id, &call, OrderAnswer::Unknown);
                self.send(now + PATIENCE_MS, Message::Answered(epoch, event));
            } else if answers {
                let event = answer_event(&id, &call, OrderAnswer::Replaced);
                self.send(now + 1, Message::Answered(epoch, event));
            }
            return;
        };
        let life = self.workers[index].life;
        if now < self.workers[index].cut_until || now < self.workers[index].dark_until {
            let refused = self.workers[index].refuses && now >= self.workers[index].cut_until;
            let (answer, after) = match refused && hold.is_none() {
                true => (OrderAnswer::Unreachable, 1),
                false => (OrderAnswer::Unknown, PATIENCE_MS),
            };
            if answers {
                let event = answer_event(&id, &call, answer);
                self.send(now + after, Message::Answered(epoch, event));
            }
            if let Some(ParkedHold::Arrival(number)) = hold.filter(|_| self.plan.same_name > 0) {
                self.parked.insert(number, NO_LIFE);
            }
            return;
        }
        if held_by.is_some_and(|held_by| held_by != life) {
            return;
        }
        match hold {
            Some(ParkedHold::Arrival(number)) => {
                self.parked.insert(number, life);
            }
            Some(ParkedHold::Look(number)) => {
                let taken_by = self.parked.remove(&number);
                if taken_by.is_some_and(|taken_by| taken_by != life) {
                    // The connection broke with the life that had taken the hold.
                    if answers {
                        let event = answer_event(&id, &call, OrderAnswer::Unknown);
                        self.send(now + 1, Message::Answered(epoch, event));
                    }
                    return;
                }
            }
            None => {}
        }
        let event = match &call {
            WorkerCall::Start(start) => {
                let answer = self.start(index, epoch, start);
                JobEvent::StartAnswered(id, start.key, answer)
            }
            WorkerCall::Stop(key) => {
                JobEvent::StopAnswered(id, *key, self.stop(index, epoch, *key))
            }
            WorkerCall::Pace(key, _) => {
                let clock = self.workers[index].clock(now);
                JobEvent::PaceAnswered(id, *key, OrderAnswer::Done(clock))
            }
            WorkerCall::Renew(hold) => JobEvent::RenewalAnswered(id, self.hold(index, epoch, hold)),
        };
        if answers {
            let delay = self.random.random_range(1..4) + self.slow_way();
            self.send(now + delay, Message::Answered(epoch, event));
        }
    }
}
