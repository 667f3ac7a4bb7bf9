//! What is known of one life of a worker.
//!
//! A worker that goes down may start again under the name that it had. Its clock and its counts start anew then, so that nothing
//! that was read or sent in one life may be compared with another. All that holds for one life only stands here, and ends with it.

use sandshelf_model::Millis;

use crate::ids::WorkerIncarnation;
use crate::limits::MIN_CLOCK_RATE_PERCENT;
use crate::reports::WorkerClock;

/// How far clocks may be off each other within the time of one order, and how late a host may read its own, in milliseconds.
const CLOCK_SLACK_MS: Millis = 50;

/// A reading of a worker's clock and when it reached us.
#[derive(Clone, Copy, Debug)]
struct ClockReading {
    clock: WorkerClock,
    /// When the call went out that it answers: it was read after that.
    asked: Millis,
    at: Millis,
}

/// What a worker answered an order with: its clock, and when the order went out.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ClockSight {
    pub(crate) clock: WorkerClock,
    pub(crate) asked: Millis,
}

/// Whether two lives of one worker are certainly not the same; where it doesn't name them they may be.
pub(crate) fn are_others(one: Option<WorkerIncarnation>, other: Option<WorkerIncarnation>) -> bool {
    matches!((one, other), (Some(one), Some(other)) if one != other)
}

/// One life of a worker, as far as this owner has heard of it.
#[derive(Clone, Debug, Default)]
pub(crate) struct LifeState {
    /// Which one; none where the worker doesn't say it or has not answered.
    pub(crate) name: Option<WorkerIncarnation>,
    /// Whether it has answered under this owner's epoch.
    pub(crate) fenced: bool,
    reading: Option<ClockReading>,
    /// The latest end of a lease that was sent to it, on its clock.
    pub(crate) granted: WorkerClock,
    /// Ends up to this number were taken in.
    pub(crate) noted: u64,
    /// Ends up to this number are durable and may be acknowledged.
    pub(crate) durable: u64,
    /// Ends up to this number were acknowledged by a hold that it answered.
    pub(crate) acknowledged: u64,
}

impl LifeState {
    /// A life that has answered nothing yet.
    pub(crate) fn new(name: Option<WorkerIncarnation>) -> Self {
        Self {
            name,
            ..Self::default()
        }
    }

    /// Whether a worker that names its life so is in another one.
    pub(crate) fn is_other(&self, name: Option<WorkerIncarnation>) -> bool {
        are_others(self.name, name)
    }

    /// Notes a reading of its clock; an older one than is known changes nothing.
    pub(crate) fn note_clock(&mut self, now: Millis, sight: ClockSight) {
        let ClockSight { clock, asked } = sight;
        if self.reading.is_none_or(|known| clock >= known.clock) {
            self.reading = Some(ClockReading {
                clock,
                asked,
                at: now,
            });
        }
    }

    /// Whether an order was answered by this life, by the clock that the answer shows: answers to orders don't name the life.
    ///
    /// A life's clock goes on from the newest reading at its own pace, and that of a later life began after the reading, from nothing or
    /// from anywhere. So one that fits is of this life, but for a life that was not older than the order and its answer took.
    pub(crate) fn answered(&self, now: Millis, sight: ClockSight) -> bool {
        let Some(reading) = self.reading else {
            return true;
        };
        let before = reading.at.saturating_sub(sight.asked);
        let least = reading.clock.saturating_sub(before + CLOCK_SLACK_MS);
        let most = reading.clock + now.saturating_sub(reading.asked) + CLOCK_SLACK_MS;
        (least..=most).contains(&sight.clock)
    }

    /// The newest reading of its clock.
    pub(crate) fn read_clock(&self) -> Option<WorkerClock> {
        Some(self.reading?.clock)
    }

    /// Its clock by now, as far as it is known.
    pub(crate) fn clock(&self, now: Millis) -> Option<WorkerClock> {
        let reading = self.reading?;
        Some(reading.clock + now.saturating_sub(reading.at))
    }

    /// What its clock shows at least by now, however slow it runs.
    fn least_clock(&self, now: Millis) -> Option<WorkerClock> {
        let reading = self.reading?;
        let passed = now.saturating_sub(reading.at) * MIN_CLOCK_RATE_PERCENT / 100;
        Some(reading.clock + passed)
    }

    /// From when on all that was leased to it has certainly run out, unless that is prolonged; none before it has answered.
    pub(crate) fn lease_over_at(&self) -> Option<Millis> {
        let reading = self.reading?;
        let left = (self.granted + 1).saturating_sub(reading.clock);
        Some(reading.at + (left * 100).div_ceil(MIN_CLOCK_RATE_PERCENT))
    }

    /// Whether all that was leased to it has certainly run out.
    pub(crate) fn lease_is_over(&self, now: Millis) -> bool {
        self.least_clock(now)
            .is_some_and(|clock| clock > self.granted)
    }

    /// Whether ends were taken in that are not durable yet.
    pub(crate) fn has_unwritten(&self) -> bool {
        self.noted > self.durable
    }
}
