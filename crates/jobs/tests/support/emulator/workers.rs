//! Emulated workers: how they start and end, how calls reach them, and how their runs progress.

use std::collections::BTreeMap;

use rand::RngExt;
use sandshelf_jobs::{
    EndReport, JobEvent, OrderAnswer, RunKey, RunOutcome, TaskKey, WorkerCall, WorkerIncarnation,
};
use sandshelf_model::{Millis, WorkerId};

use super::halls::hall_of;
use super::{
    answer_event, Message, ParkedRenewal, PlatformEmulator, SentCall, StaleEntry, CALL_TIMEOUT_MS,
    CUT_EFFECT_MS, STALE_ENTRY_MS,
};
use crate::support::emulated_worker::{ChangingCapacity, EmulatedRun, EmulatedWorker, REPORT_MS};
use crate::support::listing;
use crate::support::oracle::UsableCapacity;

/// Base of incarnation numbers, in milliseconds since 1970.
const FIRST_INCARNATION_MS: u64 = 1_769_000_000_000;
/// No incarnation received the lease renewal.
const NO_INCARNATION: WorkerIncarnation = WorkerIncarnation(0);
/// Range of the clock of a restarted worker; it is drawn below this and multiplied by up to 7,
/// which gives about two hours at most, as in recorded restarts.
const CLOCK_RANGE_MS: u64 = 1_000_000;

impl PlatformEmulator {
    pub(super) fn new_worker(&mut self, place: usize) -> EmulatedWorker {
        self.incarnations += 1;
        EmulatedWorker {
            id: WorkerId::from(format!("w-{}", self.incarnations)),
            incarnation: WorkerIncarnation(FIRST_INCARNATION_MS + self.incarnations as u64),
            place,
            clock_percent: self.random.random_range(98..=100),
            clock_origin: (0, 0),
            fence: 0,
            lease_until: 0,
            runs: BTreeMap::new(),
            newest_runs: BTreeMap::new(),
            ended: Vec::new(),
            end_count: 0,
            lapsed_at: 0,
            down_until: 0,
            refuses_connections: false,
            listed_from: 0,
            cut_since: 0,
            cut_until: 0,
            cut_refuses: false,
            unlisted_until: 0,
            cut_next: None,
            leaves_at: None,
            draining_since: None,
            leaves_for_good: false,
            room: ChangingCapacity::new(listing("w-1").capacity),
        }
    }

    pub(super) fn replace_worker(&mut self, index: usize) {
        let mut place = self.workers[index].place;
        if self.workers[index].leaves_for_good {
            place = self.places;
            self.places += 1;
            self.gone.insert(self.workers[index].id.clone());
        }
        let replacement = self.new_worker(place);
        let gone = std::mem::replace(&mut self.workers[index], replacement);
        for (task, run) in gone.runs {
            let key = RunKey { task, run: run.run };
            self.oracle.ended(&gone.id, key, None);
        }
    }

    /// A worker crashes. Another incarnation takes its place some time later, or it restarts under
    /// its name.
    pub(super) fn crash_worker(&mut self, index: usize) {
        let restarts = self.plan.same_name > 0 && !self.workers[index].leaves_for_good;
        if restarts && self.chance(self.plan.same_name) {
            return self.restart_worker(index, None);
        }
        if self.plan.down_ms == 0 || self.workers[index].leaves_for_good {
            return self.replace_worker(index);
        }
        let down = self.random.random_range(1_000..self.plan.down_ms);
        let listed = self.random.random_range(2_000..STALE_ENTRY_MS).min(down);
        self.keep_stale_entry(index, self.now + listed);
        let id = self.workers[index].id.clone();
        self.gone.insert(id);
        self.replace_worker(index);
        self.workers[index].down_until = self.now + down;
    }

    /// All workers that are up go down at one moment, and restart at one moment.
    pub(super) fn restart_all_workers(&mut self) {
        let down = self.draw_downtime();
        for index in 0..self.workers.len() {
            if self.now >= self.workers[index].down_until {
                self.restart_worker(index, Some(down));
            }
        }
    }

    /// A worker restarts under its name after `down` milliseconds, unless it is down already.
    pub(super) fn restart_named(&mut self, id: &WorkerId, down: Millis) {
        let mut workers = self.workers.iter();
        let index = workers.position(|worker| worker.id == *id && self.now >= worker.down_until);
        if let Some(index) = index {
            self.restart_worker(index, Some(down));
        }
    }

    /// How long a worker is down before it restarts, in milliseconds.
    fn draw_downtime(&mut self) -> Millis {
        match self.random.random_range(0..3) {
            0 => self.random.random_range(0..50),
            1 => self.random.random_range(50..700),
            _ => self.random.random_range(700..6_000),
        }
    }

    /// A worker crashes and restarts under its name after `down` milliseconds, or after a time that
    /// is drawn: it has lost its state, and its clock may show any time.
    fn restart_worker(&mut self, index: usize, down: Option<Millis>) {
        self.keep_stale_entry(index, self.now + STALE_ENTRY_MS);
        let id = self.workers[index].id.clone();
        self.replace_worker(index);
        let down = down.unwrap_or_else(|| self.draw_downtime());
        let back = self.now + down;
        let clock = self.random.random_range(0..8) * self.random.random_range(0..CLOCK_RANGE_MS);
        let listed_from = back + self.random.random_range(0..1_500);
        let refuses_connections = self.random.random_bool(0.5);
        let worker = &mut self.workers[index];
        worker.id = id;
        worker.clock_origin = (clock, back);
        worker.lease_until = 0;
        worker.down_until = back;
        worker.listed_from = listed_from;
        worker.refuses_connections = refuses_connections;
    }

    /// Keeps a worker's entry in the lists until a time after the worker is gone.
    pub(super) fn keep_stale_entry(&mut self, index: usize, until: Millis) {
        let worker = &self.workers[index];
        self.stale_entries.push(StaleEntry {
            until,
            worker: worker.id.clone(),
            incarnation: worker.incarnation,
            place: worker.place,
        });
    }

    /// Once the next worker at a place is up, calls to the previous ones are answered as replaced.
    fn clear_replaced_entries(&mut self, index: usize) {
        if self.workers[index].down_until != self.now {
            return;
        }
        let place = self.workers[index].place;
        let before = self
            .stale_entries
            .iter()
            .filter(|entry| entry.place == place);
        for entry in before {
            self.gone.remove(&entry.worker);
        }
    }

    /// Whether a worker has no successor at its place that could answer for it.
    pub(super) fn is_gone_for_good(&self, worker: &WorkerId) -> bool {
        self.gone.contains(worker)
    }

    /// The free capacity of workers that are reachable and not draining.
    pub(super) fn sound_room(&self) -> UsableCapacity {
        let capacity = listing("w-1").capacity;
        let cut = self.hall_cut().map(|cut| cut.hall);
        let usable = |worker: &&EmulatedWorker| {
            let up = self.now >= worker.cut_until && self.now >= worker.down_until;
            let up = up && cut != Some(hall_of(worker.place));
            worker.draining_since.is_none() && up
        };
        let usable: Vec<_> = self.workers.iter().filter(usable).collect();
        let used = usable.iter().map(|worker| worker.used().cpu_millis);
        let half = usable.len() as u64 * capacity.cpu_millis / 2;
        UsableCapacity {
            under_half: used.sum::<u64>() < half,
            calm_ms: 0,
            free: usable
                .iter()
                .map(|worker| capacity.saturating_minus(&worker.used()))
                .collect(),
        }
    }

    pub(super) fn step_workers(&mut self) {
        let now = self.now;
        for index in 0..self.workers.len() {
            self.clear_replaced_entries(index);
            self.crash_under_tasks(index);
            self.begin_due_cut(index);
            if self.workers[index].leaves_at.is_some_and(|at| now >= at) {
                self.replace_worker(index);
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
            let reachable = now > worker.cut_until + CUT_EFFECT_MS;
            let lapses = over.iter().filter(|(_, how)| *how == RunOutcome::Lapsed);
            if reachable {
                self.lapses_on_reachable_workers += lapses.count();
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
                self.second_runs.note_end(now, key, outcome);
                self.oracle.ended(&worker.id, key, Some(outcome));
            }
        }
    }

    /// Draws whether a worker that answers a new owner for the first time is cut off right after that.
    pub(super) fn draw_cut_after_takeover(&mut self, index: usize) {
        if self.plan.cuts_after_takeover == 0 || !self.chance(self.plan.cuts_after_takeover) {
            return;
        }
        let from = self.now + self.random.random_range(5..500);
        let until = from + self.random.random_range(3_000..9_000);
        self.workers[index].cut_next = Some((from, until));
    }

    fn begin_due_cut(&mut self, index: usize) {
        let now = self.now;
        let worker = &mut self.workers[index];
        if let Some((_, until)) = worker.cut_next.take_if(|(from, _)| now >= *from) {
            worker.cut_since = now;
            worker.cut_until = until;
            worker.cut_refuses = false;
        }
    }

    /// Crashes a worker once a task that crashes it has run for its time.
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

    pub(super) fn handle_arrival(&mut self, sent: SentCall) {
        let now = self.now;
        let SentCall {
            epoch,
            worker: id,
            carried_out_by,
            delayed,
            parked,
            call,
            answers,
        } = sent;
        let index = self.workers.iter().position(|worker| worker.id == id);
        let Some(index) = index else {
            if answers && self.is_gone_for_good(&id) {
                let event = answer_event(&id, &call, OrderAnswer::Unknown);
                self.send(now + CALL_TIMEOUT_MS, Message::Answered(epoch, event));
            } else if answers {
                let event = answer_event(&id, &call, OrderAnswer::Replaced);
                self.send(now + 1, Message::Answered(epoch, event));
            }
            return;
        };
        let incarnation = self.workers[index].incarnation;
        if now < self.workers[index].cut_until || now < self.workers[index].down_until {
            let refused =
                self.workers[index].refuses_connections && now >= self.workers[index].cut_until;
            let (answer, after) = match refused && parked.is_none() {
                true => (OrderAnswer::Unreachable, 1),
                false => (OrderAnswer::Unknown, CALL_TIMEOUT_MS),
            };
            let may_outlive = now >= self.workers[index].cut_until && !refused && !delayed;
            if may_outlive {
                self.keep_outliving_call(epoch, &id, parked, &call);
            }
            if answers {
                let event = answer_event(&id, &call, answer);
                self.send(now + after, Message::Answered(epoch, event));
            }
            if let Some(ParkedRenewal::Arrival(number)) = parked.filter(|_| self.plan.same_name > 0)
            {
                self.parked_renewals.insert(number, NO_INCARNATION);
            }
            return;
        }
        if carried_out_by.is_some_and(|carried_out_by| carried_out_by != incarnation) {
            return;
        }
        match parked {
            Some(ParkedRenewal::Arrival(number)) => {
                self.parked_renewals.insert(number, incarnation);
            }
            Some(ParkedRenewal::Answer(number)) => {
                let received_by = self.parked_renewals.remove(&number);
                if received_by.is_some_and(|received_by| received_by != incarnation) {
                    // The connection broke when the incarnation that had received the renewal
                    // ended.
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
            WorkerCall::Renew(renewal) => {
                JobEvent::RenewalAnswered(id, self.renew(index, epoch, renewal))
            }
        };
        if answers {
            let delay = self.random.random_range(1..4) + self.path_delay_ms();
            self.send(now + delay, Message::Answered(epoch, event));
        }
    }
}
