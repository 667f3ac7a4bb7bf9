//! The process's steady clock, and the time of day.
//!
//! All that an owner believes rests on how much time has passed: its ownership, the leases that it granted, how long a worker has been silent.
//! A host may be suspended for seconds. [`std::time::Instant`] stands still meanwhile, so that an owner that wakes up would take itself for the
//! owner still, and order at workers that its successor has not reached. The clock here counts that time, too.

use std::sync::LazyLock;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use rustix::time::{clock_gettime, ClockId};
use sandshelf_model::Millis;

/// The clock that also counts the time in which the host is suspended.
const STEADY_CLOCK: ClockId = ClockId::Boottime;

/// When the process began, on that clock.
static PROCESS_START: LazyLock<Duration> = LazyLock::new(steady);

/// Starts at 1, so that 0 can stand for "never".
const FIRST_MS: Millis = 1;

/// The time since the host was started.
fn steady() -> Duration {
    let time = clock_gettime(STEADY_CLOCK);
    Duration::new(time.tv_sec as u64, time.tv_nsec as u32)
}

/// A reading of the steady clock, for what took how long.
#[derive(Clone, Copy, Debug)]
pub struct SteadyInstant(Duration);

impl SteadyInstant {
    /// The time by now.
    pub fn now() -> Self {
        Self(steady())
    }

    /// The time that has passed since.
    pub fn elapsed(&self) -> Duration {
        steady().saturating_sub(self.0)
    }
}

/// Milliseconds since the process began, those in which the host was suspended included.
pub fn now() -> Millis {
    steady().saturating_sub(*PROCESS_START).as_millis() as Millis + FIRST_MS
}

/// The time of day, in milliseconds since 1970; 0 before that.
pub fn wall_ms() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    since.map_or(0, |since| since.as_millis() as u64)
}

/// The time left until `deadline`.
pub fn until(deadline: Millis) -> Duration {
    Duration::from_millis(deadline.saturating_sub(now()))
}
