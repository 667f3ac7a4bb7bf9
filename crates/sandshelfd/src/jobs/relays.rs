//! The owner's connections to the hosts that carry its orders.

use std::collections::BTreeMap;
use std::net::{SocketAddr, TcpListener as StdListener};
use std::time::Duration;

use bytes::Bytes;
use futures::{SinkExt, StreamExt};
use sandshelf_jobs::relay::{
    decode_handshake, decode_message, encode_message, RelayFault, RelayHandshake, RelayMessage,
    RelayNumber, LARGEST_MESSAGE_BYTES,
};
use sandshelf_model::HostId;
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::mpsc::{unbounded_channel, UnboundedReceiver, UnboundedSender};
use tokio::task::spawn_local;
use tokio::time::{sleep, timeout};
use tokio_util::codec::{FramedRead, FramedWrite, LengthDelimitedCodec};

use crate::logging::event;

/// How long a host that has connected may take to say who it is.
const GREETING_WITHIN: Duration = Duration::from_millis(1_000);
/// The pause after a connection could not be taken, or the address not be had.
const ACCEPT_PAUSE: Duration = Duration::from_millis(100);

/// Messages are told apart by their length, in front of each.
pub fn framing() -> LengthDelimitedCodec {
    LengthDelimitedCodec::builder()
        .max_frame_length(LARGEST_MESSAGE_BYTES)
        .new_codec()
}

/// Names a connection, before the relay behind it has a number.
pub type LinkNumber = u64;

/// What the connections tell the owner's thread.
#[derive(Debug)]
pub enum RelayEvent {
    /// A host offers to carry orders.
    Connected(LinkNumber, RelayHandshake, UnboundedSender<Bytes>),
    /// A host says something.
    MessageReceived(LinkNumber, RelayMessage),
    /// A connection is over.
    Disconnected(LinkNumber),
    /// A host that speaks another version was turned away.
    Refused,
}

/// Where hosts that carry orders connect.
///
/// It is opened before this host can own anything: where the settings leave the port to be chosen, what is published has to name the one that was.
#[derive(Debug)]
pub struct RelayListener {
    address: SocketAddr,
    /// None where the address could not be had yet.
    listener: Option<StdListener>,
}

impl RelayListener {
    /// Opens an address, or remembers it for later where it can't be had.
    pub fn open(address: SocketAddr) -> Self {
        let opened = StdListener::bind(address).and_then(|listener| {
            listener.set_nonblocking(true)?;
            Ok((listener.local_addr()?, listener))
        });
        match opened {
            Ok((address, listener)) => Self {
                address,
                listener: Some(listener),
            },
            Err(error) => {
                event("relays_failed", &[("address", &address), ("error", &error)]);
                Self {
                    address,
                    listener: None,
                }
            }
        }
    }

    /// Where it listens.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Its connections; waits until the address can be had.
    async fn listen(mut self) -> TcpListener {
        loop {
            let listener = match self.listener.take() {
                Some(listener) => TcpListener::from_std(listener),
                None => TcpListener::bind(self.address).await,
            };
            match listener {
                Ok(listener) => return listener,
                Err(error) => {
                    let address = self.address;
                    event("relays_failed", &[("address", &address), ("error", &error)]);
                    sleep(ACCEPT_PAUSE).await;
                }
            }
        }
    }
}

/// Takes connections for as long as the process lives, and tells what comes over them; has to run within a `LocalSet`.
pub async fn serve_relays(face: RelayListener, news: UnboundedSender<RelayEvent>) {
    let address = face.address();
    let listener = face.listen().await;
    let mut link = 0;
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                link += 1;
                spawn_local(serve_link(link, stream, news.clone()));
            }
            Err(error) => {
                event("relays_failed", &[("address", &address), ("error", &error)]);
                sleep(ACCEPT_PAUSE).await;
            }
        }
    }
}

async fn serve_link(link: LinkNumber, stream: TcpStream, news: UnboundedSender<RelayEvent>) {
    let _ = stream.set_nodelay(true);
    let (read, write) = stream.into_split();
    let mut frames = FramedRead::new(read, framing());
    let handshake = match timeout(GREETING_WITHIN, frames.next()).await {
        Ok(Some(Ok(frame))) => decode_handshake(&frame),
        _ => Err(RelayFault::Unreadable),
    };
    let handshake = match handshake {
        Ok(handshake) => handshake,
        Err(fault) => {
            let _ = news.send(RelayEvent::Refused);
            return event("relay_refused", &[("link", &link), ("fault", &fault)]);
        }
    };
    let (outbox, waiting) = unbounded_channel();
    if news
        .send(RelayEvent::Connected(link, handshake, outbox))
        .is_err()
    {
        return;
    }
    tokio::select! {
        () = read_messages(link, &mut frames, &news) => {}
        () = write_frames(write, waiting) => {}
    }
    let _ = news.send(RelayEvent::Disconnected(link));
}

/// Reads until the connection ends or something comes that can't be read.
async fn read_messages(
    link: LinkNumber,
    frames: &mut FramedRead<OwnedReadHalf, LengthDelimitedCodec>,
    news: &UnboundedSender<RelayEvent>,
) {
    while let Some(Ok(frame)) = frames.next().await {
        match decode_message(&frame) {
            Ok(message) => {
                let _ = news.send(RelayEvent::MessageReceived(link, message));
            }
            Err(fault) => {
                event("relay_refused", &[("link", &link), ("fault", &fault)]);
                return;
            }
        }
    }
}

/// Writes what waits, all of it at once, until the connection breaks or nobody has anything to say any more.
pub async fn write_frames(write: OwnedWriteHalf, mut waiting: UnboundedReceiver<Bytes>) {
    let mut frames = FramedWrite::new(write, framing());
    while let Some(frame) = waiting.recv().await {
        let mut next = Some(frame);
        while let Some(frame) = next {
            if frames.feed(frame).await.is_err() {
                return;
            }
            next = waiting.try_recv().ok();
        }
        if SinkExt::<Bytes>::flush(&mut frames).await.is_err() {
            return;
        }
    }
}

/// One relay's connection.
#[derive(Debug)]
struct RelayLink {
    relay: RelayNumber,
    host: HostId,
    outbox: UnboundedSender<Bytes>,
}

/// The connections of the relays that an owner has taken in.
#[derive(Debug, Default)]
pub struct RelayLinks {
    links: BTreeMap<LinkNumber, RelayLink>,
}

impl RelayLinks {
    /// Keeps a relay's connection; returns the relay that the same host was before, whose connection ends with this.
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
        replaced
    }

    /// The relay behind a connection.
    pub fn relay(&self, link: LinkNumber) -> Option<RelayNumber> {
        self.links.get(&link).map(|known| known.relay)
    }

    /// Forgets a connection and ends it.
    pub fn remove(&mut self, link: LinkNumber) -> Option<RelayNumber> {
        self.links.remove(&link).map(|known| known.relay)
    }

    /// Ends a relay's connection.
    pub fn close(&mut self, relay: RelayNumber) {
        self.links.retain(|_, known| known.relay != relay);
    }

    /// Sends a message to a relay.
    pub fn send(&self, relay: RelayNumber, message: &RelayMessage) {
        let link = self.links.values().find(|known| known.relay == relay);
        if let Some(link) = link {
            // Where the connection is over, its end is on the way here.
            let _ = link.outbox.send(encode_message(message).into());
        }
    }
}
