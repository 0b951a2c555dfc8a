//! limeway: a quota limiter on real sockets, round the decisions of `pondgw`. Start, signals, exit code.
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
use clients::client_table::{ClientTable, Closing};
use clients::listener;
use config::Config;
use network::descriptors::DescriptorBudget;
use network::loop_lag::LoopLag;
use signals::{Request, Signals};
use start_error::StartError;
use std::process::ExitCode;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::Notify;
use tokio::task::{spawn_local, LocalSet};
use tokio::time::{sleep, timeout, Instant};

/// Discovery has so long to answer; then what was known must do.
const READY_MOST: Duration = Duration::from_secs(2);
/// Time between two looks at idle connections.
const PRUNE_EVERY: Duration = Duration::from_secs(1);
/// After SIGTERM, idle connections are closed after this time; new ones go on coming till then and a bit on.
const CLOSE_IDLE: Duration = Duration::from_millis(450);
/// The listener closes once so much time has passed without a new connection, and at the latest then: what comes
/// 0.7 s after SIGTERM or later must be answered by SIGKILL.
const LISTEN_ON: (Duration, Duration) = (Duration::from_millis(250), Duration::from_millis(650));
/// After the last of what has been taken is answered, its connections have so long to take the answer.
const LAST_MOST: Duration = Duration::from_millis(1_000);

fn main() -> ExitCode {
    env_logger::Builder::from_env(env_logger::Env::default().default_filter_or("warn")).init();
    let lag = LoopLag::new();
    let (parking, unparked) = (lag.clone(), lag.clone());
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .on_thread_park(move || parking.on_park())
        .on_thread_unpark(move || unparked.on_unpark())
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
    // Before all else: a signal that comes early must not find its default action, which ends the process.
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
    let descriptors = DescriptorBudget::divide(config.sockets);
    let table = ClientTable::new(descriptors.clone());
    log::info!("limiter {} listens at {}", config.name, config.listen);
    let core = Core::new(config, peers, descriptors, lag);

    spawn_local(core.clone().run_timers());
    spawn_local(discovery::follower::run(core.clone()));
    if let Some(peers) = &core.peers {
        let me = core.config.setup.settings.me as usize;
        spawn_local(peers::run(peers.clone(), me, core.sink.clone()));
    }
    spawn_local(housekeeping(core.clone()));
    spawn_local(core.lag.clone().watch());
    let stop_listening = Rc::new(Notify::new());
    let accepting = spawn_local(listener::run(core.clone(), table.clone(), listener, stop_listening.clone()));

    let end_requested = Rc::new(Notify::new());
    spawn_local(heed(signals, core.clone(), end_requested.clone()));
    end_requested.notified().await;
    log::info!("ending: {} requests are open", core.unanswered());
    core.begin_shutdown();
    let ending_since = Instant::now();
    sleep(CLOSE_IDLE).await;
    table.close_idle(Closing::Used);
    while ending_since.elapsed() < LISTEN_ON.1 && table.quiet_for() < LISTEN_ON.0 {
        sleep(Duration::from_millis(10)).await;
    }
    // What waits to be accepted was connected before: it is taken first.
    stop_listening.notify_one();
    let _ = timeout(LISTEN_ON.0, accepting).await;
    table.close_idle(Closing::All);
    table.turn_away_partial();
    // Whatever has been taken is answered by its own deadline; ending before that would lose it.
    let mut answered = Instant::now();
    while table.open() > 0 && answered.elapsed() < LAST_MOST {
        if core.unanswered() > 0 || table.is_receiving() {
            answered = Instant::now();
        }
        sleep(Duration::from_millis(5)).await;
    }
    log::info!("ended: {} requests are open", core.unanswered());
    Ok(())
}

/// Heeds signals for ever: also while the process ends, which may take as long as the longest deadline.
async fn heed(mut signals: Signals, core: Rc<Core>, end_requested: Rc<Notify>) {
    loop {
        match signals.next().await {
            Request::Reload => reload(&core),
            Request::End => end_requested.notify_one(),
        }
    }
}

/// Takes in the file anew; one that cannot be used changes nothing.
fn reload(core: &Core) {
    match core.service_addresses.get().reload(env) {
        Ok(places) => {
            log::warn!("reloaded: discovery {}, counter {:?}", places.discovery, places.counter);
            core.set_service_addresses(places);
        }
        Err(e) => log::error!("the configuration stays as it was: {e}"),
    }
}

/// Lets go of idle connections in time, and makes do with the known servers where discovery is silent.
async fn housekeeping(core: Rc<Core>) {
    let start = Instant::now();
    loop {
        sleep(PRUNE_EVERY).await;
        core.pools.prune();
        if let Some(counter) = &core.counter {
            counter.prune();
        }
        // One that has nothing to send to would only draw clients to itself to turn them away.
        if start.elapsed() >= READY_MOST && core.pools.any_in_service() {
            core.ready.set(true);
        }
    }
}
