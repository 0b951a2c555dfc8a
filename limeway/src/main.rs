//! limeway: a quota limiter, which runs the decision module `pondgw` on real sockets. Startup, signals and shutdown.
#![forbid(unsafe_code)]

mod clients;
mod clock;
mod config;
mod core;
mod counter;
mod discovery;
mod log_limiter;
mod network;
mod peers;
mod signals;
mod start_error;
mod upstream;

use crate::core::Core;
use clients::client_table::{ClientTable, CloseIdle};
use clients::listener;
use config::Config;
use network::descriptors::DescriptorBudget;
use network::loop_lag::LoopLag;
use network::memory_pool::MemoryPool;
use signals::{SignalRequest, Signals};
use start_error::StartError;
use std::process::ExitCode;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::Notify;
use tokio::task::{spawn_local, LocalSet};
use tokio::time::{sleep, timeout, Instant};

/// If discovery has not answered within this time, the limiter is ready with the servers of its configuration.
const DISCOVERY_WAIT: Duration = Duration::from_secs(2);
/// Interval between checks for idle connections to close.
const PRUNE_INTERVAL: Duration = Duration::from_secs(1);
/// Time from SIGTERM to the closing of idle connections that have carried a request. The listener accepts new
/// connections until then and a little longer.
const CLOSE_IDLE_AFTER: Duration = Duration::from_millis(450);
/// During shutdown, the listener closes once no connection has arrived for this time. Accepting what is then left in
/// the listen queue may take as long again.
const LISTEN_QUIET_TIME: Duration = Duration::from_millis(250);
/// Latest time after SIGTERM at which the listener closes: shortly before the 0.7 s after which a new request may no
/// longer take its full deadline (see `core::SHUTDOWN_FULL_DEADLINE`), as it must be answered before SIGKILL.
const LISTEN_MAX_TIME: Duration = Duration::from_millis(650);
/// Time for clients to take their responses once the last accepted request is answered.
const LAST_RESPONSE_TIMEOUT: Duration = Duration::from_millis(1_000);

fn main() -> ExitCode {
    env_logger::Builder::from_env(env_logger::Env::default().default_filter_or("warn")).init();
    let lag = LoopLag::new();
    let (park_lag, unpark_lag) = (lag.clone(), lag.clone());
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .on_thread_park(move || park_lag.on_park())
        .on_thread_unpark(move || unpark_lag.on_unpark())
        .build();
    let runtime = match runtime {
        Ok(runtime) => runtime,
        Err(e) => return fail(StartError::Runtime(e)),
    };
    match LocalSet::new().block_on(&runtime, serve(lag)) {
        Ok(()) => ExitCode::SUCCESS,
        Err(e) => fail(e),
    }
}

fn env(name: &str) -> Option<String> {
    std::env::var(name).ok()
}

fn fail(reason: StartError) -> ExitCode {
    eprintln!("limeway: {reason}");
    ExitCode::FAILURE
}

async fn serve(lag: Arc<LoopLag>) -> Result<(), StartError> {
    // First of all, as an early signal would otherwise take its default action and kill the process.
    let signals = Signals::listen().map_err(StartError::Signals)?;
    let config = Config::load(env)?;
    let listener = listener::listen(config.listen).map_err(|e| StartError::Listen(config.listen, e))?;
    let peers = match &config.peers {
        Some((address, all)) => {
            let bound = peers::Peers::bind(*address, all.clone()).await;
            Some(Rc::new(bound.map_err(|e| StartError::ListenForPeers(*address, e))?))
        }
        None => None,
    };
    let descriptors = DescriptorBudget::new(config.sockets);
    let request_memory = Rc::new(MemoryPool::new(config.request_memory_bytes()));
    let table = ClientTable::new(descriptors.clone(), request_memory);
    log::info!("limiter {} listens on {}", config.name, config.listen);
    let core = Core::new(config, peers, descriptors, lag);

    spawn_local(core.clone().run_timers());
    spawn_local(discovery::follower::run(core.clone()));
    if let Some(peers) = &core.peers {
        let own_number = core.config.host_settings.settings.gateway_index as usize;
        spawn_local(peers::run(peers.clone(), own_number, core.sink.clone()));
    }
    spawn_local(housekeeping(core.clone()));
    spawn_local(core.lag.clone().run());
    let stop_listening = Rc::new(Notify::new());
    let accepting = spawn_local(listener::run(core.clone(), table.clone(), listener, stop_listening.clone()));

    let shutdown_requested = Rc::new(Notify::new());
    spawn_local(handle_signals(signals, core.clone(), shutdown_requested.clone()));
    shutdown_requested.notified().await;
    log::info!("shutting down: {} requests are open", core.unanswered());
    core.begin_shutdown();
    let shutdown_started = Instant::now();
    sleep(CLOSE_IDLE_AFTER).await;
    table.close_idle(CloseIdle::Used);
    while shutdown_started.elapsed() < LISTEN_MAX_TIME && table.time_since_accept() < LISTEN_QUIET_TIME {
        sleep(Duration::from_millis(10)).await;
    }
    // Connections that wait in the listen queue are accepted before the listener closes.
    stop_listening.notify_one();
    let _ = timeout(LISTEN_QUIET_TIME, accepting).await;
    table.close_idle(CloseIdle::All);
    table.evict_partial_requests();
    // Each accepted request is answered by its own deadline; exiting earlier would lose it.
    let mut last_answered = Instant::now();
    while table.open() > 0 && last_answered.elapsed() < LAST_RESPONSE_TIMEOUT {
        if core.unanswered() > 0 || table.has_partial_requests() {
            last_answered = Instant::now();
        }
        sleep(Duration::from_millis(5)).await;
    }
    log::info!("shutdown complete: {} requests are open", core.unanswered());
    Ok(())
}

/// Handles signals; never returns. Goes on during shutdown, which may take as long as the longest deadline.
async fn handle_signals(mut signals: Signals, core: Rc<Core>, shutdown_requested: Rc<Notify>) {
    loop {
        match signals.next().await {
            SignalRequest::Reload => reload(&core),
            SignalRequest::Shutdown => shutdown_requested.notify_one(),
        }
    }
}

/// Reads the configuration file again. If it is invalid, nothing changes.
fn reload(core: &Core) {
    match core.service_addresses.get().reload(env) {
        Ok(addresses) => {
            log::warn!(
                "configuration reloaded: discovery {}, counter {:?}",
                addresses.discovery,
                addresses.counter
            );
            core.set_service_addresses(addresses);
        }
        Err(e) => log::error!("reload failed, configuration unchanged: {e}"),
    }
}

/// Closes connections to servers and the counter that have been idle for too long, and declares the limiter ready with
/// the configured servers if discovery does not answer.
async fn housekeeping(core: Rc<Core>) {
    let start = Instant::now();
    loop {
        sleep(PRUNE_INTERVAL).await;
        core.pools.prune();
        if let Some(counter) = &core.counter {
            counter.prune();
        }
        // Without a server in service, a ready limiter would attract requests only to reject them.
        if start.elapsed() >= DISCOVERY_WAIT && core.pools.any_in_service() {
            core.ready.set(true);
        }
    }
}
