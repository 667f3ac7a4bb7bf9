//! Sends a request to a backend server and reads its whole answer.

use std::net::SocketAddr;
use std::time::Duration;

use reqwest::header::{HeaderMap, HeaderName, HeaderValue};
use reqwest::redirect::Policy;
use reqwest::{Client, Method, StatusCode};
use sandshelf_model::Millis;
use sandshelf_route::AttemptEnd;

use crate::clock::SteadyInstant;

/// The response header by which a backend server says that it did not run a request, and why.
pub const REFUSED_HEADER: &str = "sandshelf-refused";
/// The value of [`REFUSED_HEADER`] where the server is leaving.
const REFUSED_LEAVING: &str = "leaving";
/// The maximum number of idle connections kept open to one server.
const MAX_IDLE_CONNECTIONS: usize = 6;

/// A caller's request as it is forwarded to a backend server.
#[derive(Clone, Debug)]
pub struct CallerRequest {
    /// The method.
    pub method: Method,
    /// The path with the query.
    pub target: String,
    /// The headers, without the hop-by-hop headers and without `host`.
    pub headers: HeaderMap,
    /// The whole body.
    pub body: Vec<u8>,
}

/// A backend server's whole answer.
#[derive(Clone, Debug)]
pub struct BackendAnswer {
    /// The HTTP status code.
    pub status: u16,
    /// The headers, without the hop-by-hop headers.
    pub headers: Vec<(String, String)>,
    /// The whole body.
    pub body: Vec<u8>,
}

/// The outcome of an attempt: the whole answer, or how the attempt ended without one.
pub type AttemptResult = Result<BackendAnswer, AttemptEnd>;

/// Headers that apply to one connection only and are not forwarded.
const HOP_BY_HOP: [&str; 10] = [
    "connection",
    "keep-alive",
    "proxy-connection",
    "proxy-authenticate",
    "proxy-authorization",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
    "content-length",
];

/// Whether a header is forwarded; compares names without regard to case.
pub fn is_end_to_end(name: &str) -> bool {
    !HOP_BY_HOP.contains(&name.to_ascii_lowercase().as_str())
}

/// Creates the HTTP client for calls to backend servers.
pub fn make_client() -> Result<Client, reqwest::Error> {
    Client::builder()
        .redirect(Policy::none())
        .no_proxy()
        .pool_max_idle_per_host(MAX_IDLE_CONNECTIONS)
        .tcp_nodelay(true)
        .build()
}

/// Sends `request` to `server` once; returns the outcome and the time that it took.
///
/// An answer that is incomplete after `timeout`, cut off, or larger than `max_body` bytes counts as no answer: the request
/// may have run.
pub async fn attempt(
    client: &Client,
    server: SocketAddr,
    request: &CallerRequest,
    timeout: Duration,
    max_body: u64,
) -> (AttemptResult, Millis) {
    let began = SteadyInstant::now();
    let url = format!("http://{server}{}", request.target);
    let sent = client
        .request(request.method.clone(), url)
        .headers(request.headers.clone())
        .body(request.body.clone())
        .timeout(timeout)
        .send()
        .await;
    let result = match sent {
        Ok(response) => read_answer(response, max_body).await,
        Err(error) if error.is_connect() => Err(AttemptEnd::NotRun),
        Err(error) if error.is_builder() => Err(AttemptEnd::NotRun),
        Err(_) => Err(AttemptEnd::MayHaveRun),
    };
    (result, began.elapsed().as_millis() as Millis)
}

async fn read_answer(mut response: reqwest::Response, max_body: u64) -> AttemptResult {
    if let Some(end) = refusal_of(response.status(), response.headers()) {
        return Err(end);
    }
    let status = response.status().as_u16();
    let headers = end_to_end_headers(response.headers());
    let mut body = Vec::new();
    loop {
        match response.chunk().await {
            Ok(Some(chunk)) => body.extend_from_slice(&chunk),
            Ok(None) => break,
            Err(_) => return Err(AttemptEnd::MayHaveRun),
        }
        if body.len() as u64 > max_body {
            return Err(AttemptEnd::MayHaveRun);
        }
    }
    Ok(BackendAnswer {
        status,
        headers,
        body,
    })
}

fn refusal_of(status: StatusCode, headers: &HeaderMap) -> Option<AttemptEnd> {
    if status != StatusCode::SERVICE_UNAVAILABLE {
        return None;
    }
    let reason = headers.get(REFUSED_HEADER)?;
    if reason == REFUSED_LEAVING {
        Some(AttemptEnd::Leaving)
    } else {
        Some(AttemptEnd::NotRun)
    }
}

fn end_to_end_headers(headers: &HeaderMap) -> Vec<(String, String)> {
    headers
        .iter()
        .filter(|(name, _)| is_end_to_end(name.as_str()))
        .filter_map(|(name, value)| Some((name.to_string(), value.to_str().ok()?.to_owned())))
        .collect()
}

/// Adds a caller's header to the forwarded ones, unless it is hop-by-hop, `host`, or not valid.
pub fn add_header(headers: &mut HeaderMap, name: &str, value: &str) {
    let name = HeaderName::from_bytes(name.as_bytes());
    let value = HeaderValue::from_str(value);
    if let (Ok(name), Ok(value)) = (name, value) {
        if is_end_to_end(name.as_str()) && name != reqwest::header::HOST {
            headers.append(name, value);
        }
    }
}
