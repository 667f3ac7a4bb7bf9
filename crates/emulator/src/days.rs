//! The named days, which are simulated regularly.

use sandshelf_model::Millis;

use crate::day::{CutDirection, DayEvent, DayPlan, HallChoice, HostChoice};
use crate::deployment::{Deployment, WEAK_HOST};
use crate::worker::RunProgress;

/// How long a day with an overload until its end continues, in milliseconds: until filling jobs are of no use any more, so that the
/// outcomes of all of them are known.
const OVERLOAD_COOL_DOWN_MS: Millis = 30_000;
/// How long after the store has begun to refuse the owner's calls its successor has just reached all workers, in milliseconds.
const CUT_AFTER_REFUSAL_MS: Millis = 1_800;
/// How long workers drain that are cut off meanwhile, in milliseconds.
const DRAIN_FOR_MS: Millis = 12_000;
/// The index of the class of short jobs.
const SHORT_CLASS: usize = 0;
/// The index of the class of filling jobs, which has most of the bursts of traffic.
const FILLING_CLASS: usize = 1;
/// The index of the class of standing jobs.
const STANDING_CLASS: usize = 2;

/// The names of the days, each with a description.
pub const DAYS: [(&str, &str); 27] = [
    ("calm", "nothing goes wrong"),
    ("burst", "a burst of filling jobs with a strong owner; many orders are late"),
    ("long-burst", "2.6 times the usual rate of filling jobs for 12 s"),
    ("weak", "only weak hosts, with a burst of filling jobs"),
    (
        "weak-left",
        "the strong hosts are lost permanently before the burst",
    ),
    ("lost", "all hosts are killed at the same time"),
    (
        "lost-twice",
        "all hosts are killed at the same time, and lose power soon after",
    ),
    ("restart", "the owner is killed and restarted immediately"),
    ("owners", "owners are killed one after the other while racks crash"),
    ("herds", "60 percent of the hosts are killed, four times in a row"),
    ("images", "all runs of some filling images fail, and orders are late"),
    (
        "silent",
        "all open connections of all hosts become silent, twice",
    ),
    (
        "large",
        "the configuration grows by 1,400 routes twice, and all hosts are restarted",
    ),
    ("storm", "large configurations in quick succession"),
    (
        "restarts",
        "a third of the workers restart under their names several times, also while the owner is killed",
    ),
    (
        "recut",
        "the workers of one hall restart under their names, the owner is killed 2 s later, and these workers are cut off for 9 s, three times",
    ),
    (
        "cuts",
        "the owner's hall is cut off outward, inward and outward again, and hall 1 in both directions",
    ),
    (
        "turned-away",
        "the store refuses the owner's calls, twice, and a sixth of the workers is cut off when the next owner has just reached them",
    ),
    (
        "outages",
        "the store is silent three times, entries of workers lapse, the owner is killed in it, and two fifths of the workers are cut off when they have just answered the next owner",
    ),
    (
        "drains",
        "a third of the workers drains, and a sixth of all workers refuses connections until its entries have lapsed, twice",
    ),
    (
        "overload",
        "twice the usual rate of filling jobs from second 8 to the end",
    ),
    (
        "heavy-overload",
        "3.5 times the usual rate of filling jobs from second 8 to the end",
    ),
    (
        "quarter-lost",
        "a quarter of the workers is lost permanently, with a burst of short jobs",
    ),
    (
        "double",
        "2.2 times all traffic for 10 s, while the owner is killed",
    ),
    (
        "stuck",
        "runs on an eighth of the workers make no progress for 5 s, with a burst of short jobs, and are five times slower later",
    ),
    (
        "reclaimed",
        "a fifth of the workers drains and leaves 2 s later, with a burst of short jobs",
    ),
    (
        "store-refuses",
        "the store refuses the calls of a third of the hosts for 9 s, with a burst of short jobs",
    ),
];

/// The day with this name on a deployment; `None` for an unknown name.
pub fn day(name: &str, deployment: Deployment) -> Option<DayPlan> {
    let length = match name {
        "lost" | "lost-twice" => 42_000,
        _ => 34_000,
    };
    let burst = |at| (at, DayEvent::Burst(FILLING_CLASS, 140, 6_000));
    let count = deployment.hosts.len();
    let calm = DayPlan::calm(deployment, length);
    let burst_day = |calm: DayPlan, at| {
        let (at, event) = burst(at);
        calm.with(at, event)
    };
    Some(match name {
        "calm" => calm,
        "burst" => burst_day(calm, 8_000),
        "long-burst" => calm.with(6_000, DayEvent::Burst(FILLING_CLASS, 260, 12_000)),
        "weak" => {
            let hosts = vec![WEAK_HOST; count];
            burst_day(
                DayPlan {
                    deployment: calm.deployment.with_hosts(hosts),
                    ..calm
                },
                8_000,
            )
        }
        "weak-left" => burst_day(calm, 16_000).with(10_000, DayEvent::Remove(HostChoice::Strong)),
        "silent" => burst_day(calm, 8_000)
            .with(6_000, DayEvent::SilentConnections(HostChoice::All))
            .with(11_000, DayEvent::SilentConnections(HostChoice::All)),
        "restart" => calm.with(18_000, DayEvent::Kill(HostChoice::Owner, 500)),
        "large" => burst_day(calm, 18_000)
            .with(6_000, DayEvent::Configure(1_400))
            .with(10_000, DayEvent::Configure(1_400))
            .with(14_000, DayEvent::Kill(HostChoice::All, 500)),
        "lost" => burst_day(calm, 8_000).with(20_000, DayEvent::Kill(HostChoice::All, 500)),
        "lost-twice" => burst_day(calm, 8_000)
            .with(18_000, DayEvent::Kill(HostChoice::All, 500))
            .with(22_000, DayEvent::PowerOff(HostChoice::All, 1_500)),
        "owners" => burst_day(calm, 6_000)
            .with(10_000, DayEvent::RacksCrash(3, 4_000))
            .with(10_300, DayEvent::Kill(HostChoice::Owner, 3_000))
            .with(14_000, DayEvent::Kill(HostChoice::Owner, 3_000))
            .with(17_500, DayEvent::RacksCrash(2, 6_000))
            .with(18_000, DayEvent::Kill(HostChoice::Owner, 3_000))
            .with(21_500, DayEvent::Kill(HostChoice::Owner, 3_000)),
        "herds" => [10_300, 14_000, 18_000, 21_500]
            .into_iter()
            .fold(burst_day(calm, 6_000), |day, at| {
                day.with(at, DayEvent::Kill(HostChoice::Percent(60), 3_000))
            }),
        "images" => burst_day(calm, 14_000)
            .with(6_000, DayEvent::FailingImages(6, 10_000))
            .with(8_000, DayEvent::LateOrders(55, 5_500)),
        "storm" => {
            let mut day = burst_day(calm, 12_000).with(10_000, DayEvent::Configure(1_000));
            for number in 0..10 {
                day = day.with(14_000 + number * 330, DayEvent::Configure(1));
            }
            day
        }
        "restarts" => burst_day(calm, 6_000)
            .with(7_000, DayEvent::WorkersRestart(35, 1_000))
            .with(9_000, DayEvent::LateOrders(55, 5_500))
            .with(10_000, DayEvent::WorkersRestart(10, 6_000))
            .with(14_000, DayEvent::WorkersRestart(35, 2_000))
            .with(14_300, DayEvent::Kill(HostChoice::Owner, 3_000))
            .with(20_000, DayEvent::Kill(HostChoice::Owner, 500))
            .with(20_100, DayEvent::WorkersRestart(35, 1_000)),
        "recut" => recut(calm),
        "cuts" => burst_day(calm, 13_000)
            .with(
                6_000,
                DayEvent::CutHall(HallChoice::Owner, CutDirection::Outward, 5_500),
            )
            .with(
                13_500,
                DayEvent::CutHall(HallChoice::Owner, CutDirection::Inward, 6_000),
            )
            .with(
                20_500,
                DayEvent::CutHall(HallChoice::Owner, CutDirection::Outward, 7_000),
            )
            .with(
                22_000,
                DayEvent::CutHall(HallChoice::Number(1), CutDirection::Both, 4_000),
            ),
        "turned-away" => [6_000, 20_000].into_iter().fold(calm, |day, at| {
            day.with(at, DayEvent::StoreRefuses(HostChoice::Owner, 7_000))
                .with(at + CUT_AFTER_REFUSAL_MS, DayEvent::WorkersCut(17, 5_500))
        }),
        "outages" => outages(calm),
        "drains" => drains(calm),
        _ => return contended_day(name, calm),
    })
}

/// Restarts of one hall's workers while calls to them are under way, each with a change of owner and a cut soon after. An earlier restart
/// makes their clocks differ, so that deadlines of an earlier incarnation lie far ahead for most of them.
fn recut(calm: DayPlan) -> DayPlan {
    const HALL: usize = 1;
    let calm = calm.with(1_500, DayEvent::HallWorkersRestart(HALL, 600));
    [5_000, 17_000, 29_000].into_iter().fold(calm, |day, at| {
        day.with(at, DayEvent::OutlivingCalls(700, 3_000))
            .with(at, DayEvent::HallWorkersRestart(HALL, 900))
            .with(at + 2_000, DayEvent::Kill(HostChoice::Owner, 3_000))
            .with(at + 2_600, DayEvent::HallWorkersCut(HALL, 9_000))
    })
}

/// Outages of the store in which entries lapse and the owner is killed early or late, with cuts from the next owner's first answers on
/// that end before and after the leases of the killed owner.
fn outages(calm: DayPlan) -> DayPlan {
    let rounds = [
        (4_000, 4_200, 3_800),
        (15_000, 5_200, 4_900),
        (26_000, 4_200, 1_500),
    ];
    rounds
        .into_iter()
        .fold(calm, |day, (at, silent_ms, killed_after_ms)| {
            day.with(at, DayEvent::StoreSilent(silent_ms))
                .with(at, DayEvent::EntriesLapse(60, silent_ms))
                .with(
                    at + killed_after_ms,
                    DayEvent::Kill(HostChoice::Owner, 3_000),
                )
                .with(at + killed_after_ms, DayEvent::CutAfterTakeover(20, 4_500))
                .with(at + killed_after_ms, DayEvent::CutAfterTakeover(20, 6_000))
        })
}

/// Drains beside cuts that refuse connections until entries have lapsed, while the store is well.
fn drains(calm: DayPlan) -> DayPlan {
    [6_000, 20_000].into_iter().fold(calm, |day, at| {
        day.with(at, DayEvent::WorkersReclaimed(30, DRAIN_FOR_MS))
            .with(at + 900, DayEvent::WorkersRefuse(17, 4_800))
    })
}

/// The days on which callers compete for too little capacity.
fn contended_day(name: &str, calm: DayPlan) -> Option<DayPlan> {
    let length = calm.length_ms;
    let short_burst = |day: DayPlan, at| day.with(at, DayEvent::Burst(SHORT_CLASS, 200, 6_000));
    let filling_burst = |day: DayPlan, percent| {
        let burst = DayEvent::Burst(FILLING_CLASS, percent, length - 8_000);
        DayPlan {
            cool_down_ms: OVERLOAD_COOL_DOWN_MS,
            ..day.with(8_000, burst)
        }
    };
    Some(match name {
        "overload" => filling_burst(calm, 200),
        // Twice the usual rate makes hardly any job late on the second deployment.
        "heavy-overload" => filling_burst(calm, 350),
        "quarter-lost" => short_burst(calm, 6_000).with(6_000, DayEvent::WorkersLost(25)),
        "double" => [SHORT_CLASS, FILLING_CLASS, STANDING_CLASS]
            .into_iter()
            .fold(calm, |day, class| {
                day.with(8_000, DayEvent::Burst(class, 220, 10_000))
            })
            .with(10_000, DayEvent::Kill(HostChoice::Owner, 3_000)),
        "stuck" => short_burst(calm, 8_000)
            .with(8_000, DayEvent::RunsHindered(125, RunProgress::None, 5_000))
            .with(
                16_000,
                DayEvent::RunsHindered(125, RunProgress::Slower(5), 5_000),
            ),
        "reclaimed" => short_burst(calm, 8_000).with(8_000, DayEvent::WorkersReclaimed(20, 2_000)),
        "store-refuses" => short_burst(calm, 8_000).with(
            8_000,
            DayEvent::StoreRefuses(HostChoice::Percent(33), 9_000),
        ),
        _ => return None,
    })
}
