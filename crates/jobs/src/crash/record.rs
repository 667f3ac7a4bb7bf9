//! The crashes that are noted with a task, and what they mean for its next start.

use sandshelf_model::{Millis, WorkerId};
use serde::{Deserialize, Serialize};

use crate::ids::{RunKey, WorkerIncarnation};
use crate::limits::{
    CLEARED_AFTER_MS, CRASHES_TO_BLAME, ISOLATE_FROM_CRASHES, MAX_UNHEARD_BEFORE_CRASH_MS,
    MIN_CERTAIN_CRASHES, SLOW_CRASHES_TO_BLAME,
};

/// A run that was lost with a worker, or may be.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CrashSuspect {
    /// The run.
    pub key: RunKey,
    /// How long after it began the worker was last heard, in milliseconds; 0 where nothing told that it began.
    pub heard_ms: Millis,
    /// Whether the worker answered none of the probes that followed the start.
    #[serde(default, skip_serializing_if = "std::ops::Not::not")]
    pub sudden: bool,
}

/// A crash of a worker that a run was at work on.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CrashNote {
    /// The run's number.
    #[serde(rename = "r")]
    pub run: u64,
    /// How long after the run began the worker was last heard, in milliseconds; 0 where nothing told that it began.
    #[serde(rename = "h")]
    pub heard_ms: Millis,
    /// Whether nothing else may have caused it.
    #[serde(rename = "a", default, skip_serializing_if = "std::ops::Not::not")]
    pub alone: bool,
    /// Whether the worker answered none of the probes that followed the start.
    #[serde(rename = "p", default, skip_serializing_if = "std::ops::Not::not")]
    pub sudden: bool,
}

/// The crashes that a task may have caused, in their order; empty again once a run of it is proven.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct CrashRecord {
    #[serde(rename = "n", default, skip_serializing_if = "Vec::is_empty")]
    notes: Vec<CrashNote>,
    /// Whether a crash may have gone unnoted, so that the next start is written down as with a note.
    #[serde(rename = "w", default, skip_serializing_if = "std::ops::Not::not")]
    watched: bool,
    /// Where the task was started since, and the number of that run.
    #[serde(rename = "s", default, skip_serializing_if = "Option::is_none")]
    started: Option<(WorkerId, u64)>,
    /// In which of the worker's lives.
    #[serde(rename = "l", default, skip_serializing_if = "Option::is_none")]
    started_in: Option<WorkerIncarnation>,
}

/// Where a task was started.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) struct StartPlace {
    pub(super) worker: WorkerId,
    /// In which of the worker's lives.
    pub(super) life: Option<WorkerIncarnation>,
}

/// With how much caution a task is started.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum StartCaution {
    /// Nothing speaks against it.
    Usual,
    /// A worker went down under it: apart from other suspects, where little is lost.
    Apart,
    /// Several did: with nothing else unproven on its worker, so that another crash tells.
    Alone,
}

impl CrashRecord {
    /// Whether no crash is noted.
    pub fn is_empty(&self) -> bool {
        self.notes.is_empty() && !self.watched
    }

    /// How long after the start of a run its worker has to be heard for the run to be proven. A worker may go down some time after it
    /// was last heard, so that a task with a note is proven later.
    pub(crate) fn proof_ms(&self) -> Millis {
        proof_after(&self.notes)
    }

    /// How many of the crashes came before the run was proven.
    pub(crate) fn count(&self) -> usize {
        let counts = |(index, note): &(usize, &CrashNote)| {
            let before = &self.notes[..*index];
            note.heard_ms < proof_after(before)
        };
        self.notes.iter().enumerate().filter(counts).count()
    }

    /// Whether the crashes suffice to give the task up. The last and another are certain, since nothing else on the worker was unproven.
    /// Three in all suffice where workers went down with the start twice, which hardly happens to a sound task by chance; four otherwise.
    pub(super) fn convicts(&self) -> bool {
        let alone = self.notes.iter().filter(|note| note.alone).count();
        let last = self.notes.last().is_some_and(|note| note.alone);
        let sudden = self.notes.iter().filter(|note| note.sudden).count();
        let enough = match sudden >= MIN_CERTAIN_CRASHES {
            true => CRASHES_TO_BLAME,
            false => SLOW_CRASHES_TO_BLAME,
        };
        last && alone >= MIN_CERTAIN_CRASHES && self.count() >= enough
    }

    pub(crate) fn caution(&self) -> StartCaution {
        match self.count() {
            0 => StartCaution::Usual,
            count if count < ISOLATE_FROM_CRASHES => StartCaution::Apart,
            _ => StartCaution::Alone,
        }
    }

    /// Notes a crash; one of a run that is noted already changes nothing.
    pub(super) fn add(&mut self, note: CrashNote) -> bool {
        let known = self.notes.iter().any(|known| known.run == note.run);
        if !known {
            self.notes.push(note);
            self.started = None;
            self.started_in = None;
        }
        !known
    }

    /// Where the task was started since the newest crash, and the number of that run.
    pub(super) fn started(&self) -> Option<(StartPlace, u64)> {
        let (worker, run) = self.started.clone()?;
        let life = self.started_in;
        Some((StartPlace { worker, life }, run))
    }

    /// The task is started again.
    pub(super) fn note_start(&mut self, place: StartPlace, run: u64) {
        self.started = Some((place.worker, run));
        self.started_in = place.life;
    }

    /// A crash may have gone unnoted.
    pub(super) fn watch(&mut self) {
        self.watched = true;
    }

    /// Takes back what was noted with a run; returns whether anything was.
    pub(super) fn withdraw(&mut self, run: u64) -> bool {
        let before = self.notes.len();
        self.notes.retain(|note| note.run != run);
        self.notes.len() < before
    }
}

/// How long after its start a run is proven of a task with these crashes.
fn proof_after(notes: &[CrashNote]) -> Millis {
    let longest = notes.iter().map(|note| note.heard_ms).max();
    longest.map_or(CLEARED_AFTER_MS, |longest| {
        longest + MAX_UNHEARD_BEFORE_CRASH_MS
    })
}
