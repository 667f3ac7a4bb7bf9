//! Counts the resources of each team's running tasks against the team's slice of its quota.

use std::collections::HashMap;

use sandshelf_model::{ResourceSize, TeamId};

/// The quota slices of one shard (the part of each team's quota that the shard may use) and the resources held under them.
#[derive(Clone, Debug, Default)]
pub struct QuotaLedger {
    slices: HashMap<TeamId, ResourceSize>,
    held: HashMap<TeamId, ResourceSize>,
}

impl QuotaLedger {
    /// Sets a team's slice. If the team already holds more, it keeps that, and no new task of it starts until enough is released.
    pub fn set_slice(&mut self, team: &TeamId, slice: ResourceSize) {
        self.slices.insert(team.clone(), slice);
    }

    /// Returns a team's slice; `None` if no slice was set.
    pub fn slice(&self, team: &TeamId) -> Option<&ResourceSize> {
        self.slices.get(team)
    }

    /// Returns the teams that have a slice, sorted.
    pub fn teams(&self) -> Vec<TeamId> {
        let mut teams: Vec<TeamId> = self.slices.keys().cloned().collect();
        teams.sort();
        teams
    }

    /// Returns the resources that a team's running tasks hold; zero if it has none.
    pub fn held(&self, team: &TeamId) -> ResourceSize {
        self.held.get(team).copied().unwrap_or_default()
    }

    /// Returns whether the team may hold `size` in addition within its slice; false if it has no slice.
    pub fn allows(&self, team: &TeamId, size: &ResourceSize) -> bool {
        let Some(slice) = self.slices.get(team) else {
            return false;
        };
        let sum = self.held(team).plus(size);
        sum.is_ok_and(|sum| sum.fits_in(slice))
    }

    /// Adds `size` to what a team holds. The slice is not checked, see [`Self::allows`].
    pub fn hold(&mut self, team: &TeamId, size: &ResourceSize) {
        let held = self.held.entry(team.clone()).or_default();
        *held = held
            .plus(size)
            .expect("held sizes belong to validated tasks");
    }

    /// Subtracts `size` from what a team holds.
    pub fn release(&mut self, team: &TeamId, size: &ResourceSize) {
        let held = self.held.entry(team.clone()).or_default();
        *held = held.minus(size).expect("a release matches an earlier hold");
    }

    /// Returns the fraction of its slice that a team holds, as the larger of the fractions of processors and memory.
    ///
    /// The fraction starts at 0 and is above 1 where the team holds more than its slice.
    pub fn share(&self, team: &TeamId) -> f64 {
        let held = self.held(team);
        let slice = self.slices.get(team).copied().unwrap_or_default();
        let ratio = |held: u64, limit: u64| held as f64 / limit.max(1) as f64;
        ratio(held.cpu_millis, slice.cpu_millis).max(ratio(held.memory_mib, slice.memory_mib))
    }
}
