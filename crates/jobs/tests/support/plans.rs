//! What goes wrong in the plays of the emulator: one plan for each kind of trouble, and some for several at a time.

use super::faults::FaultPlan;

/// Nothing goes wrong, and workers refuse what does not fit.
pub fn calm() -> FaultPlan {
    FaultPlan {
        guards: true,
        ..FaultPlan::default()
    }
}

/// Calls and answers get lost, orders are late, runs fail.
pub fn rough_calls() -> FaultPlan {
    FaultPlan {
        lost_calls: 20,
        lost_answers: 20,
        late_orders: 40,
        failed_runs: 30,
        ..FaultPlan::default()
    }
}

/// Workers crash, leave and are cut off.
pub fn rough_workers() -> FaultPlan {
    FaultPlan {
        crashes: 15,
        cuts: 30,
        drains: 10,
        failed_runs: 20,
        ..FaultPlan::default()
    }
}

/// Owners die, freeze and lose the store.
pub fn rough_owners() -> FaultPlan {
    FaultPlan {
        deaths: 120,
        freezes: 80,
        outages: 60,
        failed_runs: 30,
        ..FaultPlan::default()
    }
}

/// All of these at once.
pub fn all_at_once() -> FaultPlan {
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

/// Workers that leave or are lost for good beside owners that die or hand over; leases of 10 s at most.
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

/// Single calls get lost; everything else is sound.
pub fn lost_calls() -> FaultPlan {
    FaultPlan {
        lost_calls: 10,
        guards: true,
        standing: true,
        max_lease_ms: 10_000,
        ..FaultPlan::default()
    }
}

/// Owners that take in late what the store's clock shows, beside workers that are cut off or lost.
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
        unlists: true,
        slow_writes_ms: 2_000,
        guards: true,
        standing: true,
        max_lease_ms: 10_000,
        ..FaultPlan::default()
    }
}

/// Tasks that crash their workers, nothing else.
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

/// Tasks that crash their workers beside workers that crash by themselves or go down and up by turns: what merely runs there is never
/// given up.
pub fn crashes_of_both_kinds() -> FaultPlan {
    FaultPlan {
        crashes: 30,
        flapping: 1,
        failed_runs: 10,
        ..crashing_tasks()
    }
}

/// Tasks that crash their workers beside all else.
pub fn crashing_tasks_amid_all() -> FaultPlan {
    FaultPlan {
        workers: 16,
        crashers: 60,
        down_ms: 5_000,
        ..all_at_once()
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

/// Rooms that shrink and grow on workers that start whatever they are told, beside owners that die and a store that is out. Below a half
/// nobody can know of it while the store is out.
pub fn shrinking_rooms() -> FaultPlan {
    FaultPlan {
        shrinks: 60,
        least_room: 50,
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

/// Workers that go down and start again under their names; nothing else goes wrong.
pub fn same_names() -> FaultPlan {
    FaultPlan {
        crashes: 60,
        same_name: 1_000,
        guards: true,
        standing: true,
        max_lease_ms: 10_000,
        ..FaultPlan::default()
    }
}

/// Workers that start again under their names beside all else, on ways on which calls and answers pass each other.
pub fn same_names_amid_all() -> FaultPlan {
    FaultPlan {
        crashes: 40,
        same_name: 800,
        slow_ways: 50,
        ..all_at_once()
    }
}

/// Workers that start again under their names while owners die, hand over and freeze.
pub fn same_names_and_owners() -> FaultPlan {
    FaultPlan {
        deaths: 150,
        hand_overs: 80,
        freezes: 50,
        slow_ways: 20,
        ..same_names()
    }
}

/// Tasks that crash their workers, which start again under their names.
pub fn same_names_under_crashing_tasks() -> FaultPlan {
    FaultPlan {
        same_name: 1_000,
        ..crashing_tasks()
    }
}

/// Rooms that shrink and grow on workers that start again under their names.
pub fn same_names_and_rooms() -> FaultPlan {
    FaultPlan {
        crashes: 30,
        same_name: 1_000,
        ..shrinking_rooms()
    }
}

/// Halls that are cut off one way or both, the owner's among them.
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

/// Halls that are cut off beside owners that die, freeze or lose the store, and calls that get lost or come late.
pub fn halls_cut_amid_all() -> FaultPlan {
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

/// Halls that operators evacuate and take back, beside owners that die, hand over or lose the store, and orders that come late.
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

/// The same beside halls that are cut off.
pub fn halls_evacuated_and_cut() -> FaultPlan {
    FaultPlan {
        hall_cuts: 80,
        ..halls_evacuated()
    }
}
