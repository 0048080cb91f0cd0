//! delivery-gateway: accepts messages from clients and delivers them to the endpoints of their destinations.
//!
//! This module creates the parts of the gateway and connects them, in the order in which a process starts.

mod admin;
mod background;
mod budget;
mod clock;
mod config;
mod event_loop;
mod events;
mod gateway;
mod handover;
mod http_client;
mod journal;
mod listener;
mod log;
mod notifications;
mod ownership;
mod rate_limited_log;
mod reload;
mod resp2;
mod send_guard;
mod signals;
mod start_error;

use delivery_gateway::socket::retry_transient_blocking;
use delivery_gateway::Settings;
use std::io;
use std::process::ExitCode;
use std::rc::Rc;
use tokio::runtime::{Builder, Runtime};
use tokio::task::{spawn_local, LocalSet};
use tracing::{error, info};

use crate::admin::AdminEndpoint;
use crate::config::{Config, Environment};
use crate::gateway::Gateway;
use crate::ownership::Ownership;
use crate::signals::Handlers;
use crate::start_error::StartError;

fn main() -> ExitCode {
    log::start();
    let result = prepare_process().map_err(StartError::system("prepare the process"));
    match result.and_then(|(handlers, runtime)| LocalSet::new().block_on(&runtime, run(handlers))) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            error!(%error, "cannot start or continue: the process exits");
            ExitCode::FAILURE
        }
    }
}

/// Installs the signal handlers, then creates the runtime. The handlers come first because a signal without a handler
/// would end the process.
fn prepare_process() -> io::Result<(Handlers, Runtime)> {
    let handlers = retry_transient_blocking("installing the signal handlers", Handlers::install)?;
    let build_runtime = || Builder::new_current_thread().enable_all().build();
    let runtime = retry_transient_blocking("creating the runtime", build_runtime)?;
    Ok((handlers, runtime))
}

/// Runs until the process may exit after a shutdown request. A takeover by another process alone does not end it.
async fn run(handlers: Handlers) -> Result<(), StartError> {
    let mut signals = handlers.listen().await.map_err(StartError::system("listen for signals"))?;
    let environment = Environment::read()?;
    let config = Config::read(&environment.config_path).await?;
    let admin = start_admin_endpoint(&config);
    let parsed = config.settings()?;
    log_settings(&parsed.settings);

    let ownership = Ownership::open(&environment.state_folder, &parsed).await?;
    let handed_over = tokio::select! {
        handed_over = ownership.acquire() => handed_over?,
        _ = signals.terminate.recv() => return Ok(()),
    };

    let name = config.name.clone();
    let listen_address = config.listen_address.clone();
    let (mut gateway, background) = Gateway::assemble(config, parsed, environment, ownership).await?;
    let listener = gateway.restore(handed_over, &listen_address).await?;
    let address = listener::local_address(&listener)
        .await
        .map_err(StartError::system("get the address of the listener"))?;
    info!(name, %address, "listening");
    background.spawn(signals, &admin);
    gateway.serve(listener).await
}

/// Starts the admin endpoint, if it has an address. It starts before anything that takes time, so that it can report
/// that the gateway is not ready yet.
fn start_admin_endpoint(config: &Config) -> Rc<AdminEndpoint> {
    let admin = Rc::new(AdminEndpoint::default());
    if let Some(address) = config.admin_address() {
        spawn_local(listener::serve_admin(address, admin.clone()));
    }
    admin
}

fn log_settings(settings: &Settings) {
    let Settings {
        fleet_size,
        max_in_flight_calls,
        max_pending_messages,
        connect_timeout,
        connection_idle_timeout,
        destination_kinds,
        ..
    } = settings;
    info!(
        fleet_size,
        max_in_flight_calls,
        max_pending_messages,
        ?connect_timeout,
        ?connection_idle_timeout,
        ?destination_kinds,
        "settings"
    );
}
