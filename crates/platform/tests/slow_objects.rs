//! Reading and storing objects that take longer to transfer than the idle timeout of a call.
//!
//! Guards against a timeout that covers the whole transfer. Over a slow link, the transfer of a large configuration is then aborted
//! at the timeout and each retry starts from the first byte, so the configuration can't be applied from there or never reaches a
//! host there. With a server that sends or reads a piece in each sixth of the timeout, both calls ended at the timeout.

use std::future::Future;
use std::net::SocketAddr;
use std::time::Duration;

use sandshelf_cases::cases;
use sandshelf_platform::PlatformClient;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::time::sleep;

/// The longest time without data from the server.
const IDLE_TIMEOUT: Duration = Duration::from_millis(300);
/// The pause between two pieces of an object.
const PIECE_PAUSE: Duration = Duration::from_millis(50);
/// The size of a piece in bytes.
const PIECE_BYTES: usize = 64 * 1024;
/// The size of an object in bytes: 14 pieces, which take more than twice the idle timeout.
const OBJECT_BYTES: usize = 14 * PIECE_BYTES;

/// Starts a store with one object that answers one request.
async fn start_store() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let address = listener.local_addr().expect("an address");
    tokio::spawn(async move {
        let (mut stream, _) = listener.accept().await.expect("a connection");
        let mut head = Vec::new();
        while !head.ends_with(b"\r\n\r\n") {
            head.push(stream.read_u8().await.expect("a head"));
        }
        match head.starts_with(b"PUT") {
            true => receive_object(&mut stream).await,
            false => send_object(&mut stream).await,
        }
    });
    address
}

async fn receive_object(stream: &mut TcpStream) {
    let mut piece = vec![0; PIECE_BYTES];
    for _ in 0..OBJECT_BYTES / PIECE_BYTES {
        stream.read_exact(&mut piece).await.expect("a piece");
        sleep(PIECE_PAUSE).await;
    }
    let answer = b"HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n";
    stream.write_all(answer).await.expect("the client waits");
}

async fn send_object(stream: &mut TcpStream) {
    let head = format!("HTTP/1.1 200 OK\r\ncontent-length: {OBJECT_BYTES}\r\n\r\n");
    let head = stream.write_all(head.as_bytes()).await;
    head.expect("the client waits");
    let piece = vec![7; PIECE_BYTES];
    for _ in 0..OBJECT_BYTES / PIECE_BYTES {
        stream.write_all(&piece).await.expect("the client waits");
        sleep(PIECE_PAUSE).await;
    }
}

async fn client() -> PlatformClient {
    PlatformClient::new(start_store().await, IDLE_TIMEOUT).expect("a client")
}

async fn a_slow_object_arrives() {
    let read = client().await.get_object("digest").await;
    assert_eq!(read.map(|bytes| bytes.len()), Ok(OBJECT_BYTES));
}

async fn a_slow_object_is_stored() {
    let bytes = vec![7; OBJECT_BYTES];
    let stored = client().await.put_object("digest", bytes).await;
    assert_eq!(stored, Ok(()));
}

fn block_on(test: impl Future<Output = ()>) {
    let runtime = tokio::runtime::Runtime::new().expect("the runtime starts");
    runtime.block_on(test);
}

cases! {
    object_read_slowly => block_on(a_slow_object_arrives());
    object_stored_slowly => block_on(a_slow_object_is_stored());
}
