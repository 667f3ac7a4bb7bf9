//! Each entry host's share of the backend servers' slots, computed locally instead of requested for each request.
//!
//! The slots of a server are assigned round-robin to the members of the newest membership view, in an order that differs from
//! server to server. A host uses a slot only if no other host can still be using it under an older view: a host that held the
//! slot in an older view blocks it until that host has reported a newer view or is gone. So the slots in use, summed over all
//! hosts, never exceed a server's slots, even while the membership changes. A host that loses a slot stops using it at once, and
//! the host that gains it waits for the other's report.

use std::collections::{BTreeMap, BTreeSet};

use sandshelf_model::{rendezvous_score, HostId, ServerId};
use serde::{Deserialize, Serialize};

/// The entry hosts that share the slots, at one version of the membership.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct MembershipView {
    /// The version, which is raised by one with each change of the members.
    pub version: u64,
    /// The member hosts, sorted.
    pub members: Vec<HostId>,
    /// Older views that some host may still be using.
    pub earlier: Vec<MembershipView>,
}

/// One host's knowledge of the membership views and of the version that each other host has reached.
#[derive(Clone, Debug)]
pub struct SlotShare {
    host: HostId,
    views: BTreeMap<u64, Vec<HostId>>,
    reached_versions: BTreeMap<HostId, u64>,
    gone: BTreeSet<HostId>,
}

impl SlotShare {
    /// Creates a share without a view; no slot may be used.
    pub fn new(host: HostId) -> Self {
        Self {
            host,
            views: BTreeMap::new(),
            reached_versions: BTreeMap::new(),
            gone: BTreeSet::new(),
        }
    }

    /// Returns the newest known version, which is reported to the other hosts; 0 without a view.
    pub fn version(&self) -> u64 {
        self.views.keys().next_back().copied().unwrap_or(0)
    }

    /// Records a view and the older views that it lists; returns whether it is newer than all known views.
    pub fn note_view(&mut self, view: &MembershipView) -> bool {
        let newer = view.version > self.version();
        for known in view.earlier.iter().chain([view]) {
            self.views.insert(known.version, known.members.clone());
        }
        newer
    }

    /// Records that `host` uses no view older than `version`; returns whether `version` is higher than recorded before.
    pub fn note_reached(&mut self, host: &HostId, version: u64) -> bool {
        let reached = self.reached_versions.entry(host.clone()).or_default();
        let is_newer = version > *reached;
        *reached = version.max(*reached);
        is_newer
    }

    /// Records that the platform lists `host` as gone, so that it uses no slot; returns whether that was new.
    pub fn note_gone(&mut self, host: &HostId) -> bool {
        self.gone.insert(host.clone())
    }

    /// Returns whether the platform lists `host` as gone.
    pub fn is_gone(&self, host: &HostId) -> bool {
        self.gone.contains(host)
    }

    /// Returns how many of the `slots` slots of `server` this host may use now.
    pub fn usable(&self, server: &ServerId, slots: u32) -> u32 {
        let Some((&newest, members)) = self.views.iter().next_back() else {
            return 0;
        };
        let order = holder_order(members, server);
        let earlier: Vec<(u64, Vec<&HostId>)> = self
            .views
            .range(..newest)
            .map(|(&version, members)| (version, holder_order(members, server)))
            .collect();
        let own = (0..slots).filter(|&slot| holder(&order, slot) == Some(&self.host));
        own.filter(|&slot| {
            let blocked = |(version, order): &(u64, Vec<&HostId>)| {
                holder(order, slot).is_some_and(|holder| self.may_still_use(holder, *version))
            };
            !earlier.iter().any(blocked)
        })
        .count() as u32
    }

    /// Returns whether another host may still be using a slot that it held in the view `version`.
    fn may_still_use(&self, holder: &HostId, version: u64) -> bool {
        if *holder == self.host || self.gone.contains(holder) {
            return false;
        }
        self.reached_versions.get(holder).copied().unwrap_or(0) <= version
    }

    /// Returns the view to write when the members change to `members`. It lists the known views that some host may still be
    /// using.
    pub fn next_view(&self, members: Vec<HostId>) -> MembershipView {
        let earlier = self
            .views
            .iter()
            .filter(|(&version, members)| self.may_be_used(version, members))
            .map(|(&version, members)| MembershipView {
                version,
                members: members.clone(),
                earlier: Vec::new(),
            });
        MembershipView {
            version: self.version() + 1,
            members,
            earlier: earlier.collect(),
        }
    }

    fn may_be_used(&self, version: u64, members: &[HostId]) -> bool {
        members.iter().any(|member| {
            let reached = self.reached_versions.get(member).copied().unwrap_or(0);
            let own = *member == self.host;
            own || (!self.gone.contains(member) && reached <= version)
        })
    }

    /// Returns the members of the newest view; empty without a view.
    pub fn members(&self) -> &[HostId] {
        self.views
            .values()
            .next_back()
            .map_or(&[], |members| members.as_slice())
    }

    /// Drops older views that no other host can be using.
    pub fn prune(&mut self) {
        let newest = self.version();
        let stale: Vec<u64> = self
            .views
            .iter()
            .filter(|(&version, members)| version < newest && !self.others_use(version, members))
            .map(|(&version, _)| version)
            .collect();
        for version in stale {
            self.views.remove(&version);
        }
    }

    fn others_use(&self, version: u64, members: &[HostId]) -> bool {
        members.iter().any(|member| {
            let reached = self.reached_versions.get(member).copied().unwrap_or(0);
            *member != self.host && !self.gone.contains(member) && reached <= version
        })
    }
}

/// Returns the order in which the slots of a server are assigned to the members.
fn holder_order<'a>(members: &'a [HostId], server: &ServerId) -> Vec<&'a HostId> {
    let mut order: Vec<&HostId> = members.iter().collect();
    order.sort_by_key(|member| {
        let score = rendezvous_score(server.as_str(), 0, member.as_str());
        (score, (*member).clone())
    });
    order
}

/// Returns the member that a slot is assigned to, round-robin in `order`; `None` without members.
fn holder<'a>(order: &[&'a HostId], slot: u32) -> Option<&'a HostId> {
    if order.is_empty() {
        return None;
    }
    Some(order[slot as usize % order.len()])
}
