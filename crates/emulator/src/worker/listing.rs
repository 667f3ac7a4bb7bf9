//! What a worker lists of its runs, and the tail latencies of its serving tasks.

use sandshelf_jobs::{JobEvent, RenewalAnswer, RenewalReport, RunKey, RunReport, TaskKey};

use super::EmulatedWorker;
use crate::interference::InterferenceModel;
use crate::oracle::TailState;
use crate::queue::{Micros, MS};

impl EmulatedWorker {
    /// The images of the filling runs, each with the share of all processors that it uses.
    fn filling(&self) -> Vec<(usize, f64)> {
        let whole = self.capacity.cpu_millis as f64 * 1_000.0;
        let runs = self.runs.values();
        let used = runs.filter_map(|run| {
            let used = (run.facts.cpu_millis * run.speed) as f64 / whole;
            Some((run.facts.fills?, used))
        });
        used.collect()
    }

    /// The standing tasks that are at work here.
    pub fn standing_at_work(&self, now: Micros) -> impl Iterator<Item = TaskKey> + '_ {
        let runs = self.runs.iter().filter(move |(_, run)| {
            let at_work = run.is_at_work(now, self.progress);
            run.facts.standing && at_work
        });
        runs.map(|(task, _)| *task)
    }

    /// The serving tasks that are at work here, each with its tail latency compared with its target.
    pub fn serving_tails(
        &self,
        now: Micros,
        interference: &InterferenceModel,
    ) -> Vec<(TaskKey, TailState)> {
        let filling = self.filling();
        let runs = self
            .runs
            .iter()
            .filter(|(_, run)| run.is_at_work(now, self.progress));
        let tasks = runs.filter_map(|(task, run)| {
            let serving = run.facts.serving.as_ref()?;
            let is_over = |filling: &[(usize, f64)]| {
                interference.tail_ms(serving, now / MS, filling) > serving.target_ms as f64
            };
            let state = match is_over(&filling) {
                false => TailState::OnTarget,
                true if is_over(&[]) => TailState::OverAlone,
                true => TailState::OverByFilling,
            };
            Some((*task, state))
        });
        tasks.collect()
    }

    /// Reports the current runs and the ended runs that are not yet acknowledged.
    pub fn report(&self, now: Micros, interference: &InterferenceModel) -> JobEvent {
        let filling = self.filling();
        let running = self.runs.iter().map(|(task, run)| {
            let serving = run.facts.serving.as_ref();
            let tail = serving.map(|task| interference.tail_ms(task, now / MS, &filling) as u64);
            let used = run.facts.cpu_millis * run.speed / 1_000;
            let total = (run.facts.work_ms * MS).max(1);
            let percent = match run.facts.standing {
                true => u64::from(run.is_at_work(now, self.progress)) * 100,
                false => (total.saturating_sub(run.left)) * 99 / total,
            };
            RunReport {
                key: RunKey {
                    task: *task,
                    run: run.run,
                },
                checkpoint: run.checkpoint(),
                percent: percent as u32,
                gauge: Some(tail.unwrap_or(used)),
            }
        });
        let report = RenewalReport {
            incarnation: Some(self.incarnation_clock.incarnation),
            carrier_late_ms: 0,
            clock: self.clock(now),
            running: running.collect(),
            ended: self.ended.iter().map(|(_, end)| end.clone()).collect(),
        };
        JobEvent::RenewalAnswered(self.id.clone(), RenewalAnswer::Report(report))
    }
}
