//! Reading a configuration from another entry host over a slow link.
//!
//! Guards against a timeout that covers the whole answer. A host that can't reach the object store requests the configuration from
//! another host. If the answer takes longer than such a timeout, the call is aborted and each retry starts from the first byte, so
//! the host never gets the configuration that the others have. Over a link that forwards a piece in each fifth of the timeout, the
//! call ended exactly at its timeout, without a result.

use std::future::Future;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use sandshelf_cases::cases;
use sandshelf_http::{HostGate, PortShare, ProcessLimits};
use sandshelf_peer::{serve_peers, HostNews, PeerClient, PeerFault, PeerHandler, PeerPort};
use tokio::io::{copy, AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::task::{spawn_local, LocalSet};
use tokio::time::sleep;

/// The longest time without data from the other host.
const IDLE_TIMEOUT: Duration = Duration::from_millis(200);
/// The pause between two pieces of an answer.
const PIECE_PAUSE: Duration = Duration::from_millis(40);
/// The size of a piece in bytes.
const PIECE_BYTES: usize = 64 * 1024;
/// The size of the configuration in bytes: 16 pieces, which take three times the idle timeout.
const CONFIGURATION_BYTES: usize = 16 * PIECE_BYTES;

/// A host that has a configuration.
struct ConfiguredHost;

impl PeerHandler for ConfiguredHost {
    fn exchange(&self, news: HostNews) -> HostNews {
        news
    }

    fn configuration(&self, _digest: &str) -> Option<Vec<u8>> {
        Some(vec![7; CONFIGURATION_BYTES])
    }
}

/// How a link forwards answers.
#[derive(Clone, Copy)]
enum LinkKind {
    /// Forwards one piece, then pauses, and so on.
    Slow,
    /// Forwards one piece, then nothing, and keeps the connection open.
    SilentMidway,
}

async fn start_host() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let address = listener.local_addr().expect("an address");
    let limits = ProcessLimits {
        memory_bytes: 256 << 20,
        max_descriptors: 4_096,
    };
    let gate = HostGate::new("peer", &limits.port(PortShare::Hosts), |_, _| {});
    spawn_local(serve_peers(
        PeerPort { listener, gate },
        Rc::new(ConfiguredHost),
    ));
    address
}

/// Starts a link that forwards one connection to a host.
async fn start_link(target: SocketAddr, kind: LinkKind) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let address = listener.local_addr().expect("an address");
    spawn_local(async move {
        let (near, _) = listener.accept().await.expect("a connection");
        let far = TcpStream::connect(target).await.expect("the host is there");
        let (mut near_in, mut near_out) = near.into_split();
        let (mut far_in, mut far_out) = far.into_split();
        spawn_local(async move { copy(&mut near_in, &mut far_out).await });
        let mut piece = vec![0; PIECE_BYTES];
        while let Ok(count @ 1..) = far_in.read(&mut piece).await {
            // Writing only fails after the test has closed its side of the connection.
            let _ = near_out.write_all(&piece[..count]).await;
            match kind {
                LinkKind::Slow => sleep(PIECE_PAUSE).await,
                LinkKind::SilentMidway => std::future::pending().await,
            }
        }
    });
    address
}

async fn request_over(kind: LinkKind) -> Result<Option<usize>, PeerFault> {
    let link = start_link(start_host().await, kind).await;
    let peer = PeerClient::connect(link, IDLE_TIMEOUT).await?;
    let bytes = peer.configuration("digest").await?;
    Ok(bytes.map(|bytes| bytes.len()))
}

async fn a_slow_configuration_arrives() {
    assert_eq!(
        request_over(LinkKind::Slow).await,
        Ok(Some(CONFIGURATION_BYTES))
    );
}

async fn a_silent_peer_times_out() {
    let began = Instant::now();
    assert_eq!(
        request_over(LinkKind::SilentMidway).await,
        Err(PeerFault::NoAnswer)
    );
    let took = began.elapsed();
    assert!(took < IDLE_TIMEOUT * 3, "{took:?}");
}

fn block_on(test: impl Future<Output = ()>) {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build();
    let runtime = runtime.expect("the runtime starts");
    LocalSet::new().block_on(&runtime, test);
}

cases! {
    peer_slow_configuration => block_on(a_slow_configuration_arrives());
    peer_silent_midway => block_on(a_silent_peer_times_out());
}
