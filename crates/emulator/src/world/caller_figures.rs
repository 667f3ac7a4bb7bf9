//! What the callers of each class of jobs get.

use std::fmt;

use super::EmulatedWorld;

/// Until this time a job is of use, in percent of its objective.
const USEFUL_PERCENT: u64 = 300;

/// What the callers of one class of jobs get. Cancelled jobs don't count.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ClassFigures {
    /// The name of the queue.
    pub queue: &'static str,
    /// The submitted jobs.
    pub submitted: usize,
    /// The accepted jobs.
    pub accepted: usize,
    /// The jobs that were completed within their objective.
    pub prompt: usize,
    /// The jobs that were completed while they were of use.
    pub in_time: usize,
    /// The jobs that were completed although no caller was told that they were accepted.
    pub unaccepted: usize,
}

impl fmt::Display for ClassFigures {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self {
            queue,
            submitted,
            accepted,
            prompt,
            in_time,
            ..
        } = self;
        write!(
            formatter,
            "{queue}: {submitted} submitted, {accepted} accepted, {prompt} within their objective, {in_time} while of use"
        )
    }
}

impl EmulatedWorld {
    /// What the callers of each class got; jobs that run until they are cancelled are never completed.
    pub fn caller_figures(&self) -> Vec<ClassFigures> {
        let classes = self.deployment.classes.iter().enumerate();
        let figures = classes.map(|(index, class)| {
            let outcomes: Vec<_> = self.callers.outcomes(index).collect();
            let within = |percent| {
                let took = outcomes.iter().filter_map(|(_, took)| *took);
                took.filter(|took| *took <= percent).count()
            };
            ClassFigures {
                queue: class.queue,
                submitted: outcomes.len(),
                accepted: outcomes.iter().filter(|(accepted, _)| *accepted).count(),
                prompt: within(100),
                in_time: within(USEFUL_PERCENT),
                unaccepted: outcomes
                    .iter()
                    .filter(|(accepted, took)| !accepted && took.is_some())
                    .count(),
            }
        });
        figures.collect()
    }
}
