//! Fault plans in which workers restart under their names in series with a change of owner and cuts.

use sandshelf_model::Millis;

use super::faults::{FaultPlan, OwnerChange};

/// Restarts in series with any change of owner, on workers that limit their leases to `max_lease_ms`.
pub fn restarts_in_series(max_lease_ms: Millis) -> FaultPlan {
    FaultPlan {
        workers: 10,
        same_name: 1_000,
        restart_series: 400,
        restarted_in_series: 600,
        cut_restarted: 700,
        outliving_calls: 600,
        longest_task_ms: 6_000,
        standing: true,
        guards: true,
        max_lease_ms,
        ..FaultPlan::default()
    }
}

/// Restarts in series with one kind of change of owner.
pub fn restarts_before(owner_change: OwnerChange, max_lease_ms: Millis) -> FaultPlan {
    FaultPlan {
        owner_change,
        ..restarts_in_series(max_lease_ms)
    }
}

/// Restarts in series after most of which the workers restart again.
pub fn repeated_restarts(max_lease_ms: Millis) -> FaultPlan {
    FaultPlan {
        second_restarts: 800,
        ..restarts_in_series(max_lease_ms)
    }
}

/// Restarts in series with two changes of owner each.
pub fn restarts_before_two_changes(max_lease_ms: Millis) -> FaultPlan {
    FaultPlan {
        second_owner_changes: 1_000,
        ..restarts_in_series(max_lease_ms)
    }
}

/// Restarts in series while many orders and renewals of any owner are carried out late.
pub fn restarts_amid_late_orders(max_lease_ms: Millis) -> FaultPlan {
    FaultPlan {
        second_restarts: 300,
        outliving_calls: 1_000,
        late_orders: 120,
        slow_paths: 20,
        ..restarts_in_series(max_lease_ms)
    }
}

/// Restarts in series in which late renewals acknowledge ends of the next incarnation.
pub fn restarts_amid_late_acknowledgements(max_lease_ms: Millis) -> FaultPlan {
    FaultPlan {
        outliving_acknowledgements: true,
        ..restarts_amid_late_orders(max_lease_ms)
    }
}
