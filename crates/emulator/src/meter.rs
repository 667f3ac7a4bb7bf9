//! Measures the scheduler's processor time and fits it to a linear cost model, which supplies the constants of `costs`.

use std::time::Duration;

use rustix::time::{clock_gettime, ClockId};
use sandshelf_jobs::{JobAction, JobEvent, RenewalAnswer, WorkerCall};

use crate::costs::{scheduler_us, EventWeight};

/// Terms of the cost model, in the order of `MeasuredStep::counts`.
const TERMS: [&str; 13] = [
    "step",
    "tick",
    "report",
    "run listed",
    "end listed",
    "answer to an order",
    "job listed",
    "list of workers, each",
    "commit",
    "start ordered",
    "other call",
    "pass over waiting tasks",
    "waiting task in a pass",
];

/// The measurement of one scheduler step.
#[derive(Clone, Debug)]
pub struct MeasuredStep {
    /// Number of occurrences of each term.
    counts: [f64; TERMS.len()],
    /// Measured processor time, in microseconds.
    pub took_us: f64,
    /// Processor time by the cost model in `costs`, in microseconds.
    pub costs_us: u64,
}

/// Measures the steps of a scheduler, if switched on.
#[derive(Clone, Debug, Default)]
pub struct SchedulerMeter {
    /// Whether steps are measured.
    pub on: bool,
    /// The measured steps.
    pub steps: Vec<MeasuredStep>,
}

impl SchedulerMeter {
    /// Processor time used by the current thread; 0 if the meter is off.
    pub fn processor_time(&self) -> Duration {
        if !self.on {
            return Duration::ZERO;
        }
        let time = clock_gettime(ClockId::ThreadCPUTime);
        Duration::new(time.tv_sec as u64, time.tv_nsec as u32)
    }

    /// Begins a measurement with the events that a step handles; `None` if the meter is off.
    pub fn begin(&self, events: &[JobEvent]) -> Option<MeasuredStep> {
        if !self.on {
            return None;
        }
        let mut counts = [0.0; TERMS.len()];
        counts[0] = 1.0;
        for event in events {
            match event {
                JobEvent::Tick { .. } => counts[1] += 1.0,
                JobEvent::RenewalAnswered(_, RenewalAnswer::Report(report)) => {
                    counts[2] += 1.0;
                    counts[3] += report.running.len() as f64;
                    counts[4] += report.ended.len() as f64;
                }
                JobEvent::RenewalAnswered(..)
                | JobEvent::StartAnswered(..)
                | JobEvent::StopAnswered(..)
                | JobEvent::PaceAnswered(..) => counts[5] += 1.0,
                JobEvent::JobListed { .. } => counts[6] += 1.0,
                JobEvent::WorkersListed(list) => counts[7] += list.len() as f64,
                JobEvent::Committed(_) => counts[8] += 1.0,
                JobEvent::CancelAsked(_)
                | JobEvent::StoreClock { .. }
                | JobEvent::StateRead { .. }
                | JobEvent::WorkersUnreadable(_)
                | JobEvent::QueuesChanged(_)
                | JobEvent::HallsEvacuated(_)
                | JobEvent::SureUntil(_)
                | JobEvent::OwnershipOverdue(_)
                | JobEvent::WorkersChanged(_) => {}
            }
        }
        Some(MeasuredStep {
            counts,
            took_us: 0.0,
            costs_us: 0,
        })
    }

    /// Completes a measurement with the step's actions and processor time. `pass` is the number of waiting tasks if the step
    /// included a placement pass, else `None`.
    pub fn end(
        &mut self,
        step: Option<MeasuredStep>,
        weights: &[EventWeight],
        actions: &[JobAction],
        pass: Option<usize>,
        took: Duration,
    ) {
        let Some(mut step) = step else {
            return;
        };
        if let Some(waiting) = pass {
            step.counts[11] = 1.0;
            step.counts[12] = waiting as f64;
        }
        for action in actions {
            match action {
                JobAction::Call {
                    call: WorkerCall::Start(_),
                    ..
                } => step.counts[9] += 1.0,
                JobAction::Call { .. } => step.counts[10] += 1.0,
                JobAction::Commit(_) | JobAction::Deposed | JobAction::Note(_) => {}
            }
        }
        step.took_us = took.as_secs_f64() * 1e6;
        step.costs_us = scheduler_us(weights, actions, pass);
        self.steps.push(step);
    }
}

/// Cost of each term in microseconds, by a least-squares fit.
pub fn fit(steps: &[MeasuredStep]) -> Vec<(&'static str, f64)> {
    const COUNT: usize = TERMS.len();
    let mut rows = [[0.0; COUNT + 1]; COUNT];
    for step in steps {
        for (left, row) in rows.iter_mut().enumerate() {
            for (cell, right) in row.iter_mut().zip(step.counts) {
                *cell += step.counts[left] * right;
            }
            row[COUNT] += step.counts[left] * step.took_us;
        }
    }
    for (index, row) in rows.iter_mut().enumerate() {
        // A small ridge term keeps terms that never occurred from making the system singular.
        row[index] += 1e-3;
    }
    for pivot in 0..COUNT {
        let lead = rows[pivot];
        for (index, row) in rows.iter_mut().enumerate() {
            if index != pivot {
                let factor = row[pivot] / lead[pivot];
                for (cell, value) in row.iter_mut().zip(lead) {
                    *cell -= factor * value;
                }
            }
        }
    }
    let solved = rows.iter().enumerate();
    let costs = solved.map(|(index, row)| row[COUNT] / row[index]);
    TERMS.into_iter().zip(costs).collect()
}
