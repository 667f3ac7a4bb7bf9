//! Writes for the owner: its claims, renewals and the batches of its scheduler, one at a time.

use sandshelf_jobs::{CommitBatch, JobEvent};
use sandshelf_lease::LeaseStage;
use sandshelf_model::Millis;
use tokio::task::spawn_local;

use super::{OwnerLoop, OwnerMessage};
use crate::clock;
use crate::jobs::writer::{OwnerWrite, WriteResult};
use crate::logging::event;

impl OwnerLoop {
    pub(super) fn write(&mut self, write: OwnerWrite) {
        self.write_in_flight = true;
        let store = self.store.clone();
        let messages = self.messages.clone();
        spawn_local(async move {
            let result = store.write(write).await;
            let _ = messages.send(OwnerMessage::Written(result));
        });
    }

    /// Writes the pending batch, or renews the ownership if that is due.
    pub(super) fn write_next(&mut self, now: Millis) {
        let holding = matches!(
            self.lease.stage(),
            LeaseStage::Holding | LeaseStage::Recovering
        );
        if self.write_in_flight || !holding {
            return;
        }
        let batch = match self.pending_batch.take() {
            Some(batch) => batch,
            None if self.lease.wants_renewal(now) => CommitBatch::default(),
            None => return,
        };
        let (version, row) = self.lease.next_row(self.token());
        let leftovers = self.leftovers.take_beside(&batch);
        self.write(OwnerWrite {
            version,
            row,
            batch,
            leftovers,
        });
    }

    pub(super) fn handle_write_result(&mut self, result: WriteResult) {
        let now = clock::now();
        self.write_in_flight = false;
        match result {
            WriteResult::Lost => self.lose("another host's write came first"),
            WriteResult::Committed {
                sent,
                stored,
                batch,
            } => {
                let claimed = *self.lease.stage() == LeaseStage::Claiming;
                let released = stored.row.owner.is_none();
                if released {
                    event("shard_released", &[("epoch", &stored.row.epoch)]);
                }
                let version = stored.version;
                self.lease.note_committed(now, sent, version, stored.row);
                if released {
                    self.released = self.stop_deadline.is_some();
                } else if claimed {
                    self.read_takeover();
                } else if self.owned.is_some() && batch > 0 {
                    self.handle(JobEvent::Committed(batch));
                }
                self.tell_renewal(now, sent);
            }
        }
        // These checks run between two writes: where much changes, writes follow one another without a pause.
        self.check_takeover(now);
        self.check_stop(now);
        self.write_next(now);
    }
}
