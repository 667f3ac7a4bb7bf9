//! The process's monotonic clock, and the time of day.

use std::sync::LazyLock;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use sandshelf_model::Millis;

static BEGAN: LazyLock<Instant> = LazyLock::new(Instant::now);

/// Starts at 1, so that 0 can stand for "never".
const FIRST_MS: Millis = 1;

/// Milliseconds since the process began.
pub fn now() -> Millis {
    BEGAN.elapsed().as_millis() as Millis + FIRST_MS
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
