//! Converts the state of jobs to their stored progress and back.

use sandshelf_model::Millis;

use crate::dirty::ProgressPart;
use crate::ids::{JobNumber, TaskKey};
use crate::job::{JobState, RepetitionState, StepState, TaskStage, TaskState};
use crate::limits::MAX_LISTED_FAILURES;
use crate::progress::{ProgressRow, TaskProgress};
use crate::progress_page::{PageKey, ProgressPage, StoredProgress, TASKS_PER_PAGE};
use crate::scheduler::JobScheduler;

/// Stands for a failed run whose number is not stored any more. Runs are numbered from 1.
const UNLISTED_RUN: u64 = 0;

impl JobState {
    /// Whether the progress of its tasks is stored in pages.
    pub(crate) fn is_paged(&self) -> bool {
        self.spec.task_count_over_all_times() > u64::from(TASKS_PER_PAGE)
    }

    /// The part of its progress that a task belongs to.
    pub(crate) fn part_of(&self, task: &TaskKey) -> ProgressPart {
        match self.is_paged() {
            true => ProgressPart::Page(PageKey::of(task)),
            false => ProgressPart::Row(self.number),
        }
    }

    /// The row of its progress, with the tasks of a small job.
    pub(crate) fn progress_row(&self) -> ProgressRow {
        let listed = !self.is_paged() && !self.stage.is_final();
        let times = self.repetitions.iter().filter(|_| listed);
        let steps = times.flat_map(|(time, state)| {
            let steps = state.steps.iter().enumerate();
            steps.map(|(step, state)| (*time, step as u32, state))
        });
        let tasks = steps.flat_map(|(time, step, state)| stored_tasks(time, step, 0, &state.tasks));
        ProgressRow {
            stage: self.stage,
            queue: self.spec.queue.clone(),
            times_done: self.repetitions_done,
            tasks: tasks.collect(),
        }
    }

    /// A page of its progress; none if the repetition is finished.
    pub(crate) fn progress_page(&self, key: &PageKey) -> Option<ProgressPage> {
        let state = self.repetitions.get(&key.time)?;
        let tasks = &state.steps.get(key.step as usize)?.tasks;
        let first = key.first_index();
        let after = first.saturating_add(TASKS_PER_PAGE).min(tasks.len() as u32);
        let tasks = tasks.get(first as usize..after as usize)?;
        Some(ProgressPage::new(stored_tasks(
            key.time, key.step, first, tasks,
        )))
    }

    /// Restores what the row of the job says that an earlier owner stored.
    fn restore_row(&mut self, row: &ProgressRow) {
        self.stage = row.stage;
        self.repetitions_done = row.times_done;
        self.next_repetition = row.times_done;
        self.recorded = true;
    }

    /// Restores tasks that an earlier owner stored.
    fn restore_tasks<'a>(&mut self, tasks: impl IntoIterator<Item = &'a TaskProgress>) {
        for task in tasks {
            let fresh = || RepetitionState::new(&self.spec);
            let time = self.repetitions.entry(task.time).or_insert_with(fresh);
            self.next_repetition = self.next_repetition.max(task.time.saturating_add(1));
            if let Some(step) = time.steps.get_mut(task.step as usize) {
                restore_task(step, task);
            }
        }
    }

    /// Removes and returns the stored pages of finished repetitions.
    pub(crate) fn take_finished_pages(&mut self) -> Vec<PageKey> {
        let done = self.repetitions_done;
        let finished = self.stored_pages.extract_if(.., |page| page.time < done);
        finished.collect()
    }

    /// Removes and returns all its stored pages.
    pub(crate) fn take_stored_pages(&mut self) -> Vec<PageKey> {
        std::mem::take(&mut self.stored_pages).into_iter().collect()
    }
}

/// Restores a task of a step.
fn restore_task(step: &mut StepState, stored: &TaskProgress) {
    let Some(task) = step.tasks.get_mut(stored.index as usize) else {
        return;
    };
    task.failed_runs = vec![UNLISTED_RUN; stored.earlier_failures as usize];
    task.failed_runs.extend_from_slice(&stored.failed_runs);
    task.checkpoint = stored.checkpoint.clone();
    task.crashes = stored.crashes.clone();
    if stored.done && task.stage != TaskStage::Done {
        task.stage = TaskStage::Done;
        step.done += 1;
    }
}

/// The progress of consecutive tasks of a step, without those that don't differ from a new one.
fn stored_tasks(
    time: u32,
    step: u32,
    first: u32,
    tasks: &[TaskState],
) -> impl Iterator<Item = TaskProgress> + '_ {
    let kept = (first..).zip(tasks).filter(|(_, task)| !task.is_new());
    kept.map(move |(index, task)| {
        let done = task.stage == TaskStage::Done;
        let unlisted = task.failed_runs.len().saturating_sub(MAX_LISTED_FAILURES);
        TaskProgress {
            time,
            step,
            index,
            done,
            earlier_failures: unlisted as u32,
            failed_runs: task.failed_runs[unlisted..].to_vec(),
            checkpoint: task.checkpoint.clone().filter(|_| !done),
            crashes: task.crashes.clone(),
        }
    })
}

impl JobScheduler {
    /// Takes over the progress that earlier owners stored. Pages without a row are of a job that was removed: an owner of an earlier
    /// version may have left them.
    pub(crate) fn inherit_progress(&mut self, progress: StoredProgress) {
        let StoredProgress { rows, pages } = &progress;
        let orphans = pages.keys().filter(|page| !rows.contains_key(&page.job));
        let orphans: Vec<PageKey> = orphans.copied().collect();
        self.inherited_progress = progress;
        for page in &orphans {
            self.inherited_progress.pages.remove(page);
        }
        self.obsolete_pages.add_removable(orphans);
    }

    /// Handles a job that ended under an earlier owner.
    pub(crate) fn inherit_finished(&mut self, now: Millis, number: JobNumber) {
        let pages = self.inherited_progress.take_pages(number);
        self.obsolete_pages.add_removable(pages.into_keys());
        self.finished.insert(number);
        self.finished_at.push_back((now, number));
    }

    /// Restores a job that has not ended from its row and pages.
    pub(crate) fn restore_job(&mut self, job: &mut JobState, row: &ProgressRow) {
        let pages = self.inherited_progress.take_pages(job.number);
        job.restore_row(row);
        let stored_in_row = row.tasks.iter();
        let stored_in_row =
            stored_in_row.filter(|task| !pages.contains_key(&task.page_of(job.number)));
        let stored_in_row: Vec<TaskProgress> = stored_in_row.cloned().collect();
        job.restore_tasks(&stored_in_row);
        if job.is_paged() && !row.tasks.is_empty() {
            self.rewrite_in_pages(job.number, &stored_in_row);
        }
        for (key, page) in pages {
            match key.time < row.times_done {
                true => self.obsolete_pages.add_removable([key]),
                false => {
                    job.restore_tasks(&page.tasks(&key));
                    job.stored_pages.insert(key);
                }
            }
        }
        for task in job.crashed_tasks() {
            self.crashes.note_restored(task);
        }
    }

    /// Marks the pages of tasks as changed that an owner of an earlier version stored in the row of a large job. The row is
    /// written without them after that.
    fn rewrite_in_pages(&mut self, job: JobNumber, tasks: &[TaskProgress]) {
        for task in tasks {
            let page = ProgressPart::Page(task.page_of(job));
            self.dirty.add(self.last_tick, page);
        }
        self.dirty.add(self.last_tick, ProgressPart::Row(job));
    }

    /// Marks a job's row as changed, to be written with a later commit.
    pub(crate) fn mark_row_dirty(&mut self, number: JobNumber) {
        if let Some(job) = self.jobs.get_mut(&number) {
            job.recorded = true;
        }
        self.dirty.add(self.last_tick, ProgressPart::Row(number));
    }

    /// Marks the progress of a task as changed, to be written with a later commit.
    pub(crate) fn mark_task_dirty(&mut self, task: &TaskKey) {
        let Some(job) = self.jobs.get_mut(&task.job) else {
            return;
        };
        let part = job.part_of(task);
        if !std::mem::replace(&mut job.recorded, true) {
            self.dirty.add(self.last_tick, ProgressPart::Row(task.job));
        }
        self.dirty.add(self.last_tick, part);
    }

    /// Marks the progress of a task that is done as changed, with a gang that of all its members.
    pub(crate) fn mark_done_dirty(&mut self, task: &TaskKey, gang: bool) {
        if !gang {
            return self.mark_task_dirty(task);
        }
        let step = self.jobs.get(&task.job).and_then(|job| job.step(task));
        let members = step.map_or(0, |step| step.tasks.len() as u32);
        for index in (0..members).step_by(TASKS_PER_PAGE as usize) {
            self.mark_task_dirty(&TaskKey { index, ..*task });
        }
    }
}
