//! How the fleet's workers answer the owner's calls, and how its writes are stored.

use sandshelf_jobs::{
    CommitBatch, JobAction, JobEvent, OrderAnswer, RenewalAnswer, RenewalReport, RunKey, RunReport,
    WorkerCall,
};
use sandshelf_model::{Millis, WorkerId};

use super::{CrashingFleet, RecordedStart, CALL_TIMEOUT_MS, TASK_DURATION_MS};

impl CrashingFleet {
    pub(super) fn deliver(&mut self) {
        let now = self.rig.now;
        let (due, rest) = std::mem::take(&mut self.answers)
            .into_iter()
            .partition(|(at, _)| *at <= now);
        self.answers = rest;
        for (_, event) in due {
            self.rig.handle(event);
        }
        let mut reports = Vec::new();
        for worker in &mut self.workers {
            let due = worker
                .renewal
                .as_ref()
                .is_some_and(|(sent, call)| now >= sent + call.wait_ms || !worker.ended.is_empty());
            if let Some((_, call)) = worker.renewal.take_if(|_| due) {
                worker.ended.retain(|end| end.number > call.last_seen);
                let running = worker.runs.keys().map(|key| RunReport {
                    key: *key,
                    checkpoint: None,
                    percent: 50,
                    gauge: None,
                });
                let report = RenewalReport {
                    incarnation: worker.incarnation(self.crash_mode),
                    carrier_late_ms: 0,
                    clock: worker.clock(now, self.crash_mode),
                    running: running.collect(),
                    ended: worker.ended.clone(),
                };
                reports.push((worker.name.clone(), report));
            }
        }
        for (name, report) in reports {
            self.rig.answer_renewal(&name, report);
        }
    }

    /// Carries out the owner's actions.
    pub(super) fn apply_actions(&mut self) {
        for action in std::mem::take(&mut self.rig.actions) {
            match action {
                JobAction::Call { worker, call, .. } => self.handle_call(&worker, call),
                JobAction::Commit(batch) => self.write(batch),
                JobAction::Deposed | JobAction::Note(_) => {}
            }
        }
    }

    fn write(&mut self, batch: CommitBatch) {
        if !self.store_up {
            return;
        }
        self.rows.apply(&batch);
        batch.roster.apply_to(&mut self.roster);
        batch.silent.apply_to(&mut self.silent);
        self.answers
            .push((self.rig.now, JobEvent::Committed(batch.id)));
    }

    fn handle_call(&mut self, id: &WorkerId, call: WorkerCall) {
        let now = self.rig.now;
        let index = self
            .workers
            .iter()
            .position(|worker| worker.name == id.as_str() && worker.back_at.is_none());
        let Some(index) = index else {
            return self.answer_for_absent_worker(id, &call);
        };
        let id = id.clone();
        let clock = self.workers[index].clock(now, self.crash_mode);
        match call {
            WorkerCall::Start(start) => {
                self.start_run(index, start.key);
                let answer = OrderAnswer::Done(clock);
                self.answers
                    .push((now, JobEvent::StartAnswered(id, start.key, answer)));
            }
            WorkerCall::Stop(key) => {
                self.workers[index].runs.remove(&key);
                let answer = OrderAnswer::Done(clock);
                self.answers
                    .push((now, JobEvent::StopAnswered(id, key, answer)));
            }
            WorkerCall::Pace(key, _) => {
                let answer = OrderAnswer::Done(clock);
                self.answers
                    .push((now, JobEvent::PaceAnswered(id, key, answer)));
            }
            WorkerCall::Renew(renewal) => self.workers[index].renewal = Some((now, renewal)),
        }
    }

    /// A call to a worker that is down times out. Where another worker has taken its place, the
    /// answer says that it was replaced.
    fn answer_for_absent_worker(&mut self, id: &WorkerId, call: &WorkerCall) {
        let number = id
            .as_str()
            .trim_start_matches(|letter: char| !letter.is_ascii_digit());
        let replaced = self
            .workers
            .iter()
            .any(|worker| worker.back_at.is_none() && worker.place.to_string() == number);
        let (answer, after) = match replaced {
            true => (OrderAnswer::Replaced, 0),
            false => (OrderAnswer::Unknown, CALL_TIMEOUT_MS),
        };
        let id = id.clone();
        let (event, wait_ms) = match call {
            WorkerCall::Start(start) => (JobEvent::StartAnswered(id, start.key, answer), 0),
            WorkerCall::Stop(key) => (JobEvent::StopAnswered(id, *key, answer), 0),
            WorkerCall::Pace(key, _) => (JobEvent::PaceAnswered(id, *key, answer), 0),
            WorkerCall::Renew(renewal) => {
                let failed = RenewalAnswer::Failed(answer);
                (JobEvent::RenewalAnswered(id, failed), renewal.wait_ms)
            }
        };
        self.answers.push((self.rig.now + wait_ms + after, event));
    }

    fn start_run(&mut self, index: usize, key: RunKey) {
        let now = self.rig.now;
        let crashes_before = self.crashes.get(&key.task).copied().unwrap_or(0);
        self.starts
            .entry(key.task)
            .or_default()
            .push(RecordedStart {
                at: now,
                epoch: self.epoch,
                crashes_before,
            });
        let standing = self.is_standing(&key.task);
        let ends_at = match standing {
            true => Millis::MAX,
            false => now + TASK_DURATION_MS,
        };
        self.workers[index].runs.insert(key, ends_at);
        if let Some(after) = self.crashers.get(&key.task) {
            self.pending_crashes.push((now + after, index, key.task));
        }
    }
}
