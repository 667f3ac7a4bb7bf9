//! A small HTTP/1.1 server with one thread for each connection, and a client with one connection for each call.

use std::collections::HashMap;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

/// A request with its body.
#[derive(Clone, Debug, Default)]
pub struct Request {
    pub path: String,
    pub query: HashMap<String, String>,
    pub headers: HashMap<String, String>,
    pub body: Vec<u8>,
}

/// What a server does with a request.
pub enum Reply {
    /// Answers with a status and a JSON body.
    Answer(u16, String),
    /// Sends nothing more on this connection.
    Silence,
}

/// A server that can be ended as a process ends: its port refuses from then on, and its connections break.
#[derive(Default)]
pub struct Server {
    ended: AtomicBool,
    connections: Mutex<Vec<TcpStream>>,
}

impl Server {
    /// Ends the server.
    pub fn end(&self, address: SocketAddr) {
        self.ended.store(true, Ordering::SeqCst);
        // Wakes the listener, which then closes.
        let _ = TcpStream::connect(address);
        for connection in self.connections.lock().unwrap().drain(..) {
            let _ = connection.shutdown(Shutdown::Both);
        }
    }
}

/// Serves requests on a free port of the loopback interface.
pub fn serve<H>(handler: H) -> (Arc<Server>, SocketAddr)
where
    H: Fn(Request) -> Reply + Send + Sync + 'static,
{
    serve_at(SocketAddr::from(([127, 0, 0, 1], 0)), handler)
}

/// Serves requests at an address; waits for a while until it is free.
pub fn serve_at<H>(address: SocketAddr, handler: H) -> (Arc<Server>, SocketAddr)
where
    H: Fn(Request) -> Reply + Send + Sync + 'static,
{
    let bound = (0..200).find_map(|_| {
        let listener = TcpListener::bind(address);
        if listener.is_err() {
            thread::sleep(Duration::from_millis(10));
        }
        listener.ok()
    });
    let listener = bound.expect("the address is free");
    let address = listener.local_addr().expect("a bound address");
    let handler = Arc::new(handler);
    let server = Arc::new(Server::default());
    let served = server.clone();
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            if served.ended.load(Ordering::SeqCst) {
                return;
            }
            if let Ok(kept) = stream.try_clone() {
                served.connections.lock().unwrap().push(kept);
            }
            let handler = handler.clone();
            thread::spawn(move || serve_connection(stream, &*handler));
        }
    });
    (server, address)
}

fn serve_connection(stream: TcpStream, handler: &dyn Fn(Request) -> Reply) {
    let _ = stream.set_nodelay(true);
    let Ok(mut writer) = stream.try_clone() else {
        return;
    };
    let mut reader = BufReader::new(stream);
    while let Some(request) = read_request(&mut reader) {
        match handler(request) {
            Reply::Answer(status, body) => {
                let head = format!(
                    "HTTP/1.1 {status} X\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n",
                    body.len()
                );
                if writer.write_all((head + &body).as_bytes()).is_err() {
                    return;
                }
            }
            Reply::Silence => {
                // Reads what comes until the peer closes, and answers nothing.
                let _ = std::io::copy(&mut reader, &mut std::io::sink());
                return;
            }
        }
    }
}

fn read_line(reader: &mut impl BufRead) -> Option<String> {
    let mut line = String::new();
    let read = reader.read_line(&mut line).ok()?;
    (read > 0).then(|| line.trim_end().to_owned())
}

fn read_headers(reader: &mut impl BufRead) -> Option<HashMap<String, String>> {
    let mut headers = HashMap::new();
    loop {
        let line = read_line(reader)?;
        if line.is_empty() {
            return Some(headers);
        }
        if let Some((name, value)) = line.split_once(':') {
            headers.insert(name.trim().to_ascii_lowercase(), value.trim().to_owned());
        }
    }
}

fn read_request(reader: &mut impl BufRead) -> Option<Request> {
    let first = read_line(reader)?;
    let target = first.split(' ').nth(1)?.to_owned();
    let headers = read_headers(reader)?;
    let length = headers
        .get("content-length")
        .and_then(|value| value.parse().ok());
    let mut body = vec![0; length.unwrap_or(0)];
    reader.read_exact(&mut body).ok()?;
    let (path, query) = target.split_once('?').unwrap_or((&target, ""));
    let pairs = query.split('&').filter_map(|pair| pair.split_once('='));
    Some(Request {
        path: path.to_owned(),
        query: pairs
            .map(|(key, value)| (key.to_owned(), decode(value)))
            .collect(),
        headers,
        body,
    })
}

fn decode(value: &str) -> String {
    let bytes = value.as_bytes();
    let mut decoded = Vec::new();
    let mut at = 0;
    while at < bytes.len() {
        let hex = bytes
            .get(at + 1..at + 3)
            .and_then(|hex| std::str::from_utf8(hex).ok());
        let code = hex.and_then(|hex| u8::from_str_radix(hex, 16).ok());
        match (bytes[at], code) {
            (b'%', Some(code)) => {
                decoded.push(code);
                at += 3;
                continue;
            }
            (b'+', _) => decoded.push(b' '),
            (sign, _) => decoded.push(sign),
        }
        at += 1;
    }
    String::from_utf8_lossy(&decoded).into_owned()
}

/// Calls a server; returns the status and the body, or none without a complete answer in time.
pub fn call(
    address: SocketAddr,
    method: &str,
    path: &str,
    host: &str,
    body: &str,
    timeout: Duration,
) -> Option<(u16, String)> {
    let mut stream = TcpStream::connect_timeout(&address, timeout).ok()?;
    stream.set_read_timeout(Some(timeout)).ok()?;
    let _ = stream.set_nodelay(true);
    let deadline = timeout.as_millis();
    let request = format!(
        "{method} {path} HTTP/1.1\r\nHost: {host}\r\nConnection: close\r\nContent-Type: application/json\r\n\
         X-Sandshelf-Request-Deadline: {deadline}\r\nContent-Length: {}\r\n\r\n{body}",
        body.len()
    );
    stream.write_all(request.as_bytes()).ok()?;
    let mut reader = BufReader::new(stream);
    let first = read_line(&mut reader)?;
    let status = first.split(' ').nth(1)?.parse().ok()?;
    let headers = read_headers(&mut reader)?;
    let length = headers
        .get("content-length")
        .and_then(|value| value.parse().ok());
    let mut body = vec![0; length.unwrap_or(0)];
    reader.read_exact(&mut body).ok()?;
    Some((status, String::from_utf8_lossy(&body).into_owned()))
}
