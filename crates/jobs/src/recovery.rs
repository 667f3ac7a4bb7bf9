//! The end of a takeover, and workers that fall silent.

use sandshelf_model::{Millis, WorkerId};

use crate::ids::{JobNumber, TaskKey};
use crate::job::JobState;
use crate::limits::ROSTER_CHECK_INTERVAL_MS;
use crate::note::{JobNote, LossCause};
use crate::scheduler::JobScheduler;

impl JobScheduler {
    /// Ends the takeover once every worker has answered, or none can hold an earlier owner's lease any more.
    pub(crate) fn check_recovery(&mut self, now: Millis) {
        let Some(recovery) = &self.recovery else {
            return;
        };
        if self.state_pending {
            return;
        }
        let settled = |over_at: &Millis| now >= *over_at;
        let over =
            now >= recovery.until || recovery.listed && recovery.unanswered.values().all(settled);
        if !over && now < recovery.fresh_until {
            return;
        }
        let unanswered: Vec<WorkerId> = recovery.unanswered.keys().cloned().collect();
        let lost_some = recovery.lost_some || !unanswered.is_empty();
        if over {
            self.recovery = None;
            self.forget_leftovers(now);
        }
        let released = |job: &&JobState| over || !job.inherited;
        let jobs = self.jobs.values().filter(released);
        let keys: Vec<TaskKey> = jobs.flat_map(JobState::unfound_tasks).collect();
        if over {
            self.note(JobNote::TakeoverOver {
                waited_ms: now.saturating_sub(self.claimed_at),
                unanswered,
                unfound: keys.len(),
            });
        }
        if lost_some {
            self.note_unfound_suspects(now, &keys);
        }
        for key in &keys {
            self.note(JobNote::Unfound(*key));
            self.enqueue(now, *key);
        }
        for key in keys {
            self.mend_gang(now, key);
        }
    }

    /// Once no lease of an earlier owner can last, a successor is told how long this owner's are.
    pub(crate) fn note_own_leases(&mut self, now: Millis) {
        let lease_ms = self.limits.lease_ms();
        if now >= self.inherited_until && self.roster_lease_ms != lease_ms {
            self.roster_lease_ms = lease_ms;
            self.roster_changed = true;
        }
    }

    /// How long the leases are that this owner grants for now.
    pub(crate) fn granted_lease_ms(&self) -> Millis {
        let own = self.limits.lease_ms();
        match self.lease_published {
            true => own,
            false => own.min(self.inherited_lease_ms),
        }
    }

    /// An earlier owner may have ended between the removal of a job and that of its progress: what is left is removed in time.
    fn forget_leftovers(&mut self, now: Millis) {
        let inherited = self.inherited_progress.iter();
        let over = inherited.filter(|(_, row)| row.stage.is_final());
        let over: Vec<JobNumber> = over.map(|(number, _)| *number).collect();
        for number in over {
            self.inherited_progress.remove(&number);
            self.finished.insert(number);
            self.finished_at.push_back((now, number));
        }
    }

    pub(crate) fn note_answered(&mut self, worker: &WorkerId) {
        if let Some(recovery) = &mut self.recovery {
            recovery.unanswered.remove(worker);
        }
    }

    /// Keeps the roster to the workers that may hold tasks: a successor waits for the answer of each of them. With leaving
    /// workers left in it until they were gone, three that had ended all their work held up every unfound task for 11 s.
    pub(crate) fn refresh_roster(&mut self, now: Millis) {
        if now < self.roster_checked_at + ROSTER_CHECK_INTERVAL_MS {
            return;
        }
        self.roster_checked_at = now;
        for (id, worker) in &self.workers {
            let changed = match worker.may_hold_tasks() || self.foreign.names(id) {
                true => !self.roster.contains(id) && self.roster.insert(id.clone()),
                false => self.roster.remove(id),
            };
            self.roster_changed |= changed;
        }
    }

    /// Looks for workers that fell silent or whose leases have run out.
    pub(crate) fn check_workers(&mut self, now: Millis) {
        let mut over = Vec::new();
        let mut silent = Vec::new();
        let mut idle = Vec::new();
        for (id, worker) in &self.workers {
            let unanswered = self.recovery.as_ref();
            let unanswered =
                unanswered.is_some_and(|recovery| recovery.unanswered.contains_key(id));
            if worker.is_silent(now) && !worker.told_silent {
                silent.push(id.clone());
            }
            if worker.runs.is_empty() {
                if !worker.listed && !unanswered && worker.is_silent(now) {
                    idle.push(id.clone());
                }
            } else if worker.is_silent(now) && worker.life.lease_is_over(now) {
                over.push(id.clone());
            }
        }
        for id in silent {
            if let Some(worker) = self.workers.get_mut(&id) {
                worker.told_silent = true;
            }
            self.note(JobNote::WorkerSilent(id));
        }
        for id in over {
            self.lose_crashed(now, &id, LossCause::LeaseOver);
        }
        for id in idle {
            self.forget_silent(now, &id);
        }
    }
}
