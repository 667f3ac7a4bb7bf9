//! Corrects declared task sizes and run times by what earlier tasks of the same job family used.

use std::collections::HashMap;

use sandshelf_model::{Millis, ResourceSize};

/// Margin that is reserved above the observed peak use, in percent.
const PEAK_MARGIN_PERCENT: u64 = 15;

/// The observed resource use and run times of one family's tasks.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct FamilyUsage {
    /// The largest observed use of one task, in each dimension.
    pub peak: ResourceSize,
    /// Running mean of the run times of finished tasks, in milliseconds.
    pub run_ms: Millis,
    /// Number of tasks that finished.
    pub finished: u64,
}

/// Observed sizes and run times by family; a declared size or run time is used until observations replace or exceed it.
#[derive(Clone, Debug, Default)]
pub struct FamilyHistory {
    usages: HashMap<String, FamilyUsage>,
}

impl FamilyHistory {
    /// Records the resource use of one running task.
    pub fn note_usage(&mut self, family: &str, usage: &ResourceSize) {
        let observed = self.usages.entry(family.to_owned()).or_default();
        observed.peak = observed.peak.max_with(usage);
    }

    /// Records the run time of one finished task, in milliseconds.
    pub fn note_finish(&mut self, family: &str, run_ms: Millis) {
        let observed = self.usages.entry(family.to_owned()).or_default();
        observed.finished += 1;
        let step = observed.finished.min(16) as i128;
        let error = i128::from(run_ms) - i128::from(observed.run_ms);
        observed.run_ms = (i128::from(observed.run_ms) + error / step) as Millis;
    }

    /// Returns the size to reserve for a task: its declared size, or in dimensions where a larger peak was observed, that peak
    /// plus a margin (no margin for accelerators).
    ///
    /// The result is never below the declared size, however low the observed use: a task may still use what it declared.
    pub fn reserve_size(&self, family: &str, declared: &ResourceSize) -> ResourceSize {
        let Some(observed) = self.usages.get(family) else {
            return *declared;
        };
        ResourceSize {
            cpu_millis: correct(declared.cpu_millis, observed.peak.cpu_millis),
            memory_mib: correct(declared.memory_mib, observed.peak.memory_mib),
            accelerators: declared.accelerators.max(observed.peak.accelerators),
        }
    }

    /// Returns the expected run time of a task of `family`, in milliseconds; `declared` until a task of the family has finished.
    pub fn run_time(&self, family: &str, declared: Millis) -> Millis {
        match self.usages.get(family) {
            Some(observed) if observed.finished > 0 => observed.run_ms,
            _ => declared,
        }
    }
}

fn correct(declared: u64, peak: u64) -> u64 {
    if peak <= declared {
        return declared;
    }
    peak.saturating_add(peak / 100 * PEAK_MARGIN_PERCENT)
}
