//! Fault plans in which outages of the store overlap with other faults.

use super::faults::FaultPlan;

/// Outages of the store in series with workers that join, drain, are cut off and are not listed, and with new owners.
pub fn outages_in_series() -> FaultPlan {
    FaultPlan {
        outage_series: 200,
        joins: 600,
        draining_in_outages: 250,
        cut_in_outages: 500,
        refusing_cuts: 500,
        lapsing_entries: 600,
        owner_changes: 700,
        reclaims: 500,
        longest_task_ms: 4_000,
        guards: true,
        ..FaultPlan::default()
    }
}

/// Outages of the store while draining workers are cut off such that they refuse connections, and all entries lapse.
pub fn outages_with_drains() -> FaultPlan {
    FaultPlan {
        joins: 0,
        draining_in_outages: 500,
        refusing_cuts: 1_000,
        lapsing_entries: 1_000,
        ..outages_in_series()
    }
}

/// Outages of the store right after workers have joined, with a new owner each and with entries that lapse.
pub fn outages_after_joins() -> FaultPlan {
    FaultPlan {
        joins: 1_000,
        draining_in_outages: 0,
        cut_in_outages: 0,
        lapsing_entries: 1_000,
        owner_changes: 1_000,
        ..outages_in_series()
    }
}

/// Outages of the store while new owners read the progress of the jobs, and workers are cut off and not listed.
pub fn outages_amid_takeovers() -> FaultPlan {
    FaultPlan {
        joins: 0,
        draining_in_outages: 0,
        cut_in_outages: 0,
        cuts_after_takeover: 500,
        lapsing_entries: 1_000,
        owner_changes: 1_000,
        outages_after_claims: 700,
        state_read_ms: 2_000,
        ..outages_in_series()
    }
}
