//! Fault plans of the emulated runs: one for each kind of fault, and some that combine several.

use sandshelf_model::LoadPolicies;

use super::faults::FaultPlan;

/// The same faults, under owners with all decisions under load switched on.
pub fn with_policies(plan: FaultPlan) -> FaultPlan {
    FaultPlan {
        policies: LoadPolicies::all(),
        ..plan
    }
}

/// No faults; workers reject runs that exceed their capacity.
pub fn no_faults() -> FaultPlan {
    FaultPlan {
        guards: true,
        ..FaultPlan::default()
    }
}

/// Calls and answers are lost, orders are late, runs fail.
pub fn unreliable_calls() -> FaultPlan {
    FaultPlan {
        lost_calls: 20,
        lost_answers: 20,
        late_orders: 40,
        failed_runs: 30,
        ..FaultPlan::default()
    }
}

/// Workers crash, drain and are cut off.
pub fn unreliable_workers() -> FaultPlan {
    FaultPlan {
        crashes: 15,
        cuts: 30,
        drains: 10,
        failed_runs: 20,
        ..FaultPlan::default()
    }
}

/// Owners die, freeze and lose access to the store.
pub fn unreliable_owners() -> FaultPlan {
    FaultPlan {
        deaths: 120,
        freezes: 80,
        outages: 60,
        failed_runs: 30,
        ..FaultPlan::default()
    }
}

/// The faults of calls, workers and owners together.
pub fn all_faults() -> FaultPlan {
    FaultPlan {
        lost_calls: 10,
        lost_answers: 10,
        late_orders: 30,
        failed_runs: 30,
        crashes: 10,
        cuts: 20,
        drains: 8,
        deaths: 80,
        freezes: 50,
        outages: 40,
        guards: true,
        ..FaultPlan::default()
    }
}

/// The store turns owners away and serves the other hosts, and workers are cut off right after they have answered the next owner.
pub fn owners_turned_away() -> FaultPlan {
    FaultPlan {
        turn_aways: 150,
        cuts_after_takeover: 150,
        guards: true,
        standing: true,
        ..FaultPlan::default()
    }
}

/// Owners that are turned away, die or hand over, also while the store is out for all hosts, with workers that are cut off right after
/// they have answered the next owner.
pub fn owners_change_in_outages() -> FaultPlan {
    FaultPlan {
        turn_aways: 80,
        outages: 120,
        deaths: 100,
        hand_overs: 100,
        max_lease_ms: 10_000,
        ..owners_turned_away()
    }
}

/// Workers that leave or are lost for good while owners die or hand over; leases of 10 s at most.
pub fn workers_gone_for_good() -> FaultPlan {
    FaultPlan {
        departures: 50,
        losses: 15,
        deaths: 80,
        hand_overs: 100,
        guards: true,
        standing: true,
        max_lease_ms: 10_000,
        ..FaultPlan::default()
    }
}

/// Single calls are lost; there is no other fault.
pub fn lost_calls() -> FaultPlan {
    FaultPlan {
        lost_calls: 10,
        guards: true,
        standing: true,
        max_lease_ms: 10_000,
        ..FaultPlan::default()
    }
}

/// Owners that handle readings of the store's clock late, while workers are cut off or lost.
pub fn late_clocks() -> FaultPlan {
    FaultPlan {
        cuts: 60,
        losses: 5,
        deaths: 150,
        late_clock_ms: 300,
        guards: true,
        standing: true,
        max_lease_ms: 10_000,
        ..FaultPlan::default()
    }
}

/// Workers that lists omit while they are cut off, and a store that is slow to write.
pub fn unlisted_workers() -> FaultPlan {
    FaultPlan {
        cuts: 60,
        deaths: 80,
        omits_cut_workers: true,
        slow_writes_ms: 2_000,
        guards: true,
        standing: true,
        max_lease_ms: 10_000,
        ..FaultPlan::default()
    }
}

/// Tasks that crash their workers; there is no other fault.
pub fn crashing_tasks() -> FaultPlan {
    FaultPlan {
        workers: 16,
        crashers: 60,
        down_ms: 5_000,
        guards: true,
        standing: true,
        max_lease_ms: 10_000,
        ..FaultPlan::default()
    }
}

/// Tasks that crash their workers, while other workers crash on their own or restart repeatedly.
/// Tasks that merely run on those are never given up.
pub fn crashing_tasks_and_workers() -> FaultPlan {
    FaultPlan {
        crashes: 30,
        flapping: 1,
        failed_runs: 10,
        ..crashing_tasks()
    }
}

/// Tasks that crash their workers, together with all other faults.
pub fn crashing_tasks_and_all_faults() -> FaultPlan {
    FaultPlan {
        workers: 16,
        crashers: 60,
        down_ms: 5_000,
        ..all_faults()
    }
}

/// Tasks that crash their workers while owners die.
pub fn crashing_tasks_and_owners() -> FaultPlan {
    FaultPlan {
        deaths: 150,
        hand_overs: 50,
        outages: 30,
        ..crashing_tasks()
    }
}

/// Capacity that shrinks and grows on workers that start whatever they are ordered to, while owners
/// die and the store is unavailable. A reduction below a half can't be known while the store is
/// out, so this plan stops at a half.
pub fn shrinking_capacity() -> FaultPlan {
    FaultPlan {
        shrinks: 60,
        min_capacity_percent: 50,
        deaths: 60,
        hand_overs: 30,
        outages: 60,
        crashes: 5,
        drains: 5,
        late_orders: 20,
        lost_answers: 10,
        ..FaultPlan::default()
    }
}

/// Workers that crash and restart under their names; there is no other fault.
pub fn restarting_workers() -> FaultPlan {
    FaultPlan {
        crashes: 60,
        same_name: 1_000,
        guards: true,
        standing: true,
        max_lease_ms: 10_000,
        ..FaultPlan::default()
    }
}

/// Workers that restart under their names, together with all other faults and with delays that let
/// calls and answers overtake each other.
pub fn restarting_workers_and_all_faults() -> FaultPlan {
    FaultPlan {
        crashes: 40,
        same_name: 800,
        slow_paths: 50,
        ..all_faults()
    }
}

/// Workers that restart under their names while owners die, hand over and freeze.
pub fn restarting_workers_and_owners() -> FaultPlan {
    FaultPlan {
        deaths: 150,
        hand_overs: 80,
        freezes: 50,
        slow_paths: 20,
        ..restarting_workers()
    }
}

/// All workers restart at one moment, again and again, often right after their standing tasks have
/// begun; there is no other fault.
pub fn mass_restarts() -> FaultPlan {
    FaultPlan {
        workers: 8,
        mass_restarts: 300,
        same_name: 1_000,
        guards: true,
        standing: true,
        max_lease_ms: 10_000,
        ..FaultPlan::default()
    }
}

/// All workers restart at one moment while owners die, hand over and freeze, and calls and answers
/// are lost or overtake each other.
pub fn mass_restarts_and_other_faults() -> FaultPlan {
    FaultPlan {
        deaths: 80,
        hand_overs: 50,
        freezes: 30,
        lost_calls: 5,
        lost_answers: 5,
        late_orders: 20,
        slow_paths: 50,
        ..mass_restarts()
    }
}

/// Tasks that crash their workers, which restart under their names.
pub fn restarting_workers_and_crashing_tasks() -> FaultPlan {
    FaultPlan {
        same_name: 1_000,
        ..crashing_tasks()
    }
}

/// Capacity that shrinks and grows on workers that restart under their names.
pub fn restarting_workers_and_capacity() -> FaultPlan {
    FaultPlan {
        crashes: 30,
        same_name: 1_000,
        ..shrinking_capacity()
    }
}

/// Halls that are cut off one way or both ways, the owner's among them.
pub fn halls_cut() -> FaultPlan {
    FaultPlan {
        workers: 16,
        hall_cuts: 150,
        guards: true,
        standing: true,
        max_lease_ms: 10_000,
        ..FaultPlan::default()
    }
}

/// Halls that are cut off while owners die, freeze or lose access to the store, and calls are lost
/// or late.
pub fn halls_cut_and_other_faults() -> FaultPlan {
    FaultPlan {
        deaths: 60,
        freezes: 30,
        outages: 60,
        lost_calls: 5,
        lost_answers: 5,
        late_orders: 20,
        failed_runs: 20,
        ..halls_cut()
    }
}

/// Halls that operators evacuate and return to service, while owners die, hand over or lose access
/// to the store, and orders are late.
pub fn halls_evacuated() -> FaultPlan {
    FaultPlan {
        workers: 16,
        evacuations: 150,
        deaths: 60,
        hand_overs: 30,
        outages: 40,
        lost_answers: 5,
        late_orders: 20,
        failed_runs: 20,
        guards: true,
        standing: true,
        max_lease_ms: 10_000,
        ..FaultPlan::default()
    }
}

/// Halls that are evacuated while others are cut off.
pub fn halls_evacuated_and_cut() -> FaultPlan {
    FaultPlan {
        hall_cuts: 80,
        ..halls_evacuated()
    }
}

/// Some runs are slow; owners start copies and restart stuck runs.
pub fn slow_runs() -> FaultPlan {
    FaultPlan {
        copies: true,
        ..no_faults()
    }
}

/// Slow runs with copies while calls are lost and orders are late.
pub fn slow_runs_and_calls() -> FaultPlan {
    FaultPlan {
        copies: true,
        ..unreliable_calls()
    }
}

/// Slow runs with copies while owners die.
pub fn slow_runs_and_owners() -> FaultPlan {
    FaultPlan {
        copies: true,
        ..unreliable_owners()
    }
}

/// Slow runs with copies amid the faults of calls, workers and owners.
pub fn slow_runs_and_all_faults() -> FaultPlan {
    FaultPlan {
        copies: true,
        ..all_faults()
    }
}

/// Slow runs with copies while workers restart, amid all faults.
pub fn slow_runs_and_restarts() -> FaultPlan {
    FaultPlan {
        copies: true,
        ..restarting_workers_and_all_faults()
    }
}

/// Slow runs with copies while tasks crash their workers, amid all faults.
pub fn slow_runs_and_crashing_tasks() -> FaultPlan {
    FaultPlan {
        copies: true,
        ..crashing_tasks_and_all_faults()
    }
}

/// Slow runs with copies while halls are cut, amid other faults.
pub fn slow_runs_and_cut_halls() -> FaultPlan {
    FaultPlan {
        copies: true,
        ..halls_cut_and_other_faults()
    }
}
