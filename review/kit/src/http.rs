//! A small HTTP/1.1 server with one thread for each connection, and a client for single calls.

use std::collections::BTreeMap;
use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// A request as a server receives it.
#[derive(Clone, Debug)]
pub struct Request {
    pub method: String,
    pub path: String,
    pub query: BTreeMap<String, String>,
    /// The headers, with names in lower case.
    pub headers: BTreeMap<String, String>,
    pub body: String,
}

/// What a server does with a request.
pub enum Reply {
    /// It answers with this status and body.
    Answer(u16, String),
    /// It says nothing more on this connection.
    Silence,
    /// It closes the connection.
    Close,
}

type Handler = dyn Fn(Request) -> Reply + Send + Sync;

struct ServerState {
    listener: Option<TcpListener>,
    streams: Vec<TcpStream>,
}

/// A server at a fixed loopback address, which can refuse connections for a while.
#[derive(Clone)]
pub struct Server {
    pub address: SocketAddr,
    state: Arc<Mutex<ServerState>>,
    handler: Arc<Handler>,
}

impl Server {
    /// Starts a server at a free port.
    pub fn start(handler: impl Fn(Request) -> Reply + Send + Sync + 'static) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let server = Self {
            address: listener.local_addr().expect("an address"),
            state: Arc::new(Mutex::new(ServerState {
                listener: None,
                streams: Vec::new(),
            })),
            handler: Arc::new(handler),
        };
        server.listen(listener);
        server
    }

    fn listen(&self, listener: TcpListener) {
        listener.set_nonblocking(true).expect("a listener");
        self.state.lock().unwrap().listener = Some(listener);
        let (state, handler) = (self.state.clone(), self.handler.clone());
        thread::spawn(move || loop {
            let accepted = {
                let mut state = state.lock().unwrap();
                let Some(listener) = &state.listener else {
                    return;
                };
                match listener.accept() {
                    Ok((stream, _)) => {
                        let _ = stream.set_nonblocking(false);
                        let _ = stream.set_nodelay(true);
                        if let Ok(copy) = stream.try_clone() {
                            state.streams.push(copy);
                        }
                        Some(stream)
                    }
                    Err(_) => None,
                }
            };
            match accepted {
                Some(stream) => {
                    let handler = handler.clone();
                    thread::spawn(move || serve(stream, &*handler));
                }
                None => thread::sleep(Duration::from_millis(1)),
            }
        });
    }

    /// Refuses connections from now on and resets the open ones.
    pub fn refuse(&self) {
        let mut state = self.state.lock().unwrap();
        state.listener = None;
        for stream in state.streams.drain(..) {
            let _ = stream.shutdown(Shutdown::Both);
        }
    }

    /// Takes connections again at the same address.
    pub fn accept_again(&self) {
        for _ in 0..200 {
            if let Ok(listener) = TcpListener::bind(self.address) {
                return self.listen(listener);
            }
            thread::sleep(Duration::from_millis(10));
        }
        panic!("the port of a stand-in was taken");
    }
}

fn serve(mut stream: TcpStream, handler: &Handler) {
    let mut buffer = Vec::new();
    loop {
        let Some(request) = read_request(&mut stream, &mut buffer) else {
            return;
        };
        match handler(request) {
            Reply::Answer(status, body) => {
                let head = format!(
                    "HTTP/1.1 {status} X\r\ncontent-type: application/json\r\ncontent-length: {}\r\n\r\n",
                    body.len()
                );
                let mut bytes = head.into_bytes();
                bytes.extend_from_slice(body.as_bytes());
                if stream.write_all(&bytes).is_err() {
                    return;
                }
            }
            Reply::Silence => {
                let mut rest = [0; 4096];
                while matches!(stream.read(&mut rest), Ok(count) if count > 0) {}
                return;
            }
            Reply::Close => {
                let _ = stream.shutdown(Shutdown::Both);
                return;
            }
        }
    }
}

fn read_request(stream: &mut TcpStream, buffer: &mut Vec<u8>) -> Option<Request> {
    let (head, body) = read_message(stream, buffer, false)?;
    let mut lines = head.split("\r\n");
    let mut first = lines.next()?.split(' ');
    let method = first.next()?.to_owned();
    let target = first.next()?.to_owned();
    let (path, query) = target.split_once('?').unwrap_or((&target, ""));
    let pairs = query.split('&').filter_map(|pair| pair.split_once('='));
    let query = pairs.map(|(name, value)| (name.to_owned(), decoded(value)));
    Some(Request {
        method,
        path: path.to_owned(),
        query: query.collect(),
        headers: headers_of(&head),
        body,
    })
}

fn headers_of(head: &str) -> BTreeMap<String, String> {
    let lines = head.split("\r\n").skip(1);
    let pairs = lines.filter_map(|line| line.split_once(':'));
    pairs
        .map(|(name, value)| (name.to_ascii_lowercase(), value.trim().to_owned()))
        .collect()
}

/// Reads one message; returns its head and body.
fn read_message(
    stream: &mut TcpStream,
    buffer: &mut Vec<u8>,
    is_answer: bool,
) -> Option<(String, String)> {
    loop {
        if let Some(end) = buffer.windows(4).position(|part| part == b"\r\n\r\n") {
            let head = String::from_utf8_lossy(&buffer[..end]).into_owned();
            let headers = headers_of(&head);
            let length = headers.get("content-length");
            let length: usize = length.and_then(|text| text.parse().ok()).unwrap_or(0);
            let whole = end + 4 + length;
            while buffer.len() < whole {
                read_more(stream, buffer)?;
            }
            let body = String::from_utf8_lossy(&buffer[end + 4..whole]).into_owned();
            buffer.drain(..whole);
            return Some((head, body));
        }
        read_more(stream, buffer)?;
        if is_answer && buffer.len() > 1 << 24 {
            return None;
        }
    }
}

fn read_more(stream: &mut TcpStream, buffer: &mut Vec<u8>) -> Option<()> {
    let mut chunk = [0; 16_384];
    match stream.read(&mut chunk) {
        Ok(0) | Err(_) => None,
        Ok(count) => {
            buffer.extend_from_slice(&chunk[..count]);
            Some(())
        }
    }
}

fn decoded(text: &str) -> String {
    let bytes = text.as_bytes();
    let mut out = Vec::new();
    let mut at = 0;
    while at < bytes.len() {
        match bytes[at] {
            b'+' => out.push(b' '),
            b'%' if at + 2 < bytes.len() => {
                let code = std::str::from_utf8(&bytes[at + 1..at + 3]).unwrap_or("3f");
                out.push(u8::from_str_radix(code, 16).unwrap_or(b'?'));
                at += 2;
            }
            other => out.push(other),
        }
        at += 1;
    }
    String::from_utf8_lossy(&out).into_owned()
}

/// The answer to a call of a caller.
#[derive(Clone, Debug)]
pub struct Answer {
    pub status: u16,
    pub body: String,
}

/// Makes one call on a connection of its own; none if no whole answer came in time.
pub fn call(
    address: SocketAddr,
    method: &str,
    path: &str,
    host: &str,
    body: &str,
    limit: Duration,
) -> Option<Answer> {
    let until = Instant::now() + limit;
    let mut stream = TcpStream::connect_timeout(&address, limit).ok()?;
    let _ = stream.set_nodelay(true);
    let left = until.saturating_duration_since(Instant::now());
    stream
        .set_read_timeout(Some(left.max(Duration::from_millis(1))))
        .ok()?;
    let request = format!(
        "{method} {path} HTTP/1.1\r\nhost: {host}\r\ncontent-type: application/json\r\n\
         x-sandshelf-request-deadline: {}\r\nconnection: close\r\ncontent-length: {}\r\n\r\n{body}",
        limit.as_millis(),
        body.len()
    );
    stream.write_all(request.as_bytes()).ok()?;
    let (head, body) = read_message(&mut stream, &mut Vec::new(), true)?;
    let status = head.split(' ').nth(1)?.parse().ok()?;
    Some(Answer { status, body })
}
