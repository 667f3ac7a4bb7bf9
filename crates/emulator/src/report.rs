//! The report of a simulation: call counts, owners, outages and broken rules.

use std::collections::BTreeMap;
use std::fmt;

use sandshelf_jobs::{SchedulerCounts, WorkerCall};
use sandshelf_model::Millis;

use crate::host::{CallAnswer, CallBody};
use crate::meter::MeasuredStep;
use crate::oracle::BrokenRule;
use crate::outcomes::ClassOutcomes;
use crate::queue::Micros;

/// The stats of an owner in one second.
#[derive(Clone, Copy, Debug)]
pub struct OwnerSecond {
    /// The second, counted from the start of the traffic; negative before it.
    pub second: i64,
    /// The index of the owner's host.
    pub host: usize,
    /// The owner's epoch.
    pub epoch: u64,
    /// The processor time that it used, in thousandths of a core.
    pub processor_millis: u64,
    /// What it received over its link, in kilobits.
    pub read_kbit: u64,
    /// How long a work item that arrived now would wait for the processor, in milliseconds.
    pub wait_ms: Millis,
    /// The counts of its scheduler.
    pub counts: SchedulerCounts,
}

/// One takeover of the shard by a new owner.
#[derive(Clone, Copy, Debug)]
pub struct OwnerTakeover {
    /// The new owner's epoch.
    pub epoch: u64,
    /// The index of its host.
    pub host: usize,
    /// When it had read the state that it takes over, in milliseconds since the start of the traffic.
    pub owned_ms: i64,
    /// How long after its claim that was, in milliseconds.
    pub took_ms: Millis,
    /// How long it then waited for workers, in milliseconds; `None` while it still waits.
    pub waited_ms: Option<Millis>,
}

/// An outage of all hosts; times are in milliseconds since the start of the simulation.
#[derive(Clone, Copy, Debug)]
pub struct HostOutage {
    /// When the last host was lost.
    pub lost_ms: Millis,
    /// When the last host was back; until all are, when the latest one was, and `None` while none is.
    pub back_ms: Option<Millis>,
}

/// The calls that hosts made, by kind.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct CallCounts {
    /// Lease renewals.
    pub renewals: usize,
    /// Orders to start a run.
    pub starts: usize,
    /// Orders to stop a run.
    pub stops: usize,
    /// Orders to change the pace of a run.
    pub paces: usize,
    /// Calls to the store.
    pub store_calls: usize,
    /// New connections.
    pub connections: usize,
    /// Bytes to and from workers.
    pub worker_bytes: u64,
    /// Bytes to and from the store.
    pub store_bytes: u64,
}

/// The report of a simulation.
#[derive(Clone, Debug, Default)]
pub struct SimulationReport {
    /// The calls that hosts made.
    pub calls: CallCounts,
    /// How long there must have been no disturbance before rules with a time limit apply, in milliseconds.
    pub contact_ms: Millis,
    /// The simulated time, in seconds.
    pub simulated_s: u64,
    /// How many starts of runs owners decided on.
    pub placed: usize,
    /// How many runs started.
    pub starts: usize,
    /// Orders to start that workers refused because they arrived after their deadline.
    pub refused_late: usize,
    /// Orders to start that workers refused for lack of free capacity.
    pub refused_room: usize,
    /// Orders to start that were refused for other reasons.
    pub refused_other: usize,
    /// Orders to start without an answer.
    pub unanswered: usize,
    /// How many times a worker became silent.
    pub silent: usize,
    /// How many changes of pace owners decided on.
    pub paced: usize,
    /// How many stops of runs owners decided on, by cause.
    pub stops: BTreeMap<String, usize>,
    /// How many runs started beside another run of their task whose step allows copies.
    pub copies: usize,
    /// The takeovers, in order.
    pub takeovers: Vec<OwnerTakeover>,
    /// The stats of the newest owner, second by second.
    pub seconds: Vec<OwnerSecond>,
    /// The outages of all hosts.
    pub outages: Vec<HostOutage>,
    /// For each host: the used time of a processor core in microseconds, and the bytes received and sent.
    pub hosts: Vec<(Micros, u64, u64)>,
    /// The share of requests that were served, in percent.
    pub served_percent: usize,
    /// What the callers of each class got.
    pub classes: Vec<ClassOutcomes>,
    /// The longest counted time that a standing task did not run, in milliseconds.
    pub longest_away_ms: Millis,
    /// The longest time that filling tasks kept a serving task over its target, in milliseconds.
    pub longest_over_target_ms: Millis,
    /// The longest counted time that a job was idle, in milliseconds.
    pub longest_idle_ms: Millis,
    /// The longest time until a configuration was in force on a host in touch, in milliseconds.
    pub longest_config_ms: Millis,
    /// The longest time without disturbances that a task of a cancelled job ran, in milliseconds.
    pub longest_stop_ms: Millis,
    /// The broken rules: time in milliseconds, rule, and description.
    pub broken: Vec<(Millis, BrokenRule, String)>,
    /// The measured steps of schedulers; empty unless the measurement was turned on.
    pub scheduler_steps: Vec<MeasuredStep>,
}

impl CallCounts {
    /// Counts a call and its bytes.
    pub fn note(&mut self, body: &CallBody, bytes: u64) {
        let (count, sum) = match body {
            CallBody::Store(_) => (&mut self.store_calls, &mut self.store_bytes),
            CallBody::Order(order) => {
                let count = match order.call {
                    WorkerCall::Renew(_) => &mut self.renewals,
                    WorkerCall::Start(_) => &mut self.starts,
                    WorkerCall::Stop(_) => &mut self.stops,
                    WorkerCall::Pace(..) => &mut self.paces,
                };
                (count, &mut self.worker_bytes)
            }
        };
        *count += 1;
        *sum += bytes;
    }

    /// Counts the bytes of an answer.
    pub fn note_answer(&mut self, answer: &CallAnswer, bytes: u64) {
        match answer {
            CallAnswer::Worker(_) => self.worker_bytes += bytes,
            CallAnswer::Store(_) => self.store_bytes += bytes,
        }
    }
}

impl SimulationReport {
    /// The number of violations of each rule.
    pub fn broken_by_rule(&self) -> BTreeMap<BrokenRule, usize> {
        let mut counts = BTreeMap::new();
        for (_, rule, _) in &self.broken {
            *counts.entry(*rule).or_default() += 1;
        }
        counts
    }

    /// The host that used most processor time: its index, its mean use in thousandths of a core, and the bytes that it
    /// received per second.
    pub fn busiest(&self) -> (usize, u64, u64) {
        let all = self.hosts.iter().enumerate();
        let busiest = all.max_by_key(|(_, (used, ..))| *used);
        let seconds = self.simulated_s.max(1);
        busiest.map_or((0, 0, 0), |(host, (used, read, _))| {
            (host, used / 1_000 / seconds, read / seconds)
        })
    }
}

impl fmt::Display for SimulationReport {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let (host, used, read) = self.busiest();
        writeln!(
            formatter,
            "served {} %; {} starts of {} orders ({} late, {} no room, {} unanswered, {} other), {} paces, {} times silent",
            self.served_percent,
            self.starts,
            self.placed,
            self.refused_late,
            self.refused_room,
            self.unanswered,
            self.refused_other,
            self.paced,
            self.silent
        )?;
        writeln!(
            formatter,
            "busiest host {host}: {used} thousandths of a core, {} KB received per second",
            read / 1_000
        )?;
        writeln!(
            formatter,
            "longest: standing task not running {} ms, job idle {} ms, configuration {} ms, stop {} ms",
            self.longest_away_ms,
            self.longest_idle_ms,
            self.longest_config_ms,
            self.longest_stop_ms
        )?;
        writeln!(formatter, "{:?}", self.calls)?;
        let used: Micros = self.hosts.iter().map(|(used, ..)| *used).sum();
        writeln!(formatter, "all hosts: {:.1} s of a core", used as f64 / 1e6)?;
        for takeover in &self.takeovers {
            writeln!(formatter, "{takeover:?}")?;
        }
        for outage in &self.outages {
            writeln!(formatter, "{outage:?}")?;
        }
        writeln!(
            formatter,
            "longest time over target because of filling tasks: {} ms",
            self.longest_over_target_ms
        )?;
        writeln!(
            formatter,
            "copies: {}, stops: {:?}",
            self.copies, self.stops
        )?;
        for class in &self.classes {
            writeln!(formatter, "{class}")?;
        }
        write!(formatter, "broken: {:?}", self.broken_by_rule())
    }
}
