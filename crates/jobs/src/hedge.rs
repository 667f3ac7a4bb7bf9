//! Hedges calls for short tasks: what gets no answer as soon as usual is settled or asked again before the call times out.
//!
//! A worker may leave a call unanswered and carry it out seconds later. A call times out after half a second, which is most of the time
//! that a short job has beyond its work, and each of its tasks is exposed twice: to the order that starts it and to the lease renewal
//! that would tell of its end. So an overdue start order is followed by a stop of that run, whose answer and the worker's next list
//! settle whether the run exists; an overdue renewal is repeated beside the first. Hedging only the latest calls is CosTLO's measure
//! (docs/design/decisions-under-load.md); whether a call is late is judged by the answers to the calls before it.

use std::collections::VecDeque;

use sandshelf_model::{Millis, WorkerId};

use crate::ids::RunKey;
use crate::limits::MAX_ORDER_AGE_MS;
use crate::note::{JobNote, StopCause};
use crate::reports::{OrderAnswer, RenewalAnswer};
use crate::run::{RunPhase, RunRecord};
use crate::scheduler::JobScheduler;
use crate::worker::WorkerState;

/// The start orders of short tasks, oldest first, each with the time at which it was sent.
#[derive(Clone, Debug, Default)]
pub(crate) struct StartOrders {
    orders: VecDeque<(Millis, WorkerId, RunKey)>,
}

impl StartOrders {
    /// Records an order.
    pub(crate) fn note(&mut self, now: Millis, worker: WorkerId, run: RunKey) {
        self.orders.push_back((now, worker, run));
    }

    /// Removes and returns the next order that was sent at or before this time.
    fn take_sent_by(&mut self, at: Millis) -> Option<(WorkerId, RunKey)> {
        let (sent_at, ..) = self.orders.front()?;
        if *sent_at > at {
            return None;
        }
        let (_, worker, run) = self.orders.pop_front()?;
        Some((worker, run))
    }
}

/// Lease renewals of a worker that were repeated and whose own answers may still arrive. An answer doesn't name its renewal, so while
/// there are any, each report counts as the answer to the earliest renewal that it can belong to.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct StrayRenewals {
    count: u32,
    /// When the earliest of them was sent.
    sent_at: Millis,
    /// The number of the newest end that all of them acknowledge.
    acknowledge: u64,
    /// Whether any of them extends the lease.
    extend_lease: bool,
    /// Whether a report has arrived since the newest of them was repeated.
    reported: bool,
    /// From this time on no answer to them can arrive.
    until: Millis,
}

impl StrayRenewals {
    /// Forgets them once no answer to them can arrive any more. An answer may be missing, for instance where the worker was replaced.
    fn expire(&mut self, now: Millis) {
        if now >= self.until {
            *self = Self::default();
        }
    }

    /// Whether answers to earlier renewals may still arrive.
    pub(crate) fn exist(&self) -> bool {
        self.count > 0
    }

    /// Whether one that may still be carried out extends the lease.
    pub(crate) fn extend_lease(&self) -> bool {
        self.exist() && self.extend_lease
    }

    /// The earliest time at which the renewal of an answer can have been sent; `sent` is when the newest one was.
    pub(crate) fn earliest(&self, sent: Option<Millis>) -> Option<Millis> {
        match self.exist() {
            true => Some(sent.map_or(self.sent_at, |sent| sent.min(self.sent_at))),
            false => sent,
        }
    }

    /// Records that the worker has reported.
    pub(crate) fn note_report(&mut self) {
        self.reported = true;
    }

    /// Records that one of them was answered.
    pub(crate) fn note_answered(&mut self) {
        self.count = self.count.saturating_sub(1);
    }

    /// The number of the newest end that an answered renewal certainly acknowledged; `newest` is the one that the newest renewal does.
    pub(crate) fn least_acknowledged(&self, newest: u64) -> u64 {
        match self.exist() {
            true => newest.min(self.acknowledge),
            false => newest,
        }
    }
}

impl WorkerState {
    /// Takes an answer after which the renewal in flight stays the next one: the failure of a renewal that was repeated, or a report
    /// that is older than the newest one. Returns whether it is such an answer.
    ///
    /// The clock of a restarted worker begins anew, so that its first report is not an old one.
    /// Where the worker has not reported since the renewal was repeated, its failure counts like any other.
    pub(crate) fn take_stray(&mut self, now: Millis, answer: &RenewalAnswer) -> bool {
        self.strays.expire(now);
        if !self.strays.exist() {
            return false;
        }
        let stray = match answer {
            RenewalAnswer::Failed(OrderAnswer::Unknown | OrderAnswer::NotSent) => true,
            RenewalAnswer::Report(report) => {
                let newest = self.incarnation.newest_clock();
                let restarted = self.incarnation.is_other(report.incarnation);
                !restarted && newest.is_some_and(|newest| report.clock < newest)
            }
            RenewalAnswer::Failed(_) | RenewalAnswer::Fenced => false,
        };
        if stray {
            self.strays.count -= 1;
            if matches!(answer, RenewalAnswer::Failed(_)) && !self.strays.reported {
                self.note_doubt(now);
                self.failed_renewals += 1;
            }
        }
        stray
    }

    /// Whether a report answers a repeated renewal although the newest one was answered already.
    pub(crate) fn answers_stray(&self, answer: &RenewalAnswer) -> bool {
        let reports = matches!(answer, RenewalAnswer::Report(_));
        reports && self.strays.exist() && self.renewal_sent_at.is_none()
    }

    /// Makes the renewal in flight a stray one, so that another can be sent.
    fn set_renewal_aside(&mut self, now: Millis) {
        let Some(sent_at) = self.renewal_sent_at.take() else {
            return;
        };
        if self.renewal_extends_lease {
            self.note_late_renewal(now);
        }
        let before = self.strays;
        self.strays = StrayRenewals {
            count: before.count + 1,
            sent_at: before.earliest(Some(sent_at)).unwrap_or(sent_at),
            acknowledge: before.least_acknowledged(self.renewal_acknowledges),
            extend_lease: before.extend_lease() || self.renewal_extends_lease,
            reported: false,
            until: now + MAX_ORDER_AGE_MS,
        };
    }

    /// Records that a renewal that extends the lease has got no answer.
    pub(crate) fn note_late_renewal(&mut self, now: Millis) {
        self.note_unanswered_until(now + MAX_ORDER_AGE_MS);
    }

    /// Records until when an order that extends the lease and got no answer may still be carried out.
    pub(crate) fn note_unanswered_until(&mut self, until: Millis) {
        let known = self.incarnation.unanswered_until;
        self.incarnation.unanswered_until = known.max(until);
    }

    /// Whether the renewal in flight is overdue and a short task may have ended meanwhile.
    fn needs_hedge(&self, now: Millis, overdue_ms: Millis) -> bool {
        let overdue = |sent_at: Millis| now >= sent_at + self.renewal_wait_ms + overdue_ms;
        let is_short = |record: &RunRecord| !record.fills && !record.standing;
        self.renewal_sent_at.is_some_and(overdue)
            && !self.strays.exist()
            && self.failed_renewals == 0
            && self.runs.values().any(is_short)
    }
}

impl JobScheduler {
    /// Whether calls are hedged. Where this owner is behind, answers that have arrived wait to be processed, and more calls would put
    /// it further behind.
    fn hedges_calls(&self) -> bool {
        self.limits.policies.hedged_calls && self.backlog.keeps_up()
    }

    /// Stops the runs of short tasks whose start orders are overdue. The end of the run, or a list without it, then settles the order.
    pub(crate) fn settle_overdue_starts(&mut self, now: Millis) {
        let sent_by = now.saturating_sub(self.start_patience.overdue_ms());
        while let Some((worker, run)) = self.start_orders.take_sent_by(sent_by) {
            let phase = self.record_mut(&worker, &run).map(|record| record.phase);
            if self.hedges_calls() && phase == Some(RunPhase::Ordered) {
                self.run_unsettled(now, &worker, run, StopCause::Overdue);
            }
        }
    }

    /// Repeats the overdue lease renewals of workers with short tasks.
    pub(crate) fn hedge_renewals(&mut self, now: Millis) {
        if !self.hedges_calls() {
            return;
        }
        let overdue_ms = self.renewal_patience.overdue_ms();
        let workers = self.workers.iter();
        let overdue = workers.filter(|(_, worker)| worker.needs_hedge(now, overdue_ms));
        let overdue: Vec<WorkerId> = overdue.map(|(id, _)| id.clone()).collect();
        for id in overdue {
            if let Some(state) = self.workers.get_mut(&id) {
                state.set_renewal_aside(now);
            }
            self.schedule_renewal(&id, now);
            self.note(JobNote::RenewalRepeated {
                worker: id,
                overdue_ms,
            });
        }
    }
}
