//! Handles new jobs and cancellations, and the workers of an earlier owner.

use std::net::SocketAddr;

use sandshelf_model::{HallId, Millis, ResourceSize, WorkerId};

use crate::foreign::ForeignReport;
use crate::ids::JobNumber;
use crate::incarnation::IncarnationState;
use crate::job::{objective_ms, JobState};
use crate::note::{JobNote, StopCause};
use crate::progress_page::StoredProgress;
use crate::queues::QueueDirectory;
use crate::reports::WorkerListing;
use crate::scheduler::JobScheduler;
use crate::spec::JobSpec;
use crate::stage::JobStage;
use crate::worker::WorkerState;

/// The greatest age assumed for a job. An older submission time is not trusted, since clocks of hosts may be wrong.
const MAX_JOB_AGE_MS: Millis = 600_000;

impl JobScheduler {
    /// Applies the progress of jobs that a new owner has read; the job rows follow.
    pub(crate) fn apply_recovered_state(&mut self, progress: StoredProgress, claim_version: u64) {
        self.inherit_progress(progress);
        self.claim_version = claim_version;
        self.state_pending = false;
    }

    /// Handles a job row; a job that is known or has ended is ignored.
    pub(crate) fn handle_job_listed(
        &mut self,
        now: Millis,
        number: JobNumber,
        version: u64,
        mut spec: JobSpec,
    ) {
        if self.jobs.contains_key(&number) || self.finished.contains(&number) {
            return;
        }
        for step in &spec.steps {
            self.images.intern(&step.image);
        }
        if let Some(name) = self.queues.name_of(&spec) {
            spec.queue = name.to_owned();
        }
        let inherited = version <= self.claim_version;
        let age = if inherited { self.job_age_ms(&spec) } else { 0 };
        let mut job = JobState::new(number, spec, now, age, inherited);
        if let Some(row) = self.inherited_progress.rows.remove(&number) {
            if row.stage.is_final() {
                self.keep_ended_sizes(now, number, &job.spec);
                self.inherit_finished(now, number);
                return;
            }
            self.restore_job(&mut job, &row);
        }
        if job.spec.repeat.is_none() || self.wall_ms > 0 {
            job.add_due_repetitions(self.wall_ms);
        }
        self.jobs.insert(number, job);
        self.count_new_job(now, number);
        self.note_pending_crashes(now, number);
        for (worker, report) in self.foreign.take_reports_of(number) {
            match report {
                ForeignReport::Running(clock, run) => {
                    self.handle_running_report(now, &worker, clock, run)
                }
                ForeignReport::Ended(end) => self.handle_end(now, &worker, end),
            }
        }
        self.open_job_steps(now, number);
    }

    /// How long ago a job was submitted by the wall clock, at most [`MAX_JOB_AGE_MS`]; 0 if unknown.
    fn job_age_ms(&self, spec: &JobSpec) -> Millis {
        match spec.handed_in_ms {
            0 => 0,
            handed_in => self.wall_ms.saturating_sub(handed_in).min(MAX_JOB_AGE_MS),
        }
    }

    /// Handles a changed configuration: jobs follow their queues to their new names.
    pub(crate) fn change_queues(&mut self, queues: QueueDirectory) {
        for job in self.jobs.values_mut() {
            if let Some(name) = queues.name_of(&job.spec) {
                job.spec.queue = name.to_owned();
            }
        }
        self.queues = queues;
    }

    /// Opens the repetitions of jobs that are due.
    pub(crate) fn open_due_repetitions(&mut self, now: Millis) {
        let timed = |job: &&JobState| job.next_repetition < job.repetition_count();
        let due: Vec<JobNumber> = self
            .jobs
            .values()
            .filter(timed)
            .map(|job| job.number)
            .collect();
        for number in due {
            self.open_job_steps(now, number);
        }
    }

    /// Opens the steps of a job whose predecessors are done, and ends the job if all its steps are done.
    pub(crate) fn open_job_steps(&mut self, now: Millis, number: JobNumber) {
        let recovery = self.recovery.as_ref();
        let unsettled = recovery.is_some();
        let fresh = recovery.is_some_and(|recovery| now < recovery.new_jobs_wait_until);
        let wall_ms = self.wall_ms;
        let Some(job) = self.jobs.get_mut(&number) else {
            return;
        };
        if job.spec.repeat.is_none() || wall_ms > 0 {
            job.add_due_repetitions(wall_ms);
        }
        let unfound = unsettled && (job.inherited || fresh);
        let opened = job.open_steps(now, unfound);
        let repetitions_before = job.repetitions_done;
        let is_done = job.drop_done_repetitions();
        if job.is_paged() && job.repetitions_done > repetitions_before {
            let finished = job.take_finished_pages();
            self.obsolete_pages.add_unwritten(number, finished);
            self.mark_row_dirty(number);
        }
        if is_done {
            self.finish_job(now, number, JobStage::Completed);
            return;
        }
        if !unfound {
            for key in opened {
                self.enqueue(now, key);
            }
        }
    }

    /// Cancels a job and stops its running tasks. The number of an unknown job counts as that of a finished one from now on, and its
    /// cancellation is removed when the rows of a finished job would be.
    pub(crate) fn cancel_job(&mut self, now: Millis, number: JobNumber) {
        if self.jobs.contains_key(&number) {
            self.finish_job(now, number, JobStage::Cancelled);
        } else if self.finished.insert(number) {
            self.finished_at.push_back((now, number));
        }
    }

    /// Ends a job: its final state is written and its running tasks are stopped.
    pub(crate) fn finish_job(&mut self, now: Millis, number: JobNumber, stage: JobStage) {
        let Some(mut job) = self.jobs.remove(&number) else {
            return;
        };
        job.stage = stage;
        self.crashes.forget_job(number);
        self.release_held(number);
        self.keep_ended_sizes(now, number, &job.spec);
        self.finished.insert(number);
        self.finished_at.push_back((now, number));
        self.final_rows.insert(number, job.progress_row());
        if job.has_waiting_task() {
            self.remove_waiting(|wait| wait.task.job == number);
            self.delayed.retain(|(_, key)| key.job != number);
        }
        for (worker, run) in job.live_runs() {
            self.stop_run(now, &worker, run, StopCause::JobOver);
        }
        self.obsolete_pages
            .add_unwritten(number, job.take_stored_pages());
        self.mark_row_dirty(number);
        self.urgent = true;
        let objective_ms = objective_ms(&job.spec);
        let took_ms = (now + objective_ms).saturating_sub(job.due.objective_at);
        let completed = stage == JobStage::Completed;
        self.load_meter
            .note_ended(number, completed, took_ms, objective_ms);
        self.note(JobNote::JobFinished {
            job: number,
            state: stage,
            took_ms,
            objective_ms,
            queue: job.spec.queue,
        });
    }

    /// Adds a worker that an earlier owner gave orders to, and waits for its answer.
    pub(crate) fn expect_worker(
        &mut self,
        now: Millis,
        worker: WorkerId,
        address: SocketAddr,
        named: Option<IncarnationState>,
    ) {
        let entry = WorkerListing {
            worker: worker.clone(),
            incarnation: None,
            service: String::new(),
            address,
            hall: HallId::from(""),
            rack: None,
            labels: Vec::new(),
            capacity: ResourceSize::default(),
            draining: false,
        };
        let silence_record = self.silence_records.state_of(&worker);
        let mut state = WorkerState::new(entry, now, silence_record);
        state.expected = true;
        state.published = true;
        state.incarnation = named.unwrap_or_default();
        let other_until = state.incarnation.other_leases_until();
        self.workers.insert(worker.clone(), state);
        self.worker_order = None;
        self.schedule_renewal(&worker, now);
        self.roster.restore(&worker);
        self.unlisted.insert(worker.clone());
        if let Some(recovery) = &mut self.recovery {
            let over_at = recovery.until.max(other_until);
            recovery.unanswered.insert(worker, over_at);
        }
    }

    /// Stops the standing tasks of draining workers, so that they start again on other workers.
    ///
    /// This check is repeated, not done only when a list first shows the worker as draining: a new owner reads that list before it
    /// knows what runs there, and a start order may still be on its way. Tasks that were not moved did not run for a whole lease
    /// after their worker had left, 10 s instead of the promised 9 s.
    pub(crate) fn move_standing_tasks(&mut self, now: Millis) {
        let mut moved = Vec::new();
        for (id, worker) in self
            .workers
            .iter()
            .filter(|(_, worker)| worker.entry.draining && !worker.entry_incarnation_differs())
        {
            let standing = worker.runs.iter();
            let standing = standing.filter(|(_, run)| run.standing && !run.phase.is_stopping());
            moved.extend(standing.map(|(key, _)| (id.clone(), *key)));
        }
        for (worker, key) in moved {
            if self.must_await_preemption(now, &key) {
                continue;
            }
            self.stop_run(now, &worker, key, StopCause::Draining);
        }
    }
}
