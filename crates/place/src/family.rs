//! Corrects declared sizes by what a job's family was seen to use.

use std::collections::HashMap;

use sandshelf_model::{Millis, ResourceSize};

/// Room kept above what was seen, in percent.
const SEEN_MARGIN_PERCENT: u64 = 15;

/// What one family was seen to use.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct FamilyUsage {
    /// The largest use of one task.
    pub peak: ResourceSize,
    /// A running mean of finished run times.
    pub run_ms: Millis,
    /// How many tasks finished.
    pub finished: u64,
}

/// Sizes and run times by family; a declaration is only the prior.
#[derive(Clone, Debug, Default)]
pub struct FamilyHistory {
    seen: HashMap<String, FamilyUsage>,
}

impl FamilyHistory {
    /// Notes the use of one running task.
    pub fn note_usage(&mut self, family: &str, usage: &ResourceSize) {
        let seen = self.seen.entry(family.to_owned()).or_default();
        seen.peak = seen.peak.max_with(usage);
    }

    /// Notes the run time of one finished task.
    pub fn note_finish(&mut self, family: &str, run_ms: Millis) {
        let seen = self.seen.entry(family.to_owned()).or_default();
        seen.finished += 1;
        let step = seen.finished.min(16) as i128;
        let error = i128::from(run_ms) - i128::from(seen.run_ms);
        seen.run_ms = (i128::from(seen.run_ms) + error / step) as Millis;
    }

    /// What to reserve for a task: its declaration, or where more than that was seen, what was seen with a margin.
    ///
    /// Never less than the declaration, however little was seen: a task may yet use what it asked for.
    pub fn reserve_size(&self, family: &str, declared: &ResourceSize) -> ResourceSize {
        let Some(seen) = self.seen.get(family) else {
            return *declared;
        };
        ResourceSize {
            cpu_millis: correct(declared.cpu_millis, seen.peak.cpu_millis),
            memory_mib: correct(declared.memory_mib, seen.peak.memory_mib),
            accelerators: declared.accelerators.max(seen.peak.accelerators),
        }
    }

    /// What a task of `family` is expected to run for.
    pub fn run_time(&self, family: &str, declared: Millis) -> Millis {
        match self.seen.get(family) {
            Some(seen) if seen.finished > 0 => seen.run_ms,
            _ => declared,
        }
    }
}

fn correct(declared: u64, seen: u64) -> u64 {
    if seen <= declared {
        return declared;
    }
    seen.saturating_add(seen / 100 * SEEN_MARGIN_PERCENT)
}
