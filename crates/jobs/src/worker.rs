//! The state of one worker: its clock, its lease, and the runs that may be running there.

use std::cell::OnceCell;
use std::collections::{BTreeMap, BTreeSet};

use sandshelf_model::{Millis, ResourceSize};

use crate::crash::CrashSuspect;
use crate::fill::{FillAllocator, FillRules};
use crate::hedge::StrayRenewals;
use crate::ids::RunKey;
use crate::incarnation::{ClockSample, IncarnationState};
use crate::interference::{InterferenceEstimate, InterferenceLoads};
use crate::limits::{
    ACK_START_WAIT_MS, FIRST_ANSWER_TIMEOUT_MS, MAX_HEARD_AGE_FOR_ACK_MS, MAX_ORDER_AGE_MS,
    SUSPECT_AFTER_FAILED_RENEWALS, WORKER_SILENCE_TIMEOUT_MS,
};
use crate::load_forecast::LoadHistory;
use crate::reports::WorkerListing;
use crate::run::{RunPhase, RunRecord};

/// Whether a durable silence record says when the lease of a silent worker ends. The lease must not
/// be renewed while a successor could read such a record.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) enum SilenceRecord {
    /// There is no record.
    #[default]
    None,
    /// The record is durable, or its write is in progress.
    Written,
    /// The commit with this number removes the record.
    Removed(u64),
}

#[derive(Clone, Debug)]
pub(crate) struct WorkerState {
    pub(crate) entry: WorkerListing,
    /// Whether the newest worker list contains it.
    pub(crate) listed: bool,
    /// Whether worker lists have omitted it although the store has been available for long enough:
    /// it is about to leave without an announcement, or it can't reach the store.
    pub(crate) missing: bool,
    /// Whether its entry in the newest worker list can't be decoded.
    pub(crate) unreadable: bool,
    /// Whether operators have evacuated its hall.
    pub(crate) evacuated: bool,
    /// Whether this owner waited for its answer at the takeover.
    pub(crate) expected: bool,
    /// Whether the durable roster names it, so that a successor waits for it.
    pub(crate) published: bool,
    /// The state of its current incarnation.
    pub(crate) incarnation: IncarnationState,
    pub(crate) renewal_sent_at: Option<Millis>,
    /// How long the worker may wait before it answers the renewal in flight, in milliseconds.
    pub(crate) renewal_wait_ms: Millis,
    /// The number of the newest end that the renewal in flight acknowledges; 0 for none.
    pub(crate) renewal_acknowledges: u64,
    /// Whether the renewal in flight extends the lease.
    pub(crate) renewal_extends_lease: bool,
    /// When this owner last sent an order that extends the lease; 0 if it never did.
    pub(crate) lease_ordered_at: Millis,
    pub(crate) renewal_due_at: Millis,
    /// Earlier renewals whose answers may still arrive.
    pub(crate) strays: StrayRenewals,
    /// The pause between an answer and the next renewal, in milliseconds.
    pub(crate) renewal_gap_ms: Millis,
    pub(crate) last_answer: Millis,
    pub(crate) silence_logged: bool,
    /// Since when it has been unsure which incarnation is up, if any: a renewal got no answer, an
    /// unknown incarnation answered an order, or the worker list names a newer one. Until a renewal
    /// is answered nothing extends the lease, so that it expires.
    pub(crate) unsure_since: Option<Millis>,
    /// Whether an unknown incarnation has answered an order since the current one was last heard.
    pub(crate) other_answered: bool,
    /// How many consecutive renewals got no answer.
    pub(crate) failed_renewals: u32,
    /// Whether a successor could read a silence record of this worker.
    pub(crate) silence_record: SilenceRecord,
    /// Until when it has young runs whose progress is watched.
    pub(crate) watched_until: Millis,
    /// Until when it has young runs of steps that allow copies.
    pub(crate) read_closely_until: Millis,
    /// The worker gets no new tasks before this time.
    pub(crate) paused_until: Millis,
    pub(crate) runs: BTreeMap<RunKey, RunRecord>,
    /// Runs that were given up and that may have caused a crash of this worker, if it turns out to
    /// have crashed.
    pub(crate) suspects: Vec<CrashSuspect>,
    used: ResourceSize,
    /// The number of runs whose size is unknown.
    unsized_runs: usize,
    ordinary_cpu: u64,
    filling_cpu: u64,
    /// When the filling tasks here last changed: one was added or removed, or got another pace.
    pub(crate) fills_changed_at: Millis,
    /// The tasks here in the form that the pacing of filling tasks uses. Built on first use after a
    /// change.
    fill_allocator: OnceCell<FillAllocator>,
}

impl WorkerState {
    pub(crate) fn new(entry: WorkerListing, now: Millis, silence_record: SilenceRecord) -> Self {
        Self {
            entry,
            listed: false,
            missing: false,
            unreadable: false,
            evacuated: false,
            expected: false,
            published: false,
            incarnation: IncarnationState::default(),
            renewal_sent_at: None,
            renewal_wait_ms: 0,
            renewal_acknowledges: 0,
            renewal_extends_lease: false,
            lease_ordered_at: 0,
            renewal_due_at: now,
            strays: StrayRenewals::default(),
            renewal_gap_ms: 0,
            last_answer: now,
            silence_logged: false,
            unsure_since: None,
            other_answered: false,
            failed_renewals: 0,
            silence_record,
            watched_until: 0,
            read_closely_until: 0,
            paused_until: 0,
            runs: BTreeMap::new(),
            suspects: Vec::new(),
            used: ResourceSize::default(),
            unsized_runs: 0,
            ordinary_cpu: 0,
            filling_cpu: 0,
            fills_changed_at: 0,
            fill_allocator: OnceCell::new(),
        }
    }

    /// The tasks here in the form that the pacing of filling tasks uses.
    pub(crate) fn fill_allocator(
        &self,
        interference: &InterferenceEstimate,
        history: &LoadHistory,
        rules: FillRules,
        now: Millis,
    ) -> &FillAllocator {
        self.fill_allocator
            .get_or_init(|| FillAllocator::new(self, interference, history, rules, now))
    }

    /// Discards the cached board because the tasks here, or their readings, have changed.
    pub(crate) fn discard_fill_allocator(&mut self) {
        self.fill_allocator.take();
    }

    /// Records an answer of the current incarnation.
    pub(crate) fn note_answer(&mut self, now: Millis, sample: ClockSample) {
        self.last_answer = now;
        self.silence_logged = false;
        self.unsure_since = None;
        self.other_answered = false;
        self.failed_renewals = 0;
        self.incarnation.note_clock(now, sample);
    }

    /// Records the clock in an answer to an order. Returns whether the current incarnation
    /// answered. If not, a renewal has to find out which one did.
    pub(crate) fn record_order_clock(&mut self, now: Millis, sample: ClockSample) -> bool {
        let known = self.incarnation.has_answered(now, sample);
        match known {
            true => self.note_answer(now, sample),
            false => {
                self.note_doubt(now);
                self.other_answered = true;
            }
        }
        known
    }

    /// Records that it is unsure which incarnation is up, if any.
    pub(crate) fn note_doubt(&mut self, now: Millis) {
        self.unsure_since.get_or_insert(now);
    }

    /// How long after the start of a run the worker was last heard from, on the worker's clock;
    /// `None` if no answer said that the run began.
    pub(crate) fn heard_after(&self, record: &RunRecord) -> Option<Millis> {
        let heard = self.incarnation.newest_clock()?;
        Some(heard.saturating_sub(record.began?))
    }

    /// The start order that was sent first among those that were not answered and that the current
    /// incarnation may have carried out.
    ///
    /// An order that was sent after the first sign that this incarnation is down, or that another
    /// one has carried out, is no suspect: where many workers restart at once, a lost task is
    /// ordered from several of them before a renewal shows that they have restarted.
    pub(crate) fn first_unanswered(&self) -> Option<CrashSuspect> {
        let unanswered = self.runs.iter().filter(|(_, record)| {
            let before_doubt = self.unsure_since.is_none_or(|at| record.ordered_at < at);
            let by_another = matches!(record.phase, RunPhase::OtherIncarnation(_));
            record.began.is_none() && before_doubt && !by_another
        });
        let first = unanswered.min_by_key(|(_, record)| record.ordered_at);
        first.map(|(key, _)| CrashSuspect {
            key: *key,
            heard_ms: 0,
            sudden: false,
        })
    }

    /// Until when an order that was meant for the current incarnation may be carried out by the next
    /// one: a start that the current incarnation has not confirmed to a renewal sent at `sent_at` and
    /// that the next one doesn't list, or an order without an answer.
    pub(crate) fn late_orders_until(&self, sent_at: Millis, listed: &BTreeSet<RunKey>) -> Millis {
        let unsettled = self
            .runs
            .iter()
            .filter(|(key, record)| !listed.contains(key) && !record.would_be_listed(sent_at));
        let until = unsettled.map(|(_, record)| record.ordered_at + MAX_ORDER_AGE_MS);
        until.fold(self.incarnation.unanswered_until, Millis::max)
    }

    /// Whether the next incarnation lists a run that was ordered here, or may have taken the order of
    /// one that it doesn't list: an order that is refused prolongs the lease as well.
    pub(crate) fn has_unconfirmed_runs(&self, sent_at: Millis, listed: &BTreeSet<RunKey>) -> bool {
        let mut runs = self.runs.iter();
        runs.any(|(key, record)| listed.contains(key) || !record.would_be_listed(sent_at))
    }

    /// Whether its lease may be extended.
    pub(crate) fn may_extend_lease(&self) -> bool {
        let sure = self.unsure_since.is_none() && self.incarnation.successor_until == 0;
        self.silence_record == SilenceRecord::None && sure
    }

    /// Whether ends may be acknowledged: the incarnation that receives the acknowledgement must be
    /// the one that listed them.
    ///
    /// A restarted worker numbers its ends anew, and would drop ends that bear acknowledged numbers
    /// although this owner never read them. So ends are acknowledged only shortly after the current
    /// incarnation has answered, and not while a start order may have been carried out by a newer
    /// incarnation.
    pub(crate) fn may_acknowledge(&self, now: Millis) -> bool {
        let sure = |record: &RunRecord| {
            record.listed || record.answered_at.is_some() || record.ordered_at == now
        };
        let fresh = now <= self.last_answer + MAX_HEARD_AGE_FOR_ACK_MS;
        fresh && self.unsure_since.is_none() && self.runs.values().all(sure)
    }

    /// Whether there are durable ends that were not acknowledged yet.
    pub(crate) fn owes_acknowledgement(&self) -> bool {
        self.incarnation.durable > self.incarnation.acknowledged
    }

    /// Whether there are ends to acknowledge that may not be acknowledged yet.
    pub(crate) fn withholds_ends(&self, now: Millis) -> bool {
        self.owes_acknowledgement() && !self.may_acknowledge(now)
    }

    /// Whether a start order was sent a moment ago and its answer may still arrive in time.
    pub(crate) fn awaits_start(&self, now: Millis) -> bool {
        let awaited = |record: &RunRecord| {
            record.phase == RunPhase::Ordered && now < record.ordered_at + ACK_START_WAIT_MS
        };
        self.runs.values().any(awaited)
    }

    /// Whether the worker has not answered for longer than expected.
    pub(crate) fn is_silent(&self, now: Millis) -> bool {
        let wait_ms = if self.renewal_sent_at.is_some() {
            self.renewal_wait_ms
        } else {
            0
        };
        let limit_ms = WORKER_SILENCE_TIMEOUT_MS + self.renewal_gap_ms + wait_ms;
        self.silence_logged || now.saturating_sub(self.last_answer) > limit_ms
    }

    /// Whether the worker should get a silence record: two consecutive renewals got no answer, or
    /// it did not answer a new owner in time. A single lost call is no evidence, and while a record
    /// exists the lease can't be extended.
    pub(crate) fn is_unresponsive(&self, now: Millis) -> bool {
        let late = now.saturating_sub(self.last_answer) > FIRST_ANSWER_TIMEOUT_MS;
        self.failed_renewals >= SUSPECT_AFTER_FAILED_RENEWALS || !self.incarnation.fenced && late
    }

    /// Whether an entry gives the incarnation that has answered another service or address than the
    /// one by which it was reached. An incarnation keeps both.
    pub(crate) fn contradicts(&self, entry: &WorkerListing) -> bool {
        let named = self.entry.incarnation;
        let same = named.is_some() && named == self.incarnation.id && named == entry.incarnation;
        let moved = entry.address != self.entry.address || entry.service != self.entry.service;
        same && moved
    }

    /// Whether its list entry is of another incarnation than the current one. That incarnation may
    /// have another kind or capacity, or may be about to leave.
    pub(crate) fn entry_incarnation_differs(&self) -> bool {
        self.incarnation.is_other(self.entry.incarnation)
    }

    /// Whether it may be given tasks, which extends its lease. A successor has to know of it, so its
    /// entry in the roster must be durable. A worker that answers exists, even
    /// if a worker list omits it because of problems with the store. While it is unknown which
    /// incarnation answers, its clock is unknown as well: an order could be late at once, or be
    /// carried out hours later.
    pub(crate) fn is_open(&self, now: Millis) -> bool {
        let restarted = self.entry_incarnation_differs() || self.other_answered;
        let leaves = self.entry.draining || self.missing || self.evacuated || restarted;
        let extendable = self.silence_record == SilenceRecord::None;
        self.incarnation.fenced
            && self.published
            && extendable
            && !leaves
            && now >= self.paused_until
            && !self.is_silent(now)
    }

    /// Whether tasks may be running here that only the worker's own answers reveal. A draining
    /// worker whose runs have all ended gets no new ones, so that nobody has to wait for its
    /// answer.
    pub(crate) fn may_hold_tasks(&self) -> bool {
        let emptied =
            self.incarnation.fenced && self.runs.is_empty() && !self.incarnation.has_unwritten();
        !(self.entry.draining && emptied)
    }

    pub(crate) fn free(&self) -> ResourceSize {
        self.entry.capacity.saturating_minus(&self.used)
    }

    /// The capacity that would be free if only this percentage of the known capacity existed.
    pub(crate) fn free_at_percent(&self, percent: u64) -> ResourceSize {
        let ResourceSize {
            cpu_millis,
            memory_mib,
            accelerators,
        } = self.entry.capacity;
        let part = |whole: u64| whole * percent / 100;
        let room = ResourceSize::new(part(cpu_millis), part(memory_mib), part(accelerators));
        room.saturating_minus(&self.used)
    }

    /// Whether any run here has an unknown size.
    pub(crate) fn has_unsized_runs(&self) -> bool {
        self.unsized_runs > 0
    }

    /// The processors held by tasks that are neither standing nor filling, in thousandths of a core.
    pub(crate) fn ordinary_cpu(&self) -> u64 {
        self.ordinary_cpu
    }

    /// The processors that filling tasks would use at full pace, in thousandths of a core.
    pub(crate) fn filling_cpu(&self) -> u64 {
        self.filling_cpu
    }

    pub(crate) fn add_run(&mut self, key: RunKey, record: RunRecord) {
        self.runs.insert(key, record);
        self.recount();
    }

    pub(crate) fn remove_run(&mut self, key: &RunKey) -> Option<RunRecord> {
        let removed = self.runs.remove(key);
        self.recount();
        removed
    }

    /// Whether a run is here that was ordered to stop at this time or earlier.
    pub(crate) fn has_stop_since(&self, at: Millis) -> bool {
        let mut phases = self.runs.values().map(|record| record.phase);
        phases.any(|phase| matches!(phase, RunPhase::Stopping { sent, .. } if sent <= at))
    }

    /// The filling runs here.
    pub(crate) fn filling_runs(&self) -> impl Iterator<Item = (&RunKey, &RunRecord)> {
        self.runs.iter().filter(|(_, record)| record.fills)
    }

    /// The processor use of the filling tasks here, by image, from the newest readings.
    pub(crate) fn fill_loads(&self) -> InterferenceLoads {
        let capacity = self.entry.capacity.cpu_millis.max(1) as f64;
        let mut loads = InterferenceLoads::default();
        for record in self.runs.values().filter(|record| record.fills) {
            let used = record.gauge.unwrap_or(0) as f64 / capacity;
            if used > 0.0 {
                loads.add(record.image, used);
            }
        }
        loads
    }

    fn recount(&mut self) {
        self.discard_fill_allocator();
        let mut used = ResourceSize::default();
        let (mut ordinary, mut filling) = (0, 0);
        for record in self.runs.values() {
            used.cpu_millis += record.room.cpu_millis;
            used.memory_mib += record.room.memory_mib;
            used.accelerators += record.room.accelerators;
            if record.fills {
                filling += record.cpu_millis;
            } else if !record.standing {
                ordinary += record.cpu_millis;
            }
        }
        self.used = used;
        self.unsized_runs = self.runs.values().filter(|record| !record.sized).count();
        self.ordinary_cpu = ordinary;
        self.filling_cpu = filling;
    }
}
