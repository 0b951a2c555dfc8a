//! Command line of the scale tests.
#![forbid(unsafe_code)]

use clap::{Args, Parser, Subcommand};
use scale::deployment::Deployment;
use scale::limiter::default_program;
use scale::real::{self, Measurement};
use scale::report::{source_commit, Format, Report, Run};
use scale::simulation::{simulate, Fault, Scenario};
use scale::soak;
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::time::Duration;
use tokio::task::LocalSet;

/// Time without requests over which the idle cost of a real limiter is measured.
const IDLE_TIME: Duration = Duration::from_secs(5);
/// Most memory that a run may take, in megabytes: less than half of a machine with 24 GB.
const MAX_RUN_MEMORY_MB: u64 = 11_000;
/// Most memory that a simulation takes for each pair of a limiter and a server, in kilobytes.
const SIMULATION_KB_PER_PAIR: f64 = 0.6;

#[derive(Parser)]
#[command(about = "Scale tests of saltlink", version)]
struct Cli {
    #[command(subcommand)]
    command: Command,
}

#[derive(Subcommand)]
enum Command {
    /// Terminate and kill real limiters while servers and clients misbehave, and check every request.
    Soak(SoakArgs),
    #[command(flatten)]
    Measure(MeasureCommand),
}

#[derive(Args)]
struct SoakArgs {
    /// First seed.
    #[arg(long = "first", value_name = "FIRST", default_value_t = 1)]
    first_seed: u64,
    /// Number of seeds; each takes about ten seconds and writes one line.
    #[arg(long, default_value_t = 5, value_parser = clap::value_parser!(u64).range(1..=10_000))]
    seeds: u64,
    /// Path of the limiter's program [default: limeway in the directory of this program].
    #[arg(long)]
    program: Option<PathBuf>,
}

#[derive(Subcommand)]
enum MeasureCommand {
    /// Measure and simulate a few sizes and faults, in under a minute.
    Small(OutputArgs),
    /// Measure and simulate every axis and every fault.
    All(OutputArgs),
    /// Measure real limiters on loopback.
    Real {
        /// Numbers of servers in the list, with one run for each.
        #[arg(long, value_delimiter = ',', default_value = "200", value_parser = clap::value_parser!(u32).range(1..=200_000))]
        servers: Vec<u32>,
        /// Numbers of tenants (customers), with one run for each.
        #[arg(long = "tenants", value_name = "TENANTS", value_delimiter = ',', default_value = "100", value_parser = clap::value_parser!(u32).range(1..=10_000_000))]
        customers: Vec<u32>,
        /// Numbers of limiters that run at the same time, with one run for each.
        #[arg(long, value_delimiter = ',', default_value = "1", value_parser = clap::value_parser!(u32).range(1..=200))]
        limiters: Vec<u32>,
        /// Number of requests in each run.
        #[arg(long, default_value_t = 300, value_parser = clap::value_parser!(u64).range(1..=10_000_000))]
        requests: u64,
        /// Pause of a client after each answer, in milliseconds; each limiter has eight clients.
        #[arg(long = "pause", value_name = "PAUSE", default_value_t = real::DEFAULT_PAUSE_MS, value_parser = clap::value_parser!(u64).range(1..=60_000))]
        pause_ms: u64,
        /// Path of the limiter's program [default: limeway in the directory of this program].
        #[arg(long)]
        program: Option<PathBuf>,
        #[command(flatten)]
        output: OutputArgs,
    },
    /// Simulate many instances of the decision module on a virtual clock.
    #[command(name = "hollow")]
    Simulate {
        /// Numbers of limiters, with one run for each.
        #[arg(long, value_delimiter = ',', default_value = "100", value_parser = clap::value_parser!(u32).range(1..=10_000))]
        limiters: Vec<u32>,
        /// Numbers of servers, with one run for each.
        #[arg(long, value_delimiter = ',', default_value = "60", value_parser = clap::value_parser!(u32).range(1..=200_000))]
        servers: Vec<u32>,
        /// Number of tenants (customers).
        #[arg(long = "tenants", value_name = "TENANTS", default_value_t = 2_000, value_parser = clap::value_parser!(u32).range(1..=10_000_000))]
        customers: u32,
        /// Requests per second for each limiter.
        #[arg(long = "rate", value_name = "RATE", default_value_t = 5.0)]
        requests_per_second: f64,
        /// Changes of the list of servers per second.
        #[arg(long = "changes", value_name = "CHANGES", default_value_t = 0.25)]
        list_changes_per_second: f64,
        /// Simulated time in seconds.
        #[arg(long, default_value_t = 30, value_parser = clap::value_parser!(u32).range(3..=7_200))]
        seconds: u32,
        /// What fails during the middle third of the simulated time.
        #[arg(long, value_enum, default_value = "none")]
        fault: Fault,
        /// Limiters request the list of servers from discovery; otherwise it is pushed to them.
        #[arg(long = "ask")]
        watch_discovery: bool,
        /// Number of regions, of two zones each.
        #[arg(long, default_value_t = 1, value_parser = clap::value_parser!(u32).range(1..=64))]
        regions: u32,
        #[command(flatten)]
        output: OutputArgs,
    },
}

#[derive(Args, Clone)]
struct OutputArgs {
    /// Seed of all random numbers.
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// Output format.
    #[arg(long, value_enum, default_value = "table")]
    format: Format,
    /// Output file [default: standard output].
    #[arg(long)]
    out: Option<PathBuf>,
}

fn main() -> ExitCode {
    env_logger::Builder::from_env(env_logger::Env::default().default_filter_or("info")).init();
    let cli = match Cli::try_parse() {
        Ok(cli) => cli,
        Err(e) if e.use_stderr() => return fail(e.to_string().lines().next().unwrap_or_default()),
        Err(help) => {
            print!("{help}");
            return ExitCode::SUCCESS;
        }
    };
    let result = match cli.command {
        Command::Soak(args) => run_soak(args),
        Command::Measure(command) => run_measurements(command),
    };
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(e) => fail(&e.to_string()),
    }
}

/// Writes an error to standard error, in one line.
fn fail(reason: &str) -> ExitCode {
    eprintln!("scale: {}", reason.trim_start_matches("error: ").replace('\n', " "));
    ExitCode::FAILURE
}

/// Runs the soak test with a series of seeds; an error if a rule was broken with any of them.
fn run_soak(SoakArgs { first_seed, seeds, program }: SoakArgs) -> Result<(), Box<dyn std::error::Error>> {
    let program = program.map_or_else(default_program, Ok)?;
    let mut seeds_with_violations = Vec::new();
    for seed in first_seed..first_seed.saturating_add(seeds) {
        let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
        let summary = LocalSet::new().block_on(&runtime, soak::run_seed(&program, seed))?;
        println!("seed {seed}: {summary}");
        if summary.has_violations() {
            seeds_with_violations.push(seed.to_string());
        }
    }
    if seeds_with_violations.is_empty() {
        return Ok(());
    }
    Err(format!("rules were broken with seed {}", seeds_with_violations.join(", ")).into())
}

/// Runs the measurements and simulations of a command and writes the report.
fn run_measurements(command: MeasureCommand) -> Result<(), Box<dyn std::error::Error>> {
    let output = match &command {
        MeasureCommand::Small(output) | MeasureCommand::All(output) => output.clone(),
        MeasureCommand::Real { output, .. } | MeasureCommand::Simulate { output, .. } => output.clone(),
    };
    let mut report = Report { seed: output.seed, commit: source_commit(), runs: Vec::new() };
    match command {
        MeasureCommand::Small(_) => run_small(&mut report)?,
        MeasureCommand::All(_) => run_all(&mut report)?,
        MeasureCommand::Real { servers, customers, limiters, requests, pause_ms, program, .. } => {
            let program = program.map_or_else(default_program, Ok)?;
            // The axis is the first of limiters, tenants and servers that has several values.
            let axis = match (limiters.len(), customers.len()) {
                (2.., _) => "limiters",
                (_, 2..) => "tenants",
                _ => "servers",
            };
            for &limiters in &limiters {
                for &customers in &customers {
                    for &servers in &servers {
                        let size = match axis {
                            "limiters" => limiters,
                            "tenants" => customers,
                            _ => servers,
                        };
                        let sizes = Sizes { limiters, servers, customers };
                        let measurement = Measurement {
                            pause: Duration::from_millis(pause_ms),
                            ..measurement(&program, sizes, requests, output.seed)
                        };
                        run_measurement(&mut report, &measurement, axis, f64::from(size))?;
                    }
                }
            }
        }
        MeasureCommand::Simulate {
            limiters,
            servers,
            customers,
            requests_per_second,
            list_changes_per_second,
            seconds,
            fault,
            watch_discovery,
            regions,
            ..
        } => {
            let valid_rate = requests_per_second.is_finite() && requests_per_second > 0.0;
            let valid_changes = list_changes_per_second.is_finite() && list_changes_per_second >= 0.0;
            if !(valid_rate && valid_changes) {
                return Err("--rate must be greater than 0 and --changes must not be negative".into());
            }
            let axis = if servers.len() > 1 { "servers" } else { "limiters" };
            for &limiters in &limiters {
                for &servers in &servers {
                    let deployment = Deployment {
                        limiters,
                        servers: servers as usize,
                        regions: regions as usize,
                        zones_per_region: 2,
                        watch_discovery,
                    };
                    let scenario = Scenario {
                        deployment,
                        customers: u64::from(customers),
                        requests_per_second: requests_per_second * f64::from(limiters),
                        list_changes_per_second,
                        seconds: u64::from(seconds),
                        fault,
                        seed: output.seed,
                    };
                    let size = if axis == "servers" { servers } else { limiters };
                    run_simulation(&mut report, scenario, axis, f64::from(size))?;
                }
            }
        }
    }
    let text = report.render(output.format);
    match &output.out {
        Some(path) => std::fs::write(path, text).map_err(|e| format!("{}: {e}", path.display()))?,
        None => print!("{text}"),
    }
    Ok(())
}

/// Sizes of a measurement of real limiters.
struct Sizes {
    limiters: u32,
    servers: u32,
    customers: u32,
}

/// A measurement with the default pause, idle time and memory.
fn measurement(program: &Path, sizes: Sizes, requests: u64, seed: u64) -> Measurement {
    Measurement {
        program: program.to_owned(),
        limiters: sizes.limiters,
        servers: sizes.servers as usize,
        customers: u64::from(sizes.customers),
        requests,
        pause: Duration::from_millis(real::DEFAULT_PAUSE_MS),
        idle_time: IDLE_TIME,
        memory_mb: 64,
        seed,
    }
}

/// Measures real limiters and adds the figures to the report.
fn run_measurement(
    report: &mut Report,
    measurement: &Measurement,
    axis: &str,
    size: f64,
) -> Result<(), Box<dyn std::error::Error>> {
    let Measurement { limiters, servers, customers, memory_mb, .. } = measurement;
    if u64::from(*limiters) * memory_mb > MAX_RUN_MEMORY_MB {
        return Err(format!(
            "{limiters} limiters of {memory_mb} MB exceed the {MAX_RUN_MEMORY_MB} MB that a run may take"
        )
        .into());
    }
    log::info!("real: {limiters} limiters, {servers} servers, {customers} tenants");
    let mut run = Run::new(axis, size, "real");
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    match LocalSet::new().block_on(&runtime, real::measure(measurement, &mut run)) {
        // A size at which limiters do not start is a result; the series goes on.
        Err(e @ real::Error::NeverReady) => {
            log::warn!("{e} with {servers} servers");
            run.set("never_ready", 1.0);
        }
        result => result?,
    }
    report.runs.push(run);
    Ok(())
}

/// Simulates a scenario and adds the figures to the report.
fn run_simulation(
    report: &mut Report,
    scenario: Scenario,
    axis: &str,
    size: f64,
) -> Result<(), Box<dyn std::error::Error>> {
    let Deployment { limiters, servers, watch_discovery, .. } = scenario.deployment;
    let memory_mb = f64::from(limiters) * servers as f64 * SIMULATION_KB_PER_PAIR / 1024.0;
    if memory_mb > MAX_RUN_MEMORY_MB as f64 {
        return Err(format!(
            "{limiters} limiters with {servers} servers need {memory_mb:.0} MB, more than the {MAX_RUN_MEMORY_MB} MB \
             that a run may take"
        )
        .into());
    }
    log::info!(
        "hollow: {limiters} limiters, {servers} servers, {:.0} requests a second, fault {:?}",
        scenario.requests_per_second,
        scenario.fault
    );
    let discovery = if watch_discovery { "asked" } else { "pushed" };
    let label = format!("hollow {:?} {discovery}", scenario.fault).to_lowercase();
    let mut run = Run::new(axis, size, &label);
    simulate(scenario, &mut run);
    report.runs.push(run);
    Ok(())
}

/// A scenario without a fault, in which the list of servers is pushed to the limiters.
fn scenario(limiters: u32, servers: usize, regions: usize, seed: u64) -> Scenario {
    let deployment = Deployment { limiters, servers, regions, zones_per_region: 2, watch_discovery: false };
    Scenario {
        deployment,
        customers: 20 * u64::from(limiters),
        requests_per_second: 5.0 * f64::from(limiters),
        list_changes_per_second: 0.25,
        seconds: 15,
        fault: Fault::None,
        seed,
    }
}

/// The given scenario with a fault, and with limiters that ask discovery for changes of the list.
fn watching_with_fault(scenario: Scenario, fault: Fault) -> Scenario {
    let deployment = Deployment { watch_discovery: true, ..scenario.deployment };
    Scenario { deployment, fault, ..scenario }
}

fn run_small(report: &mut Report) -> Result<(), Box<dyn std::error::Error>> {
    let (program, seed) = (default_program()?, report.seed);
    for servers in [100, 200, 400] {
        let sizes = Sizes { limiters: 1, servers, customers: 100 };
        let measurement = measurement(&program, sizes, 100, seed);
        run_measurement(report, &measurement, "servers", f64::from(servers))?;
    }
    for limiters in [10, 20, 40, 80] {
        run_simulation(report, scenario(limiters, 40, 1, seed), "limiters", f64::from(limiters))?;
    }
    for fault in [Fault::Restart, Fault::Discovery] {
        let scenario = watching_with_fault(scenario(40, 40, 1, seed), fault);
        run_simulation(report, scenario, "limiters", 40.0)?;
    }
    Ok(())
}

fn run_all(report: &mut Report) -> Result<(), Box<dyn std::error::Error>> {
    let (program, seed) = (default_program()?, report.seed);
    for servers in [200, 1_000, 4_000, 8_000, 16_000, 49_000] {
        let sizes = Sizes { limiters: 1, servers, customers: 100 };
        let measurement = measurement(&program, sizes, 300, seed);
        run_measurement(report, &measurement, "servers", f64::from(servers))?;
    }
    for customers in [100, 1_000, 10_000, 50_000, 220_000] {
        let sizes = Sizes { limiters: 1, servers: 200, customers };
        let measurement = measurement(&program, sizes, 5_000, seed);
        run_measurement(report, &measurement, "tenants", f64::from(customers))?;
    }
    for limiters in [1, 10, 50, 100] {
        let sizes = Sizes { limiters, servers: 200, customers: 100 };
        let measurement = measurement(&program, sizes, 600, seed);
        run_measurement(report, &measurement, "limiters", f64::from(limiters))?;
    }
    // A simulation as large as the measurement of ten real limiters, to compare the model with real processes.
    let comparison = Scenario {
        requests_per_second: 300.0,
        customers: 100,
        list_changes_per_second: 0.0,
        ..scenario(10, 200, 1, seed)
    };
    run_simulation(report, comparison, "beside", 10.0)?;
    for limiters in [100, 300, 1_000, 3_700] {
        run_simulation(report, scenario(limiters, 60, 1, seed), "limiters", f64::from(limiters))?;
    }
    for servers in [200, 1_000, 4_000, 16_000, 49_000] {
        run_simulation(report, scenario(20, servers, 1, seed), "servers", servers as f64)?;
    }
    for fault in [Fault::Restart, Fault::Zone, Fault::Rack, Fault::Regions, Fault::Discovery, Fault::Counter]
    {
        for limiters in [100, 300, 1_000, 3_700] {
            let regions = if fault == Fault::Regions { 6 } else { 1 };
            let scenario = watching_with_fault(scenario(limiters, 96, regions, seed), fault);
            run_simulation(report, scenario, "limiters", f64::from(limiters))?;
        }
    }
    Ok(())
}
