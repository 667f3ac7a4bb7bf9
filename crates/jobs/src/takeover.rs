//! What an owner takes over from the one before, and whom it waits for.

use std::collections::BTreeMap;

use sandshelf_model::{Epoch, Millis, WorkerId};

use crate::ids::JobNumber;
use crate::interference::InterferenceRow;
use crate::limits::SchedulerLimits;
use crate::progress::ProgressRow;
use crate::roster::WorkerRoster;
use crate::silent::SilentWorkers;

/// The epoch of the very first owner: nobody has leased anything before.
pub(crate) const FIRST_EPOCH: Epoch = 1;

/// What an owner takes over.
#[derive(Clone, Debug, Default)]
pub struct TakeoverInfo {
    /// The owner's epoch; every order carries it.
    pub epoch: Epoch,
    /// When the claim took effect, on the scheduler's clock.
    pub claimed_at: Millis,
    /// The version as of which jobs were read; jobs up to it may be known to an earlier owner.
    pub claim_version: u64,
    /// The time of day at the claim, in milliseconds since 1970; 0 where it is not known.
    pub wall_ms: u64,
    /// Whether the jobs and their progress have yet to be read; they come with [`JobEvent::StateRead`], and until then the
    /// workers are held and nothing is started.
    pub state_pending: bool,
    /// What is durable of jobs.
    pub progress: BTreeMap<JobNumber, ProgressRow>,
    /// Since which epoch all owners keep to what they publish of leases; 0 where the one before is not known to. What an owner
    /// published before that says nothing: one of an earlier version may have granted longer leases since.
    pub rules_since: Epoch,
    /// The workers that an earlier owner gave orders to.
    pub roster: WorkerRoster,
    /// Which of them had fallen silent, and until when their leases last.
    pub silent: SilentWorkers,
    /// What the store's clock shows at least at the claim, in milliseconds.
    pub store_ms: u64,
    /// What an earlier owner had learnt of images.
    pub interference: InterferenceRow,
}

impl TakeoverInfo {
    /// How long the leases are at most that an earlier owner granted.
    pub(crate) fn inherited_lease_ms(&self, limits: &SchedulerLimits) -> Millis {
        let trusted = self.rules_since > 0 && self.roster.epoch >= self.rules_since;
        match self.epoch {
            FIRST_EPOCH => 0,
            _ if trusted => self.roster.lease_ms.unwrap_or(limits.max_lease_ms),
            _ => limits.max_lease_ms,
        }
    }

    /// What the very first owner finds: nothing.
    pub fn first(epoch: Epoch, claimed_at: Millis) -> Self {
        Self {
            epoch,
            claimed_at,
            ..Self::default()
        }
    }
}

/// Workers that an earlier owner may have left tasks on and that have not answered yet.
#[derive(Clone, Debug)]
pub(crate) struct Recovery {
    /// From when on nothing of an earlier owner's can be at work on each.
    pub(crate) unanswered: BTreeMap<WorkerId, Millis>,
    /// From when on nothing that an earlier owner leased can be at work.
    pub(crate) until: Millis,
    /// From when on jobs that are newer than the takeover don't wait for workers that have not answered: only an earlier
    /// owner that still reaches such a worker could have started them there.
    pub(crate) fresh_until: Millis,
    /// Whether the list of workers has been read since the claim.
    pub(crate) listed: bool,
    /// Whether a worker was lost that an earlier owner had given orders to and that had not answered.
    pub(crate) lost_some: bool,
}

impl Recovery {
    /// From when on nothing of an earlier owner's can be at work on a worker that has not answered.
    pub(crate) fn over_at(&self, worker: &WorkerId) -> Millis {
        self.unanswered.get(worker).copied().unwrap_or(self.until)
    }
}
