//! Every order of what may happen to orders of two owners on their way through two hosts to two workers, up to a depth; and faults
//! that have to be found.

use sandshelf_jobs::relay::{
    decode_message, encode_message, OrderRoute, RelayAgent, RelayDispatcher, RelayHandshake,
    RelayMessage, RelayNumber, RelayedAnswer, RelayedOrder,
};
use sandshelf_jobs::WorkerCall;
use sandshelf_jobs::{JobEvent, JobNumber, OrderAnswer, RefusalReason, RunKey, StartCall, TaskKey};
use sandshelf_model::{Epoch, HallId, HostId, WorkerId};

/// How many things happen on each path.
const DEPTH: usize = 9;
/// The epochs of the two owners; the first is deposed.
const EPOCHS: [Epoch; 2] = [7, 8];
/// The halls of the two hosts, in each of which one of the workers stands.
const HALLS: [&str; 2] = ["north", "south"];
/// Workers that are listed beside the two, so that owners need help.
const OTHERS: usize = 100;

/// What is wrong with a part of the model.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum PlantedFault {
    None,
    /// Workers carry out orders of epochs that are over.
    StaleOrders,
    /// Relays carry an order again that comes twice.
    TwiceCarried,
    /// An owner forgets what a lost relay had under way.
    LostForgotten,
    /// An owner takes an answer from whoever sends it.
    AnyAnswer,
}

/// What broke.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum BrokenPromise {
    /// A worker began a run for an owner that it knew to be deposed.
    StaleStart,
    /// A run was begun twice by one order.
    TwiceStarted,
    /// An order has neither an answer nor a way to get one.
    NeverTold,
    /// An owner was told twice of one order, or told that it was done which never was.
    FalselyTold,
}

#[derive(Clone, Default)]
struct ModelWorker {
    fence: Epoch,
    started: Vec<(Epoch, RunKey)>,
}

/// A connection of one owner to one host, with what is on its way.
#[derive(Clone)]
struct ModelLink {
    relay: RelayNumber,
    station: RelayAgent,
    to_relay: Vec<RelayMessage>,
    carried: Vec<RelayedOrder>,
    to_owner: Vec<RelayMessage>,
    up: bool,
}

#[derive(Clone)]
struct ModelOwner {
    epoch: Epoch,
    dispatcher: RelayDispatcher,
    links: Vec<ModelLink>,
    /// For each order that was given: the worker, the run, and what was told of it.
    given: Vec<(usize, RunKey, Vec<OrderAnswer>)>,
}

#[derive(Clone)]
struct RelayModel {
    owners: Vec<ModelOwner>,
    workers: Vec<ModelWorker>,
}

/// One thing that happens, to an owner's link where it names one.
#[derive(Clone, Copy, Debug)]
enum ModelStep {
    Give(usize, usize),
    Deliver(usize, usize),
    DeliverAgain(usize, usize),
    Carry(usize, usize),
    Tell(usize, usize),
    Cut(usize, usize),
}

fn worker(number: usize) -> WorkerId {
    WorkerId::from(format!("w-{number}"))
}

fn key(owner: usize, number: usize) -> RunKey {
    let task = TaskKey {
        job: JobNumber(number as u64),
        time: 0,
        step: 0,
        index: 0,
    };
    RunKey {
        task,
        run: EPOCHS[owner] << 20,
    }
}

impl ModelOwner {
    fn new(epoch: Epoch) -> Self {
        let mut dispatcher = RelayDispatcher::new(epoch, 100);
        let places = (0..OTHERS).map(|number| (worker(number), HallId::from(HALLS[number % 2])));
        dispatcher.note_workers(places);
        let links = HALLS.map(|hall| {
            let handshake = RelayHandshake::new(HostId::from(hall), HallId::from(hall), 500);
            ModelLink {
                relay: dispatcher.join(0, handshake).expect("the same version"),
                station: RelayAgent::new(epoch),
                to_relay: Vec::new(),
                carried: Vec::new(),
                to_owner: Vec::new(),
                up: true,
            }
        });
        Self {
            epoch,
            dispatcher,
            links: links.to_vec(),
            given: Vec::new(),
        }
    }

    fn told(&mut self, event: JobEvent) {
        if let JobEvent::StartAnswered(_, run, answer) = event {
            for (_, given, answers) in &mut self.given {
                if *given == run {
                    answers.push(answer);
                }
            }
        }
    }
}

impl RelayModel {
    fn new() -> Self {
        Self {
            owners: EPOCHS.map(ModelOwner::new).to_vec(),
            workers: vec![ModelWorker::default(); 2],
        }
    }

    fn steps(&self) -> Vec<ModelStep> {
        let mut steps = Vec::new();
        for (owner, state) in self.owners.iter().enumerate() {
            if state.given.len() < 2 {
                steps.push(ModelStep::Give(owner, state.given.len()));
            }
            for (number, link) in state.links.iter().enumerate() {
                if !link.to_relay.is_empty() {
                    steps.push(ModelStep::Deliver(owner, number));
                    steps.push(ModelStep::DeliverAgain(owner, number));
                }
                if !link.carried.is_empty() {
                    steps.push(ModelStep::Carry(owner, number));
                }
                if !link.to_owner.is_empty() && link.up {
                    steps.push(ModelStep::Tell(owner, number));
                }
                if link.up {
                    steps.push(ModelStep::Cut(owner, number));
                }
            }
        }
        steps
    }

    fn take(&mut self, step: ModelStep, fault: PlantedFault) -> Result<(), BrokenPromise> {
        match step {
            ModelStep::Give(owner, number) => self.give(owner, number),
            ModelStep::Deliver(owner, link) => self.deliver(owner, link, true, fault),
            ModelStep::DeliverAgain(owner, link) => self.deliver(owner, link, false, fault),
            ModelStep::Carry(owner, link) => return self.carry(owner, link, fault),
            ModelStep::Tell(owner, link) => self.tell(owner, link, fault),
            ModelStep::Cut(owner, link) => self.cut(owner, link, fault),
        }
        self.check_told()
    }

    /// An owner gives an order to start one run on one worker.
    fn give(&mut self, owner: usize, number: usize) {
        let state = &mut self.owners[owner];
        let run = key(owner, number);
        let call = WorkerCall::Start(StartCall {
            key: run,
            payload: String::new(),
            deadline: 0,
            checkpoint: None,
        });
        let route = state
            .dispatcher
            .route(0, &worker(number), ([10, 0, 0, 1], 80).into(), call);
        state.given.push((number, run, Vec::new()));
        if let OrderRoute::Direct(_) = route {
            // Both hosts are cut off: the owner's own call is another matter.
            state
                .given
                .last_mut()
                .expect("just given")
                .2
                .push(OrderAnswer::Unreachable);
        }
        for (relay, message) in state.dispatcher.take_messages(0) {
            let link = state.links.iter_mut().find(|link| link.relay == relay);
            link.expect("a known relay").to_relay.push(message);
        }
    }

    /// A message comes to its host; or a copy of it does, and it comes once more.
    fn deliver(&mut self, owner: usize, number: usize, last: bool, fault: PlantedFault) {
        let link = &mut self.owners[owner].links[number];
        let message = link.to_relay[0].clone();
        if last {
            link.to_relay.remove(0);
        }
        let message = decode_message(&encode_message(&message)).expect("what was encoded");
        if let (PlantedFault::TwiceCarried, RelayMessage::Orders(batch)) = (fault, &message) {
            link.carried.extend(batch.orders.clone());
        }
        match link.station.handle_message(0, message) {
            Ok(orders) if fault != PlantedFault::TwiceCarried => link.carried.extend(orders),
            _ => {}
        }
    }

    /// A host carries one order to its worker, late or not, and takes the answer.
    fn carry(
        &mut self,
        owner: usize,
        number: usize,
        fault: PlantedFault,
    ) -> Result<(), BrokenPromise> {
        let epoch = self.owners[owner].epoch;
        let link = &mut self.owners[owner].links[number];
        let order = link.carried.remove(0);
        let place = usize::from(order.worker == worker(1));
        let target = &mut self.workers[place];
        let WorkerCall::Start(start) = order.call else {
            return Ok(());
        };
        let stale = epoch < target.fence;
        let answer = if stale && fault != PlantedFault::StaleOrders {
            OrderAnswer::Refused(0, RefusalReason::Fenced)
        } else {
            target.fence = target.fence.max(epoch);
            target.started.push((epoch, start.key));
            OrderAnswer::Done(0)
        };
        link.station
            .finish(order.number, RelayedAnswer::from(answer));
        link.to_owner.extend(link.station.take_answers());
        let same = |(_, key): &&(Epoch, RunKey)| *key == start.key;
        match (stale, answer) {
            (true, OrderAnswer::Done(_)) => Err(BrokenPromise::StaleStart),
            _ if target.started.iter().filter(same).count() > 1 => Err(BrokenPromise::TwiceStarted),
            _ => Ok(()),
        }
    }

    fn tell(&mut self, owner: usize, number: usize, fault: PlantedFault) {
        let state = &mut self.owners[owner];
        let message = state.links[number].to_owner.remove(0);
        let from = match fault {
            // The other host says it in this one's name.
            PlantedFault::AnyAnswer => state.links[1 - number].relay,
            _ => state.links[number].relay,
        };
        for event in state.dispatcher.handle_message(0, from, message).events {
            state.told(event);
        }
    }

    fn cut(&mut self, owner: usize, number: usize, fault: PlantedFault) {
        let state = &mut self.owners[owner];
        state.links[number].up = false;
        let events = state.dispatcher.leave(0, state.links[number].relay);
        if fault != PlantedFault::LostForgotten {
            events.into_iter().for_each(|event| state.told(event));
        }
    }

    /// Each order was told of at most once, truly, and may still be told of where it was not.
    fn check_told(&self) -> Result<(), BrokenPromise> {
        for state in &self.owners {
            let under_way = |run: &RunKey| {
                let links = state.links.iter().filter(|link| link.up);
                let mut holds = links.flat_map(|link| {
                    let waiting = link.to_relay.iter().any(|message| names(message, run));
                    let carried = link.carried.iter().any(|order| starts(order, run));
                    [waiting, carried, !link.to_owner.is_empty()]
                });
                holds.any(|held| held)
            };
            for (place, run, answers) in &state.given {
                let started = self.workers[*place].started.iter();
                let started = started.filter(|(_, key)| key == run).count();
                let falsely = answers
                    .iter()
                    .any(|answer| matches!(answer, OrderAnswer::Done(_)) && started == 0);
                if answers.len() > 1 || falsely {
                    return Err(BrokenPromise::FalselyTold);
                }
                if answers.is_empty() && !under_way(run) {
                    return Err(BrokenPromise::NeverTold);
                }
            }
        }
        Ok(())
    }
}

fn starts(order: &RelayedOrder, run: &RunKey) -> bool {
    matches!(&order.call, WorkerCall::Start(start) if start.key == *run)
}

fn names(message: &RelayMessage, run: &RunKey) -> bool {
    matches!(message, RelayMessage::Orders(batch) if batch.orders.iter().any(|order| starts(order, run)))
}

/// Follows all paths; returns how many there are, or the first that breaks a promise.
fn explore(model: &RelayModel, depth: usize, fault: PlantedFault) -> Result<u64, BrokenPromise> {
    if depth == 0 {
        return Ok(1);
    }
    let mut paths = 0;
    for step in model.steps() {
        let mut next = model.clone();
        next.take(step, fault)?;
        paths += explore(&next, depth - 1, fault)?;
    }
    Ok(paths.max(1))
}

/// How deep all paths are followed; deeper by hand.
fn chosen_depth() -> usize {
    let chosen = std::env::var("SANDSHELF_DEPTH");
    chosen.map_or(6, |depth| depth.parse().expect("a depth is a number"))
}

fn keeps_every_promise(depth: usize) {
    let paths = explore(&RelayModel::new(), depth, PlantedFault::None);
    let paths = paths.expect("no promise is broken");
    println!("{paths} paths of {depth} steps");
    assert!(paths > 10_000, "{paths} paths");
}

fn finds(fault: PlantedFault, broken: BrokenPromise) {
    let found = (1..=DEPTH).find_map(|depth| explore(&RelayModel::new(), depth, fault).err());
    assert_eq!(found, Some(broken));
}

sandshelf_cases::cases! {
    all_paths => keeps_every_promise(chosen_depth());
    finds_stale_orders => finds(PlantedFault::StaleOrders, BrokenPromise::StaleStart);
    finds_orders_carried_twice => finds(PlantedFault::TwiceCarried, BrokenPromise::TwiceStarted);
    finds_what_is_told_to_nobody => finds(PlantedFault::LostForgotten, BrokenPromise::NeverTold);
    finds_answers_of_others => finds(PlantedFault::AnyAnswer, BrokenPromise::NeverTold);
}
