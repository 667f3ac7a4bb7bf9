//! Each entry host's share of the backend servers' slots, without asking for each request.
//!
//! The slots of a server are dealt to the members of the newest view in turn, in an order of the server's own. A host uses
//! a slot only when no other host can still be using it under an older view: every other host that held it in a view which that host has not
//! yet been heard to leave behind blocks the slot. So the sum over all hosts never passes a server's slots, also while
//! the membership changes: a host that loses a slot stops at once, and one that gains it waits for the other's word.

use std::collections::{BTreeMap, BTreeSet};

use sandshelf_model::{rendezvous_score, HostId, ServerId};
use serde::{Deserialize, Serialize};

/// The entry hosts that share the slots, as of one version.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct MembershipView {
    /// Grows with each change.
    pub version: u64,
    /// The hosts, in order.
    pub members: Vec<HostId>,
    /// Earlier views that some host may still be using.
    pub earlier: Vec<MembershipView>,
}

/// One host's knowledge of views and of who has left which behind.
#[derive(Clone, Debug)]
pub struct SlotShare {
    host: HostId,
    views: BTreeMap<u64, Vec<HostId>>,
    reached: BTreeMap<HostId, u64>,
    gone: BTreeSet<HostId>,
}

impl SlotShare {
    /// Starts without a view: no slot may be used.
    pub fn new(host: HostId) -> Self {
        Self {
            host,
            views: BTreeMap::new(),
            reached: BTreeMap::new(),
            gone: BTreeSet::new(),
        }
    }

    /// The newest version taken in; this is what the other hosts are told.
    pub fn version(&self) -> u64 {
        self.views.keys().next_back().copied().unwrap_or(0)
    }

    /// Takes in a view with the earlier ones that it lists; returns whether it is newer.
    pub fn note_view(&mut self, view: &MembershipView) -> bool {
        let newer = view.version > self.version();
        for known in view.earlier.iter().chain([view]) {
            self.views.insert(known.version, known.members.clone());
        }
        newer
    }

    /// Takes in that `host` uses no view older than `version`; returns whether that was news.
    pub fn note_reached(&mut self, host: &HostId, version: u64) -> bool {
        let reached = self.reached.entry(host.clone()).or_default();
        let news = version > *reached;
        *reached = version.max(*reached);
        news
    }

    /// Takes in that the platform lists `host` as gone: it uses no slot any more.
    pub fn note_gone(&mut self, host: &HostId) -> bool {
        self.gone.insert(host.clone())
    }

    /// Whether the platform lists `host` as gone.
    pub fn is_gone(&self, host: &HostId) -> bool {
        self.gone.contains(host)
    }

    /// Counts the slots of `server`, out of `slots`, that this host may use now.
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

    /// Whether another host may still be using what it held under the view `version`.
    fn may_still_use(&self, holder: &HostId, version: u64) -> bool {
        if *holder == self.host || self.gone.contains(holder) {
            return false;
        }
        self.reached.get(holder).copied().unwrap_or(0) <= version
    }

    /// The view to write when the members change to `members`; keeps the earlier views that may still be used.
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
            let reached = self.reached.get(member).copied().unwrap_or(0);
            let own = *member == self.host;
            own || (!self.gone.contains(member) && reached <= version)
        })
    }

    /// The members of the newest view.
    pub fn members(&self) -> &[HostId] {
        self.views
            .values()
            .next_back()
            .map_or(&[], |members| members.as_slice())
    }

    /// Forgets earlier views that no host can be using.
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
            let reached = self.reached.get(member).copied().unwrap_or(0);
            *member != self.host && !self.gone.contains(member) && reached <= version
        })
    }
}

/// The order in which members are dealt the slots of a server.
fn holder_order<'a>(members: &'a [HostId], server: &ServerId) -> Vec<&'a HostId> {
    let mut order: Vec<&HostId> = members.iter().collect();
    order.sort_by_key(|member| {
        let score = rendezvous_score(server.as_str(), 0, member.as_str());
        (score, (*member).clone())
    });
    order
}

/// The member that is dealt a slot: each gets one before any gets a second.
fn holder<'a>(order: &[&'a HostId], slot: u32) -> Option<&'a HostId> {
    if order.is_empty() {
        return None;
    }
    Some(order[slot as usize % order.len()])
}
