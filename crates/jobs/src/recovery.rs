//! The end of a takeover, and the detection of silent workers.

use sandshelf_model::{Millis, WorkerId};

use crate::ids::{JobNumber, TaskKey};
use crate::incarnation::longest_wait;
use crate::job::JobState;
use crate::limits::ROSTER_CHECK_INTERVAL_MS;
use crate::note::{JobNote, LossCause};
use crate::scheduler::JobScheduler;
use crate::takeover::FIRST_EPOCH;

impl JobScheduler {
    /// Ends the takeover once every worker has answered, or none can hold a lease of an earlier
    /// owner any more.
    pub(crate) fn check_recovery(&mut self, now: Millis) {
        let Some(recovery) = &self.recovery else {
            return;
        };
        if self.state_pending {
            return;
        }
        let settled = |over_at: &Millis| now >= *over_at;
        let listed = recovery.listed || now >= recovery.until;
        let over = listed && recovery.unanswered.values().all(settled);
        if !over && now < recovery.new_jobs_wait_until {
            return;
        }
        let unanswered: Vec<WorkerId> = recovery.unanswered.keys().cloned().collect();
        let worker_lost = recovery.worker_lost || !unanswered.is_empty();
        if over {
            self.recovery = None;
            self.forget_orphaned_progress(now);
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
        if worker_lost {
            self.note_unfound_suspects(now, &keys);
        }
        for key in &keys {
            self.note(JobNote::Unfound(*key));
            self.enqueue(now, *key);
        }
        for key in keys {
            self.stop_partial_gang(now, key);
        }
    }

    /// Publishes the length of this owner's leases to its successors once every lease of an earlier
    /// owner has expired.
    pub(crate) fn publish_own_lease(&mut self, now: Millis) {
        let lease_ms = self.limits.lease_ms();
        if now >= self.inherited_until && self.roster_lease_ms != lease_ms {
            self.roster_lease_ms = lease_ms;
            self.roster.head_changed = true;
        }
    }

    /// The length of the leases that this owner grants at present, in milliseconds. Until its
    /// roster is durable it grants no longer leases than the ones it inherited.
    ///
    /// While it can't renew its ownership, it grants each lease up to the end of one that it might
    /// still grant when it becomes unsure. A successor counts on such leases
    /// ([`JobScheduler::inherited_lease_end`]), and if this owner dies in an outage of the store,
    /// its runs outlast the outage by up to two seconds more.
    pub(crate) fn granted_lease_ms(&self, now: Millis) -> Millis {
        let own = self.limits.lease_ms();
        let lease = match self.lease_published {
            true => own,
            false => own.min(self.inherited_lease_ms),
        };
        if !self.ownership_overdue || self.sure_until == Millis::MAX {
            return lease;
        }
        let longest = (self.sure_until + lease).saturating_sub(now);
        longest.min(self.limits.max_lease_ms).max(lease)
    }

    /// Until when a lease of an earlier owner may last on a worker whose first answer arrives now.
    /// `named` says whether the roster names the incarnation that answers.
    ///
    /// An owner that can't renew its ownership grants longer leases than it has published, so the
    /// published length from the answer on is not enough. All of them end by `inherited_until`,
    /// whenever the worker answers. A silence record may end them earlier; the published length is
    /// waited for in any case.
    ///
    /// An order that was meant for another incarnation bears a deadline on another clock, so that only
    /// the worker's own limit binds it, from the time at which it is carried out. The roster names an
    /// incarnation with the end of such leases. `heard_before` is when an earlier incarnation was last
    /// heard by this owner; 0 if it never was.
    pub(crate) fn inherited_lease_end(
        &self,
        now: Millis,
        worker: &WorkerId,
        named: bool,
        heard_before: Millis,
    ) -> Millis {
        if self.epoch == FIRST_EPOCH {
            return 0;
        }
        if !named {
            return self.unnamed_lease_end(now, heard_before);
        }
        if now >= self.inherited_until {
            return 0;
        }
        let recovery = self.recovery.as_ref();
        let recorded = recovery.map_or(self.inherited_until, |recovery| recovery.over_at(worker));
        let published = now + longest_wait(self.inherited_lease_ms);
        self.inherited_until.min(recorded.max(published))
    }

    /// Until when an incarnation that the roster doesn't name may be leased by orders of earlier owners.
    /// Its first answer shows that it refuses them from now on. It began after an earlier incarnation
    /// was last heard, and has carried out none if that was after the last of these orders.
    fn unnamed_lease_end(&self, now: Millis, heard_before: Millis) -> Millis {
        if heard_before >= self.earlier_orders_until {
            return 0;
        }
        let carried_out_by = self.earlier_orders_until.min(now);
        carried_out_by + longest_wait(self.limits.max_lease_ms)
    }

    /// Handles that renewals of the ownership are overdue, or not any more.
    pub(crate) fn set_ownership_overdue(&mut self, now: Millis, overdue: bool) {
        if self.ownership_overdue == overdue {
            return;
        }
        self.ownership_overdue = overdue;
        self.note(JobNote::OwnershipOverdue {
            overdue,
            lease_ms: self.granted_lease_ms(now),
            sure_for_ms: self.sure_until.saturating_sub(now),
        });
    }

    /// Schedules the removal of progress rows without a job. An earlier owner may have ended after
    /// it removed a job and before it removed the job's progress.
    fn forget_orphaned_progress(&mut self, now: Millis) {
        let inherited = self.inherited_progress.rows.iter();
        let final_rows = inherited.filter(|(_, row)| row.stage.is_final());
        let final_rows: Vec<JobNumber> = final_rows.map(|(number, _)| *number).collect();
        for number in final_rows {
            self.inherited_progress.rows.remove(&number);
            self.inherit_finished(now, number);
        }
    }

    pub(crate) fn note_answered(&mut self, worker: &WorkerId) {
        if let Some(recovery) = &mut self.recovery {
            recovery.unanswered.remove(worker);
        }
    }

    /// Updates the roster to the workers that may hold tasks: a successor waits for an answer of
    /// each of them. When draining workers stayed in it until they were gone, three that had ended
    /// all their runs delayed every unfound task by 11 s.
    pub(crate) fn refresh_roster(&mut self, now: Millis) {
        if now < self.roster_checked_at + ROSTER_CHECK_INTERVAL_MS {
            return;
        }
        self.roster_checked_at = now;
        for (id, worker) in &mut self.workers {
            match worker.may_hold_tasks() || self.foreign.has_reports_of(id) {
                true if self.roster.contains(id) => {}
                true => self.roster.add(id),
                false => {
                    worker.published = false;
                    self.roster.remove(id);
                }
            }
        }
    }

    /// Handles a commit that took effect: the workers in its pages of the roster may be given tasks.
    pub(crate) fn note_published(&mut self) {
        for id in self.roster.note_committed() {
            let worker = self.workers.get_mut(&id);
            if let Some(worker) = worker.filter(|worker| !worker.published) {
                worker.published = true;
                self.room_changed = true;
            }
        }
    }

    /// Checks for workers that have become silent and for leases that have expired.
    pub(crate) fn check_workers(&mut self, now: Millis) {
        let mut expired = Vec::new();
        let mut silent = Vec::new();
        let mut idle = Vec::new();
        for (id, worker) in &self.workers {
            let unanswered = self.recovery.as_ref();
            let unanswered =
                unanswered.is_some_and(|recovery| recovery.unanswered.contains_key(id));
            if worker.is_silent(now) && !worker.silence_logged {
                silent.push(id.clone());
            }
            if worker.runs.is_empty() {
                let unleased = !unanswered && worker.incarnation.is_unleased(now);
                if !worker.listed && worker.is_silent(now) && unleased {
                    idle.push(id.clone());
                }
            } else if worker.is_silent(now) && worker.incarnation.lease_has_expired(now) {
                expired.push(id.clone());
            }
        }
        for id in silent {
            if let Some(worker) = self.workers.get_mut(&id) {
                worker.silence_logged = true;
            }
            self.note(JobNote::WorkerSilent(id));
        }
        for id in expired {
            self.log_expired_lease(now, &id);
            self.handle_worker_loss(now, &id, LossCause::LeaseOver);
        }
        for id in idle {
            self.forget_silent(now, &id);
        }
    }

    /// Logs from what the end of a worker's lease was concluded.
    fn log_expired_lease(&mut self, now: Millis, worker: &WorkerId) {
        let Some(state) = self.workers.get(worker) else {
            return;
        };
        let note = JobNote::LeaseExpired {
            worker: worker.clone(),
            clock: state.incarnation.lowest_clock(now).unwrap_or(0),
            deadline: state.incarnation.lease_deadline,
            unheard_ms: now.saturating_sub(state.last_answer),
            incarnation: state.incarnation.id,
        };
        self.note(note);
    }
}
