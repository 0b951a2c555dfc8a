//! Command line of the scale tests.
#![forbid(unsafe_code)]

use clap::{Args, Parser, Subcommand};
use scale::hollow::{self, Day, Fault};
use scale::real::{self, Plan};
use scale::report::{commit, Format, Report, Run};
use scale::settings::Deployment;
use scale::soak;
use std::path::PathBuf;
use std::process::ExitCode;
use std::time::Duration;
use tokio::task::LocalSet;

/// Time at rest over which a real limiter's cost is counted.
const REST: Duration = Duration::from_secs(5);
/// Memory of all processes of a run, in megabytes: under half of a machine of 24 GB.
const MEMORY_MOST_MB: u64 = 11_000;
/// Memory that a run of the hollow fleet takes for a limiter and server, in kilobytes, at most.
const HOLLOW_KB: f64 = 0.6;

#[derive(Parser)]
#[command(about = "Scale tests of saltlink", version)]
struct Cli {
    #[command(subcommand)]
    what: What,
}

#[derive(Subcommand)]
enum What {
    /// Real limiters that end and are killed between servers and clients that misbehave; a line for each seed.
    Soak(Soak),
    #[command(flatten)]
    Measure(Measure),
}

#[derive(Args)]
struct Soak {
    /// The first seed.
    #[arg(long, default_value_t = 1)]
    first: u64,
    /// Number of seeds, of which each takes some ten seconds.
    #[arg(long, default_value_t = 5, value_parser = clap::value_parser!(u64).range(1..=10_000))]
    seeds: u64,
    /// The limiter's program; else the one beside this program.
    #[arg(long)]
    program: Option<PathBuf>,
}

#[derive(Subcommand)]
enum Measure {
    /// A small form of all, in under a minute.
    Small(Output),
    /// All axes and faults.
    All(Output),
    /// Real limiters on loopback.
    Real {
        /// Servers in the list, one run each.
        #[arg(long, value_delimiter = ',', default_value = "200", value_parser = clap::value_parser!(u32).range(1..=200_000))]
        servers: Vec<u32>,
        /// Tenants, one run each.
        #[arg(long, value_delimiter = ',', default_value = "100", value_parser = clap::value_parser!(u32).range(1..=10_000_000))]
        tenants: Vec<u32>,
        /// Limiters at once, one run each.
        #[arg(long, value_delimiter = ',', default_value = "1", value_parser = clap::value_parser!(u32).range(1..=200))]
        limiters: Vec<u32>,
        /// Requests of each run.
        #[arg(long, default_value_t = 300, value_parser = clap::value_parser!(u64).range(1..=10_000_000))]
        requests: u64,
        /// Pause of each of the eight clients of a limiter after each answer, in milliseconds.
        #[arg(long, default_value_t = real::PAUSE_MS, value_parser = clap::value_parser!(u64).range(1..=60_000))]
        pause: u64,
        /// The limiter's program; else the one beside this program.
        #[arg(long)]
        program: Option<PathBuf>,
        #[command(flatten)]
        output: Output,
    },
    /// The decisions alone, on a virtual clock.
    Hollow {
        /// Limiters, one run each.
        #[arg(long, value_delimiter = ',', default_value = "100", value_parser = clap::value_parser!(u32).range(1..=10_000))]
        limiters: Vec<u32>,
        /// Servers, one run each.
        #[arg(long, value_delimiter = ',', default_value = "60", value_parser = clap::value_parser!(u32).range(1..=200_000))]
        servers: Vec<u32>,
        /// Tenants.
        #[arg(long, default_value_t = 2_000, value_parser = clap::value_parser!(u32).range(1..=10_000_000))]
        tenants: u32,
        /// Requests a second for each limiter.
        #[arg(long, default_value_t = 5.0)]
        rate: f64,
        /// Changes of the list a second.
        #[arg(long, default_value_t = 0.25)]
        changes: f64,
        /// Length of the day in seconds.
        #[arg(long, default_value_t = 30, value_parser = clap::value_parser!(u32).range(3..=7_200))]
        seconds: u32,
        /// What goes wrong in the middle third.
        #[arg(long, value_enum, default_value = "none")]
        fault: Fault,
        /// Lists have to be asked for.
        #[arg(long)]
        ask: bool,
        /// Regions, of two zones each.
        #[arg(long, default_value_t = 1, value_parser = clap::value_parser!(u32).range(1..=64))]
        regions: u32,
        #[command(flatten)]
        output: Output,
    },
}

#[derive(Args, Clone)]
struct Output {
    /// Seed of all random numbers.
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// How the figures are written.
    #[arg(long, value_enum, default_value = "table")]
    format: Format,
    /// File to write them to; else standard output.
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
    let ended = match cli.what {
        What::Soak(soak) => run_soak(soak),
        What::Measure(measure) => run(measure),
    };
    match ended {
        Ok(()) => ExitCode::SUCCESS,
        Err(e) => fail(&e.to_string()),
    }
}

/// Says in one line what is wrong.
fn fail(reason: &str) -> ExitCode {
    eprintln!("scale: {}", reason.trim_start_matches("error: ").replace('\n', " "));
    ExitCode::FAILURE
}

fn run(what: Measure) -> Result<(), Box<dyn std::error::Error>> {
    let output = match &what {
        Measure::Small(output) | Measure::All(output) => output.clone(),
        Measure::Real { output, .. } | Measure::Hollow { output, .. } => output.clone(),
    };
    let mut report = Report { seed: output.seed, commit: commit(), runs: Vec::new() };
    match what {
        Measure::Small(_) => small(&mut report)?,
        Measure::All(_) => all(&mut report)?,
        Measure::Real { servers, tenants, limiters, requests, pause, program, .. } => {
            let program = program.map_or_else(real::program, Ok)?;
            // What has several values is varied.
            let axis = match (limiters.len(), tenants.len()) {
                (2.., _) => "limiters",
                (_, 2..) => "tenants",
                _ => "servers",
            };
            let size = |limiters: u32, tenants: u32, servers: u32| match axis {
                "limiters" => f64::from(limiters),
                "tenants" => f64::from(tenants),
                _ => f64::from(servers),
            };
            for &limiters in &limiters {
                for &tenants in &tenants {
                    for &servers in &servers {
                        let plan = plan(&program, (limiters, servers, tenants), requests, output.seed);
                        let plan = Plan { pause: Duration::from_millis(pause), ..plan };
                        real_run(&mut report, &plan, axis, size(limiters, tenants, servers))?;
                    }
                }
            }
        }
        Measure::Hollow {
            limiters, servers, tenants, rate, changes, seconds, fault, ask, regions, ..
        } => {
            if !(rate.is_finite() && rate > 0.0 && changes.is_finite() && changes >= 0.0) {
                return Err("--rate must be above nought and --changes not below it".into());
            }
            let several = servers.len() > 1;
            for &limiters in &limiters {
                for &servers in &servers {
                    let deployment = Deployment {
                        limiters,
                        servers: servers as usize,
                        regions: regions as usize,
                        zones: 2,
                        ask,
                    };
                    let day = Day {
                        deployment,
                        tenants: u64::from(tenants),
                        rate: rate * f64::from(limiters),
                        changes,
                        seconds: u64::from(seconds),
                        fault,
                        seed: output.seed,
                    };
                    let (axis, size) = if several { ("servers", servers) } else { ("limiters", limiters) };
                    hollow_run(&mut report, day, axis, f64::from(size))?;
                }
            }
        }
    }
    let text = report.text(output.format);
    match &output.out {
        Some(path) => std::fs::write(path, text).map_err(|e| format!("{}: {e}", path.display()))?,
        None => print!("{text}"),
    }
    Ok(())
}

/// Plays so many seeds; fails where one breaks a rule.
fn run_soak(Soak { first, seeds, program }: Soak) -> Result<(), Box<dyn std::error::Error>> {
    let program = program.map_or_else(real::program, Ok)?;
    let mut broken = Vec::new();
    for seed in first..first.saturating_add(seeds) {
        let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
        let verdict = LocalSet::new().block_on(&runtime, soak::play(&program, seed))?;
        println!("seed {seed}: {verdict}");
        if verdict.is_broken() {
            broken.push(seed.to_string());
        }
    }
    if broken.is_empty() {
        return Ok(());
    }
    Err(format!("rules were broken with seed {}", broken.join(", ")).into())
}

fn plan(program: &std::path::Path, sizes: (u32, u32, u32), requests: u64, seed: u64) -> Plan {
    let (limiters, servers, tenants) = (sizes.0, sizes.1 as usize, u64::from(sizes.2));
    Plan {
        program: program.to_owned(),
        limiters,
        servers,
        tenants,
        requests,
        pause: Duration::from_millis(real::PAUSE_MS),
        rest: REST,
        memory_mb: 64,
        seed,
    }
}

fn real_run(
    report: &mut Report,
    plan: &Plan,
    axis: &str,
    size: f64,
) -> Result<(), Box<dyn std::error::Error>> {
    if u64::from(plan.limiters) * plan.memory_mb > MEMORY_MOST_MB {
        return Err(format!(
            "{} limiters of {} MB are more than this may take",
            plan.limiters, plan.memory_mb
        )
        .into());
    }
    log::info!("real: {} limiters, {} servers, {} tenants", plan.limiters, plan.servers, plan.tenants);
    let mut run = Run::new(axis, size, "real");
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    match LocalSet::new().block_on(&runtime, real::measure(plan, &mut run)) {
        // A size at which a limiter never starts is a finding, not the end of the series.
        Err(real::Error::NeverReady) => {
            log::warn!("a limiter was never ready with {} servers", plan.servers);
            run.put("never_ready", 1.0);
        }
        ended => ended?,
    }
    report.runs.push(run);
    Ok(())
}

fn hollow_run(
    report: &mut Report,
    day: Day,
    axis: &str,
    size: f64,
) -> Result<(), Box<dyn std::error::Error>> {
    let Deployment { limiters, servers, .. } = day.deployment;
    let need = f64::from(limiters) * servers as f64 * HOLLOW_KB / 1024.0;
    if need > MEMORY_MOST_MB as f64 {
        return Err(format!(
            "{limiters} limiters before {servers} servers need {need:.0} MB, which is too much"
        )
        .into());
    }
    log::info!(
        "hollow: {limiters} limiters, {servers} servers, {:.0} requests a second, {:?}",
        day.rate,
        day.fault
    );
    let asked = if day.deployment.ask { "asked" } else { "pushed" };
    let mut run = Run::new(axis, size, &format!("hollow {:?} {asked}", day.fault).to_lowercase());
    hollow::play(day, &mut run);
    report.runs.push(run);
    Ok(())
}

/// A day of so many limiters before so many servers.
fn day(limiters: u32, servers: usize, regions: usize, seed: u64) -> Day {
    let deployment = Deployment { limiters, servers, regions, zones: 2, ask: false };
    let rate = 5.0 * f64::from(limiters);
    Day {
        deployment,
        tenants: 20 * u64::from(limiters),
        rate,
        changes: 0.25,
        seconds: 15,
        fault: Fault::None,
        seed,
    }
}

fn asked(day: Day) -> Day {
    Day { deployment: Deployment { ask: true, ..day.deployment }, ..day }
}

fn small(report: &mut Report) -> Result<(), Box<dyn std::error::Error>> {
    let (program, seed) = (real::program()?, report.seed);
    for servers in [100, 200, 400] {
        let plan = plan(&program, (1, servers, 100), 100, seed);
        real_run(report, &plan, "servers", f64::from(servers))?;
    }
    for limiters in [10, 20, 40, 80] {
        hollow_run(report, day(limiters, 40, 1, seed), "limiters", f64::from(limiters))?;
    }
    for fault in [Fault::Restart, Fault::Discovery] {
        hollow_run(report, Day { fault, ..asked(day(40, 40, 1, seed)) }, "limiters", 40.0)?;
    }
    Ok(())
}

fn all(report: &mut Report) -> Result<(), Box<dyn std::error::Error>> {
    let (program, seed) = (real::program()?, report.seed);
    for servers in [200, 1_000, 4_000, 8_000, 16_000, 49_000] {
        let plan = plan(&program, (1, servers, 100), 300, seed);
        real_run(report, &plan, "servers", f64::from(servers))?;
    }
    for tenants in [100, 1_000, 10_000, 50_000, 220_000] {
        let plan = plan(&program, (1, 200, tenants), 5_000, seed);
        real_run(report, &plan, "tenants", f64::from(tenants))?;
    }
    for limiters in [1, 10, 50, 100] {
        let plan = plan(&program, (limiters, 200, 100), 600, seed);
        real_run(report, &plan, "limiters", f64::from(limiters))?;
    }
    // The model beside real processes of the same size.
    let beside = Day { rate: 300.0, tenants: 100, changes: 0.0, ..day(10, 200, 1, seed) };
    hollow_run(report, beside, "beside", 10.0)?;
    for limiters in [100, 300, 1_000, 3_700] {
        hollow_run(report, day(limiters, 60, 1, seed), "limiters", f64::from(limiters))?;
    }
    for servers in [200, 1_000, 4_000, 16_000, 49_000] {
        hollow_run(report, day(20, servers, 1, seed), "servers", servers as f64)?;
    }
    for fault in [Fault::Restart, Fault::Zone, Fault::Rack, Fault::Regions, Fault::Discovery, Fault::Counter]
    {
        for limiters in [100, 300, 1_000, 3_700] {
            let regions = if fault == Fault::Regions { 6 } else { 1 };
            hollow_run(
                report,
                Day { fault, ..asked(day(limiters, 96, regions, seed)) },
                "limiters",
                f64::from(limiters),
            )?;
        }
    }
    Ok(())
}
