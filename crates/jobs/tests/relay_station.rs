//! A host that carries an owner's orders: which it refuses, drops, or has carried out before.

mod support;

use sandshelf_jobs::relay::{OrderBatch, RelayAgent, RelayFault, RelayMessage, RelayedOrder};
use sandshelf_jobs::OrderAnswer;
use sandshelf_model::Millis;
use support::relaying::{
    answers, dispatcher, empty_orders, join, route, start, worker, EPOCH, STRONG_HOST_MILLICORES,
};

/// Orders of an epoch that is over are not carried out, whoever sends them.
fn a_station_refuses_other_epochs() {
    let mut station = RelayAgent::new(EPOCH);
    for epoch in [EPOCH - 1, EPOCH + 1] {
        let refused = station.handle_message(0, empty_orders(epoch, 0));
        assert_eq!(refused, Err(RelayFault::OtherEpoch(epoch)));
    }
    let refused = station.handle_message(0, answers(Vec::new()));
    assert_eq!(refused, Err(RelayFault::Misdirected));
}

/// Orders that were on their way for longer than their owner waits for answers are not carried out, and it is told so. How far the clocks of
/// both hosts are apart doesn't matter.
fn a_station_drops_what_comes_late(apart: Millis, late: Millis, carried: bool) {
    let mut dispatcher = dispatcher(STRONG_HOST_MILLICORES, 400);
    join(&mut dispatcher, "a", 0, STRONG_HOST_MILLICORES);
    let mut station = RelayAgent::new(EPOCH);
    let quick = station.handle_message(apart + 5, empty_orders(EPOCH, 0));
    assert_eq!(quick, Ok(Vec::new()));
    route(&mut dispatcher, 4_000, 0, start(1));
    let (_, message) = dispatcher.take_messages(4_000).pop().expect("orders");
    let taken = station.handle_message(apart + 4_005 + late, message);
    assert_eq!(taken.map(|orders| orders.len()), Ok(usize::from(carried)));
    let told = (!carried).then(|| answers(vec![(1, OrderAnswer::NotSent.into())]));
    assert_eq!(station.take_answers(), told);
}

/// A way that has become slower for good counts as quick some time later.
fn a_slow_way_becomes_the_usual_one() {
    let mut station = RelayAgent::new(EPOCH);
    let mut carried = Vec::new();
    for second in 0..30_u64 {
        let way = if second < 5 { 1 } else { 2_000 };
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
        let taken = station.handle_message(sent_at + way, RelayMessage::Orders(batch));
        carried.push(!taken.expect("orders of this epoch").is_empty());
    }
    assert_eq!(carried[..6], [true, true, true, true, true, false]);
    assert!(carried[25..].iter().all(|carried| *carried));
}

/// An order that comes twice is carried out once, and answered once.
fn a_station_carries_an_order_once() {
    let mut dispatcher = dispatcher(STRONG_HOST_MILLICORES, 400);
    join(&mut dispatcher, "a", 0, STRONG_HOST_MILLICORES);
    route(&mut dispatcher, 0, 0, start(1));
    let (_, message) = dispatcher.take_messages(0).pop().expect("orders");
    let mut station = RelayAgent::new(EPOCH);
    let again = message.clone();
    assert_eq!(
        station
            .handle_message(0, message.clone())
            .map(|orders| orders.len()),
        Ok(1)
    );
    assert_eq!(
        station
            .handle_message(0, message)
            .map(|orders| orders.len()),
        Ok(0)
    );
    station.finish(1, OrderAnswer::Done(1).into());
    station.finish(1, OrderAnswer::Done(2).into());
    let told = station.take_answers();
    assert_eq!(told, Some(answers(vec![(1, OrderAnswer::Done(1).into())])));
    assert_eq!((station.take_answers(), station.open_orders()), (None, 0));
    assert_eq!(
        station.handle_message(0, again).map(|orders| orders.len()),
        Ok(0),
        "it has ended"
    );
}

sandshelf_cases::cases! {
    other_epochs => a_station_refuses_other_epochs();
    in_time => a_station_drops_what_comes_late(0, 1_000, true);
    in_time_with_clocks_apart => a_station_drops_what_comes_late(7_200_000, 1_000, true);
    late => a_station_drops_what_comes_late(0, 1_001, false);
    late_with_clocks_apart => a_station_drops_what_comes_late(7_200_000, 1_001, false);
    slow_for_good => a_slow_way_becomes_the_usual_one();
    carried_once => a_station_carries_an_order_once();
}
