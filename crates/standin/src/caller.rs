//! A caller that sends requests and prints how often each outcome occurred.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Instant;

use lexopt::prelude::*;

/// Reads the options, sends the requests one after the other, and prints how often each outcome occurred and the mean time
/// of a request in microseconds.
pub async fn run(parser: &mut lexopt::Parser) -> Result<(), String> {
    let text = |error: lexopt::Error| error.to_string();
    let mut entry = SocketAddr::from(([127, 0, 0, 1], 0));
    let mut path = "/".to_owned();
    let mut count = 1_u32;
    let mut body: Option<String> = None;
    while let Some(argument) = parser.next().map_err(text)? {
        match argument {
            Long("entry") => entry = parser.value().and_then(|v| v.parse()).map_err(text)?,
            Long("path") => path = parser.value().and_then(|v| v.string()).map_err(text)?,
            Long("count") => count = parser.value().and_then(|v| v.parse()).map_err(text)?,
            Long("body") => body = Some(parser.value().and_then(|v| v.string()).map_err(text)?),
            other => return Err(text(other.unexpected())),
        }
    }
    let client = reqwest::Client::new();
    let began = Instant::now();
    let mut outcome_counts: BTreeMap<String, u32> = BTreeMap::new();
    for _ in 0..count {
        let url = format!("http://{entry}{path}");
        let request = match &body {
            Some(body) => client.post(url).body(body.clone()),
            None => client.get(url),
        };
        let outcome = match request.send().await {
            Ok(response) => describe(&response),
            Err(error) => format!("error {error}"),
        };
        *outcome_counts.entry(outcome).or_default() += 1;
    }
    let mean = began.elapsed().as_micros() / u128::from(count.max(1));
    for (outcome, times) in outcome_counts {
        println!("{path}: {times} x {outcome}");
    }
    println!("{path}: mean {mean} us");
    Ok(())
}

/// Returns the status and the verdict of a response, `-` for no verdict.
fn describe(response: &reqwest::Response) -> String {
    let verdict = response.headers().get("sandshelf-verdict");
    let verdict = verdict.and_then(|value| value.to_str().ok()).unwrap_or("-");
    format!("{} {verdict}", response.status().as_u16())
}
