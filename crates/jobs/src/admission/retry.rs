//! After how long a refused caller should retry.
//!
//! Loads handled: callers that are refused in an overload, and an outage of the store. Callers wait for whole seconds, as the header
//! `Retry-After` has them; 0 means at once. A caller that is told to wait beyond its deadline gives up, so no wait exceeds its time left.

use sandshelf_model::Millis;

/// The time that a caller with a retry still needs for the call itself, in milliseconds: a call to the store takes up to 100 ms in
/// normal operation, and a host with little processor capacity pauses for up to 90 ms.
const CALL_MS: Millis = 200;
/// The unit of `Retry-After` on the wire, in milliseconds.
const WIRE_UNIT_MS: Millis = 1_000;
/// The wait for a caller whose time left is not known, in milliseconds.
const DEFAULT_WAIT_MS: Millis = 1_000;

/// What a host knows of an outage of the store.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct OutageView {
    /// For how long this host's calls have failed, in milliseconds.
    pub lasted_ms: Millis,
    /// Whether the store answers the owner as usual, so that other hosts can take the request.
    pub owner_is_served: bool,
}

/// The wait of a caller that is refused under load, in milliseconds; `relief_ms` is the forecast time until capacity is free.
pub fn retry_under_load(relief_ms: Millis, left_ms: Option<Millis>) -> Millis {
    let wanted = whole_seconds_up(relief_ms).max(WIRE_UNIT_MS);
    left_ms.map_or(DEFAULT_WAIT_MS, |left| wanted.min(longest_wait(left)))
}

/// The wait of a caller that is refused in an outage of the store, in milliseconds.
///
/// An outage that has lasted for some time is expected to last as long again. Callers with more time left wait for longer, so that those
/// with the least time left return first.
pub fn retry_in_outage(outage: &OutageView, left_ms: Option<Millis>) -> Millis {
    if outage.owner_is_served {
        return 0;
    }
    let wanted = whole_seconds_up(outage.lasted_ms).max(WIRE_UNIT_MS);
    left_ms.map_or(DEFAULT_WAIT_MS, |left| wanted.min(longest_wait(left)))
}

/// The longest wait, in whole seconds, after which a caller can still make a call within its time left.
fn longest_wait(left_ms: Millis) -> Millis {
    left_ms.saturating_sub(CALL_MS) / WIRE_UNIT_MS * WIRE_UNIT_MS
}

fn whole_seconds_up(millis: Millis) -> Millis {
    millis.div_ceil(WIRE_UNIT_MS) * WIRE_UNIT_MS
}
