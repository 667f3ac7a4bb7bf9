//! The crashes recorded under a task, and their consequences for its next start.

use sandshelf_model::{Millis, WorkerId};
use serde::{Deserialize, Serialize};

use crate::ids::{RunKey, WorkerIncarnation};
use crate::limits::{
    CLEARED_AFTER_MS, CRASHES_TO_BLAME, ISOLATE_FROM_CRASHES, MAX_UNHEARD_BEFORE_CRASH_MS,
    MIN_CERTAIN_CRASHES, SLOW_CRASHES_TO_BLAME,
};

/// A run that was lost, or may have been lost, in a crash of its worker.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CrashSuspect {
    /// The run.
    pub key: RunKey,
    /// How long after the start of the run its worker was last heard from, in milliseconds; 0 if no
    /// answer said that the run began.
    pub heard_ms: Millis,
    /// Whether the worker answered none of the probes that followed the start.
    #[serde(default, skip_serializing_if = "std::ops::Not::not")]
    pub sudden: bool,
}

/// A crash of a worker during a run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CrashNote {
    /// The run's number.
    #[serde(rename = "r")]
    pub run: u64,
    /// How long after the start of the run its worker was last heard from, in milliseconds; 0 if no
    /// answer said that the run began.
    #[serde(rename = "h")]
    pub heard_ms: Millis,
    /// Whether the run was the only one that may have caused the crash.
    #[serde(rename = "a", default, skip_serializing_if = "std::ops::Not::not")]
    pub alone: bool,
    /// Whether the worker answered none of the probes that followed the start.
    #[serde(rename = "p", default, skip_serializing_if = "std::ops::Not::not")]
    pub sudden: bool,
}

/// The crashes that a task may have caused, in their order. Emptied once a run of the task is
/// cleared.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct CrashRecord {
    #[serde(rename = "n", default, skip_serializing_if = "Vec::is_empty")]
    notes: Vec<CrashNote>,
    /// Whether a crash may not have been recorded, so that the next start is written as for a task
    /// with a crash note.
    #[serde(rename = "w", default, skip_serializing_if = "std::ops::Not::not")]
    watched: bool,
    /// The worker on which the task was started after the newest crash, and the number of that run.
    #[serde(rename = "s", default, skip_serializing_if = "Option::is_none")]
    started: Option<(WorkerId, u64)>,
    /// The incarnation of that worker.
    #[serde(rename = "l", default, skip_serializing_if = "Option::is_none")]
    started_in: Option<WorkerIncarnation>,
}

/// The place at which a task was started.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) struct StartPlace {
    pub(super) worker: WorkerId,
    /// The worker's incarnation.
    pub(super) incarnation: Option<WorkerIncarnation>,
}

/// The caution with which a task is started.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum StartCaution {
    /// No crash is recorded.
    Usual,
    /// One worker crashed under the task: it is started on a worker without other suspects, where a
    /// crash loses little.
    Apart,
    /// Several workers crashed under the task: it is started where no other run is uncleared, so
    /// that another crash identifies the cause.
    Alone,
}

impl CrashRecord {
    /// Whether there are no crash notes.
    pub fn is_empty(&self) -> bool {
        self.notes.is_empty() && !self.watched
    }

    /// How long after the start of a run its worker has to be heard from for the run to be cleared,
    /// in milliseconds. A worker may go down some time after it was last heard from, so a run of a
    /// task with crash notes is cleared later.
    pub(crate) fn clearance_ms(&self) -> Millis {
        clearance_after(&self.notes)
    }

    /// How many of the crashes happened before the run was cleared.
    pub(crate) fn count(&self) -> usize {
        let counts = |(index, note): &(usize, &CrashNote)| {
            let before = &self.notes[..*index];
            note.heard_ms < clearance_after(before)
        };
        self.notes.iter().enumerate().filter(counts).count()
    }

    /// Whether the crashes suffice to give the task up. The last one and one other must be certain:
    /// no other run on the worker was uncleared. Three crashes suffice if workers went down right
    /// with the start twice, which hardly happens to a healthy task by chance; otherwise four are
    /// needed.
    pub(super) fn is_blamed(&self) -> bool {
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

    /// Adds a crash. A second crash of the same run is ignored. Returns whether the crash was
    /// added.
    pub(super) fn add(&mut self, note: CrashNote) -> bool {
        let known = self.notes.iter().any(|known| known.run == note.run);
        if !known {
            self.notes.push(note);
            self.started = None;
            self.started_in = None;
        }
        !known
    }

    /// Where the task was started after the newest crash, and the number of that run.
    pub(super) fn started(&self) -> Option<(StartPlace, u64)> {
        let (worker, run) = self.started.clone()?;
        let incarnation = self.started_in;
        Some((
            StartPlace {
                worker,
                incarnation,
            },
            run,
        ))
    }

    /// Records that the task is started again.
    pub(super) fn note_start(&mut self, place: StartPlace, run: u64) {
        self.started = Some((place.worker, run));
        self.started_in = place.incarnation;
    }

    /// Records that a run need not have caused the crash that is recorded under it. Returns whether
    /// it counted as the only cause.
    pub(super) fn make_uncertain(&mut self, run: u64) -> bool {
        let mut notes = self.notes.iter_mut();
        let certain = notes.find(|note| note.run == run && note.alone);
        certain.map(|note| note.alone = false).is_some()
    }

    /// Forgets that a run was started. Returns whether its start was recorded.
    pub(super) fn forget_start(&mut self, run: u64) -> bool {
        let recorded = self.started.take_if(|(_, started)| *started == run);
        if recorded.is_some() {
            self.started_in = None;
        }
        recorded.is_some()
    }

    /// Records that a crash may have gone unrecorded.
    pub(super) fn watch(&mut self) {
        self.watched = true;
    }

    /// Withdraws the crash under a run. Returns whether there was one.
    pub(super) fn withdraw(&mut self, run: u64) -> bool {
        let before = self.notes.len();
        self.notes.retain(|note| note.run != run);
        self.notes.len() < before
    }
}

/// How long after its start a run of a task with these crashes is cleared, in milliseconds.
fn clearance_after(notes: &[CrashNote]) -> Millis {
    let longest = notes.iter().map(|note| note.heard_ms).max();
    longest.map_or(CLEARED_AFTER_MS, |longest| {
        longest + MAX_UNHEARD_BEFORE_CRASH_MS
    })
}
