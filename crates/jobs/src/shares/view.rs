//! Builds the views of the decisions on filling jobs.

use std::collections::BTreeMap;

use sandshelf_model::Millis;

use super::capacity::{CapacityView, FillWorkerView, HeadroomView, POINTS, POINT_MS};
use super::commitments::DueWork;
use crate::due::CompletionValue;
use crate::ids::{RunKey, TaskKey};
use crate::images::ImageId;
use crate::interference::target_load;
use crate::job::{JobState, TaskStage};
use crate::rank::COUNTED_REMAINING_PERCENT;
use crate::scheduler::JobScheduler;
use crate::stage::JobStage;
use crate::worker::WorkerState;

/// The smallest mean coefficient from which a capacity is computed.
const MIN_COEFFICIENT: f64 = 0.1;
/// A begun job is to end within this multiple of the time that it needs at full pace, so that few jobs run beside each other.
pub(super) const SPAN_PERCENT: Millis = 120;

/// The filling images of a service.
#[derive(Clone, Debug, Default)]
struct FillingMix {
    /// Weighted by the processors of their tasks.
    images: BTreeMap<ImageId, f64>,
    total: f64,
    /// The memory of the tasks, in MiB for each thousandth of a core.
    memory_per_cpu: f64,
}

/// Whether a job has filling tasks.
pub(super) fn is_filling(job: &JobState) -> bool {
    job.spec.steps.iter().any(|step| step.fills)
}

/// When a job should end that runs from now on and has to be done by `due_at`, at `percent` of the time that it needs at full pace.
pub(super) fn span_end(now: Millis, job: &JobState, due_at: Millis, percent: Millis) -> Millis {
    due_at.min(now + job.remaining_ms() * percent / 100)
}

/// The work of a job's filling tasks that are not done, less what `percent_of` says of running ones, in thousandths of a core times
/// milliseconds.
pub(super) fn remaining_work(job: &JobState, percent_of: impl Fn(&TaskKey) -> u32) -> f64 {
    let mut work = 0.0;
    for (time, state) in &job.repetitions {
        for (index, (spec, step)) in job.spec.steps.iter().zip(&state.steps).enumerate() {
            if !spec.fills {
                continue;
            }
            let of_task = (spec.size.cpu_millis * spec.estimate_ms) as f64;
            work += of_task * (step.tasks.len() - step.done) as f64;
            let tasks = step.tasks.iter().enumerate();
            for (place, _) in tasks.filter(|(_, task)| is_live(&task.stage)) {
                let key = TaskKey {
                    job: job.number,
                    time: *time,
                    step: index as u32,
                    index: place as u32,
                };
                work -= of_task * f64::from(percent_of(&key)) / 100.0;
            }
        }
    }
    work
}

fn is_live(stage: &TaskStage) -> bool {
    matches!(stage, TaskStage::Live { .. })
}

fn fill_worker_view(state: &WorkerState, memory_per_cpu: f64) -> FillWorkerView {
    let mut view = FillWorkerView {
        steps: Default::default(),
        capacity_cpu_millis: state.entry.capacity.cpu_millis as f64,
        usable_cpu_millis: 0.0,
        used_cpu_millis: 0.0,
        is_full: false,
    };
    let mut memory = state.free().memory_mib;
    for (_, record) in state.filling_runs() {
        memory += record.room.memory_mib;
        view.used_cpu_millis += record.gauge.unwrap_or(0) as f64 / record.use_ratio.unwrap_or(1.0);
        view.is_full |= record.pace < 100;
    }
    // Where no filling task makes progress, such as on a worker that stalls, nothing is learnt of what filling tasks can use.
    view.is_full &= view.used_cpu_millis > 0.0;
    let unreserved = view.capacity_cpu_millis - state.ordinary_cpu() as f64;
    let for_memory = memory as f64 / memory_per_cpu.max(f64::MIN_POSITIVE);
    view.usable_cpu_millis = unreserved.min(for_memory).max(0.0);
    view
}

impl JobScheduler {
    /// The work of the begun filling jobs that can still end with some value.
    pub(super) fn begun_work(&self, now: Millis, service: &str) -> Vec<DueWork> {
        let begun = self.filling_jobs(service);
        let begun = begun.filter(|job| job.stage == JobStage::Running);
        let due = begun.filter_map(|job| {
            let needs = job.remaining_ms() * COUNTED_REMAINING_PERCENT / 100;
            let due_at = match job.due.value_at(now + needs) {
                CompletionValue::Full => job.due.objective_at,
                CompletionValue::Reduced => job.due.useless_at,
                CompletionValue::Zero => return None,
            };
            Some(DueWork {
                due_at: span_end(now, job, due_at, SPAN_PERCENT),
                work: remaining_work(job, |key| self.done_percent(job, key)),
            })
        });
        due.collect()
    }

    fn filling_jobs<'a>(&'a self, service: &'a str) -> impl Iterator<Item = &'a JobState> {
        let jobs = self.jobs.values().filter(|job| is_filling(job));
        jobs.filter(move |job| self.rules(&job.spec).service == service)
    }

    /// How much of its work a running task has done, in percent.
    fn done_percent(&self, job: &JobState, key: &TaskKey) -> u32 {
        let Some(TaskStage::Live { worker, run }) = job.task(key).map(|task| &task.stage) else {
            return 0;
        };
        let run = RunKey {
            task: *key,
            run: *run,
        };
        let state = self.workers.get(worker);
        let record = state.and_then(|state| state.runs.get(&run));
        record.map_or(0, |record| record.percent.min(100))
    }

    /// What the capacity forecast of a service depends on.
    pub(super) fn capacity_view(&self, now: Millis, service: &str) -> CapacityView {
        let mix = self.filling_mix(service);
        let mut view = CapacityView::default();
        let mut places: BTreeMap<TaskKey, usize> = BTreeMap::new();
        let workers = self.workers.values();
        let open = workers.filter(|state| state.entry.service == service && state.is_open(now));
        for state in open {
            let mut worker = fill_worker_view(state, mix.memory_per_cpu);
            for (key, record) in state.runs.iter().filter(|(_, run)| run.target_ms > 0) {
                let step = key.task.first_of_step();
                let place = *places.entry(step).or_insert_with(|| {
                    let headroom = self.headroom_view(now, &step, record.image, &mix);
                    view.steps.push(headroom);
                    view.steps.len() - 1
                });
                if !worker.steps.contains(&place) {
                    worker.steps.push(place);
                }
            }
            view.workers.push(worker);
        }
        view
    }

    fn headroom_view(
        &self,
        now: Millis,
        step: &TaskKey,
        image: ImageId,
        mix: &FillingMix,
    ) -> HeadroomView {
        let mut allowed_increase = [0.0; POINTS];
        for (point, allowed) in allowed_increase.iter_mut().enumerate() {
            let at = now + POINT_MS * point as Millis;
            let load = self.load_history.forecast(step, at).load;
            *allowed = (target_load() / load - 1.0).max(0.0);
        }
        let images = mix.images.iter();
        let weighted =
            images.map(|(filling, weight)| self.interference.coefficient(image, *filling) * weight);
        let coefficient = weighted.sum::<f64>() / mix.total.max(1.0);
        HeadroomView {
            allowed_increase,
            coefficient: coefficient.max(MIN_COEFFICIENT),
        }
    }

    fn filling_mix(&self, service: &str) -> FillingMix {
        let mut mix = FillingMix::default();
        let mut memory = 0.0;
        for job in self.filling_jobs(service) {
            for step in job.spec.steps.iter().filter(|step| step.fills) {
                let count = u64::from(step.count);
                let weight = (step.size.cpu_millis * count) as f64;
                let image = self.images.get(&step.image);
                *mix.images.entry(image).or_default() += weight;
                mix.total += weight;
                memory += (step.size.memory_mib * count) as f64;
            }
        }
        mix.memory_per_cpu = memory / mix.total.max(1.0);
        mix
    }
}
