//! Days to be played: a deployment, how long callers hand jobs in, and what goes wrong when.

use sandshelf_model::Millis;

use crate::deployment::Deployment;

/// Which hosts something strikes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HostChoice {
    /// All that run.
    All,
    /// The one that owns the shard, as the store has it.
    Owner,
    /// All strong ones.
    Strong,
    /// So many of a hundred, drawn at random.
    Percent(usize),
}

/// Which hall something strikes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HallChoice {
    /// The one in which the shard's owner stands, as the store has it.
    Owner,
    /// The one with a number, counted from 0.
    Number(usize),
}

/// Which way nothing passes between a hall and everything outside.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CutDirection {
    /// Nothing gets out.
    Outward,
    /// Nothing gets in.
    Inward,
    /// Neither way.
    Both,
}

impl CutDirection {
    /// Whether a hall that is cut off this way stops what goes from one place to another, each a hall or, with none, outside of all of them.
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

/// What goes wrong, or is planned.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DayEvent {
    /// Processes are killed and started again after so long.
    Kill(HostChoice, Millis),
    /// Hosts are without power for so long.
    PowerOff(HostChoice, Millis),
    /// Hosts are lost for good.
    Remove(HostChoice),
    /// Hosts stand still for so long.
    Freeze(HostChoice, Millis),
    /// Hosts work so many times slower for so long.
    SlowHosts(HostChoice, u64, Millis),
    /// All open connections of hosts fall silent; new ones work.
    SilentConnections(HostChoice),
    /// A hall is cut off from the others and from the store for so long.
    CutHall(HallChoice, CutDirection, Millis),
    /// The store answers nobody for so long.
    StoreSilent(Millis),
    /// The store takes so many times as long for so long.
    StoreSlow(u64, Millis),
    /// A configuration with so many more routes.
    Configure(usize),
    /// So many times the traffic, in hundredths, of a class for so long.
    Burst(usize, u32, Millis),
    /// So many of a thousand orders get no answer and are carried out seconds later, for so long.
    LateOrders(u32, Millis),
    /// All runs of so many filling images fail for so long.
    FailingImages(usize, Millis),
    /// The workers of so many racks crash and start again after so long.
    RacksDie(usize, Millis),
    /// So many of a hundred workers go down and start again under their names, at most so long later.
    WorkersRestart(usize, Millis),
    /// So many workers say that they leave, serve on for a while and are gone.
    ScaleIn(usize),
    /// So many workers take orders in without an answer for so long.
    WorkersHang(usize, Millis),
}

/// A day to be played.
#[derive(Clone, Debug)]
pub struct DayPlan {
    /// Where.
    pub deployment: Deployment,
    /// How long callers hand jobs in.
    pub length_ms: Millis,
    /// What goes wrong, by milliseconds since the start of the traffic.
    pub events: Vec<(Millis, DayEvent)>,
}

impl DayPlan {
    /// A day on which nothing goes wrong.
    pub fn calm(deployment: Deployment, length_ms: Millis) -> Self {
        Self {
            deployment,
            length_ms,
            events: Vec::new(),
        }
    }

    /// The same day with something more.
    pub fn with(mut self, at: Millis, event: DayEvent) -> Self {
        self.events.push((at, event));
        self
    }
}
