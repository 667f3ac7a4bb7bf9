//! Limits the filling jobs that run at one time to those that can end in time beside the serving tasks.

use std::collections::{BTreeMap, BTreeSet};

use sandshelf_model::Millis;

use super::capacity::{observed_use_ratio, CapacityForecast, POINTS, POINT_MS};
use super::commitments::{DueWork, WorkCommitments};
use super::view::{is_filling, remaining_work, span_end, SPAN_PERCENT};
use crate::ids::JobNumber;
use crate::job::JobState;
use crate::note::JobNote;
use crate::rank::{PlaceRank, RankTier, WaitingGroup};
use crate::scheduler::JobScheduler;
use crate::stage::JobStage;

/// How often the commitments of a service are computed anew. Serving loads change by a few percent in that time.
const REFRESH_MS: Millis = 200;
/// The share of the forecast capacity that may be committed. The rest covers errors of forecasts and estimates.
const COMMITTED_SHARE: f64 = 0.7;
/// Like [`SPAN_PERCENT`], for a job that is behind its share: wide jobs would otherwise wait until little else has begun.
const BEHIND_SPAN_PERCENT: Millis = 150;
/// The weight of a new observation of the use ratio against earlier ones (exponential moving average).
const USE_RATIO_WEIGHT: f64 = 0.1;
/// The bounds of the use ratio.
const USE_RATIO_BOUNDS: (f64, f64) = (0.4, 2.5);

/// The filling jobs of one service.
#[derive(Clone, Debug)]
struct ServiceFilling {
    refreshed_at: Millis,
    use_ratio: f64,
    commitments: WorkCommitments,
    /// The jobs that may begin and had not begun at the last refresh; their work is among the commitments.
    admitted: BTreeSet<JobNumber>,
    /// The job of a size or queue that has been served less than its share, for which others wait.
    next: Option<JobNumber>,
    /// Whether a job that could still meet its objective was refused; then late jobs don't begin. A job that doesn't fit even alone
    /// doesn't count, since nothing that waits would let it end in time.
    is_pressed: bool,
}

/// The filling jobs of all services.
#[derive(Clone, Debug, Default)]
pub(crate) struct FillingLimits {
    services: BTreeMap<String, ServiceFilling>,
    /// The waiting jobs that were held back.
    held: BTreeSet<JobNumber>,
}

impl FillingLimits {
    /// The number of waiting jobs that were held back.
    pub(crate) fn held_jobs(&self) -> usize {
        self.held.len()
    }
}

/// The time by which a job is to end if it begins now.
fn due_at(now: Millis, rank: &PlaceRank, job: &JobState) -> Millis {
    let span_percent = if rank.has_share {
        SPAN_PERCENT
    } else {
        BEHIND_SPAN_PERCENT
    };
    match rank.tier {
        RankTier::Useless => now + POINT_MS * POINTS as Millis,
        RankTier::Late => span_end(now, job, job.due.useless_at, span_percent),
        RankTier::Starving | RankTier::Begun | RankTier::Fresh | RankTier::Standing => {
            span_end(now, job, job.due.objective_at, span_percent)
        }
    }
}

impl ServiceFilling {
    /// Whether a job may begin. If not, and it is behind its share, the others wait for it.
    fn admit(&mut self, number: JobNumber, more: DueWork, rank: &PlaceRank) -> bool {
        if self.admitted.contains(&number) {
            return true;
        }
        let is_fresh = rank.tier == RankTier::Fresh;
        let waits_for_other = self.next.is_some_and(|next| next != number);
        if waits_for_other || self.is_pressed && !is_fresh {
            return false;
        }
        let fits = self.commitments.has_capacity_for(more);
        if fits {
            self.commitments.add(more);
            self.admitted.insert(number);
        }
        self.is_pressed |= is_fresh && !fits && self.commitments.fits_alone(more);
        self.next = (!rank.has_share && !fits).then_some(number);
        fits
    }
}

impl JobScheduler {
    /// Whether the waiting tasks of a job are left for a later pass.
    pub(crate) fn is_held_back(&mut self, now: Millis, group: &WaitingGroup) -> bool {
        if !self.limits.policies.fair_order || group.rank.tier == RankTier::Starving {
            return false;
        }
        let Some(job) = self.jobs.get(&group.job) else {
            return false;
        };
        if !is_filling(job) || job.stage != JobStage::Queued {
            return false;
        }
        let service = self.rules(&job.spec).service.clone();
        let mut more = DueWork {
            due_at: due_at(now, &group.rank, job),
            work: remaining_work(job, |_| 0),
        };
        let objective_at = job.due.objective_at;
        self.refresh_filling(now, &service);
        let filling = self.filling_limits.services.get_mut(&service);
        if filling
            .as_ref()
            .is_some_and(|filling| !filling.commitments.fits_alone(more))
        {
            // The job is too wide to end within its span on all free capacity together.
            more.due_at = more.due_at.max(objective_at);
        }
        let admits = filling.is_none_or(|filling| filling.admit(group.job, more, &group.rank));
        self.note_held(now, group.job, &service, more, !admits);
        !admits
    }

    /// Records that a job is held back, or is not any more.
    fn note_held(
        &mut self,
        now: Millis,
        job: JobNumber,
        service: &str,
        more: DueWork,
        is_held: bool,
    ) {
        if !is_held {
            self.filling_limits.held.remove(&job);
            return;
        }
        if !self.filling_limits.held.insert(job) {
            return;
        }
        let Some(filling) = self.filling_limits.services.get(service) else {
            return;
        };
        let commitments = &filling.commitments;
        let ahead = more.due_at.saturating_sub(commitments.now());
        let note = JobNote::FillingHeld {
            job,
            work: more.work as u64,
            begun_work: commitments.total() as u64,
            capacity: commitments.forecast().until(ahead) as u64,
            due_in_ms: more.due_at.saturating_sub(now),
            view_age_ms: now.saturating_sub(commitments.now()),
        };
        self.note(note);
    }

    /// Forgets that an ended or begun job was held back.
    pub(crate) fn release_held(&mut self, job: JobNumber) {
        self.filling_limits.held.remove(&job);
    }

    /// Computes the commitments of a service anew if they are old.
    fn refresh_filling(&mut self, now: Millis, service: &str) {
        let known = self.filling_limits.services.get(service);
        if known.is_some_and(|known| now < known.refreshed_at + REFRESH_MS) {
            return;
        }
        let view = self.capacity_view(now, service);
        let before = known.map_or(1.0, |known| known.use_ratio);
        let (least, most) = USE_RATIO_BOUNDS;
        let observed = observed_use_ratio(&view).unwrap_or(before);
        let use_ratio = before + (observed.clamp(least, most) - before) * USE_RATIO_WEIGHT;
        let forecast = CapacityForecast::new(&view, use_ratio * COMMITTED_SHARE);
        let due = self.begun_work(now, service);
        let filling = ServiceFilling {
            refreshed_at: now,
            use_ratio,
            commitments: WorkCommitments::new(now, forecast, due),
            admitted: BTreeSet::new(),
            next: None,
            is_pressed: false,
        };
        let services = &mut self.filling_limits.services;
        services.insert(service.to_owned(), filling);
    }
}
