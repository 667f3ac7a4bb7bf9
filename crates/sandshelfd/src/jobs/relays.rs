//! The owner's connections to the hosts that relay its orders.

use std::collections::BTreeMap;
use std::future::Future;
use std::io;
use std::net::{SocketAddr, TcpListener as StdListener};
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use futures::SinkExt;
use sandshelf_http::{listen, AdmittedHost, HostGate, LimitHit, PortLimits};
use sandshelf_jobs::relay::{
    decode_handshake, decode_message, encode_message, RelayFault, RelayHandshake, RelayMessage,
    RelayNumber, LARGEST_MESSAGE_BYTES,
};
use sandshelf_model::HostId;
use tokio::io::{AsyncReadExt, BufReader};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::mpsc::{unbounded_channel, UnboundedReceiver, UnboundedSender};
use tokio::sync::Semaphore;
use tokio::task::spawn_local;
use tokio::time::{sleep, timeout};
use tokio_util::codec::{FramedWrite, LengthDelimitedCodec};

use crate::jobs::endpoints::report_limit;
use crate::logging::event;

/// The timeout for the handshake of a connected host.
const HANDSHAKE_TIMEOUT: Duration = Duration::from_millis(1_000);
/// The largest handshake, in bytes.
const MAX_HANDSHAKE_BYTES: usize = 1_024;
/// The largest message that is read without a turn for large ones, in bytes.
const USUAL_MESSAGE_BYTES: usize = 64 * 1_024;
/// The timeout for a message that has begun: the largest takes 13 s over 10 Mbit/s.
const MESSAGE_TIMEOUT: Duration = Duration::from_secs(20);
/// How long a host may take for the messages that are written to it at once.
const WRITE_TIMEOUT: Duration = Duration::from_secs(30);
/// The pause after a connection could not be accepted or the address could not be bound.
const ACCEPT_RETRY_PAUSE: Duration = Duration::from_millis(100);

/// The framing of messages: each is preceded by its length.
pub fn framing() -> LengthDelimitedCodec {
    LengthDelimitedCodec::builder()
        .max_frame_length(LARGEST_MESSAGE_BYTES)
        .new_codec()
}

/// Identifies a connection, also before its relay has a [`RelayNumber`].
pub type LinkNumber = u64;

/// An event of a connection, for the control thread.
#[derive(Debug)]
pub enum RelayEvent {
    /// A host has connected and offers to relay orders; messages to it go through the sender.
    Connected(LinkNumber, RelayHandshake, UnboundedSender<Bytes>),
    /// A host has sent a message.
    MessageReceived(LinkNumber, RelayMessage),
    /// A connection has ended.
    Disconnected(LinkNumber),
    /// A host was refused because its handshake was missing, unreadable or of another version.
    Refused,
}

/// The listener to which relays connect.
///
/// It is opened before this host can own the shard: if the settings leave the choice of the port to the system, the owner row has to
/// name the chosen port.
#[derive(Debug)]
pub struct RelayListener {
    address: SocketAddr,
    /// None while the address could not be bound.
    listener: Option<StdListener>,
    limits: PortLimits,
}

impl RelayListener {
    /// Binds an address. If that fails, it is tried again once connections are accepted. It has to be called within a runtime.
    pub fn open(address: SocketAddr, limits: PortLimits) -> Self {
        match bind(address, &limits) {
            Ok((address, listener)) => Self {
                address,
                listener: Some(listener),
                limits,
            },
            Err(error) => {
                event("relays_failed", &[("address", &address), ("error", &error)]);
                Self {
                    address,
                    listener: None,
                    limits,
                }
            }
        }
    }

    /// The bound address, or the configured one while it could not be bound.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Converts the listener for use with tokio; retries until the address can be bound.
    async fn listen(mut self) -> TcpListener {
        loop {
            let listener = match self.listener.take() {
                Some(listener) => TcpListener::from_std(listener),
                None => listen(self.address, &self.limits),
            };
            match listener {
                Ok(listener) => return listener,
                Err(error) => {
                    let address = self.address;
                    event("relays_failed", &[("address", &address), ("error", &error)]);
                    sleep(ACCEPT_RETRY_PAUSE).await;
                }
            }
        }
    }
}

/// Binds an address for a runtime that is not the current one.
fn bind(address: SocketAddr, limits: &PortLimits) -> io::Result<(SocketAddr, StdListener)> {
    let listener = listen(address, limits)?.into_std()?;
    Ok((listener.local_addr()?, listener))
}

/// Accepts connections as long as the process runs, and forwards their events. It has to run within a `LocalSet`.
pub async fn serve_relays(relay_listener: RelayListener, events: UnboundedSender<RelayEvent>) {
    let address = relay_listener.address();
    let gate = HostGate::new("relays", &relay_listener.limits, report_limit);
    let large_turn = Rc::new(Semaphore::new(1));
    let listener = relay_listener.listen().await;
    let mut link = 0;
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                let Some(admitted) = gate.admit().await else {
                    continue;
                };
                link += 1;
                let turn = large_turn.clone();
                spawn_local(serve_link(link, stream, admitted, turn, events.clone()));
            }
            Err(error) => {
                event("relays_failed", &[("address", &address), ("error", &error)]);
                sleep(ACCEPT_RETRY_PAUSE).await;
            }
        }
    }
}

/// The messages that a host sends.
struct RelayFrames {
    read: BufReader<OwnedReadHalf>,
    /// Held while one message of more than [`USUAL_MESSAGE_BYTES`] arrives.
    large_turn: Rc<Semaphore>,
}

impl RelayFrames {
    /// Reads a whole message; none if the connection ends or the message is larger than allowed.
    async fn next(&mut self, max_bytes: usize) -> Option<Vec<u8>> {
        let length = self.read.read_u32().await.ok()?;
        let length = usize::try_from(length).ok()?;
        if length > max_bytes {
            return None;
        }
        match timeout(MESSAGE_TIMEOUT, self.read_content(length)).await {
            Ok(content) => content,
            Err(_) => {
                report_limit("relays", LimitHit::HeadTime);
                None
            }
        }
    }

    async fn read_content(&mut self, length: usize) -> Option<Vec<u8>> {
        let _turn = match length > USUAL_MESSAGE_BYTES {
            true => self.large_turn.acquire().await.ok(),
            false => None,
        };
        let mut content = vec![0; length];
        self.read.read_exact(&mut content).await.ok()?;
        Some(content)
    }
}

/// Serves a connection until it ends or has to make room before its handshake has come.
async fn serve_link(
    link: LinkNumber,
    stream: TcpStream,
    admitted: AdmittedHost,
    large_turn: Rc<Semaphore>,
    events: UnboundedSender<RelayEvent>,
) {
    let _ = stream.set_nodelay(true);
    let (read, write) = stream.into_split();
    let mut frames = RelayFrames {
        read: BufReader::new(read),
        large_turn,
    };
    let handshake = tokio::select! {
        frame = timeout(HANDSHAKE_TIMEOUT, frames.next(MAX_HANDSHAKE_BYTES)) => match frame {
            Ok(Some(frame)) if admitted.keep() => decode_handshake(&frame),
            _ => Err(RelayFault::Unreadable),
        },
        () = admitted.replaced() => return,
    };
    let handshake = match handshake {
        Ok(handshake) => handshake,
        Err(fault) => {
            let _ = events.send(RelayEvent::Refused);
            return event("relay_refused", &[("link", &link), ("fault", &fault)]);
        }
    };
    let (outbox, queued) = unbounded_channel();
    if events
        .send(RelayEvent::Connected(link, handshake, outbox))
        .is_err()
    {
        return;
    }
    tokio::select! {
        () = read_messages(link, &mut frames, &events) => {}
        () = write_frames(write, queued) => {}
    }
    let _ = events.send(RelayEvent::Disconnected(link));
}

/// Forwards messages until the connection ends or a message can't be decoded.
async fn read_messages(
    link: LinkNumber,
    frames: &mut RelayFrames,
    events: &UnboundedSender<RelayEvent>,
) {
    while let Some(frame) = frames.next(LARGEST_MESSAGE_BYTES).await {
        match decode_message(&frame) {
            Ok(message) => {
                let _ = events.send(RelayEvent::MessageReceived(link, message));
            }
            Err(fault) => {
                event("relay_refused", &[("link", &link), ("fault", &fault)]);
                return;
            }
        }
    }
}

/// Writes queued messages, flushing once for all that are queued, until the connection breaks or all senders are dropped.
pub async fn write_frames(write: OwnedWriteHalf, mut queued: UnboundedReceiver<Bytes>) {
    let mut frames = FramedWrite::new(write, framing());
    while let Some(frame) = queued.recv().await {
        let mut next = Some(frame);
        while let Some(frame) = next {
            if !is_taken(frames.feed(frame)).await {
                return;
            }
            next = queued.try_recv().ok();
        }
        if !is_taken(SinkExt::<Bytes>::flush(&mut frames)).await {
            return;
        }
    }
}

/// Whether a write succeeds in time.
async fn is_taken(write: impl Future<Output = io::Result<()>>) -> bool {
    matches!(timeout(WRITE_TIMEOUT, write).await, Ok(Ok(())))
}

/// One relay's connection.
#[derive(Debug)]
struct RelayLink {
    relay: RelayNumber,
    host: HostId,
    outbox: UnboundedSender<Bytes>,
}

/// The connections of an owner's relays.
#[derive(Debug, Default)]
pub struct RelayLinks {
    links: BTreeMap<LinkNumber, RelayLink>,
    /// The connection of each relay: an outage of the store has all of them asked five times a second.
    by_relay: BTreeMap<RelayNumber, LinkNumber>,
}

impl RelayLinks {
    /// Adds a relay's connection. Ends an earlier connection of the same host, and returns the relay that this was.
    pub fn add(
        &mut self,
        link: LinkNumber,
        relay: RelayNumber,
        host: HostId,
        outbox: UnboundedSender<Bytes>,
    ) -> Option<RelayNumber> {
        let earlier = self.links.iter().find(|(_, known)| known.host == host);
        let earlier = earlier.map(|(link, _)| *link);
        let replaced = earlier.and_then(|link| self.remove(link));
        let added = RelayLink {
            relay,
            host,
            outbox,
        };
        self.links.insert(link, added);
        self.by_relay.insert(relay, link);
        replaced
    }

    /// The relay of a connection; none if the connection is unknown or removed.
    pub fn relay(&self, link: LinkNumber) -> Option<RelayNumber> {
        self.links.get(&link).map(|known| known.relay)
    }

    /// Ends a connection and returns its relay, if it was known.
    pub fn remove(&mut self, link: LinkNumber) -> Option<RelayNumber> {
        let removed = self.links.remove(&link)?;
        self.by_relay.remove(&removed.relay);
        Some(removed.relay)
    }

    /// Ends a relay's connection.
    pub fn close(&mut self, relay: RelayNumber) {
        if let Some(link) = self.by_relay.remove(&relay) {
            self.links.remove(&link);
        }
    }

    /// Sends a message to all relays; it is encoded once.
    pub fn send_to_all(&self, message: &RelayMessage) {
        let encoded = Bytes::from(encode_message(message));
        for link in self.links.values() {
            let _ = link.outbox.send(encoded.clone());
        }
    }

    /// Sends a message to a relay.
    pub fn send(&self, relay: RelayNumber, message: &RelayMessage) {
        let link = self.by_relay.get(&relay);
        if let Some(link) = link.and_then(|link| self.links.get(link)) {
            // Sending fails if the connection has ended; the event for that is already queued.
            let _ = link.outbox.send(encode_message(message).into());
        }
    }
}
