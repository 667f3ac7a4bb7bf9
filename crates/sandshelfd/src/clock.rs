//! The process's steady clock, which also counts suspended time, and the time of day.
//!
//! A shard owner decides by elapsed time whether its ownership and the leases that it granted are valid, and how long a
//! worker has been silent. A host may be suspended for seconds. [`std::time::Instant`] does not advance meanwhile, so an
//! owner that resumes would still take itself for the owner and send orders to workers that its successor has not reached.
//! The clock here counts that time, too.

use std::sync::LazyLock;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use rustix::time::{clock_gettime, ClockId};
use sandshelf_model::Millis;

/// The operating system's clock that also counts the time in which the host is suspended.
const STEADY_CLOCK: ClockId = ClockId::Boottime;

/// The reading of [`STEADY_CLOCK`] at its first use in this process.
static PROCESS_START: LazyLock<Duration> = LazyLock::new(steady);

/// The first value of [`now`]: 1, so that 0 can mean "never".
const FIRST_MS: Millis = 1;

/// The time since the host was booted.
fn steady() -> Duration {
    let time = clock_gettime(STEADY_CLOCK);
    Duration::new(time.tv_sec as u64, time.tv_nsec as u32)
}

/// A reading of the steady clock, for measuring durations.
#[derive(Clone, Copy, Debug)]
pub struct SteadyInstant(Duration);

impl SteadyInstant {
    /// The current reading.
    pub fn now() -> Self {
        Self(steady())
    }

    /// The time elapsed since this reading, including time in which the host was suspended.
    pub fn elapsed(&self) -> Duration {
        steady().saturating_sub(self.0)
    }
}

/// Milliseconds since the process started, plus 1; includes time in which the host was suspended.
pub fn now() -> Millis {
    steady().saturating_sub(*PROCESS_START).as_millis() as Millis + FIRST_MS
}

/// The time of day in milliseconds since the Unix epoch; 0 for a time before it.
pub fn wall_ms() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    since.map_or(0, |since| since.as_millis() as u64)
}

/// The time left until `deadline`, a time of [`now`]; zero once it has passed.
pub fn until(deadline: Millis) -> Duration {
    Duration::from_millis(deadline.saturating_sub(now()))
}
