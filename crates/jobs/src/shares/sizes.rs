//! Fair shares between the queues of a priority, and between the sizes of the jobs of a queue.

use std::collections::{BTreeMap, VecDeque};

use sandshelf_model::Millis;

use super::ledger::ServiceLedger;
use super::view::is_filling;
use crate::ids::JobNumber;
use crate::job::JobState;
use crate::rank::{PlaceRank, RankTier};
use crate::scheduler::JobScheduler;
use crate::wait_key::WaitKey;

/// The number of recent jobs of a queue from which the bounds of its size classes are taken.
const RECENT_JOBS: usize = 200;
/// With fewer recent jobs all count as usual.
const MIN_RECENT_JOBS: usize = 10;
/// The part of the jobs that are larger than the bound of [`SizeClass::Largest`], and of [`SizeClass::Large`].
const LARGEST_PART: f64 = 0.1;
const LARGE_PART: f64 = 0.3;
/// A size is behind if less than this share of what its queue has begun has begun of it. Half has to be served. Wide jobs that have begun
/// end late more often than others: with 0.55 they were served 0.44 times as often as all.
const SIZE_SHARE: f64 = 0.65;
/// A queue is behind if it has been served less than this share of what its priority has.
const QUEUE_SHARE: f64 = 0.9;

/// The size of a job, compared with the other jobs of its queue.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum SizeClass {
    /// The largest tenth.
    Largest,
    /// The fifth below it.
    Large,
    /// All others.
    Usual,
}

/// The shares of one queue.
#[derive(Clone, Debug, Default)]
struct QueueShares {
    recent_work: VecDeque<u64>,
    /// The smallest work of the largest tenth, and of the fifth below it.
    bounds: Option<(u64, u64)>,
    sizes: ServiceLedger<SizeClass>,
}

impl QueueShares {
    fn class(&self, work: u64) -> SizeClass {
        match self.bounds {
            Some((largest, _)) if work > largest => SizeClass::Largest,
            Some((_, large)) if work > large => SizeClass::Large,
            _ => SizeClass::Usual,
        }
    }

    fn add_recent(&mut self, work: u64) {
        self.recent_work.push_back(work);
        if self.recent_work.len() > RECENT_JOBS {
            self.recent_work.pop_front();
        }
        if self.recent_work.len() < MIN_RECENT_JOBS {
            return;
        }
        let mut sorted: Vec<u64> = self.recent_work.iter().copied().collect();
        sorted.sort_unstable();
        let bound = |part: f64| {
            let place = (sorted.len() as f64 * (1.0 - part)) as usize;
            sorted[place.saturating_sub(1)]
        };
        self.bounds = Some((bound(LARGEST_PART), bound(LARGE_PART)));
    }
}

/// The shares of all queues.
#[derive(Clone, Debug, Default)]
pub(crate) struct FairShares {
    queues: BTreeMap<String, QueueShares>,
    /// By priority.
    between_queues: BTreeMap<u32, ServiceLedger<String>>,
}

/// The work of a job, in thousandths of a core times milliseconds.
fn whole_work(job: &JobState) -> u64 {
    let steps = job.spec.steps.iter();
    let work = steps.map(|step| u64::from(step.count) * step.size.cpu_millis * step.estimate_ms);
    work.sum()
}

fn is_counted(job: &JobState) -> bool {
    job.spec.steps.iter().all(|step| !step.standing)
}

impl FairShares {
    fn add_due(&mut self, now: Millis, queue: &str, priority: u32, work: u64) {
        let shares = self.queues.entry(queue.to_owned()).or_default();
        shares.add_recent(work);
        let class = shares.class(work);
        shares.sizes.add_due(now, class, 1.0);
        let between = self.between_queues.entry(priority).or_default();
        between.add_due(now, queue.to_owned(), 1.0);
    }

    fn add_received(&mut self, now: Millis, queue: &str, priority: u32, work: u64) {
        let shares = self.queues.entry(queue.to_owned()).or_default();
        let class = shares.class(work);
        shares.sizes.add_received(now, class, 1.0);
        let between = self.between_queues.entry(priority).or_default();
        between.add_received(now, queue.to_owned(), 1.0);
    }

    fn is_behind(&self, queue: &str, priority: u32, work: u64) -> bool {
        let size_behind = self.queues.get(queue).is_some_and(|shares| {
            let class = shares.class(work);
            class != SizeClass::Usual && shares.sizes.is_behind(&class, SIZE_SHARE)
        });
        let between = self.between_queues.get(&priority);
        let queue_behind =
            between.is_some_and(|ledger| ledger.is_behind(&queue.to_owned(), QUEUE_SHARE));
        size_behind || queue_behind
    }
}

impl JobScheduler {
    /// Counts a new job as due to be served.
    pub(crate) fn count_new_job(&mut self, now: Millis, number: JobNumber) {
        self.count_job(now, number, FairShares::add_due);
    }

    /// Counts a job that has begun as served.
    pub(crate) fn count_begun_job(&mut self, now: Millis, number: JobNumber) {
        self.count_job(now, number, FairShares::add_received);
        self.release_held(number);
    }

    fn count_job(
        &mut self,
        now: Millis,
        number: JobNumber,
        add: impl Fn(&mut FairShares, Millis, &str, u32, u64),
    ) {
        if !self.limits.policies.fair_order {
            return;
        }
        let Some(job) = self.jobs.get(&number).filter(|job| is_counted(job)) else {
            return;
        };
        let priority = self.rules(&job.spec).priority;
        add(
            &mut self.shares,
            now,
            &job.spec.queue,
            priority,
            whole_work(job),
        );
    }

    /// The rank of a job with fair order. A new job that is behind its share goes first, and a new filling job that can't meet its
    /// objective even at full pace goes after those that can. In an overload of short tasks, the newest jobs go first: served in the
    /// order of their due times, nearly all would end late in an overload.
    pub(crate) fn share_rank(
        &self,
        now: Millis,
        rank: PlaceRank,
        job: &JobState,
        wait: &WaitKey,
    ) -> PlaceRank {
        if !self.limits.policies.fair_order {
            return rank;
        }
        let standing = job.step_spec(&wait.task).is_some_and(|step| step.standing);
        if standing && rank.tier == RankTier::Starving {
            return self.standing_rank(rank, wait);
        }
        if rank.tier != RankTier::Fresh {
            return rank;
        }
        if is_filling(job) && now + job.remaining_ms() > job.due.objective_at {
            return PlaceRank {
                tier: RankTier::Late,
                order: job.due.objective_at as i64,
                ..rank
            };
        }
        PlaceRank {
            has_share: !self.is_behind_share(job),
            order: if self.standing_shortage.is_overloaded(now) {
                -(job.due.objective_at as i64)
            } else {
                rank.order
            },
            ..rank
        }
    }

    /// Whether a job's queue or size has been served less than its share.
    fn is_behind_share(&self, job: &JobState) -> bool {
        let priority = self.rules(&job.spec).priority;
        is_counted(job)
            && self
                .shares
                .is_behind(&job.spec.queue, priority, whole_work(job))
    }
}
