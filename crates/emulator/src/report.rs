//! What is told of a play.

use std::collections::BTreeMap;
use std::fmt;

use sandshelf_jobs::{SchedulerCounts, WorkerCall};
use sandshelf_model::Millis;

use crate::host::{CallAnswer, CallBody};
use crate::meter::MeasuredStep;
use crate::oracle::BrokenRule;
use crate::queue::Micros;

/// One second of an owner.
#[derive(Clone, Copy, Debug)]
pub struct OwnerSecond {
    /// Which second of the traffic; before it, less than 0.
    pub second: i64,
    /// The host.
    pub host: usize,
    /// Its epoch.
    pub epoch: u64,
    /// What it used of a core, in thousandths.
    pub processor_millis: u64,
    /// What it read over its link, in thousands of bits.
    pub read_kbit: u64,
    /// How long what came in now would wait for the processor.
    pub late_ms: Millis,
    /// What its scheduler counts.
    pub counts: SchedulerCounts,
}

/// One owner from its claim on; times are those of the traffic, in milliseconds.
#[derive(Clone, Copy, Debug)]
pub struct OwnerTakeover {
    /// Its epoch.
    pub epoch: u64,
    /// The host.
    pub host: usize,
    /// When it had read what it takes over.
    pub owned_ms: i64,
    /// How long after its claim that was.
    pub took_ms: Millis,
    /// How long it then waited for workers.
    pub waited_ms: Option<Millis>,
}

/// When all hosts were lost, and when the last of them was back.
#[derive(Clone, Copy, Debug)]
pub struct HostOutage {
    /// When the last was lost.
    pub lost_ms: Millis,
    /// When the last was back.
    pub back_ms: Option<Millis>,
}

/// How many calls hosts made, by kind.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct CallCounts {
    /// Holds.
    pub holds: usize,
    /// Orders to start.
    pub starts: usize,
    /// Orders to stop.
    pub stops: usize,
    /// Changes of pace.
    pub paces: usize,
    /// Calls to the store.
    pub asks: usize,
    /// New connections.
    pub connections: usize,
    /// Bytes to and from workers.
    pub worker_bytes: u64,
    /// Bytes to and from the store.
    pub store_bytes: u64,
}

/// What is told of a play.
#[derive(Clone, Debug, Default)]
pub struct SimulationReport {
    /// How many calls hosts made.
    pub calls: CallCounts,
    /// For how long nothing may have been disturbed for rules with a time bound.
    pub contact_ms: Millis,
    /// How long the play was, in seconds.
    pub seconds_played: u64,
    /// How many runs were ordered and how many began.
    pub placed: usize,
    /// How many began.
    pub starts: usize,
    /// Orders to start that came too late for the worker.
    pub refused_late: usize,
    /// Orders to start for which there was no room.
    pub refused_room: usize,
    /// Orders to start that were refused for other causes.
    pub refused_else: usize,
    /// Orders to start without an answer.
    pub unanswered: usize,
    /// How often a worker counted as silent.
    pub silent: usize,
    /// How many paces were set.
    pub paced: usize,
    /// Owners, one after the other.
    pub takeovers: Vec<OwnerTakeover>,
    /// Seconds of owners.
    pub seconds: Vec<OwnerSecond>,
    /// When all hosts were lost.
    pub losses: Vec<HostOutage>,
    /// Of each host: the core's time used, and bytes read and sent.
    pub hosts: Vec<(Micros, u64, u64)>,
    /// How many of a hundred requests were served.
    pub served_percent: usize,
    /// The longest that a standing task was away where that counts.
    pub longest_away_ms: Millis,
    /// The longest that nothing of a job was at work where that counts.
    pub longest_idle_ms: Millis,
    /// The longest that a configuration took to a host in touch.
    pub longest_config_ms: Millis,
    /// The longest that a task of a cancelled job was at work in calm.
    pub longest_stop_ms: Millis,
    /// What was broken.
    pub broken: Vec<(Millis, BrokenRule, String)>,
    /// Steps of schedulers as they were measured.
    pub scheduler_steps: Vec<MeasuredStep>,
}

impl CallCounts {
    /// Counts a call that leaves.
    pub fn note(&mut self, body: &CallBody, bytes: u64) {
        let (count, sum) = match body {
            CallBody::Ask(_) => (&mut self.asks, &mut self.store_bytes),
            CallBody::Order(order) => {
                let count = match order.call {
                    WorkerCall::Renew(_) => &mut self.holds,
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

    /// Counts an answer.
    pub fn note_answer(&mut self, answer: &CallAnswer, bytes: u64) {
        match answer {
            CallAnswer::Worker(_) => self.worker_bytes += bytes,
            CallAnswer::Store(_) => self.store_bytes += bytes,
        }
    }
}

impl SimulationReport {
    /// How often each rule was broken.
    pub fn broken_by_rule(&self) -> BTreeMap<BrokenRule, usize> {
        let mut counts = BTreeMap::new();
        for (_, rule, _) in &self.broken {
            *counts.entry(*rule).or_default() += 1;
        }
        counts
    }

    /// The busiest host: its number, what it used of a core in the mean, in thousandths, and what it read a second.
    pub fn busiest(&self) -> (usize, u64, u64) {
        let all = self.hosts.iter().enumerate();
        let busiest = all.max_by_key(|(_, (used, ..))| *used);
        let seconds = self.seconds_played.max(1);
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
            "served {} %; {} starts of {} orders ({} late, {} no room, {} unanswered, {} else), {} paces, {} times silent",
            self.served_percent,
            self.starts,
            self.placed,
            self.refused_late,
            self.refused_room,
            self.unanswered,
            self.refused_else,
            self.paced,
            self.silent
        )?;
        writeln!(
            formatter,
            "busiest host {host}: {used} thousandths of a core, {} KB read a second",
            read / 1_000
        )?;
        writeln!(
            formatter,
            "away {} ms, idle {} ms, configuration {} ms, stop {} ms at most",
            self.longest_away_ms,
            self.longest_idle_ms,
            self.longest_config_ms,
            self.longest_stop_ms
        )?;
        writeln!(formatter, "{:?}", self.calls)?;
        let used: Micros = self.hosts.iter().map(|(used, ..)| *used).sum();
        writeln!(formatter, "all hosts {:.1} s of a core", used as f64 / 1e6)?;
        for seen in &self.takeovers {
            writeln!(formatter, "{seen:?}")?;
        }
        for loss in &self.losses {
            writeln!(formatter, "{loss:?}")?;
        }
        write!(formatter, "broken: {:?}", self.broken_by_rule())
    }
}
