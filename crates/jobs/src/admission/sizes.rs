//! The sizes and longest waits of recently accepted jobs of a queue, and from which size on a job counts as large.

use std::collections::VecDeque;

use sandshelf_model::Millis;

/// The number of recent jobs that are remembered. With 256, the bound of large jobs varied so much that many of them were admitted as usual ones.
const MAX_RECENT_JOBS: usize = 1_024;
/// Below this number of recent jobs no job counts as large.
const MIN_RECENT_JOBS: usize = 20;
/// The part of the jobs that counts as large.
const LARGE_PART: f64 = 0.1;

/// An accepted job. It stands for `weight` submitted jobs of its size: the inverse of the share in force.
#[derive(Clone, Copy, Debug)]
struct RecentJob {
    work: u64,
    weight: f64,
    wait_ms: f64,
}

/// The recently accepted jobs of a queue.
#[derive(Clone, Debug, Default)]
pub(super) struct RecentSizes {
    jobs: VecDeque<RecentJob>,
}

impl RecentSizes {
    /// Adds an accepted job; `wait_ms` is the wait that it should have at most, in milliseconds.
    pub(super) fn add(&mut self, work: u64, weight: f64, wait_ms: Millis) {
        let wait_ms = wait_ms as f64;
        self.jobs.push_back(RecentJob {
            work,
            weight,
            wait_ms,
        });
        if self.jobs.len() > MAX_RECENT_JOBS {
            self.jobs.pop_front();
        }
    }

    /// Jobs with more work than this are large.
    pub(super) fn large_above(&self) -> u64 {
        if self.jobs.len() < MIN_RECENT_JOBS {
            return u64::MAX;
        }
        let mut jobs: Vec<&RecentJob> = self.jobs.iter().collect();
        jobs.sort_by_key(|job| std::cmp::Reverse(job.work));
        let large_weight = self.weight() * LARGE_PART;
        let mut weight = 0.0;
        for job in jobs {
            weight += job.weight;
            if weight > large_weight {
                return job.work;
            }
        }
        u64::MAX
    }

    /// The mean of the longest waits that these jobs should have, in milliseconds; none before the first job.
    pub(super) fn mean_wait_ms(&self) -> Option<f64> {
        let weighted = self.jobs.iter().map(|job| job.weight * job.wait_ms);
        (!self.jobs.is_empty()).then(|| weighted.sum::<f64>() / self.weight())
    }

    fn weight(&self) -> f64 {
        self.jobs.iter().map(|job| job.weight).sum()
    }
}
