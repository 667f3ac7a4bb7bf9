//! Tests which serving tasks the oracle reports because filling tasks keep them over their target.

use std::collections::HashMap;

use sandshelf_emulator::oracle::{BrokenRule, PlatformOracle, TailState};
use sandshelf_jobs::{JobNumber, TaskKey};

/// The time between two checks, in milliseconds.
const INTERVAL_MS: u64 = 100;

/// Checks one task with each of these states for this many intervals; returns the rules that are broken.
fn checked(spans: &[(Option<TailState>, u64)]) -> Vec<BrokenRule> {
    let task = TaskKey {
        job: JobNumber(1),
        time: 0,
        step: 0,
        index: 0,
    };
    let mut oracle = PlatformOracle::default();
    let states = spans.iter();
    let states = states.flat_map(|(state, count)| (0..*count).map(move |_| *state));
    for (number, state) in (1..).zip(states) {
        let tails: HashMap<TaskKey, TailState> =
            state.into_iter().map(|state| (task, state)).collect();
        oracle.check_serving(number * INTERVAL_MS, INTERVAL_MS, &tails);
    }
    oracle.broken.iter().map(|(_, rule, _)| *rule).collect()
}

const OVER: Option<TailState> = Some(TailState::OverByFilling);

sandshelf_cases::cases! {
    over_for_as_long_as_it_may_be => assert_eq!(checked(&[(OVER, 45)]), []);
    over_for_too_long_is_reported_once => assert_eq!(checked(&[(OVER, 90)]), [BrokenRule::Serving]);
    over_without_filling_tasks => assert_eq!(checked(&[(Some(TailState::OverAlone), 90)]), []);
    over_with_a_pause => assert_eq!(
        checked(&[(OVER, 40), (Some(TailState::OnTarget), 1), (OVER, 40)]), []);
    over_with_a_new_start => assert_eq!(checked(&[(OVER, 40), (None, 1), (OVER, 40)]), []);
}
