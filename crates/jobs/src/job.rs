//! The state of one job: its repetitions, steps and tasks.

use std::collections::{BTreeMap, BTreeSet};

use sandshelf_model::{Millis, WorkerId};

use crate::copies::{CopyRun, DoneTimes, RestartHistory};
use crate::crash::CrashRecord;
use crate::due::{DueTimes, TaskChain};
use crate::ids::{JobNumber, TaskKey};
use crate::progress_page::PageKey;
use crate::spec::{JobSpec, QueueRules, StepSpec, MAX_JOB_TASKS};
use crate::stage::JobStage;

/// The stage of a task.
#[derive(Clone, Debug, PartialEq)]
pub(crate) enum TaskStage {
    /// Earlier steps are not done yet.
    Blocked,
    /// An earlier owner may have started it on a worker that has not reported yet.
    Unfound,
    /// It waits to be started on a worker.
    Waiting,
    /// A run of it was ordered and may be running.
    Live { worker: WorkerId, run: u64 },
    /// It is done.
    Done,
}

/// The state of one task.
#[derive(Clone, Debug)]
pub(crate) struct TaskState {
    pub(crate) stage: TaskStage,
    /// The numbers of the runs that failed.
    pub(crate) failed_runs: Vec<u64>,
    pub(crate) checkpoint: Option<String>,
    pub(crate) waiting_since: Millis,
    pub(crate) not_before: Millis,
    pub(crate) last_worker: Option<WorkerId>,
    /// The number of runs that this owner has ordered.
    pub(crate) runs: u64,
    /// Runs that were given up without a reported end; an end that is reported later is ignored.
    pub(crate) given_up: Vec<u64>,
    /// The newest run whose end was processed.
    pub(crate) last_ended: u64,
    /// The crashes of its workers that it may have caused.
    pub(crate) crashes: CrashRecord,
    /// The second run beside the one in `stage`, if any.
    pub(crate) copy: Option<CopyRun>,
    pub(crate) restarts: RestartHistory,
}

impl TaskStage {
    /// Whether this run may be running.
    pub(crate) fn is_run(&self, wanted: u64) -> bool {
        matches!(self, TaskStage::Live { run, .. } if *run == wanted)
    }
}

impl TaskState {
    fn new() -> Self {
        Self {
            stage: TaskStage::Blocked,
            failed_runs: Vec::new(),
            checkpoint: None,
            waiting_since: 0,
            not_before: 0,
            last_worker: None,
            runs: 0,
            given_up: Vec::new(),
            last_ended: 0,
            crashes: CrashRecord::default(),
            copy: None,
            restarts: RestartHistory::default(),
        }
    }

    pub(crate) fn is_new(&self) -> bool {
        let unfailed = self.failed_runs.is_empty() && self.crashes.is_empty();
        self.stage != TaskStage::Done && unfailed && self.checkpoint.is_none()
    }
}

/// The state of the tasks of one step in one repetition.
#[derive(Clone, Debug)]
pub(crate) struct StepState {
    pub(crate) tasks: Vec<TaskState>,
    pub(crate) done: usize,
    pub(crate) open: bool,
    pub(crate) done_times: DoneTimes,
}

impl StepState {
    /// Whether a task, or any member of its gang, waits for a worker.
    pub(crate) fn waits(&self, index: u32, gang: bool) -> bool {
        let mut tasks = self.tasks.iter().enumerate();
        tasks.any(|(place, task)| {
            task.stage == TaskStage::Waiting && (gang || place == index as usize)
        })
    }
}

/// The state of one repetition of a job.
#[derive(Clone, Debug)]
pub(crate) struct RepetitionState {
    pub(crate) steps: Vec<StepState>,
}

impl RepetitionState {
    pub(crate) fn new(spec: &JobSpec) -> Self {
        let steps = spec.steps.iter().map(|step| StepState {
            tasks: vec![TaskState::new(); step.count as usize],
            done: 0,
            open: false,
            done_times: DoneTimes::default(),
        });
        Self {
            steps: steps.collect(),
        }
    }

    fn is_done(&self) -> bool {
        self.steps.iter().all(|step| step.done == step.tasks.len())
    }

    fn is_ready(&self, step: &StepSpec) -> bool {
        let done = |after: &usize| self.steps[*after].done == self.steps[*after].tasks.len();
        step.after.iter().all(done)
    }
}

/// The state of a job that has not ended.
#[derive(Clone, Debug)]
pub(crate) struct JobState {
    pub(crate) number: JobNumber,
    pub(crate) spec: JobSpec,
    pub(crate) stage: JobStage,
    /// When the job should be done, and from when on its end has no value.
    pub(crate) due: DueTimes,
    pub(crate) repetitions: BTreeMap<u32, RepetitionState>,
    pub(crate) repetitions_done: u32,
    pub(crate) next_repetition: u32,
    /// Whether an earlier owner may have started tasks of it.
    pub(crate) inherited: bool,
    /// Whether its row is stored, or waits to be written.
    pub(crate) recorded: bool,
    /// The pages of its progress that are stored, or are being written.
    pub(crate) stored_pages: BTreeSet<PageKey>,
}

impl JobState {
    pub(crate) fn new(
        number: JobNumber,
        spec: JobSpec,
        now: Millis,
        age: Millis,
        inherited: bool,
    ) -> Self {
        let due = DueTimes::new(now, age, objective_ms(&spec));
        Self {
            number,
            spec,
            stage: JobStage::Queued,
            due,
            repetitions: BTreeMap::new(),
            repetitions_done: 0,
            next_repetition: 0,
            inherited,
            recorded: false,
            stored_pages: BTreeSet::new(),
        }
    }

    /// The total number of repetitions.
    pub(crate) fn repetition_count(&self) -> u32 {
        self.spec.repeat.map_or(1, |repeat| repeat.count.max(1))
    }

    /// Adds the repetitions that are due by `wall_ms`, in milliseconds since 1970.
    pub(crate) fn add_due_repetitions(&mut self, wall_ms: u64) {
        while self.next_repetition < self.repetition_count() && self.has_room_for_repetition() {
            let due = self
                .spec
                .repeat
                .map(|rule| rule.due_ms(self.next_repetition));
            if due.is_some_and(|due| due > wall_ms) {
                return;
            }
            let fresh = || RepetitionState::new(&self.spec);
            self.repetitions
                .entry(self.next_repetition)
                .or_insert_with(fresh);
            self.next_repetition += 1;
        }
    }

    /// Whether another repetition may be opened. However many are due at once, their tasks have to fit into the owner's memory.
    fn has_room_for_repetition(&self) -> bool {
        let open = self.repetitions.len() as u64;
        open == 0 || (open + 1) * self.spec.task_count() <= MAX_JOB_TASKS
    }

    /// Opens the steps whose predecessors are done. Returns their tasks that are not done; these become `Unfound` if `unfound` is set,
    /// else `Waiting`.
    pub(crate) fn open_steps(&mut self, now: Millis, unfound: bool) -> Vec<TaskKey> {
        let mut opened = Vec::new();
        for (time, state) in &mut self.repetitions {
            for step in 0..state.steps.len() {
                if state.steps[step].open || !state.is_ready(&self.spec.steps[step]) {
                    continue;
                }
                state.steps[step].open = true;
                for (index, task) in state.steps[step].tasks.iter_mut().enumerate() {
                    if task.stage != TaskStage::Blocked {
                        continue;
                    }
                    task.waiting_since = now;
                    task.stage = if unfound {
                        TaskStage::Unfound
                    } else {
                        TaskStage::Waiting
                    };
                    opened.push(TaskKey {
                        job: self.number,
                        time: *time,
                        step: step as u32,
                        index: index as u32,
                    });
                }
            }
        }
        opened
    }

    /// Drops finished repetitions, starting with the first. Returns whether the whole job is done.
    pub(crate) fn drop_done_repetitions(&mut self) -> bool {
        while self
            .repetitions
            .get(&self.repetitions_done)
            .is_some_and(RepetitionState::is_done)
        {
            self.repetitions.remove(&self.repetitions_done);
            self.repetitions_done += 1;
        }
        self.repetitions_done == self.repetition_count()
    }

    pub(crate) fn step(&self, key: &TaskKey) -> Option<&StepState> {
        self.repetitions
            .get(&key.time)?
            .steps
            .get(key.step as usize)
    }

    pub(crate) fn step_mut(&mut self, key: &TaskKey) -> Option<&mut StepState> {
        let time = self.repetitions.get_mut(&key.time)?;
        time.steps.get_mut(key.step as usize)
    }

    pub(crate) fn task(&self, key: &TaskKey) -> Option<&TaskState> {
        self.step(key)?.tasks.get(key.index as usize)
    }

    pub(crate) fn task_mut(&mut self, key: &TaskKey) -> Option<&mut TaskState> {
        self.step_mut(key)?.tasks.get_mut(key.index as usize)
    }

    pub(crate) fn step_spec(&self, key: &TaskKey) -> Option<&StepSpec> {
        self.spec.steps.get(key.step as usize)
    }

    /// The key under which a task waits: a gang waits as a whole, under the key of its first task.
    pub(crate) fn queued_as(&self, key: &TaskKey) -> TaskKey {
        let gang = self.step_spec(key).is_some_and(|step| step.gang);
        match gang {
            true => key.first_of_step(),
            false => *key,
        }
    }

    /// The earliest time at which a task, or its whole gang, may be started.
    pub(crate) fn not_before(&self, key: &TaskKey) -> Millis {
        let Some(step) = self.step(key) else {
            return 0;
        };
        let gang = self.step_spec(key).is_some_and(|step| step.gang);
        let members = step.tasks.iter().enumerate();
        let members = members.filter(|(index, _)| gang || *index == key.index as usize);
        members.map(|(_, task)| task.not_before).max().unwrap_or(0)
    }
}

/// How long a job may take by its queue's rules: a multiple of its longest chain of estimated task times, plus a latency.
pub(crate) fn objective_ms(spec: &JobSpec) -> Millis {
    let QueueRules {
        stretch,
        target_latency_ms,
        ..
    } = &spec.rules;
    (longest_chain_ms(spec) as f64 * stretch) as Millis + target_latency_ms
}

/// The estimated time of a job's longest chain of steps, in milliseconds.
pub(crate) fn longest_chain_ms(spec: &JobSpec) -> Millis {
    let mut chains = vec![0u64; spec.steps.len()];
    for (index, step) in spec.steps.iter().enumerate() {
        let before = step.after.iter().map(|after| chains[*after]).max();
        chains[index] = before.unwrap_or(0) + step.estimate_ms;
    }
    chains.into_iter().max().unwrap_or(0)
}

impl JobState {
    /// Tasks that an earlier owner may have started and that no worker has reported.
    pub(crate) fn unfound_tasks(&self) -> Vec<TaskKey> {
        self.keys_at(|stage| *stage == TaskStage::Unfound)
    }

    /// Tasks with recorded crashes of their workers.
    pub(crate) fn crashed_tasks(&self) -> Vec<TaskKey> {
        self.keys_where(|task| !task.crashes.is_empty())
    }

    /// Tasks with a run that may be running.
    pub(crate) fn live_tasks(&self) -> Vec<TaskKey> {
        self.keys_at(|stage| matches!(stage, TaskStage::Live { .. }))
    }

    /// Whether any task of the job waits for a worker.
    pub(crate) fn has_waiting_task(&self) -> bool {
        !self
            .keys_at(|stage| *stage == TaskStage::Waiting)
            .is_empty()
    }

    /// Whether any task of the job has a run that may be running.
    pub(crate) fn has_live_task(&self) -> bool {
        let tasks = self.repetitions.values().flat_map(|time| &time.steps);
        let mut tasks = tasks.flat_map(|step| &step.tasks);
        tasks.any(|task| matches!(task.stage, TaskStage::Live { .. }))
    }

    /// The estimated time of the longest chain of unfinished steps of the first unfinished repetition.
    pub(crate) fn remaining_ms(&self) -> Millis {
        let Some(time) = self.repetitions.values().next() else {
            return 0;
        };
        let mut chains = vec![0u64; self.spec.steps.len()];
        for (index, step) in self.spec.steps.iter().enumerate() {
            let state = &time.steps[index];
            let own = if state.done == state.tasks.len() {
                0
            } else {
                step.estimate_ms
            };
            let before = step.after.iter().map(|after| chains[*after]).max();
            chains[index] = before.unwrap_or(0) + own;
        }
        chains.into_iter().max().unwrap_or(0)
    }

    /// The estimated times of a task, and of the longest chain of steps that wait for it.
    pub(crate) fn chain_from(&self, task: &TaskKey) -> TaskChain {
        let own = task.step as usize;
        let Some(step) = self.spec.steps.get(own) else {
            return TaskChain::default();
        };
        // None for steps that don't wait for the task; steps only wait for earlier ones.
        let mut chains: Vec<Option<Millis>> = vec![None; self.spec.steps.len()];
        chains[own] = Some(0);
        for (index, later) in self.spec.steps.iter().enumerate().skip(own + 1) {
            let before = later.after.iter().filter_map(|after| chains[*after]).max();
            chains[index] = before.map(|before| before + later.estimate_ms);
        }
        TaskChain {
            own_ms: step.estimate_ms,
            after_ms: chains.into_iter().flatten().max().unwrap_or(0),
        }
    }

    fn keys_at(&self, wanted: impl Fn(&TaskStage) -> bool) -> Vec<TaskKey> {
        self.keys_where(|task| wanted(&task.stage))
    }

    fn keys_where(&self, wanted: impl Fn(&TaskState) -> bool) -> Vec<TaskKey> {
        let mut keys = Vec::new();
        for (time, state) in &self.repetitions {
            for (step, step_state) in state.steps.iter().enumerate() {
                for (index, task) in step_state.tasks.iter().enumerate() {
                    if wanted(task) {
                        keys.push(TaskKey {
                            job: self.number,
                            time: *time,
                            step: step as u32,
                            index: index as u32,
                        });
                    }
                }
            }
        }
        keys
    }
}
