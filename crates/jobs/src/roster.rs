//! The durable list of the workers that may hold tasks.
//!
//! It is stored in pages of workers and a head with what holds for all of them. A commit contains the pages that have changed.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

use sandshelf_model::{Epoch, Millis, WorkerId};
use serde::{Deserialize, Serialize};

use crate::ids::WorkerIncarnation;
use crate::incarnation::IncarnationState;
use crate::store_clock::ClockBound;
use crate::worker::WorkerState;
use crate::worker_page::WorkerPage;

/// An incarnation of a worker that an owner has heard from, as its roster names it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct NamedIncarnation {
    /// The incarnation's identifier.
    pub id: WorkerIncarnation,
    /// Until when it may be leased beyond the length of leases in the head of the roster, in
    /// milliseconds on the store's clock; 0 if it may not. `None` if that is not known: only the
    /// worker's own limit bounds it.
    #[serde(default = "ordinary_leases", skip_serializing_if = "are_ordinary")]
    pub leased_until: Option<u64>,
}

fn ordinary_leases() -> Option<u64> {
    Some(0)
}

fn are_ordinary(leased_until: &Option<u64>) -> bool {
    *leased_until == ordinary_leases()
}

impl NamedIncarnation {
    /// The name of an incarnation with the end of its leases; none before it is heard or read.
    fn of(incarnation: &IncarnationState, store_clock: &ClockBound) -> Option<Self> {
        let leased_until = match incarnation.other_leases_until() {
            _ if !incarnation.accounted && incarnation.successor_until == 0 => None,
            0 => Some(0),
            until => store_clock.at_most(until),
        };
        Some(Self {
            id: incarnation.id?,
            leased_until,
        })
    }

    /// The state of the incarnation for an owner that claimed the shard at `claimed_at`, when the
    /// store's clock showed `store_ms` at least.
    pub(crate) fn restore(self, claimed_at: Millis, store_ms: u64) -> IncarnationState {
        let leased_until = self.leased_until.unwrap_or(0);
        let left_ms = leased_until.saturating_sub(store_ms);
        let mut incarnation = IncarnationState::new(Some(self.id));
        incarnation.accounted = self.leased_until.is_some();
        if left_ms > 0 {
            incarnation.inherited_until = claimed_at + left_ms;
        }
        incarnation
    }
}

/// The workers that may hold tasks, and the longest lease that they hold.
#[derive(Clone, Debug, Default, PartialEq, Eq, Deserialize)]
pub struct WorkerRoster {
    /// The epoch of the owner that wrote its head.
    #[serde(default)]
    pub epoch: Epoch,
    /// The name and address of each worker.
    #[serde(default)]
    pub workers: Vec<(WorkerId, SocketAddr)>,
    /// The incarnation of each worker that the owner has heard from or read of, in the order of `workers`.
    #[serde(default)]
    pub incarnations: Vec<Option<NamedIncarnation>>,
    /// The longest lease in milliseconds; `None` means the longest that the platform allows.
    #[serde(default)]
    pub lease_ms: Option<Millis>,
}

/// What holds for all workers of a roster.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct RosterHead {
    /// The epoch of the owner that wrote it.
    pub epoch: Epoch,
    /// The longest lease in milliseconds.
    pub lease_ms: Option<Millis>,
}

/// The workers of one page of a roster.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct RosterPage {
    /// The name and address of each worker.
    pub workers: Vec<(WorkerId, SocketAddr)>,
    /// The incarnation of each worker whose leases the owner can tell, in the order of `workers`.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub incarnations: Vec<Option<NamedIncarnation>>,
}

/// A change of the stored roster.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct RosterChange {
    /// The new head; none if it is unchanged.
    pub head: Option<RosterHead>,
    /// The new content of each changed page.
    pub pages: BTreeMap<WorkerPage, RosterPage>,
}

impl RosterChange {
    /// Whether nothing changes.
    pub fn is_empty(&self) -> bool {
        self.head.is_none() && self.pages.is_empty()
    }

    /// Applies the change to a roster.
    pub fn apply_to(&self, roster: &mut WorkerRoster) {
        if let Some(head) = &self.head {
            roster.epoch = head.epoch;
            roster.lease_ms = head.lease_ms;
        }
        roster.remove_pages(&self.pages);
        for page in self.pages.values() {
            roster.add_page(page.clone());
        }
    }
}

impl WorkerRoster {
    /// Adds the workers of a page.
    pub fn add_page(&mut self, page: RosterPage) {
        // Without any known incarnation the list of incarnations is empty.
        self.incarnations.resize(self.workers.len(), None);
        let workers = page.workers.len();
        self.workers.extend(page.workers);
        let named = page.incarnations.into_iter();
        let named = named.chain(std::iter::repeat(None));
        self.incarnations.extend(named.take(workers));
    }

    fn remove_pages(&mut self, pages: &BTreeMap<WorkerPage, RosterPage>) {
        let named = std::mem::take(&mut self.incarnations).into_iter();
        let named = named.chain(std::iter::repeat(None));
        let entries = std::mem::take(&mut self.workers).into_iter().zip(named);
        let stay = entries.filter(|((worker, _), _)| !pages.contains_key(&WorkerPage::of(worker)));
        (self.workers, self.incarnations) = stay.unzip();
    }
}

/// The workers that belong in the stored roster, and what of it has to be written.
#[derive(Clone, Debug, Default)]
pub(crate) struct RosterMembers {
    pages: BTreeMap<WorkerPage, BTreeSet<WorkerId>>,
    changed: BTreeSet<WorkerPage>,
    /// The members of the pages in the commit in flight.
    requested: BTreeSet<WorkerId>,
    pub(crate) head_changed: bool,
}

impl RosterMembers {
    pub(crate) fn contains(&self, worker: &WorkerId) -> bool {
        let page = self.pages.get(&WorkerPage::of(worker));
        page.is_some_and(|workers| workers.contains(worker))
    }

    /// Adds a worker that was read from the store.
    pub(crate) fn restore(&mut self, worker: &WorkerId) -> WorkerPage {
        let page = WorkerPage::of(worker);
        self.pages.entry(page).or_default().insert(worker.clone());
        page
    }

    /// Adds a worker that is not contained.
    pub(crate) fn add(&mut self, worker: &WorkerId) {
        let page = self.restore(worker);
        self.changed.insert(page);
    }

    /// Removes a worker if it is contained.
    pub(crate) fn remove(&mut self, worker: &WorkerId) {
        self.requested.remove(worker);
        let page = WorkerPage::of(worker);
        let workers = self.pages.get_mut(&page);
        if workers.is_some_and(|workers| workers.remove(worker)) {
            self.changed.insert(page);
        }
    }

    /// Records that the entry of a worker has changed, if the worker is contained.
    pub(crate) fn note_changed(&mut self, worker: &WorkerId) {
        if self.contains(worker) {
            self.changed.insert(WorkerPage::of(worker));
        }
    }

    /// Has all pages written again.
    pub(crate) fn rewrite(&mut self) {
        self.changed.extend(WorkerPage::all());
    }

    /// The pages that have to be written.
    pub(crate) fn changed_pages(&self) -> Vec<WorkerPage> {
        self.changed.iter().copied().collect()
    }

    /// Records that a page is written with the next commit.
    pub(crate) fn note_requested(&mut self, page: WorkerPage) {
        self.changed.remove(&page);
        let members = self.pages.get(&page).into_iter().flatten();
        self.requested.extend(members.cloned());
    }

    /// Handles that the commit in flight took effect. Returns the members that it wrote and that are
    /// still contained.
    pub(crate) fn note_committed(&mut self) -> BTreeSet<WorkerId> {
        std::mem::take(&mut self.requested)
    }

    /// The present content of a page.
    pub(crate) fn content(
        &self,
        page: WorkerPage,
        known: &BTreeMap<WorkerId, WorkerState>,
        store_clock: &ClockBound,
    ) -> RosterPage {
        let members = self.pages.get(&page).into_iter().flatten();
        let named: Vec<(&WorkerId, &WorkerState)> = members
            .filter_map(|worker| known.get_key_value(worker))
            .collect();
        let address =
            |(worker, state): &(&WorkerId, &WorkerState)| ((*worker).clone(), state.entry.address);
        let states = named.iter().map(|(_, state)| &state.incarnation);
        let incarnations: Vec<Option<NamedIncarnation>> = states
            .map(|incarnation| NamedIncarnation::of(incarnation, store_clock))
            .collect();
        let any_named = incarnations.iter().any(Option::is_some);
        RosterPage {
            workers: named.iter().map(address).collect(),
            incarnations: if any_named { incarnations } else { Vec::new() },
        }
    }
}
