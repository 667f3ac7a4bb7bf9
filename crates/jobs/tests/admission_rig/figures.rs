//! What the callers of a simulated load get, beside what an oracle gives them.

use std::cmp::Reverse;

use super::PlayedJob;

/// What callers of a queue got.
#[derive(Clone, Copy, Debug)]
pub struct CallerFigures {
    pub callers: usize,
    pub served: f64,
    pub refused: f64,
    /// The callers whose jobs were accepted and of no use.
    pub useless: f64,
    /// The callers that an oracle serves.
    pub oracle: f64,
    /// The served share of the largest tenth of the jobs.
    pub large_served: f64,
    /// The served share of the fifth below.
    pub next_served: f64,
}

impl CallerFigures {
    /// The figures of one queue; `capacity` is the work that is done in the counted time, in core-milliseconds.
    pub fn of(jobs: &[&PlayedJob], capacity: f64) -> Self {
        let share = |jobs: &[&PlayedJob], holds: &dyn Fn(&PlayedJob) -> bool| {
            jobs.iter().filter(|job| holds(job)).count() as f64 / jobs.len().max(1) as f64
        };
        let mut by_size = jobs.to_vec();
        by_size.sort_by_key(|job| Reverse(job.work));
        let (large, rest) = by_size.split_at(jobs.len() / 10);
        let next = &rest[..jobs.len() / 5];
        let served = |job: &PlayedJob| job.is_served();
        Self {
            callers: jobs.len(),
            served: share(jobs, &served),
            refused: share(jobs, &|job| job.refused_finally),
            useless: share(jobs, &|job| job.accepted.is_some() && !job.is_served()),
            oracle: oracle_share(large, rest, capacity),
            large_served: share(large, &served),
            next_served: share(next, &served),
        }
    }

    /// The mean of the figures of several runs.
    pub fn mean(runs: &[Self]) -> Self {
        let mean = |figure: fn(&Self) -> f64| {
            runs.iter().map(figure).sum::<f64>() / runs.len().max(1) as f64
        };
        Self {
            callers: runs.iter().map(|run| run.callers).sum(),
            served: mean(|run| run.served),
            refused: mean(|run| run.refused),
            useless: mean(|run| run.useless),
            oracle: mean(|run| run.oracle),
            large_served: mean(|run| run.large_served),
            next_served: mean(|run| run.next_served),
        }
    }
}

/// The share of callers that an oracle serves that knows all arrivals and real times, leaves no core idle, and refuses large jobs first as
/// far as these are served half as often as the whole.
fn oracle_share(large: &[&PlayedJob], rest: &[&PlayedJob], capacity: f64) -> f64 {
    let work = |jobs: &[&PlayedJob]| jobs.iter().map(|job| job.real_work as f64).sum::<f64>();
    let (large_work, rest_work) = (work(large), work(rest));
    let all = (large.len() + rest.len()) as f64;
    let (large_part, rest_part) = (large.len() as f64 / all, rest.len() as f64 / all);
    let ratio = 0.5 * rest_part / (1.0 - 0.5 * large_part);
    let rest_share = (capacity / (rest_work + ratio * large_work)).min(1.0);
    let large_share =
        ((capacity - rest_share * rest_work) / large_work).clamp(ratio * rest_share, 1.0);
    rest_part * rest_share + large_part * large_share
}
