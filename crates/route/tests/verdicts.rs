//! Every request ends with exactly one final action and a correct verdict, however its attempts end.

use std::collections::BTreeMap;

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use sandshelf_cases::cases;
use sandshelf_model::{HallId, HostId, Millis, RunVerdict, ServerId, ServiceId};
use sandshelf_route::{
    AttemptEnd, RequestInfo, RouteAction, RouteCore, RouteEvent, RouteLimits, ServerEntry,
    ServerState,
};

fn core(limits: RouteLimits, seed: u64) -> RouteCore {
    let host = HostId::from("entry-1.1");
    let mut core = RouteCore::new(host.clone(), HallId::from("north"), limits, seed);
    core.handle(
        0,
        RouteEvent::FirstViewReceived {
            version: 1,
            members: vec![host],
        },
    );
    core
}

fn servers(count: usize) -> Vec<ServerEntry> {
    let names = (0..count).map(|number| format!("server-{number}"));
    names
        .map(|name| ServerEntry::plain(&name, "pricing", "north"))
        .collect()
}

/// What actually happened to a request, to compare with the router's actions.
#[derive(Debug, Default)]
struct RequestTruth {
    repeatable: bool,
    may_have_run: u32,
    answered: bool,
    final_actions: u32,
}

/// Runs requests whose attempts end at random, and records for each what happened to it.
struct VerdictWorld {
    core: RouteCore,
    truths: BTreeMap<u64, RequestTruth>,
    in_flight: Vec<u64>,
    on_server: BTreeMap<ServerId, u32>,
    server_of: BTreeMap<u64, ServerId>,
    leaving: Vec<ServerId>,
    seed: u64,
}

impl VerdictWorld {
    fn act(&mut self, actions: Vec<RouteAction>) {
        for action in actions {
            match action {
                RouteAction::Dispatch {
                    request, server, ..
                } => self.dispatch(request, server),
                RouteAction::Deliver { request } => self.deliver(request),
                RouteAction::GiveUp {
                    request,
                    verdict,
                    retry_after,
                } => self.give_up(request, verdict, retry_after),
            }
        }
    }

    fn dispatch(&mut self, request: u64, server: ServerId) {
        let seed = self.seed;
        let truth = self.truths.get_mut(&request).expect("the request arrived");
        assert_eq!(
            truth.final_actions, 0,
            "seed {seed}: dispatched after its final action"
        );
        let again = truth.may_have_run > 0 && !truth.repeatable;
        assert!(!again, "seed {seed}: {request} may run twice");
        assert!(
            !self.leaving.contains(&server),
            "seed {seed}: {server} is leaving"
        );
        let load = self.on_server.entry(server.clone()).or_default();
        *load += 1;
        assert!(*load <= 8, "seed {seed}: {server} has {load} of 8");
        self.server_of.insert(request, server);
        self.in_flight.push(request);
    }

    fn deliver(&mut self, request: u64) {
        let truth = self.truths.get_mut(&request).expect("the request arrived");
        truth.final_actions += 1;
        assert!(truth.answered, "seed {}: no answer to deliver", self.seed);
    }

    fn give_up(&mut self, request: u64, verdict: RunVerdict, retry_after: Option<Millis>) {
        let seed = self.seed;
        let truth = self.truths.get_mut(&request).expect("the request arrived");
        truth.final_actions += 1;
        match verdict {
            RunVerdict::NotRun => {
                assert_eq!(truth.may_have_run, 0, "seed {seed}: {request} may have run");
                assert!(
                    retry_after.is_some(),
                    "seed {seed}: not run, but no retry_after given"
                );
            }
            RunVerdict::MayHaveRun => {
                assert!(truth.may_have_run > 0, "seed {seed}: {request} did not run");
                assert_eq!(retry_after.is_some(), truth.repeatable);
            }
            RunVerdict::Ran => panic!("a request that is given up has no complete answer"),
        }
    }

    fn end_one(&mut self, now: Millis, rng: &mut ChaCha8Rng) {
        if self.in_flight.is_empty() {
            return;
        }
        let position = rng.random_range(0..self.in_flight.len());
        let request = self.in_flight.swap_remove(position);
        let server = self
            .server_of
            .remove(&request)
            .expect("the request was dispatched");
        *self
            .on_server
            .get_mut(&server)
            .expect("the server has requests in flight") -= 1;
        let truth = self.truths.get_mut(&request).expect("the request arrived");
        let end = match rng.random_range(0..10) {
            0..4 => {
                truth.answered = true;
                AttemptEnd::Answered { latency_ms: 10 }
            }
            4..7 => AttemptEnd::NotRun,
            7 => {
                self.leaving.push(server);
                AttemptEnd::Leaving
            }
            _ => {
                truth.may_have_run += 1;
                AttemptEnd::MayHaveRun
            }
        };
        let actions = self.core.handle(now, RouteEvent::Ended { request, end });
        self.act(actions);
    }
}

fn random_ends(seeds: u64) {
    for seed in 0..seeds {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let limits = RouteLimits {
            queue: 20,
            ..RouteLimits::default()
        };
        let mut world = VerdictWorld {
            core: core(limits, seed),
            truths: BTreeMap::new(),
            in_flight: Vec::new(),
            on_server: BTreeMap::new(),
            server_of: BTreeMap::new(),
            leaving: Vec::new(),
            seed,
        };
        world.core.handle(0, RouteEvent::ServersListed(servers(12)));
        let mut now = 1;
        for number in 0..600 {
            now += rng.random_range(0..3);
            let info = RequestInfo {
                repeatable: rng.random_range(0..2) == 0,
                ..RequestInfo::plain(number, "pricing", now + rng.random_range(1..200))
            };
            let truth = RequestTruth {
                repeatable: info.repeatable,
                ..RequestTruth::default()
            };
            world.truths.insert(number, truth);
            let actions = world.core.handle(now, RouteEvent::Arrived(info));
            world.act(actions);
            for _ in 0..rng.random_range(0..3) {
                world.end_one(now, &mut rng);
            }
            // An outdated list still contains the leaving servers as live.
            world
                .core
                .handle(now, RouteEvent::ServersListed(servers(12)));
            let actions = world.core.handle(now, RouteEvent::Tick);
            world.act(actions);
        }
        while !world.in_flight.is_empty() {
            now += 1;
            world.end_one(now, &mut rng);
        }
        let actions = world.core.handle(now + 10_000, RouteEvent::Tick);
        world.act(actions);
        let wrong = world
            .truths
            .iter()
            .find(|(_, truth)| truth.final_actions != 1);
        assert!(wrong.is_none(), "seed {seed}: {wrong:?}");
    }
}

/// A request whose first attempt may have run and whose second was refused may still have run.
fn refusal_after_attempt_that_may_have_run() {
    let mut core = core(RouteLimits::default(), 1);
    core.handle(0, RouteEvent::ServersListed(servers(8)));
    core.handle(
        0,
        RouteEvent::Arrived(RequestInfo::plain(1, "pricing", 1_000)),
    );
    let end = |end| RouteEvent::Ended { request: 1, end };
    let again = core.handle(1, end(AttemptEnd::MayHaveRun));
    assert!(matches!(again[0], RouteAction::Dispatch { attempt: 2, .. }));
    core.handle(2, end(AttemptEnd::NotRun));
    let last = core.handle(3, end(AttemptEnd::NotRun));
    let verdict = match &last[0] {
        RouteAction::GiveUp { verdict, .. } => *verdict,
        other => panic!("{other:?}"),
    };
    assert_eq!(verdict, RunVerdict::MayHaveRun);
}

/// A leaving server gets no more requests, whoever reported that it leaves and whatever outdated lists contain.
fn leaving_server_gets_no_requests(leaving_event: fn(&ServerId) -> RouteEvent) {
    let mut core = core(RouteLimits::default(), 3);
    core.handle(0, RouteEvent::ServersListed(servers(1)));
    let server = ServerId::from("server-0");
    core.handle(1, leaving_event(&server));
    core.handle(2, RouteEvent::ServersListed(servers(1)));
    let request = RequestInfo::plain(1, "pricing", 50);
    let actions = core.handle(3, RouteEvent::Arrived(request));
    let sent = |action: &RouteAction| matches!(action, RouteAction::Dispatch { .. });
    assert!(!actions.iter().any(sent), "{actions:?}");
    assert_eq!(core.leaving(), vec![server]);
}

fn listed_as_leaving(server: &ServerId) -> RouteEvent {
    let mut entry = ServerEntry::plain(server.as_str(), "pricing", "north");
    entry.state = ServerState::Leaving;
    RouteEvent::ServersListed(vec![entry])
}

/// A request that can't be answered in time is refused at once, with the expected wait of its class as `retry_after`.
fn early_refusal() {
    let limits = RouteLimits {
        queue: 1_000,
        slots: 8,
    };
    let mut core = core(limits, 5);
    core.handle(0, RouteEvent::ServersListed(servers(1)));
    let mut refused_at = None;
    for number in 0..200 {
        let info = RequestInfo::plain(number, "pricing", 100);
        let actions = core.handle(0, RouteEvent::Arrived(info));
        if let Some(RouteAction::GiveUp { retry_after, .. }) = actions.first() {
            assert!(retry_after.is_some_and(|wait| wait >= 50));
            refused_at = Some(number);
            break;
        }
    }
    let refused_at = refused_at.expect("some request is refused at once");
    assert!((8..60).contains(&refused_at), "{refused_at}");
}

/// A flood of requests of one class does not block requests of another class.
fn flood_does_not_block_other_classes() {
    let mut core = core(RouteLimits::default(), 7);
    let mut entries = servers(1);
    entries.push(ServerEntry::plain("other-0", "search", "north"));
    core.handle(0, RouteEvent::ServersListed(entries));
    for number in 0..2_000 {
        core.handle(
            0,
            RouteEvent::Arrived(RequestInfo::plain(number, "pricing", 60_000)),
        );
    }
    let info = RequestInfo::plain(9_999, "search", 60_000);
    let actions = core.handle(1, RouteEvent::Arrived(info));
    assert!(
        matches!(actions[0], RouteAction::Dispatch { .. }),
        "{actions:?}"
    );
}

/// Sends requests whose attempts are all refused by the servers.
fn refuse_all(core: &mut RouteCore, requests: u64) {
    for request in 0..requests {
        let info = RequestInfo::plain(request, "pricing", 10_000);
        core.handle(1, RouteEvent::Arrived(info));
        for _ in 0..3 {
            let end = AttemptEnd::NotRun;
            core.handle(1, RouteEvent::Ended { request, end });
        }
    }
}

/// Failing servers are ejected, but never more than the limit of 30 percent.
fn ejection_stays_within_limit() {
    let mut core = core(RouteLimits::default(), 9);
    core.handle(0, RouteEvent::ServersListed(servers(10)));
    refuse_all(&mut core, 400);
    let ejected = core
        .fleet()
        .servers()
        .filter(|load| load.health.is_ejected(2));
    let ejected = ejected.count();
    assert!((1..=3).contains(&ejected), "{ejected} of 10 are ejected");
}

/// Retries stay within their budget, however many attempts fail.
fn retries_stay_in_budget() {
    let mut core = core(RouteLimits::default(), 11);
    core.handle(0, RouteEvent::ServersListed(servers(40)));
    refuse_all(&mut core, 1_000);
    let retries = core.counts().retries;
    assert!(retries <= 120, "{retries} retries for 1,000 requests");
}

/// A request of a class without servers is refused.
fn unknown_class_is_refused() {
    let mut core = core(RouteLimits::default(), 13);
    let mut info = RequestInfo::plain(1, "pricing", 10);
    info.class = ServiceId::from("nowhere");
    let actions = core.handle(0, RouteEvent::Arrived(info));
    assert!(matches!(
        actions[0],
        RouteAction::GiveUp {
            verdict: RunVerdict::NotRun,
            ..
        }
    ));
}

cases! {
    verdicts_are_correct_for_random_ends => random_ends(40);
    refusal_after_may_have_run_keeps_verdict => refusal_after_attempt_that_may_have_run();
    leaving_by_the_list => leaving_server_gets_no_requests(listed_as_leaving);
    leaving_by_a_peer => leaving_server_gets_no_requests(|server| RouteEvent::ServersLeaving(vec![server.clone()]));
    late_requests_are_refused_early => early_refusal();
    flood_of_one_class => flood_does_not_block_other_classes();
    ejection_is_limited => ejection_stays_within_limit();
    retry_budget_holds => retries_stay_in_budget();
    class_without_servers => unknown_class_is_refused();
}
