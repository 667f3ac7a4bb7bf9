//! Notices of renewals: the owner tells the connected hosts, and these needn't read the owner row.

use std::collections::BTreeMap;

use sandshelf_jobs::relay::{OwnerNotice, RelayMessage, MAX_NOTICE_QUEUES};
use sandshelf_jobs::QueueAddress;
use sandshelf_model::{Epoch, Millis};

use super::OwnerLoop;
use crate::clock;
use crate::jobs::news::OwnerNews;
use crate::logging::event;

/// The shortest interval between two notices of renewals to the connected hosts. Renewals are sent every 0.4 s, and hosts read the owner
/// row 0.6 s after the last notice.
const NOTICE_INTERVAL_MS: Millis = 300;

impl OwnerLoop {
    /// Takes in that the owner has renewed its ownership: there is no need to read the owner row.
    pub(super) fn handle_notice(&mut self, notice: &OwnerNotice) {
        let now = clock::now();
        let OwnerNotice {
            epoch,
            version,
            sequence,
            ..
        } = notice;
        if !self.lease.note_renewed(now, *epoch, *version, *sequence) {
            self.watch.read_soon(now);
        } else if !self.store.health.is_failing() {
            self.watch.note_renewed(now);
        }
        self.news.send_replace(OwnerNews::new(now, notice));
    }

    /// Takes in that nobody listens any more at the address of the owner that this host was connected to.
    pub(super) fn handle_ended_owner(&mut self, epoch: Epoch) {
        event("owner_ended", &[("epoch", &epoch)]);
        self.watch.note_ended(clock::now(), epoch);
    }

    /// Tells the connected hosts of a renewal that was sent at `sent`, unless they were told a moment ago.
    pub(super) fn tell_renewal(&mut self, now: Millis, sent: Millis) {
        let (Some(owned), Some(stored)) = (&self.owned, self.lease.row()) else {
            return;
        };
        if now < self.next_notice_at || stored.row.owner.as_ref() != Some(&self.host) {
            return;
        }
        self.next_notice_at = now + NOTICE_INTERVAL_MS;
        let load = owned.scheduler.load_view(now);
        let load = load.filter(|load| load.queues.len() <= MAX_NOTICE_QUEUES);
        // This host accepts jobs too, and doesn't hear its own notices.
        self.news.send_if_modified(|news| {
            news.set_load(now, load.as_ref());
            false
        });
        owned.relays.tell_all(&RelayMessage::Renewed(OwnerNotice {
            epoch: stored.row.epoch,
            version: stored.version,
            sequence: stored.row.sequence,
            operator_version: self.queues.newest_change(),
            store_took_ms: now.saturating_sub(sent),
            pending: told_counts(owned.scheduler.pending_counts()),
            load,
        }));
    }
}

/// The counts of waiting jobs as a notice has them.
fn told_counts(counts: Option<&BTreeMap<QueueAddress, u64>>) -> Option<Vec<(QueueAddress, u64)>> {
    let counts = counts.filter(|counts| counts.len() <= MAX_NOTICE_QUEUES)?;
    let told = counts.iter().map(|(queue, count)| (queue.clone(), *count));
    Some(told.collect())
}
