//! The state of one incarnation of a worker.
//!
//! A worker that restarts keeps its name, but its clock and its end numbers start anew. Values read
//! from or sent to different incarnations must not be compared. Everything that is valid for a
//! single incarnation is kept here and is dropped with it.

use sandshelf_model::Millis;

use crate::ids::WorkerIncarnation;
use crate::limits::MIN_CLOCK_RATE_PERCENT;
use crate::reports::WorkerClock;

/// The largest difference that clocks may build up while one order is under way, plus the longest
/// delay with which a host reads its own clock, in milliseconds.
const CLOCK_SLACK_MS: Millis = 50;

/// A reading of a worker's clock, with the times between which it was taken.
#[derive(Clone, Copy, Debug)]
struct ClockReading {
    clock: WorkerClock,
    /// When the call was sent that this reading answers. The clock was read after that.
    sent_at: Millis,
    at: Millis,
}

/// The clock in a worker's answer to an order, and when the order was sent.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ClockSample {
    pub(crate) clock: WorkerClock,
    pub(crate) sent_at: Millis,
}

/// Whether two incarnations of one worker certainly differ. Returns false where either is unknown.
pub(crate) fn certainly_differ(
    one: Option<WorkerIncarnation>,
    other: Option<WorkerIncarnation>,
) -> bool {
    matches!((one, other), (Some(one), Some(other)) if one != other)
}

/// How long a span of a worker's clock lasts at most, in milliseconds: at the slowest rate that is
/// allowed.
pub(crate) fn longest_wait(span: Millis) -> Millis {
    (span * 100).div_ceil(MIN_CLOCK_RATE_PERCENT)
}

/// What this owner knows of one incarnation of a worker.
#[derive(Clone, Debug, Default)]
pub(crate) struct IncarnationState {
    /// The incarnation's identifier; `None` if the worker doesn't report it or has not answered
    /// yet.
    pub(crate) id: Option<WorkerIncarnation>,
    /// Whether it has answered under this owner's epoch.
    pub(crate) fenced: bool,
    reading: Option<ClockReading>,
    /// The latest lease deadline that this owner sent to it, on its clock.
    pub(crate) lease_deadline: WorkerClock,
    /// Until when a lease may last there that no deadline of this owner on its clock bounds: one that
    /// an earlier owner granted, or one by an order that was meant for an earlier incarnation. On the
    /// scheduler's clock; 0 if there is none.
    pub(crate) inherited_until: Millis,
    /// Whether `inherited_until` covers all such leases.
    pub(crate) accounted: bool,
    /// Until when an incarnation that may have followed this one unheard may be leased by orders that
    /// were meant for this one, on the scheduler's clock; 0 without a sign of such an incarnation.
    pub(crate) successor_until: Millis,
    /// When the newest sign of such an incarnation was seen.
    pub(crate) successor_seen_at: Millis,
    /// The latest deadline that this owner sent to earlier incarnations, on their clocks.
    pub(crate) late_deadline: WorkerClock,
    /// Until when an order that extends the lease and got no answer may still be carried out, by this incarnation or a later one, on the
    /// scheduler's clock. A start counts even if a stop has settled it: a later incarnation doesn't know of the stop.
    pub(crate) unanswered_until: Millis,
    /// The number of the newest end that was processed; end numbers increase.
    pub(crate) noted: u64,
    /// Ends up to this number are durable and may be acknowledged.
    pub(crate) durable: u64,
    /// Ends up to this number were acknowledged by a renewal that the worker answered.
    pub(crate) acknowledged: u64,
}

impl IncarnationState {
    /// An incarnation that has not answered yet.
    pub(crate) fn new(id: Option<WorkerIncarnation>) -> Self {
        Self {
            id,
            ..Self::default()
        }
    }

    /// Until when a lease may last on this worker that no deadline of this owner on the clock of this
    /// incarnation bounds, on the scheduler's clock; 0 if there is none.
    pub(crate) fn other_leases_until(&self) -> Millis {
        self.inherited_until.max(self.successor_until)
    }

    /// Records a sign of a later incarnation that may be leased until `until`. Returns whether that
    /// is later than what was known.
    pub(crate) fn note_successor(&mut self, now: Millis, until: Millis) -> bool {
        self.successor_seen_at = now;
        let raised = until > self.successor_until;
        self.successor_until = until.max(self.successor_until);
        raised
    }

    /// Handles a report of this incarnation to a renewal sent at `sent_at`, which rules out an earlier
    /// sign of a later incarnation. Returns whether there was one.
    pub(crate) fn rule_out_successor(&mut self, sent_at: Millis) -> bool {
        let ruled_out = self.successor_until > 0 && sent_at >= self.successor_seen_at;
        if ruled_out {
            self.successor_until = 0;
        }
        ruled_out
    }

    /// Whether this is the incarnation with this identifier, and all leases of earlier owners on it
    /// are accounted for. Workers that don't report an incarnation never restart under their names.
    pub(crate) fn is_named(&self, id: Option<WorkerIncarnation>) -> bool {
        self.id == id && (self.accounted || id.is_none())
    }

    /// Whether an incarnation with this identifier certainly differs from this one.
    pub(crate) fn is_other(&self, id: Option<WorkerIncarnation>) -> bool {
        certainly_differ(self.id, id)
    }

    /// Records a reading of the worker's clock. A reading older than the newest one is ignored.
    pub(crate) fn note_clock(&mut self, now: Millis, sample: ClockSample) {
        let ClockSample { clock, sent_at } = sample;
        if self.reading.is_none_or(|known| clock >= known.clock) {
            self.reading = Some(ClockReading {
                clock,
                sent_at,
                at: now,
            });
        }
    }

    /// Whether this incarnation answered an order, judged by the clock in the answer: answers to
    /// orders don't carry the incarnation.
    ///
    /// The clock of one incarnation advances from its newest reading at its own rate. The clock of
    /// a later incarnation began after that reading, at zero or at an arbitrary value. So a clock
    /// within the expected range belongs to this incarnation, unless this incarnation was younger
    /// than the time that the order and its answer took.
    pub(crate) fn has_answered(&self, now: Millis, sample: ClockSample) -> bool {
        let Some(reading) = self.reading else {
            return true;
        };
        let before = reading.at.saturating_sub(sample.sent_at);
        let least = reading.clock.saturating_sub(before + CLOCK_SLACK_MS);
        let most = reading.clock + now.saturating_sub(reading.sent_at) + CLOCK_SLACK_MS;
        (least..=most).contains(&sample.clock)
    }

    /// The time since which it has been heard: it was up when the newest answered call was sent.
    pub(crate) fn last_heard(&self) -> Option<Millis> {
        Some(self.reading?.sent_at)
    }

    /// The newest reading of the worker's clock.
    pub(crate) fn newest_clock(&self) -> Option<WorkerClock> {
        Some(self.reading?.clock)
    }

    /// The estimated clock of the worker at `now`; `None` before the first reading.
    pub(crate) fn clock(&self, now: Millis) -> Option<WorkerClock> {
        let reading = self.reading?;
        Some(reading.clock + now.saturating_sub(reading.at))
    }

    /// The lowest value that the worker's clock can show at `now`, at the slowest rate that is
    /// allowed.
    pub(crate) fn lowest_clock(&self, now: Millis) -> Option<WorkerClock> {
        let reading = self.reading?;
        let passed = now.saturating_sub(reading.at) * MIN_CLOCK_RATE_PERCENT / 100;
        Some(reading.clock + passed)
    }

    /// The time from which every lease granted to this incarnation has certainly expired, unless it
    /// is renewed; `None` before it has answered.
    pub(crate) fn lease_expires_at(&self) -> Option<Millis> {
        let reading = self.reading?;
        let left = (self.lease_deadline + 1).saturating_sub(reading.clock);
        let own = reading.at + longest_wait(left);
        Some(own.max(self.other_leases_until()))
    }

    /// Whether every lease granted to this incarnation, by this owner or an earlier one, has
    /// certainly expired.
    pub(crate) fn lease_has_expired(&self, now: Millis) -> bool {
        let own_has_expired = |clock| clock > self.lease_deadline;
        now >= self.other_leases_until() && self.lowest_clock(now).is_some_and(own_has_expired)
    }

    /// Whether it certainly holds no lease: none was granted, or all have expired.
    pub(crate) fn is_unleased(&self, now: Millis) -> bool {
        let ungranted = self.lease_deadline == 0 && now >= self.other_leases_until();
        ungranted || self.lease_has_expired(now)
    }

    /// Whether ends were processed that are not durable yet.
    pub(crate) fn has_unwritten(&self) -> bool {
        self.unwritten_ends() > 0
    }

    /// How many ends were processed that are not durable yet.
    pub(crate) fn unwritten_ends(&self) -> u64 {
        self.noted.saturating_sub(self.durable)
    }
}
