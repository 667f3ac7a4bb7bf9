//! Stored writes of a shard owner. Each is conditional on the version of the owner's row, and is retried until its outcome is
//! known.

use sandshelf_jobs::{CommitBatch, JobEvent};
use sandshelf_lease::{LeaseStage, StoredRow};
use sandshelf_model::Millis;

use super::{EmulatedHost, HostAction, HostPause};
use crate::queue::{Micros, MS};
use crate::store::{EmulatedStore, OwnerWrite, StoreCall, StoreReply};

// Same values as in the daemon's `jobs/writer.rs`.
const WRITE_TIMEOUT_MS: Millis = 900;
pub(super) const READ_TIMEOUT_MS: Millis = 600;
const RETRY_DELAY: Micros = 100 * MS;

/// A write whose outcome is not yet known.
#[derive(Clone, Debug)]
pub(super) struct WriteState {
    write: OwnerWrite,
    /// The time at which it was first sent, in milliseconds.
    sent: Millis,
}

impl EmulatedHost {
    pub(super) fn write(&mut self, at: Micros, mut write: OwnerWrite) {
        write.row.sent_store_ms = EmulatedStore::clock_ms(at);
        self.control.writing = Some(WriteState {
            write: write.clone(),
            sent: at / MS,
        });
        self.call_store(at, StoreCall::Write(Box::new(write)), WRITE_TIMEOUT_MS);
    }

    /// Writes the waiting batch, or renews the shard lease if that is due. Does nothing while another write is in progress.
    pub(super) fn write_next(&mut self, at: Micros) {
        let stage = self.control.lease.stage();
        let holding = matches!(stage, LeaseStage::Holding | LeaseStage::Recovering);
        if self.control.writing.is_some() || !holding {
            return;
        }
        let batch = match self.control.pending_batch.take() {
            Some(batch) => batch,
            None if self.control.lease.wants_renewal(at / MS) => CommitBatch::default(),
            None => return,
        };
        let token = self.token();
        let (version, row) = self.control.lease.next_row(token);
        self.write(
            at,
            OwnerWrite {
                version,
                row,
                batch,
            },
        );
    }

    /// Handles the end of a write attempt; `reply` is `None` if it timed out.
    pub(super) fn handle_write_reply(&mut self, at: Micros, reply: Option<StoreReply>) {
        match reply {
            Some(StoreReply::Written(version)) => self.note_written(at, version),
            Some(StoreReply::Conflict(current)) => self.check_write(at, current),
            _ => {
                let until = at + RETRY_DELAY;
                self.actions
                    .push((at, HostAction::Pause(HostPause::Write, until)));
            }
        }
    }

    /// Reads the owner's row to learn whether an unanswered write took effect.
    pub(super) fn read_write_outcome(&mut self, at: Micros) {
        if self.control.writing.is_some() {
            self.call_store(at, StoreCall::CheckWrite, READ_TIMEOUT_MS);
        }
    }

    pub(super) fn handle_check(&mut self, at: Micros, reply: Option<StoreReply>) {
        match reply {
            Some(StoreReply::Owner(current)) => self.check_write(at, current),
            _ => self.write_again(at),
        }
    }

    fn write_again(&mut self, at: Micros) {
        if let Some(state) = &self.control.writing {
            let store_call = StoreCall::Write(Box::new(state.write.clone()));
            self.call_store(at, store_call, WRITE_TIMEOUT_MS);
        }
    }

    fn check_write(&mut self, at: Micros, current: StoredRow) {
        let Some(state) = &self.control.writing else {
            return;
        };
        if current.row.token == state.write.row.token {
            self.note_written(at, current.version);
        } else if current.version != state.write.version {
            self.control.writing = None;
            self.step_down();
            self.write_next(at);
        } else {
            self.write_again(at);
        }
    }

    fn note_written(&mut self, at: Micros, version: u64) {
        let Some(state) = self.control.writing.take() else {
            return;
        };
        let lease = &mut self.control.lease;
        let claimed = *lease.stage() == LeaseStage::Claiming;
        lease.note_committed(at / MS, state.sent, version, state.write.row);
        let batch = state.write.batch.id;
        if claimed {
            self.read_takeover(at);
        } else if self.control.owned.is_some() && batch > 0 {
            self.handle_events(at, vec![JobEvent::Committed(batch)]);
        }
        self.tell_renewal(at);
        self.write_next(at);
    }
}
