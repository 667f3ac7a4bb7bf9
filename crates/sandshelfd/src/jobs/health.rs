//! Tracks whether the store answers this host.

use std::future::Future;
use std::sync::{Mutex, MutexGuard, PoisonError};

use sandshelf_adapter::{StoreAnswer, StoreFault};
use sandshelf_model::Millis;

use crate::clock::{self, SteadyInstant};
use crate::jobs::labels::label;
use crate::jobs::meters::{self, StoreCall, StoreCallResult};
use crate::logging::event;

/// After this many consecutive failed calls, callers are told that the store is out until a call of this host succeeds. Single answers are
/// also lost while the store works.
const OUT_AFTER_FAILURES: u32 = 3;
/// After this many milliseconds of failed calls the host reports that it is not ready, so that it gets no new connections.
const UNREADY_AFTER_MS: Millis = 1_500;

#[derive(Clone, Copy, Debug, Default)]
struct HealthState {
    /// When the first failed call since the last successful one ended; none if the latest call succeeded.
    failing_since: Option<Millis>,
    failures: u32,
    /// When the latest successful call ended.
    succeeded_at: Option<Millis>,
}

/// The health of the store as seen by the latest calls of this host. All tasks that call the store share it.
#[derive(Debug, Default)]
pub struct StoreHealth {
    state: Mutex<HealthState>,
}

impl StoreHealth {
    /// Awaits a store call, and records its result and duration.
    pub async fn observe<T>(
        &self,
        kind: StoreCall,
        call: impl Future<Output = Result<StoreAnswer<T>, StoreFault>>,
    ) -> Result<T, StoreFault> {
        let started_at = SteadyInstant::now();
        let result = call.await;
        let (fault, bytes) = match &result {
            Ok(answer) => (None, answer.bytes),
            Err(fault) => (Some(*fault), fault.progress().bytes),
        };
        let call_result = StoreCallResult {
            kind,
            fault,
            bytes,
            took: started_at.elapsed(),
        };
        meters::record_store_call(&call_result);
        self.record(&call_result);
        result.map(|answer| answer.value)
    }

    /// Updates the health by a result. Logs the first failure and the first success after it. The failure is logged with the duration and the
    /// received bytes, which distinguish a slow link from a silent store.
    fn record(&self, call_result: &StoreCallResult) {
        let mut state = self.lock();
        let Some(fault) = call_result.fault else {
            state.failures = 0;
            state.succeeded_at = Some(clock::now());
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
                    ("kind", &label(&call_result.kind)),
                    ("after_ms", &call_result.took.as_millis()),
                    ("answer_begun", &fault.progress().begun),
                    ("answer_bytes", &call_result.bytes),
                ],
            );
        }
    }

    fn lock(&self) -> MutexGuard<'_, HealthState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Whether a call has succeeded in the last `age_ms` milliseconds.
    pub fn has_succeeded_within(&self, age_ms: Millis) -> bool {
        let state = self.lock();
        let succeeded_at = state.succeeded_at;
        succeeded_at.is_some_and(|at| clock::now() <= at + age_ms)
    }

    /// Whether so many of the latest calls failed that callers shouldn't wait for another.
    pub fn is_out(&self) -> bool {
        let state = self.lock();
        state.failures >= OUT_AFTER_FAILURES
    }

    /// Whether the latest call failed.
    pub fn is_failing(&self) -> bool {
        let state = self.lock();
        state.failing_since.is_some()
    }

    /// For how long the calls of this host have failed, in milliseconds; 0 if the latest call succeeded.
    pub fn failing_ms(&self) -> Millis {
        let since = self.lock().failing_since;
        since.map_or(0, |since| clock::now().saturating_sub(since))
    }

    /// Whether calls of this host have failed for so long that callers should go to other hosts.
    pub fn is_long_out(&self) -> bool {
        let state = self.lock();
        let since = state.failing_since;
        since.is_some_and(|since| clock::now() >= since + UNREADY_AFTER_MS)
    }
}
