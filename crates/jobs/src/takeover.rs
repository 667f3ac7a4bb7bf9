//! What an owner inherits from the previous one, and which workers it waits for.

use std::collections::BTreeMap;

use sandshelf_model::{Epoch, Millis, WorkerId};

use crate::interference::InterferenceRow;
use crate::limits::SchedulerLimits;
use crate::progress_page::StoredProgress;
use crate::roster::WorkerRoster;
use crate::silent::SilentWorkers;

/// The epoch of the first owner of a shard. No lease was granted before it.
pub(crate) const FIRST_EPOCH: Epoch = 1;

/// What an owner inherits at a takeover.
#[derive(Clone, Debug, Default)]
pub struct TakeoverInfo {
    /// The owner's epoch; every order carries it.
    pub epoch: Epoch,
    /// When the claim took effect, on the scheduler's clock in milliseconds.
    pub claimed_at: Millis,
    /// The time from which no earlier owner gives orders, if that is after the claim: a shard whose owner has certainly ended is
    /// claimed before the ownership of that owner would have been over. 0 otherwise.
    pub earlier_orders_until: Millis,
    /// The store version at which the jobs were read. An earlier owner may know jobs up to this
    /// version.
    pub claim_version: u64,
    /// The time of day at the claim, in milliseconds since 1970; 0 if it is unknown.
    pub wall_ms: u64,
    /// Whether the jobs and their progress have not been read yet. They arrive with
    /// [`JobEvent::StateRead`]; until then the leases of the workers are renewed and nothing is
    /// started.
    pub state_pending: bool,
    /// The durable progress of the jobs.
    pub progress: StoredProgress,
    /// The epoch since which every owner keeps to the lease length that it publishes in the roster;
    /// 0 if the previous owner may not. Lease lengths published by earlier owners are not trusted:
    /// an owner of an older version may have granted longer leases since.
    pub rules_since: Epoch,
    /// The workers that an earlier owner sent orders to.
    pub roster: WorkerRoster,
    /// Which of these workers had become silent, and until when their leases last.
    pub silent: SilentWorkers,
    /// A lower bound of the store's clock at the claim, in milliseconds.
    pub store_ms: u64,
    /// What an earlier owner has learnt about images.
    pub interference: InterferenceRow,
}

impl TakeoverInfo {
    /// The longest lease that an earlier owner may have granted while it could renew its ownership,
    /// in milliseconds; 0 for the first owner.
    pub(crate) fn inherited_lease_ms(&self, limits: &SchedulerLimits) -> Millis {
        let trusted = self.rules_since > 0 && self.roster.epoch >= self.rules_since;
        match self.epoch {
            FIRST_EPOCH => 0,
            _ if trusted => self.roster.lease_ms.unwrap_or(limits.max_lease_ms),
            _ => limits.max_lease_ms,
        }
    }

    /// The state at the start of the first owner, which inherits nothing.
    pub fn first(epoch: Epoch, claimed_at: Millis) -> Self {
        Self {
            epoch,
            claimed_at,
            ..Self::default()
        }
    }
}

/// The workers that may hold tasks of an earlier owner and that have not answered this owner yet.
#[derive(Clone, Debug)]
pub(crate) struct RecoveryState {
    /// For each worker, the time from which nothing of an earlier owner can be running there.
    pub(crate) unanswered: BTreeMap<WorkerId, Millis>,
    /// The time from which nothing that an earlier owner leased can be running anywhere.
    pub(crate) until: Millis,
    /// The time from which jobs that are newer than the takeover don't wait for unanswered workers
    /// any more: only an earlier owner that still reaches such a worker could have started them
    /// there.
    pub(crate) new_jobs_wait_until: Millis,
    /// Whether the worker list has been read since the claim.
    pub(crate) listed: bool,
    /// Whether a worker was lost that an earlier owner had sent orders to and that had not answered
    /// this owner.
    pub(crate) worker_lost: bool,
}

impl RecoveryState {
    /// The time from which nothing of an earlier owner can be running on a worker that has not
    /// answered.
    pub(crate) fn over_at(&self, worker: &WorkerId) -> Millis {
        self.unanswered.get(worker).copied().unwrap_or(self.until)
    }

    /// Has a worker that has not answered waited for until `until` at least.
    pub(crate) fn raise(&mut self, worker: &WorkerId, until: Millis) {
        if let Some(known) = self.unanswered.get_mut(worker) {
            *known = until.max(*known);
        }
    }
}
