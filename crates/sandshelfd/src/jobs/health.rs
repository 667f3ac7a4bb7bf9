//! Whether the store answers this host.

use std::future::Future;
use std::sync::{Mutex, MutexGuard, PoisonError};

use sandshelf_adapter::{StoreAnswer, StoreFault};
use sandshelf_model::Millis;

use crate::clock::{self, SteadyInstant};
use crate::jobs::meters::{self, CallEnd, StoreCall};
use crate::jobs::notes::label;
use crate::logging::event;

/// After so many calls that failed on end the store counts as out for callers, until one of the calls that watch it
/// succeeds; single answers get lost also while it serves.
const OUT_AFTER_FAILURES: u32 = 3;
/// After this long without a good call the host takes no new connections, in milliseconds.
const UNREADY_AFTER_MS: Millis = 1_500;

#[derive(Clone, Copy, Debug, Default)]
struct HealthState {
    /// Since when calls have failed without a good one in between.
    failing_since: Option<Millis>,
    failures: u32,
}

/// What the latest calls to the store say of it; shared by all that call it.
#[derive(Debug, Default)]
pub struct StoreHealth {
    state: Mutex<HealthState>,
}

impl StoreHealth {
    /// Waits for a call to the store, and notes how it ended and how long it took.
    pub async fn watch<T>(
        &self,
        kind: StoreCall,
        call: impl Future<Output = Result<StoreAnswer<T>, StoreFault>>,
    ) -> Result<T, StoreFault> {
        let began = SteadyInstant::now();
        let result = call.await;
        let (fault, bytes) = match &result {
            Ok(answer) => (None, answer.bytes),
            Err(fault) => (Some(*fault), fault.progress().bytes),
        };
        let ended = CallEnd {
            kind,
            fault,
            bytes,
            took: began.elapsed(),
        };
        meters::note_store(&ended);
        self.note(&ended);
        result.map(|answer| answer.value)
    }

    /// The first failure and the first success after one are logged; the failure with how much of the answer had come after
    /// how long, which tells a thin link from a silent store.
    fn note(&self, ended: &CallEnd) {
        let mut state = self.lock();
        let Some(fault) = ended.fault else {
            state.failures = 0;
            if let Some(since) = state.failing_since.take() {
                let lasted = clock::now().saturating_sub(since);
                event("store_regained", &[("lasted_ms", &lasted)]);
            }
            return;
        };
        state.failures += 1;
        if state.failing_since.is_none() {
            state.failing_since = Some(clock::now());
            event(
                "store_lost",
                &[
                    ("fault", &fault),
                    ("kind", &label(&ended.kind)),
                    ("after_ms", &ended.took.as_millis()),
                    ("answer_begun", &fault.progress().begun),
                    ("answer_bytes", &ended.bytes),
                ],
            );
        }
    }

    fn lock(&self) -> MutexGuard<'_, HealthState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Whether the latest calls all failed, so that another is not worth a caller's time.
    pub fn is_out(&self) -> bool {
        let state = self.lock();
        state.failures >= OUT_AFTER_FAILURES
    }

    /// Whether the latest call failed.
    pub fn is_failing(&self) -> bool {
        let state = self.lock();
        state.failing_since.is_some()
    }

    /// Whether the store has failed this host for long enough to send callers elsewhere.
    pub fn is_long_out(&self) -> bool {
        let state = self.lock();
        let since = state.failing_since;
        since.is_some_and(|since| clock::now() >= since + UNREADY_AFTER_MS)
    }
}
