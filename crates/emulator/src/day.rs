//! Scenarios ("days") to simulate: a deployment, how long callers submit jobs, and when which faults occur.

use sandshelf_model::Millis;

use crate::deployment::Deployment;
use crate::worker::RunProgress;

/// How long a simulation usually continues after the traffic, in milliseconds.
const COOL_DOWN_MS: Millis = 14_000;

/// Which hosts an event affects. Only running hosts are selected.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HostChoice {
    /// All of them.
    All,
    /// The owner of the shard according to the store.
    Owner,
    /// All strong hosts.
    Strong,
    /// This percentage of them, rounded up, chosen at random.
    Percent(usize),
}

/// Which hall an event affects.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HallChoice {
    /// The hall of the shard's owner according to the store.
    Owner,
    /// The hall with this number, counted from 0.
    Number(usize),
}

/// In which direction messages between a hall and everything outside are lost.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CutDirection {
    /// Messages that leave the hall.
    Outward,
    /// Messages that enter the hall.
    Inward,
    /// Messages in both directions.
    Both,
}

impl CutDirection {
    /// Whether a cut of `hall` in this direction stops messages from `from` to `to`; `None` is outside of all halls.
    pub fn stops(self, hall: usize, from: Option<usize>, to: Option<usize>) -> bool {
        let outward = from == Some(hall) && to != Some(hall);
        let inward = from != Some(hall) && to == Some(hall);
        match self {
            CutDirection::Outward => outward,
            CutDirection::Inward => inward,
            CutDirection::Both => outward || inward,
        }
    }
}

/// A fault or a planned change. A field of type `Millis` is a duration in milliseconds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DayEvent {
    /// The processes of hosts are killed, and restarted after this time.
    Kill(HostChoice, Millis),
    /// Hosts lose power, and restart after this time.
    PowerOff(HostChoice, Millis),
    /// Hosts are lost permanently.
    Remove(HostChoice),
    /// Hosts do no work for this time.
    Freeze(HostChoice, Millis),
    /// Hosts work slower by this factor for this time.
    SlowHosts(HostChoice, u64, Millis),
    /// All open connections of hosts become silent; new ones work.
    SilentConnections(HostChoice),
    /// A hall is cut off from the other halls and from the store for this time.
    CutHall(HallChoice, CutDirection, Millis),
    /// The store answers no call for this time.
    StoreSilent(Millis),
    /// The store takes longer by this factor for this time.
    StoreSlow(u64, Millis),
    /// A new configuration with this number of additional routes.
    Configure(usize),
    /// The class with this index has this percentage of its usual traffic for this time.
    Burst(usize, u32, Millis),
    /// For this time, this number of a thousand orders get no answer and are carried out seconds later.
    LateOrders(u32, Millis),
    /// All runs of this number of filling images fail for this time.
    FailingImages(usize, Millis),
    /// The workers of this number of racks crash, and are replaced after this time.
    RacksCrash(usize, Millis),
    /// This percentage of the workers goes down; they restart under their names within this time.
    WorkersRestart(usize, Millis),
    /// The workers of a hall go down; they restart under their names within this time.
    HallWorkersRestart(usize, Millis),
    /// For this time, this number of a thousand calls that reach a worker while it is down are carried out by its next incarnation, within
    /// three seconds.
    OutlivingCalls(u32, Millis),
    /// This number of workers drain: they announce that they leave, keep running tasks for a while, and are gone.
    ScaleIn(usize),
    /// This percentage of the workers is lost permanently.
    WorkersLost(usize),
    /// This percentage of the workers drains, and leaves permanently after this time.
    WorkersReclaimed(usize, Millis),
    /// Runs on this number of a thousand workers progress like this for this time. All such events of a day affect the same
    /// workers, which the first one chooses.
    RunsHindered(usize, RunProgress, Millis),
    /// The store refuses all calls of these hosts for this time.
    StoreRefuses(HostChoice, Millis),
    /// This number of workers carry out orders without an answer for this time.
    WorkersHang(usize, Millis),
    /// This percentage of the workers is cut off from all hosts for this time, and keeps running tasks.
    WorkersCut(usize, Millis),
    /// The workers of a hall are cut off from all hosts for this time, and keep running tasks.
    HallWorkersCut(usize, Millis),
    /// Like `WorkersCut`, but connections to these workers are closed and refused instead of getting no answer, and their entries lapse
    /// if this time is long enough.
    WorkersRefuse(usize, Millis),
    /// This percentage of the workers is cut off as by `WorkersCut`, each of them for this time and shortly after it has first answered
    /// the next owner. A worker that two such events of a day choose is cut off once, for the longer time.
    CutAfterTakeover(usize, Millis),
    /// The entries of this percentage of the workers lapse at once, and return up to 2 s after this time.
    EntriesLapse(usize, Millis),
}

/// A scenario to simulate.
#[derive(Clone, Debug)]
pub struct DayPlan {
    /// The emulated platform.
    pub deployment: Deployment,
    /// How long callers submit jobs, in milliseconds.
    pub length_ms: Millis,
    /// How long the simulation continues after that, so that jobs can finish, in milliseconds.
    pub cool_down_ms: Millis,
    /// The events, each with its time in milliseconds since the start of the traffic.
    pub events: Vec<(Millis, DayEvent)>,
}

impl DayPlan {
    /// A day without events.
    pub fn calm(deployment: Deployment, length_ms: Millis) -> Self {
        Self {
            deployment,
            length_ms,
            cool_down_ms: COOL_DOWN_MS,
            events: Vec::new(),
        }
    }

    /// The same day with one more event, `at` milliseconds after the start of the traffic.
    pub fn with(mut self, at: Millis, event: DayEvent) -> Self {
        self.events.push((at, event));
        self
    }
}
