//! Carries orders for the host that owns the shard.

use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use futures::{SinkExt, StreamExt};
use sandshelf_adapter::WorkerClient;
use sandshelf_config::JobSettings;
use sandshelf_jobs::relay::{
    decode_message, encode_handshake, encode_message, RelayAgent, RelayFault, RelayHandshake,
    RelayMessage, RelayedAnswer, RelayedOrder, ShardObservation,
};
use sandshelf_jobs::WorkerCall;
use sandshelf_model::{Epoch, HostId};
use tokio::net::tcp::OwnedReadHalf;
use tokio::net::TcpStream;
use tokio::sync::mpsc::{unbounded_channel, UnboundedSender};
use tokio::sync::{oneshot, watch, Notify};
use tokio::task::spawn_local;
use tokio::time::{sleep, timeout};
use tokio_util::codec::{FramedRead, FramedWrite, LengthDelimitedCodec};

use crate::clock;
use crate::jobs::calls::WorkerCalls;
use crate::jobs::relays::{framing, write_frames};
use crate::logging::event;

/// How long a connection to the owner may take.
const CONNECT_WITHIN: Duration = Duration::from_millis(700);
/// The pause before an owner is tried again: it may not have read its state yet.
const RETRY_PAUSE: Duration = Duration::from_millis(150);
/// How long an owner that has given orders may say nothing; it says twice a second that it lives.
const SILENT_AFTER: Duration = Duration::from_millis(1_500);
/// How long one may that has given none; it says so every two seconds.
const IDLE_SILENT_AFTER: Duration = Duration::from_millis(6_000);
/// How long orders may still come after the owner was told to give no more: two ways between halls and its turn.
const LAST_ORDERS: Duration = Duration::from_millis(50);
/// For how long answers are gathered into one message: it takes 40 us to send and to take in however many there are, and an
/// owner looks at what has come only every few milliseconds.
const GATHER: Duration = Duration::from_millis(4);

/// Asks the control thread what this host knows of the shard.
pub type ObservationRequests = UnboundedSender<oneshot::Sender<ShardObservation>>;

/// Where the owner of an epoch takes connections.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct OwnerEndpoint {
    /// The owner.
    pub owner: HostId,
    /// Its epoch.
    pub epoch: Epoch,
    /// Where it listens.
    pub address: SocketAddr,
}

/// Serves whoever owns the shard, for as long as the process lives; has to run within a `LocalSet`.
pub async fn run_agent(
    settings: JobSettings,
    client: WorkerClient,
    mut place: watch::Receiver<Option<OwnerEndpoint>>,
    questions: ObservationRequests,
    stopping: watch::Receiver<bool>,
) {
    while !*stopping.borrow() {
        let current = place.borrow_and_update().clone();
        let serve = async {
            match &current {
                Some(owner) => {
                    let client = client.for_epoch(owner.epoch);
                    serve_owner(&settings, owner, client, &questions, stopping.clone()).await;
                    sleep(RETRY_PAUSE).await;
                    true
                }
                None => std::future::pending().await,
            }
        };
        tokio::select! {
            _ = serve => {}
            changed = place.changed() => if changed.is_err() {
                return;
            },
            () = has_come(stopping.clone()), if current.is_none() => {}
        }
    }
}

/// Carries orders of one owner until the connection ends.
async fn serve_owner(
    settings: &JobSettings,
    owner: &OwnerEndpoint,
    client: WorkerClient,
    questions: &ObservationRequests,
    stopping: watch::Receiver<bool>,
) {
    let connected = timeout(CONNECT_WITHIN, TcpStream::connect(owner.address)).await;
    let Ok(Ok(stream)) = connected else {
        return;
    };
    let _ = stream.set_nodelay(true);
    let (read, write) = stream.into_split();
    let mut frames = FramedRead::new(read, framing());
    let mut greeter = FramedWrite::new(write, framing());
    let handshake = RelayHandshake::new(
        HostId::from(settings.host.as_str()),
        settings.hall.clone(),
        settings.processor_millicores,
    );
    let greeted = greeter.send(Bytes::from(encode_handshake(&handshake)));
    if greeted.await.is_err() {
        return;
    }
    let (outbox, waiting) = unbounded_channel();
    let desk = OrderDesk {
        station: Rc::new(RefCell::new(RelayAgent::new(owner.epoch))),
        calls: RefCell::new(WorkerCalls::new(client)),
        answered: Rc::new(Notify::new()),
        questions,
    };
    event(
        "relay_serves",
        &[("owner", &owner.owner), ("epoch", &owner.epoch)],
    );
    let cause = tokio::select! {
        cause = desk.read_orders(&mut frames, &outbox) => cause,
        () = desk.tell_answers(&outbox) => "nothing more to tell",
        () = desk.leave(&outbox, stopping) => "stop",
        () = write_frames(greeter.into_inner(), waiting) => "the connection broke",
    };
    event(
        "relay_ended",
        &[
            ("owner", &owner.owner),
            ("epoch", &owner.epoch),
            ("cause", &cause),
        ],
    );
}

/// Waits for a planned stop.
async fn has_come(mut stopping: watch::Receiver<bool>) {
    // Where nobody can tell of a stop any more, the process is about to end.
    let _ = stopping.wait_for(|stops| *stops).await;
}

/// The orders of one owner that are under way from here.
struct OrderDesk<'a> {
    station: Rc<RefCell<RelayAgent>>,
    calls: RefCell<WorkerCalls>,
    answered: Rc<Notify>,
    questions: &'a ObservationRequests,
}

impl OrderDesk<'_> {
    /// Carries out what the owner says, until it says nothing any more; returns why.
    async fn read_orders(
        &self,
        frames: &mut FramedRead<OwnedReadHalf, LengthDelimitedCodec>,
        outbox: &UnboundedSender<Bytes>,
    ) -> &'static str {
        let mut patience = IDLE_SILENT_AFTER;
        loop {
            let frame = match timeout(patience, frames.next()).await {
                Ok(Some(Ok(frame))) => frame,
                Ok(_) => return "the connection ended",
                Err(_) => return "the owner is silent",
            };
            let message = match decode_message(&frame) {
                Ok(RelayMessage::ShardQuery(epoch, number)) => {
                    if let Err(fault) = self.answer_query(epoch, number, outbox).await {
                        event("relay_refused", &[("link", &"owner"), ("fault", &fault)]);
                        return "a message was refused";
                    }
                    continue;
                }
                other => other,
            };
            let now = clock::now();
            let taken =
                message.and_then(|message| self.station.borrow_mut().handle_message(now, message));
            match taken {
                Ok(orders) if orders.is_empty() => {
                    let beat = self.station.borrow().heartbeat();
                    let _ = outbox.send(encode_message(&beat).into());
                }
                Ok(orders) => {
                    patience = SILENT_AFTER;
                    orders.into_iter().for_each(|order| self.carry(order));
                }
                Err(fault) => {
                    event("relay_refused", &[("link", &"owner"), ("fault", &fault)]);
                    return "a message was refused";
                }
            }
        }
    }

    /// Tells the owner what this host knows of the shard.
    async fn answer_query(
        &self,
        epoch: Epoch,
        number: u64,
        outbox: &UnboundedSender<Bytes>,
    ) -> Result<(), RelayFault> {
        let (reply, sight) = oneshot::channel();
        let _ = self.questions.send(reply);
        // Without a control thread this host is about to end, and has nothing to say.
        let Ok(sight) = sight.await else {
            return Ok(());
        };
        let told = self.station.borrow().answer_query(epoch, number, sight)?;
        let _ = outbox.send(encode_message(&told).into());
        Ok(())
    }

    fn carry(&self, order: RelayedOrder) {
        let began = clock::now();
        let asked_ms = match &order.call {
            WorkerCall::Renew(hold) => hold.wait_ms,
            WorkerCall::Start(_) | WorkerCall::Stop(_) | WorkerCall::Pace(..) => 0,
        };
        let mut calls = self.calls.borrow_mut();
        let sent = calls.send(order.worker, order.address, order.call);
        let station = self.station.clone();
        let answered = self.answered.clone();
        spawn_local(async move {
            if let Some(mut answer) = RelayedAnswer::of(sent.await) {
                let took = clock::now().saturating_sub(began);
                answer.note_carrier_delay(took.saturating_sub(asked_ms));
                station.borrow_mut().finish(order.number, answer);
                answered.notify_one();
            }
        });
    }

    /// With a planned stop, tells the owner to give no more orders, and ends what there is.
    async fn leave(&self, outbox: &UnboundedSender<Bytes>, stopping: watch::Receiver<bool>) {
        has_come(stopping).await;
        let leave = self.station.borrow().leave();
        let _ = outbox.send(encode_message(&leave).into());
        sleep(LAST_ORDERS).await;
        while self.station.borrow().open_orders() > 0 {
            sleep(GATHER).await;
        }
        sleep(GATHER).await;
    }

    /// Tells the owner what has come, a little later than the first of it.
    async fn tell_answers(&self, outbox: &UnboundedSender<Bytes>) {
        loop {
            self.answered.notified().await;
            sleep(GATHER).await;
            let answers = self.station.borrow_mut().take_answers();
            if let Some(answers) = answers {
                let _ = outbox.send(encode_message(&answers).into());
            }
        }
    }
}
