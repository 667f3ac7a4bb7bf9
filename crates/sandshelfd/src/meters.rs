//! The names of the daemon's metrics and the functions that record them.

use metrics::{counter, gauge, histogram};
use metrics_exporter_prometheus::{Matcher, PrometheusBuilder, PrometheusHandle};
use sandshelf_http::LimitHit;
use sandshelf_model::{RunVerdict, ServiceId, TeamId};

/// Counts finished requests, by class and verdict.
const REQUESTS: &str = "sandshelf_requests_total";
/// Histogram of the seconds from a request's arrival to its final answer, by class.
const REQUEST_SECONDS: &str = "sandshelf_request_seconds";
/// Histogram of the seconds that tasks waited until they were placed, by team.
const START_DELAY_SECONDS: &str = "sandshelf_start_delay_seconds";
/// Counts calls to the platform, by kind and outcome.
const PLATFORM_CALLS: &str = "sandshelf_platform_calls_total";
/// Counts connections that were closed and requests that were refused by a limit of the server, by port and limit.
const LIMITS: &str = "sandshelf_limits_hit_total";
/// The upper bounds of the histogram buckets, in seconds.
const HISTOGRAM_BUCKETS_S: [f64; 14] = [
    0.001, 0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.5, 1.0, 2.0, 5.0, 10.0, 60.0,
];

/// Installs the process-wide metrics recorder.
///
/// The handle renders the text that `/metrics` serves; none where a recorder can't be installed.
pub fn install() -> Option<PrometheusHandle> {
    let builder = PrometheusBuilder::new();
    let builder = builder
        .set_buckets_for_metric(Matcher::Suffix("_seconds".to_owned()), &HISTOGRAM_BUCKETS_S)
        .ok()?;
    builder.install_recorder().ok()
}

/// Records the final answer to a request and the time that it took.
pub fn note_request(class: &ServiceId, verdict: RunVerdict, seconds: f64) {
    let class = class.to_string();
    counter!(REQUESTS, "class" => class.clone(), "verdict" => verdict.label()).increment(1);
    histogram!(REQUEST_SECONDS, "class" => class).record(seconds);
}

/// Records how long a task waited until it was placed.
pub fn note_start(team: &TeamId, seconds: f64) {
    histogram!(START_DELAY_SECONDS, "team" => team.to_string()).record(seconds);
}

/// Counts a call to the platform; `kind` becomes a label of the metric.
pub fn note_platform(kind: &'static str, answered: bool) {
    let outcome = if answered { "answered" } else { "failed" };
    counter!(PLATFORM_CALLS, "kind" => kind, "outcome" => outcome).increment(1);
}

/// Counts a limit of the server that took effect on a port.
pub fn note_limit(port: &'static str, hit: LimitHit) {
    counter!(LIMITS, "port" => port, "limit" => hit.name()).increment(1);
}

/// Sets the gauges of the shards that this host owns and of the tasks that wait and are placed in them.
pub fn show_shards(held: usize, waiting: usize, placed: usize) {
    gauge!("sandshelf_shards_held").set(held as f64);
    gauge!("sandshelf_tasks_waiting").set(waiting as f64);
    gauge!("sandshelf_tasks_placed").set(placed as f64);
}

/// Sets the gauge of the revision of the configuration in force.
pub fn show_revision(revision: u64) {
    gauge!("sandshelf_config_revision").set(revision as f64);
}
