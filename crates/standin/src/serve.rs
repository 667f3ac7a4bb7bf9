//! Starts a Rocket server on the loopback address and returns the address at which it listens.

use std::collections::HashSet;
use std::net::{IpAddr, Ipv4Addr, SocketAddr};

use rocket::config::{Config, Ident, LogLevel, Shutdown};
use rocket::data::{Limits, ToByteUnit};
use rocket::fairing::AdHoc;
use rocket::shield::Shield;
use rocket::{Build, Rocket};
use tokio::sync::oneshot;

/// The largest text body that a stand-in accepts, in KiB; equals the most that one write to the platform's store may hold.
const MAX_BODY_KIB: u64 = 1_024;

/// Builds a server on the loopback address that logs nothing and ignores signals; port 0 lets the operating system choose
/// the port.
pub fn quiet_rocket(port: u16) -> Rocket<Build> {
    rocket::custom(Config {
        address: IpAddr::V4(Ipv4Addr::LOCALHOST),
        port,
        log_level: LogLevel::Off,
        cli_colors: false,
        limits: Limits::default().limit("string", MAX_BODY_KIB.kibibytes()),
        ident: Ident::try_new("standin").unwrap_or_default(),
        shutdown: Shutdown {
            ctrlc: false,
            signals: HashSet::new(),
            ..Default::default()
        },
        ..Config::default()
    })
    .attach(Shield::new())
}

/// Launches a server and returns its address once it listens.
///
/// # Panics
/// The server can't be started.
pub async fn launch(rocket: Rocket<Build>) -> SocketAddr {
    let (sender, receiver) = oneshot::channel();
    let sender = std::sync::Mutex::new(Some(sender));
    let rocket = rocket.attach(AdHoc::on_liftoff("address", move |rocket| {
        let config = rocket.config();
        let address = SocketAddr::new(config.address, config.port);
        if let Some(sender) = sender.lock().ok().and_then(|mut sender| sender.take()) {
            let _ = sender.send(address);
        }
        Box::pin(async {})
    }));
    tokio::spawn(async move {
        if let Err(error) = rocket.launch().await {
            eprintln!("stand-in: the server failed: {error}");
        }
    });
    receiver.await.expect("the stand-in's server starts")
}
