//! Log lines with the load of an owner and of its queues.

use sandshelf_jobs::admission::LoadView;
use sandshelf_jobs::relay::DispatcherStats;
use sandshelf_jobs::SchedulerCounts;
use sandshelf_model::Epoch;

use crate::jobs::notes::or_none;
use crate::logging::event;

/// Logs an owner's load: its jobs, tasks, workers and relays.
pub fn log_load(epoch: Epoch, counts: &SchedulerCounts, relays: &DispatcherStats) {
    event(
        "owner_load",
        &[
            ("epoch", &epoch),
            ("jobs", &counts.jobs),
            ("waiting", &counts.waiting),
            ("runs", &counts.runs),
            ("open_workers", &counts.open_workers),
            ("workers", &counts.workers),
            ("unwritten", &counts.dirty),
            ("unwritten_ms", &counts.oldest_unwritten_ms),
            ("unwritten_job", &or_none(counts.oldest_unwritten.as_ref())),
            ("unacknowledged", &counts.unacknowledged_ends),
            ("stretch", &counts.stretch),
            ("serving", &counts.serving),
            ("over_target", &counts.over_target),
            ("longest_over_ms", &counts.longest_over_ms),
            ("filling", &counts.filling),
            ("slowed", &counts.slowed),
            ("evacuated_halls", &counts.evacuated_halls),
            ("evacuated_runs", &counts.evacuated_runs),
            ("fill_wanted", &counts.fill_wanted),
            ("fill_paced", &counts.fill_paced),
            ("fill_used", &counts.fill_used),
            ("filling_held", &counts.filling_held),
            ("reserved_workers", &counts.reserved_workers),
            ("copies", &counts.copies),
            ("holds", &counts.holds),
            ("held_cpu", &counts.held_cpu),
            ("relays_offered", &relays.offered),
            ("relays", &relays.in_use),
            ("relayed", &relays.open),
        ],
    );
}

/// Logs the load of each queue whose jobs may be refused, as the owner publishes it.
pub fn log_queue_loads(view: &LoadView) {
    for load in view.queues.iter().filter(|load| load.short_of_capacity) {
        event(
            "queue_load",
            &[
                ("epoch", &view.epoch),
                ("queue", &load.queue),
                ("share_permille", &load.share_permille),
                ("large_share_permille", &load.large_share_permille),
                ("large_above", &load.large_above),
                ("waiting_jobs", &load.waiting_jobs),
                ("begun_jobs", &load.begun_jobs),
                ("work_left", &load.work_left),
                ("work_per_s", &load.work_per_s),
                ("drain_ms", &load.drain_ms()),
                ("relief_ms", &load.relief_ms),
                ("took_percent", &load.took_percent),
            ],
        );
    }
}
