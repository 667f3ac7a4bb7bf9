//! Decides whether waiting standing tasks go ahead of short ones in a shortage of processors.
//!
//! Standing tasks hold their capacity for long, and short tasks give it back. So while short tasks have to wait, a waiting standing
//! task starts only where capacity for it exists on two workers and short tasks don't take it, and then it goes first. The platform's
//! rule on standing tasks allows capacity to be withheld from them only while something else uses it.

use sandshelf_model::{Millis, ResourceSize};

use crate::job::JobState;
use crate::rank::{PlaceRank, RankTier};
use crate::scheduler::JobScheduler;
use crate::spec::StepSpec;
use crate::wait_key::WaitKey;

/// The time over which the share of placement passes that found capacity twice over is averaged (a decay by a factor of e). The platform
/// counts a standing task as lost after 3 s of such capacity.
const AMPLE_DECAY_MS: f64 = 1_000.0;
/// From this share on, standing tasks go first. Capacity that short tasks free and take again within a pass must not count, but it
/// must not look to the platform like capacity that nobody uses.
const MIN_AMPLE_SHARE: f64 = 0.7;
/// A short task that has waited for this long shows that processors are short. Other tasks start within a pass or two.
const SHORT_WAIT_MS: Millis = 100;
/// A short task that has waited for this long shows an overload. It is about the slack of a short job, so that in the order of due
/// times all would end late.
const OVERLOAD_WAIT_MS: Millis = 800;
/// For how long after that processors count as short, or short tasks as too many.
const CONTENDED_MS: Millis = 5_000;

/// A kind of standing task, as far as its capacity is concerned.
#[derive(Clone, Debug, PartialEq)]
struct StandingKind {
    service: String,
    label: Option<String>,
    room: ResourceSize,
}

/// How often capacity for waiting standing tasks existed twice over at the beginning of the recent placement passes.
#[derive(Clone, Debug, Default)]
pub(crate) struct StandingShortage {
    /// The decayed share of passes, in 0..1.
    ample: Vec<(StandingKind, f64)>,
    noted_at: Millis,
    /// Until when processors count as short.
    contended_until: Millis,
    /// Until when short tasks count as too many.
    overloaded_until: Millis,
}

impl StandingShortage {
    /// Whether short tasks have had to wait lately.
    pub(super) fn is_contended(&self, now: Millis) -> bool {
        now < self.contended_until
    }

    /// Whether short tasks have had to wait lately for longer than most of them can.
    pub(crate) fn is_overloaded(&self, now: Millis) -> bool {
        now < self.overloaded_until
    }

    fn ample_share(&self, kind: &StandingKind) -> f64 {
        let known = self.ample.iter().find(|(known, _)| known == kind);
        known.map_or(0.0, |(_, share)| *share)
    }
}

impl JobScheduler {
    /// Notes for which waiting standing tasks capacity exists twice over at the beginning of a placement pass.
    pub(crate) fn note_standing_capacity(&mut self, now: Millis) {
        if !self.limits.policies.fair_order {
            return;
        }
        let mut kinds: Vec<StandingKind> = Vec::new();
        let mut longest_wait = 0;
        for wait in &self.waiting {
            let Some(kind) = self.standing_kind(wait) else {
                longest_wait = longest_wait.max(self.short_wait_ms(now, wait));
                continue;
            };
            if !kinds.contains(&kind) {
                kinds.push(kind);
            }
        }
        if longest_wait >= SHORT_WAIT_MS {
            self.standing_shortage.contended_until = now + CONTENDED_MS;
        }
        if longest_wait >= OVERLOAD_WAIT_MS {
            self.standing_shortage.overloaded_until = now + CONTENDED_MS;
        }
        let passed = now.saturating_sub(self.standing_shortage.noted_at) as f64;
        let kept = (-passed / AMPLE_DECAY_MS).exp();
        let shares = kinds.into_iter().map(|kind| {
            let ample = if self.fits_twice(now, &kind) {
                1.0
            } else {
                0.0
            };
            let before = self.standing_shortage.ample_share(&kind);
            (kind, before * kept + ample * (1.0 - kept))
        });
        self.standing_shortage.ample = shares.collect();
        self.standing_shortage.noted_at = now;
    }

    /// How long a task that needs processors and ends has waited, in milliseconds; 0 for others.
    fn short_wait_ms(&self, now: Millis, wait: &WaitKey) -> Millis {
        let Some(job) = self.jobs.get(&wait.task.job) else {
            return 0;
        };
        let fills = job.step_spec(&wait.task).is_none_or(|step| step.fills);
        let task = job.task(&wait.task).filter(|_| !fills);
        task.map_or(0, |task| now.saturating_sub(task.waiting_since))
    }

    /// Whether a standing task has to leave its capacity to short tasks.
    pub(crate) fn is_standing_held(&self, now: Millis, wait: &WaitKey) -> bool {
        if !self.limits.policies.fair_order || !self.standing_shortage.is_contended(now) {
            return false;
        }
        let kind = self.standing_kind(wait);
        let kind = kind.filter(|_| self.may_be_held(wait));
        kind.is_some_and(|kind| !self.is_ample(&kind) || !self.fits_twice(now, &kind))
    }

    /// Whether a standing task may leave its capacity to short ones: it has not run yet. The platform counts a task that has run as lost
    /// when it could have been started again for three seconds, and capacity that short tasks free and take again counts as such.
    /// Whether a task of an earlier owner's job has run is not known.
    pub(crate) fn may_be_held(&self, wait: &WaitKey) -> bool {
        let Some(job) = self.jobs.get(&wait.task.job).filter(|job| !job.inherited) else {
            return false;
        };
        let task = job.task(&wait.task);
        task.is_some_and(|task| task.runs == 0 && task.last_worker.is_none())
    }

    /// Whether capacity for standing tasks of a kind has existed twice over for long.
    fn is_ample(&self, kind: &StandingKind) -> bool {
        self.standing_shortage.ample_share(kind) >= MIN_AMPLE_SHARE
    }

    fn standing_kind(&self, wait: &WaitKey) -> Option<StandingKind> {
        let job = self.jobs.get(&wait.task.job)?;
        let step = job.step_spec(&wait.task)?;
        step.standing.then(|| self.kind_of(job, step))
    }

    fn kind_of(&self, job: &JobState, step: &StepSpec) -> StandingKind {
        StandingKind {
            service: self.rules(&job.spec).service.clone(),
            label: step.label.clone(),
            room: step.room(),
        }
    }

    /// Whether a standing task of this kind fits on two workers.
    fn fits_twice(&self, now: Millis, kind: &StandingKind) -> bool {
        let fitting = self.workers.values().filter(|worker| {
            let entry = &worker.entry;
            let label = kind.label.as_ref();
            kind.room.fits_in(&worker.free())
                && entry.service == kind.service
                && label.is_none_or(|label| entry.labels.contains(label))
                && worker.is_open(now)
        });
        fitting.take(2).count() == 2
    }

    /// The rank of a waiting standing task: it goes ahead of short ones only where capacity for it exists twice over.
    pub(super) fn standing_rank(&self, rank: PlaceRank, wait: &WaitKey) -> PlaceRank {
        let kind = self.standing_kind(wait);
        let ample = kind.is_none_or(|kind| self.is_ample(&kind));
        if ample || !self.may_be_held(wait) {
            return rank;
        }
        PlaceRank {
            tier: RankTier::Standing,
            ..rank
        }
    }
}
