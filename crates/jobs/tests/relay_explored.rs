//! Model check of relayed orders: explores all sequences of events, up to a depth, for two owners
//! whose orders pass through two hosts to two workers. Planted faults have to be found.

use sandshelf_jobs::relay::{
    decode_message, encode_message, OrderRoute, RelayAgent, RelayDispatcher, RelayHandshake,
    RelayMessage, RelayNumber, RelayedAnswer, RelayedOrder,
};
use sandshelf_jobs::WorkerCall;
use sandshelf_jobs::{JobEvent, JobNumber, OrderAnswer, RefusalReason, RunKey, StartCall, TaskKey};
use sandshelf_model::{Epoch, HallId, HostId, WorkerId};

/// The largest depth at which a planted fault has to be found.
const DEPTH: usize = 9;
/// The epochs of the two owners; the first one is deposed.
const EPOCHS: [Epoch; 2] = [7, 8];
/// The halls of the two hosts; one of the workers is in each.
const HALLS: [&str; 2] = ["north", "south"];
/// How many workers are listed, more than the two of the model, so that owners need relays.
const LISTED_WORKERS: usize = 100;

/// A fault that is planted in a part of the model.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum PlantedFault {
    None,
    /// Workers carry out orders of earlier epochs.
    StaleOrders,
    /// Relays carry out an order again that arrives twice.
    DuplicateOrders,
    /// An owner forgets the orders in flight at a lost relay.
    ForgottenOrders,
    /// An owner accepts an answer from any sender.
    AnySender,
}

/// The guarantee that was violated.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum BrokenGuarantee {
    /// A worker started a run for an owner that it knew to be deposed.
    StaleStart,
    /// One order started a run twice.
    DuplicateStart,
    /// An order has no answer and can't get one any more.
    NeverAnswered,
    /// An owner got two answers to one order, or was told that an order was done that never was.
    FalseAnswer,
}

#[derive(Clone, Default)]
struct ModelWorker {
    fence: Epoch,
    started: Vec<(Epoch, RunKey)>,
}

/// A connection of one owner to one host, with the messages in flight.
#[derive(Clone)]
struct ModelLink {
    relay: RelayNumber,
    agent: RelayAgent,
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
    /// For each order that was sent: the worker, the run, and its answers.
    orders: Vec<(usize, RunKey, Vec<OrderAnswer>)>,
}

#[derive(Clone)]
struct RelayModel {
    owners: Vec<ModelOwner>,
    workers: Vec<ModelWorker>,
}

/// An event; the numbers name the owner and, except for `Order`, its link.
#[derive(Clone, Copy, Debug)]
enum ModelStep {
    Order(usize, usize),
    Deliver(usize, usize),
    DeliverAgain(usize, usize),
    Carry(usize, usize),
    Answer(usize, usize),
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
        let places =
            (0..LISTED_WORKERS).map(|number| (worker(number), HallId::from(HALLS[number % 2])));
        dispatcher.note_workers(places);
        let links = HALLS.map(|hall| {
            let handshake = RelayHandshake::new(HostId::from(hall), HallId::from(hall), 500);
            ModelLink {
                relay: dispatcher.join(0, handshake).expect("the same version"),
                agent: RelayAgent::new(epoch),
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
            orders: Vec::new(),
        }
    }

    fn note_answer(&mut self, event: JobEvent) {
        if let JobEvent::StartAnswered(_, run, answer) = event {
            for (_, ordered, answers) in &mut self.orders {
                if *ordered == run {
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
            if state.orders.len() < 2 {
                steps.push(ModelStep::Order(owner, state.orders.len()));
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
                    steps.push(ModelStep::Answer(owner, number));
                }
                if link.up {
                    steps.push(ModelStep::Cut(owner, number));
                }
            }
        }
        steps
    }

    fn apply(&mut self, step: ModelStep, fault: PlantedFault) -> Result<(), BrokenGuarantee> {
        match step {
            ModelStep::Order(owner, number) => self.order(owner, number),
            ModelStep::Deliver(owner, link) => self.deliver(owner, link, true, fault),
            ModelStep::DeliverAgain(owner, link) => self.deliver(owner, link, false, fault),
            ModelStep::Carry(owner, link) => return self.carry(owner, link, fault),
            ModelStep::Answer(owner, link) => self.answer_owner(owner, link, fault),
            ModelStep::Cut(owner, link) => self.cut(owner, link, fault),
        }
        self.check_answers()
    }

    /// An owner orders a run on one worker.
    fn order(&mut self, owner: usize, number: usize) {
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
        state.orders.push((number, run, Vec::new()));
        if let OrderRoute::Direct(_) = route {
            // Both hosts are cut off; the owner's direct call is not part of the model.
            state
                .orders
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

    /// A message arrives at its host; unless `last_copy`, a copy stays in flight and arrives again.
    fn deliver(&mut self, owner: usize, number: usize, last_copy: bool, fault: PlantedFault) {
        let link = &mut self.owners[owner].links[number];
        let message = link.to_relay[0].clone();
        if last_copy {
            link.to_relay.remove(0);
        }
        let message = decode_message(&encode_message(&message)).expect("what was encoded");
        if let (PlantedFault::DuplicateOrders, RelayMessage::Orders(batch)) = (fault, &message) {
            link.carried.extend(batch.orders.clone());
        }
        match link.agent.handle_message(0, message) {
            Ok(orders) if fault != PlantedFault::DuplicateOrders => link.carried.extend(orders),
            _ => {}
        }
    }

    /// A host carries one order to its worker, late or not, and records the answer.
    fn carry(
        &mut self,
        owner: usize,
        number: usize,
        fault: PlantedFault,
    ) -> Result<(), BrokenGuarantee> {
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
        link.agent.finish(order.number, RelayedAnswer::from(answer));
        link.to_owner.extend(link.agent.take_answers());
        let same = |(_, key): &&(Epoch, RunKey)| *key == start.key;
        match (stale, answer) {
            (true, OrderAnswer::Done(_)) => Err(BrokenGuarantee::StaleStart),
            _ if target.started.iter().filter(same).count() > 1 => {
                Err(BrokenGuarantee::DuplicateStart)
            }
            _ => Ok(()),
        }
    }

    fn answer_owner(&mut self, owner: usize, number: usize, fault: PlantedFault) {
        let state = &mut self.owners[owner];
        let message = state.links[number].to_owner.remove(0);
        let from = match fault {
            // The answer comes from the other host.
            PlantedFault::AnySender => state.links[1 - number].relay,
            _ => state.links[number].relay,
        };
        for event in state.dispatcher.handle_message(0, from, message).events {
            state.note_answer(event);
        }
    }

    fn cut(&mut self, owner: usize, number: usize, fault: PlantedFault) {
        let state = &mut self.owners[owner];
        state.links[number].up = false;
        let events = state.dispatcher.leave(0, state.links[number].relay);
        if fault != PlantedFault::ForgottenOrders {
            events
                .into_iter()
                .for_each(|event| state.note_answer(event));
        }
    }

    /// Each order has at most one answer, which is true, and may still get one if it has none.
    fn check_answers(&self) -> Result<(), BrokenGuarantee> {
        for state in &self.owners {
            let may_be_answered = |run: &RunKey| {
                let links = state.links.iter().filter(|link| link.up);
                let mut in_flight = links.flat_map(|link| {
                    let queued = link.to_relay.iter().any(|message| names(message, run));
                    let carried = link.carried.iter().any(|order| starts(order, run));
                    [queued, carried, !link.to_owner.is_empty()]
                });
                in_flight.any(|held| held)
            };
            for (place, run, answers) in &state.orders {
                let started = self.workers[*place].started.iter();
                let started = started.filter(|(_, key)| key == run).count();
                let false_answer = answers
                    .iter()
                    .any(|answer| matches!(answer, OrderAnswer::Done(_)) && started == 0);
                if answers.len() > 1 || false_answer {
                    return Err(BrokenGuarantee::FalseAnswer);
                }
                if answers.is_empty() && !may_be_answered(run) {
                    return Err(BrokenGuarantee::NeverAnswered);
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

/// Explores all paths; returns their number, or the first violation.
fn explore(model: &RelayModel, depth: usize, fault: PlantedFault) -> Result<u64, BrokenGuarantee> {
    if depth == 0 {
        return Ok(1);
    }
    let mut paths = 0;
    for step in model.steps() {
        let mut next = model.clone();
        next.apply(step, fault)?;
        paths += explore(&next, depth - 1, fault)?;
    }
    Ok(paths.max(1))
}

/// The depth to which all paths are explored; deeper ones are for runs by hand.
fn chosen_depth() -> usize {
    let chosen = std::env::var("SANDSHELF_DEPTH");
    chosen.map_or(6, |depth| depth.parse().expect("a depth is a number"))
}

fn keeps_every_guarantee(depth: usize) {
    let paths = explore(&RelayModel::new(), depth, PlantedFault::None);
    let paths = paths.expect("no guarantee is violated");
    println!("{paths} paths of {depth} steps");
    assert!(paths > 10_000, "{paths} paths");
}

fn finds(fault: PlantedFault, broken: BrokenGuarantee) {
    let found = (1..=DEPTH).find_map(|depth| explore(&RelayModel::new(), depth, fault).err());
    assert_eq!(found, Some(broken));
}

sandshelf_cases::cases! {
    all_paths => keeps_every_guarantee(chosen_depth());
    finds_stale_orders => finds(PlantedFault::StaleOrders, BrokenGuarantee::StaleStart);
    finds_duplicate_orders => finds(PlantedFault::DuplicateOrders, BrokenGuarantee::DuplicateStart);
    finds_forgotten_orders => finds(PlantedFault::ForgottenOrders, BrokenGuarantee::NeverAnswered);
    finds_answers_from_any_sender => finds(PlantedFault::AnySender, BrokenGuarantee::NeverAnswered);
}
