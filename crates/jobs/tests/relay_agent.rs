//! The relay agent of a host that carries an owner's orders: which orders it refuses, drops, or has
//! carried out before.

mod support;

use sandshelf_jobs::relay::{OrderBatch, RelayAgent, RelayFault, RelayMessage, RelayedOrder};
use sandshelf_jobs::OrderAnswer;
use sandshelf_model::Millis;
use support::relaying::{
    answers, dispatcher, empty_orders, join, route, start, worker, EPOCH, STRONG_HOST_MILLICORES,
};

/// Orders of another epoch are not carried out, whoever sends them.
fn an_agent_refuses_other_epochs() {
    let mut agent = RelayAgent::new(EPOCH);
    for epoch in [EPOCH - 1, EPOCH + 1] {
        let refused = agent.handle_message(0, empty_orders(epoch, 0));
        assert_eq!(refused, Err(RelayFault::OtherEpoch(epoch)));
    }
    let refused = agent.handle_message(0, answers(Vec::new()));
    assert_eq!(refused, Err(RelayFault::Misdirected));
}

/// Orders that took longer to arrive than their owner waits for answers are not carried out, and
/// the owner is notified. The difference between the clocks of the two hosts doesn't matter.
fn an_agent_drops_late_orders(clock_offset_ms: Millis, late_ms: Millis, carried: bool) {
    let mut dispatcher = dispatcher(STRONG_HOST_MILLICORES, 400);
    join(&mut dispatcher, "a", 0, STRONG_HOST_MILLICORES);
    let mut agent = RelayAgent::new(EPOCH);
    let quick = agent.handle_message(clock_offset_ms + 5, empty_orders(EPOCH, 0));
    assert_eq!(quick, Ok(Vec::new()));
    route(&mut dispatcher, 4_000, 0, start(1));
    let (_, message) = dispatcher.take_messages(4_000).pop().expect("orders");
    let accepted = agent.handle_message(clock_offset_ms + 4_005 + late_ms, message);
    assert_eq!(
        accepted.map(|orders| orders.len()),
        Ok(usize::from(carried))
    );
    let sent = (!carried).then(|| answers(vec![(1, OrderAnswer::NotSent.into())]));
    assert_eq!(agent.take_answers(), sent);
}

/// A path that has become slower for good counts as normal some time later.
fn a_slower_path_becomes_the_usual_one() {
    let mut agent = RelayAgent::new(EPOCH);
    let mut carried = Vec::new();
    for second in 0..30_u64 {
        let path_ms = if second < 5 { 1 } else { 2_000 };
        let sent_at = second * 1_000;
        let order = RelayedOrder {
            number: second + 1,
            worker: worker(0),
            address: ([10, 0, 0, 1], 80).into(),
            call: start(second as u32),
        };
        let batch = OrderBatch {
            epoch: EPOCH,
            sent_at,
            orders: vec![order],
        };
        let accepted = agent.handle_message(sent_at + path_ms, RelayMessage::Orders(batch));
        carried.push(!accepted.expect("orders of this epoch").is_empty());
    }
    assert_eq!(carried[..6], [true, true, true, true, true, false]);
    assert!(carried[25..].iter().all(|carried| *carried));
}

/// An order that arrives twice is carried out once and answered once.
fn an_agent_carries_an_order_once() {
    let mut dispatcher = dispatcher(STRONG_HOST_MILLICORES, 400);
    join(&mut dispatcher, "a", 0, STRONG_HOST_MILLICORES);
    route(&mut dispatcher, 0, 0, start(1));
    let (_, message) = dispatcher.take_messages(0).pop().expect("orders");
    let mut agent = RelayAgent::new(EPOCH);
    let copy = message.clone();
    assert_eq!(
        agent
            .handle_message(0, message.clone())
            .map(|orders| orders.len()),
        Ok(1)
    );
    assert_eq!(
        agent.handle_message(0, message).map(|orders| orders.len()),
        Ok(0)
    );
    agent.finish(1, OrderAnswer::Done(1).into());
    agent.finish(1, OrderAnswer::Done(2).into());
    let sent = agent.take_answers();
    assert_eq!(sent, Some(answers(vec![(1, OrderAnswer::Done(1).into())])));
    assert_eq!((agent.take_answers(), agent.open_orders()), (None, 0));
    assert_eq!(
        agent.handle_message(0, copy).map(|orders| orders.len()),
        Ok(0),
        "the order has ended"
    );
}

sandshelf_cases::cases! {
    other_epochs => an_agent_refuses_other_epochs();
    in_time => an_agent_drops_late_orders(0, 1_000, true);
    in_time_with_clocks_apart => an_agent_drops_late_orders(7_200_000, 1_000, true);
    late => an_agent_drops_late_orders(0, 1_001, false);
    late_with_clocks_apart => an_agent_drops_late_orders(7_200_000, 1_001, false);
    permanently_slower_path => a_slower_path_becomes_the_usual_one();
    carried_once => an_agent_carries_an_order_once();
}
