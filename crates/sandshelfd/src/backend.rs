//! Sends a request to a backend server and reads its whole answer.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use reqwest::header::{HeaderMap, HeaderName, HeaderValue};
use reqwest::redirect::Policy;
use reqwest::{Client, Method, StatusCode};
use sandshelf_http::RelayedBody;
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
    pub body: Bytes,
}

/// A backend server's whole answer.
#[derive(Clone, Debug)]
pub struct BackendAnswer {
    /// The HTTP status code.
    pub status: StatusCode,
    /// The headers, without the hop-by-hop headers.
    pub headers: HeaderMap,
    /// The whole body.
    pub body: Bytes,
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
/// An answer that is incomplete after `timeout`, cut off, or too large for `body` counts as no answer: the request may have run.
pub async fn attempt(
    client: &Client,
    server: SocketAddr,
    request: &CallerRequest,
    timeout: Duration,
    body: RelayedBody,
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
        Ok(response) => read_answer(response, body).await,
        Err(error) if error.is_connect() => Err(AttemptEnd::NotRun),
        Err(error) if error.is_builder() => Err(AttemptEnd::NotRun),
        Err(_) => Err(AttemptEnd::MayHaveRun),
    };
    (result, began.elapsed().as_millis() as Millis)
}

async fn read_answer(mut response: reqwest::Response, mut body: RelayedBody) -> AttemptResult {
    if let Some(end) = refusal_of(response.status(), response.headers()) {
        return Err(end);
    }
    let status = response.status();
    let headers = end_to_end_headers(response.headers());
    loop {
        let chunk = match response.chunk().await {
            Ok(Some(chunk)) => chunk,
            Ok(None) => break,
            Err(_) => return Err(AttemptEnd::MayHaveRun),
        };
        if body.append(&chunk).await.is_err() {
            return Err(AttemptEnd::MayHaveRun);
        }
    }
    Ok(BackendAnswer {
        status,
        headers,
        body: body.into_bytes(),
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

fn end_to_end_headers(headers: &HeaderMap) -> HeaderMap {
    let forwarded = headers
        .iter()
        .filter(|(name, value)| is_end_to_end(name.as_str()) && value.to_str().is_ok());
    let mut copied = HeaderMap::new();
    for (name, value) in forwarded {
        copied.append(name, value.clone());
    }
    copied
}

/// Adds a caller's header to the forwarded ones, unless it is hop-by-hop, `host`, or not text.
pub fn add_header(headers: &mut HeaderMap, name: &HeaderName, value: &HeaderValue) {
    if is_end_to_end(name.as_str()) && name != reqwest::header::HOST && value.to_str().is_ok() {
        headers.append(name, value.clone());
    }
}
