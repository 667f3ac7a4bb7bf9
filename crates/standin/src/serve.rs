//! Starts a Rocket server on a port of the system's choice and tells where it listens.

use std::collections::HashSet;
use std::net::{IpAddr, Ipv4Addr, SocketAddr};

use rocket::config::{Config, Ident, LogLevel, Shutdown};
use rocket::data::{Limits, ToByteUnit};
use rocket::fairing::AdHoc;
use rocket::shield::Shield;
use rocket::{Build, Rocket};
use tokio::sync::oneshot;

/// The largest body that a stand-in takes, as much as one write to the platform's store may hold.
const LARGEST_BODY_KIB: u64 = 1_024;

/// Makes a quiet server on the loopback address; port 0 lets the system choose.
pub fn quiet_rocket(port: u16) -> Rocket<Build> {
    rocket::custom(Config {
        address: IpAddr::V4(Ipv4Addr::LOCALHOST),
        port,
        log_level: LogLevel::Off,
        cli_colors: false,
        limits: Limits::default().limit("string", LARGEST_BODY_KIB.kibibytes()),
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
pub async fn launch(rocket: Rocket<Build>) -> SocketAddr {
    let (tell, told) = oneshot::channel();
    let tell = std::sync::Mutex::new(Some(tell));
    let rocket = rocket.attach(AdHoc::on_liftoff("address", move |rocket| {
        let config = rocket.config();
        let address = SocketAddr::new(config.address, config.port);
        if let Some(tell) = tell.lock().ok().and_then(|mut tell| tell.take()) {
            let _ = tell.send(address);
        }
        Box::pin(async {})
    }));
    tokio::spawn(async move {
        if let Err(error) = rocket.launch().await {
            eprintln!("stand-in: the server failed: {error}");
        }
    });
    told.await.expect("the stand-in's server starts")
}
