//! Restarts of workers under their names in a series with a change of owner and cuts, and calls that outlive an incarnation of their
//! worker.

use rand::RngExt;
use sandshelf_jobs::{RenewalCall, WorkerCall};
use sandshelf_model::{Epoch, Millis, WorkerId};

use super::outages::PlannedFault;
use super::{Message, ParkedRenewal, PlatformEmulator, SentCall};
use crate::support::faults::OwnerChange;

/// The range of the clocks of first incarnations. Most clocks of restarted workers are behind these, so that deadlines that were meant
/// for an earlier incarnation lie far ahead.
const FIRST_CLOCKS_MS: std::ops::Range<u64> = 3_000_000..7_000_000;
/// How long after a call has reached a worker that is down the next incarnation carries it out. With the time that a slow path takes,
/// that is less than three seconds after the call was sent.
const OUTLIVING_DELAY_MS: std::ops::Range<Millis> = 100..2_500;
/// The shortest time between the begins of two series: one per seed. Tasks that are lost in a restart and in a cut of each of two series
/// would count as the cause of these crashes.
const SERIES_INTERVAL_MS: Millis = 20_000;
/// How long the restarts of a series spread.
const RESTART_SPREAD_MS: Millis = 600;
/// How long a worker of a series is down.
const DOWN_MS: std::ops::Range<Millis> = 510..1_500;
/// How long after it is back a worker restarts again.
const SECOND_RESTART_MS: std::ops::Range<Millis> = 300..2_500;
/// How long after the begin of a series the owner changes.
const OWNER_CHANGE_MS: std::ops::Range<Millis> = 900..3_500;
/// How long after the change of owner the owner changes again.
const SECOND_CHANGE_MS: std::ops::Range<Millis> = 1_800..5_000;
/// How long before the change of owner the first cut may begin.
const CUT_LEAD_MS: Millis = 500;
/// The time within which the cuts of a series begin.
const CUT_SPREAD_MS: Millis = 3_500;
/// How long a restarted worker is cut off.
const CUT_MS: std::ops::Range<Millis> = 3_000..13_000;
/// How long the owner of a series freezes.
const FREEZE_MS: std::ops::Range<Millis> = 2_000..6_000;

impl PlatformEmulator {
    /// Draws the clocks of the first incarnations in plans with series of restarts.
    pub(super) fn draw_first_clocks(&mut self) {
        if self.plan.restart_series == 0 {
            return;
        }
        for worker in &mut self.workers {
            worker.clock_origin = (self.random.random_range(FIRST_CLOCKS_MS), 0);
        }
    }

    /// Draws which workers restart in a series and when, how the owner changes, and which restarted workers are cut off.
    pub(super) fn plan_restart_series(&mut self) {
        if self.now < self.next_restart_series {
            return;
        }
        self.next_restart_series = self.now + SERIES_INTERVAL_MS;
        let changes_at = self.now + self.random.random_range(OWNER_CHANGE_MS);
        let fault = self.draw_owner_change();
        self.send_fault(changes_at, fault);
        if self.chance(self.plan.second_owner_changes) {
            let again_at = changes_at + self.random.random_range(SECOND_CHANGE_MS);
            let fault = self.draw_owner_change();
            self.send_fault(again_at, fault);
        }
        let workers: Vec<WorkerId> = self.workers.iter().map(|known| known.id.clone()).collect();
        for worker in workers {
            if !self.chance(self.plan.restarted_in_series) {
                continue;
            }
            self.plan_restarts(&worker);
            if self.chance(self.plan.cut_restarted) {
                let from = changes_at - CUT_LEAD_MS + self.random.random_range(0..CUT_SPREAD_MS);
                let fault = PlannedFault::Cut(worker, self.random.random_range(CUT_MS));
                self.send(from, Message::Fault(fault));
            }
        }
    }

    fn send_fault(&mut self, at: Millis, fault: Option<PlannedFault>) {
        if let Some(fault) = fault {
            self.send(at, Message::Fault(fault));
        }
    }

    /// Draws when a worker of a series restarts, and whether it does so again soon after.
    fn plan_restarts(&mut self, worker: &WorkerId) {
        let at = self.now + self.random.random_range(0..RESTART_SPREAD_MS);
        let down = self.random.random_range(DOWN_MS);
        let fault = PlannedFault::Restart(worker.clone(), down);
        self.send(at, Message::Fault(fault));
        if self.chance(self.plan.second_restarts) {
            let again_at = at + down + self.random.random_range(SECOND_RESTART_MS);
            let fault = PlannedFault::Restart(worker.clone(), self.random.random_range(DOWN_MS));
            self.send(again_at, Message::Fault(fault));
        }
    }

    /// The change of owner of a series; `None` where the owner stays.
    fn draw_owner_change(&mut self) -> Option<PlannedFault> {
        let change = match self.plan.owner_change {
            OwnerChange::Drawn => match self.random.random_range(0..4) {
                0 => OwnerChange::Dies,
                1 => OwnerChange::Freezes,
                2 => OwnerChange::Releases,
                _ => OwnerChange::Reclaims,
            },
            planned => planned,
        };
        match change {
            OwnerChange::Dies => Some(PlannedFault::OwnerDies),
            OwnerChange::Freezes => {
                let lasts = self.random.random_range(FREEZE_MS);
                Some(PlannedFault::OwnerFreezes(lasts))
            }
            OwnerChange::Releases => Some(PlannedFault::OwnerReleases),
            OwnerChange::Reclaims => Some(PlannedFault::OwnerReclaims),
            OwnerChange::Drawn | OwnerChange::Stays => None,
        }
    }

    /// Draws whether a call outlives the incarnation that it was meant for.
    pub(super) fn draw_outliving_call(&mut self) -> bool {
        self.plan.outliving_calls > 0 && self.chance(self.plan.outliving_calls)
    }

    /// The call as the next incarnation carries it out.
    pub(super) fn outliving_call(&self, call: &WorkerCall) -> WorkerCall {
        match call {
            WorkerCall::Renew(renewal) if !self.plan.outliving_acknowledgements => {
                WorkerCall::Renew(RenewalCall {
                    last_seen: 0,
                    ..*renewal
                })
            }
            call => call.clone(),
        }
    }

    /// Draws how long after it was sent a call is carried out that outlives an incarnation.
    pub(super) fn draw_outliving_delay(&mut self) -> Millis {
        self.random.random_range(OUTLIVING_DELAY_MS)
    }

    /// Keeps a call that has reached a worker while it is down, if drawn: the next incarnation carries it out, and its answer is lost.
    pub(super) fn keep_outliving_call(
        &mut self,
        epoch: Epoch,
        worker: &WorkerId,
        parked: Option<ParkedRenewal>,
        call: &WorkerCall,
    ) {
        let reads_only = matches!(parked, Some(ParkedRenewal::Answer(_)));
        if reads_only || !self.draw_outliving_call() {
            return;
        }
        let at = self.now + self.draw_outliving_delay();
        let sent = SentCall {
            epoch,
            worker: worker.clone(),
            carried_out_by: None,
            delayed: true,
            parked: None,
            call: self.outliving_call(call),
            answers: false,
        };
        self.send(at, Message::Arrives(sent));
    }
}
