//! Notices of renewals: the owner tells the other hosts, which then don't read its row.

use std::sync::Arc;

use sandshelf_model::Millis;

use super::{EmulatedHost, HostAction, RenewalNotice};
use crate::queue::{Micros, MS};

// Same value as in the daemon's `jobs/owner/notices.rs`.
const NOTICE_INTERVAL_MS: Millis = 300;

impl EmulatedHost {
    /// Tells the other hosts of a renewal, unless they were told a moment ago.
    pub(super) fn tell_renewal(&mut self, at: Micros) {
        let (Some(epoch), Some(stored)) = (self.control.epoch(), self.control.lease.row().cloned())
        else {
            return;
        };
        if at / MS < self.control.next_notice {
            return;
        }
        let load = self.control.load_view(at / MS).map(Arc::new);
        // This host accepts jobs too, and doesn't hear its own notices.
        self.hear_load(at, load.clone());
        let notice = RenewalNotice {
            epoch,
            version: stored.version,
            sequence: stored.row.sequence,
            load,
        };
        self.control.next_notice = at / MS + NOTICE_INTERVAL_MS;
        self.actions.push((at, HostAction::Tell(notice)));
    }

    /// Handles a notice of the owner.
    pub(super) fn handle_notice(&mut self, at: Micros, notice: &RenewalNotice) {
        let now = at / MS;
        let RenewalNotice {
            epoch,
            version,
            sequence,
            ref load,
        } = *notice;
        self.hear_load(at, load.clone());
        if !self
            .control
            .lease
            .note_renewed(now, epoch, version, sequence)
        {
            self.control.watch.read_soon(now);
        } else if self.store_failures == 0 {
            self.control.watch.note_renewed(now);
        }
    }

    /// Handles that nobody listens any more at the address of the owner of an epoch.
    pub(super) fn handle_ended_owner(&mut self, at: Micros, epoch: u64) {
        self.control.watch.note_ended(at / MS, epoch);
    }
}
