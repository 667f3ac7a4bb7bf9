//! Durable writes of an owner: each is conditional on the owner's row, and tried until its fate is known.

use sandshelf_jobs::{CommitBatch, JobEvent};
use sandshelf_lease::{LeaseStage, StoredRow};
use sandshelf_model::Millis;

use super::{EmulatedHost, HostAction, HostPause};
use crate::queue::{Micros, MS};
use crate::store::{OwnerWrite, StoreCall, StoreReply};

// The durations of the daemon's `jobs/writer.rs`.
const WRITE_PATIENCE_MS: Millis = 900;
pub(super) const READ_PATIENCE_MS: Millis = 600;
const RETRY_PAUSE: Micros = 100 * MS;

/// A write under way.
#[derive(Clone, Debug)]
pub(super) struct WriteState {
    write: OwnerWrite,
    sent: Millis,
}

impl EmulatedHost {
    pub(super) fn write(&mut self, at: Micros, write: OwnerWrite) {
        self.control.writing = Some(WriteState {
            write: write.clone(),
            sent: at / MS,
        });
        self.ask(at, StoreCall::Write(Box::new(write)), WRITE_PATIENCE_MS);
    }

    /// Writes the batch that waits, or renews the ownership where that is due.
    pub(super) fn write_next(&mut self, at: Micros) {
        let stage = self.control.lease.stage();
        let holding = matches!(stage, LeaseStage::Holding | LeaseStage::Recovering);
        if self.control.writing.is_some() || !holding {
            return;
        }
        let batch = match self.control.waiting_batch.take() {
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

    /// An attempt to write has come to its end.
    pub(super) fn take_write(&mut self, at: Micros, reply: Option<StoreReply>) {
        match reply {
            Some(StoreReply::Written(version)) => self.note_written(at, version),
            Some(StoreReply::Conflict(current)) => self.check_write(at, current),
            _ => {
                let until = at + RETRY_PAUSE;
                self.actions
                    .push((at, HostAction::Pause(HostPause::Write, until)));
            }
        }
    }

    /// Looks what became of a write that got no answer.
    pub(super) fn ask_for_write(&mut self, at: Micros) {
        if self.control.writing.is_some() {
            self.ask(at, StoreCall::CheckWrite, READ_PATIENCE_MS);
        }
    }

    pub(super) fn take_check(&mut self, at: Micros, reply: Option<StoreReply>) {
        match reply {
            Some(StoreReply::Owner(current)) => self.check_write(at, current),
            _ => self.write_again(at),
        }
    }

    fn write_again(&mut self, at: Micros) {
        if let Some(state) = &self.control.writing {
            let ask = StoreCall::Write(Box::new(state.write.clone()));
            self.ask(at, ask, WRITE_PATIENCE_MS);
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
            self.lose();
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
            self.take_events(at, vec![JobEvent::Committed(batch)]);
        }
        self.write_next(at);
    }
}
