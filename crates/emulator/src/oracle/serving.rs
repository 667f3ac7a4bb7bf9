//! Checks that filling tasks do not keep a serving task over its target.

use std::collections::HashMap;

use sandshelf_jobs::TaskKey;
use sandshelf_model::Millis;

use super::{BrokenRule, PlatformOracle};

/// The longest time in milliseconds after which the platform notices that filling tasks keep a serving task over its target; it
/// notices after 4 to 4.5 s.
const OVER_TARGET_MS: Millis = 4_500;

/// The tail latency of a serving task that is at work, compared with its target.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TailState {
    /// At most the target.
    OnTarget,
    /// Over the target, which it would not be without the filling tasks on its worker.
    OverByFilling,
    /// Over the target, also without filling tasks.
    OverAlone,
}

impl PlatformOracle {
    /// Reports serving tasks that filling tasks on the same worker keep over their target for too long. `tails` has the serving
    /// tasks that are at work; `elapsed` is the time since the last check in milliseconds.
    pub fn check_serving(
        &mut self,
        now: Millis,
        elapsed: Millis,
        tails: &HashMap<TaskKey, TailState>,
    ) {
        self.set_time(now);
        let is_over = |task: &TaskKey| tails.get(task) == Some(&TailState::OverByFilling);
        self.over_target.retain(|task, _| is_over(task));
        let over = tails
            .iter()
            .filter(|(_, tail)| **tail == TailState::OverByFilling);
        let mut late = Vec::new();
        for (task, _) in over {
            let time = self.over_target.entry(*task).or_insert(0);
            let reported = *time > OVER_TARGET_MS;
            *time += elapsed;
            self.longest_over_target = self.longest_over_target.max(*time);
            if *time > OVER_TARGET_MS && !reported {
                late.push(*task);
            }
        }
        late.sort_unstable();
        for task in late {
            let what = format!("{task} has been over its target for more than {OVER_TARGET_MS} ms");
            self.report(now, BrokenRule::Serving, what);
        }
    }
}
