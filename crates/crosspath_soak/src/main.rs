//! Runs real daemons as processes against stand-ins, injects faults from outside, and checks what
//! callers and workers see.
//!
//! A run goes by its seed: which faults strike what, when and for how long, and what is submitted.
//! Faults overlap. What depends on the machine's speed differs between two runs of a seed, so the
//! logs of a run that broke a promise are kept.

use std::path::PathBuf;
use std::process::ExitCode;
use std::time::Duration;

use bpaf::Bpaf;
use tokio::signal::unix::{SignalKind, signal};

use crate::run::{Plan, Report};

mod audit;
mod daemon;
mod faults;
mod proxy;
mod run;
mod traffic;

/// Seeds that broke a promise once; each line holds one, and then its cause.
const REGRESSIONS: &str = include_str!("../seeds.txt");

/// Runs daemons under faults and checks their promises.
#[derive(Debug, Clone, Bpaf)]
#[bpaf(options)]
struct Options {
    /// First seed.
    #[bpaf(long, argument("SEED"), fallback(1))]
    first: u64,
    /// Number of seeds.
    #[bpaf(long, argument("N"), fallback(1))]
    seeds: u64,
    /// Seconds of faults for each seed.
    #[bpaf(long, argument("S"), fallback(20))]
    seconds: u64,
    /// Daemons.
    #[bpaf(long, argument("N"), fallback(4))]
    daemons: usize,
    /// Workers of each of the two pools.
    #[bpaf(long, argument("N"), fallback(4))]
    workers: usize,
    /// Play the seeds that failed once, before the others.
    #[bpaf(long)]
    regressions: bool,
    /// Some jobs crash the workers that start them.
    #[bpaf(long("deadly"))]
    crashing_jobs: bool,
    /// Workers that crash begin again under their identifiers.
    #[bpaf(long("reborn"))]
    reuse_worker_ids: bool,
    /// The daemon's program; by default the one beside this program.
    #[bpaf(long, argument("FILE"))]
    daemon: Option<PathBuf>,
}

fn main() -> ExitCode {
    env_logger::Builder::from_env(env_logger::Env::default().default_filter_or("warn")).init();
    let options = options().run();
    let Some(program) = options.daemon.clone().or_else(daemon::default_program) else {
        eprintln!("there is no crosspathd beside this program; build it, or name one by --daemon");
        return ExitCode::FAILURE;
    };
    let runtime = match tokio::runtime::Builder::new_multi_thread().enable_all().build() {
        Ok(runtime) => runtime,
        Err(error) => {
            eprintln!("cannot start: {error}");
            return ExitCode::FAILURE;
        }
    };
    let mut failed_seeds = 0;
    for seed in seeds(&options) {
        let plan = Plan {
            seed,
            duration: Duration::from_secs(options.seconds),
            daemons: options.daemons.max(1),
            workers: options.workers.max(1),
            crashing_jobs: options.crashing_jobs,
            reuse_worker_ids: options.reuse_worker_ids,
            program: program.clone(),
        };
        match runtime.block_on(run_or_interrupt(&plan)) {
            Ok(Some(report)) => {
                print_report(seed, &report);
                failed_seeds += usize::from(!report.violations.is_empty());
            }
            Ok(None) => {
                eprintln!("seed {seed}: interrupted");
                return ExitCode::FAILURE;
            }
            Err(error) => {
                eprintln!("seed {seed}: cannot be played: {error}");
                return ExitCode::FAILURE;
            }
        }
    }
    if failed_seeds == 0 { ExitCode::SUCCESS } else { ExitCode::FAILURE }
}

/// One run; none when a signal ends it, and with it the processes that it started.
async fn run_or_interrupt(plan: &Plan) -> Result<Option<Report>, run::Error> {
    let Ok(mut terminate) = signal(SignalKind::terminate()) else {
        return run::run(plan).await.map(Some);
    };
    tokio::select! {
        report = run::run(plan) => report.map(Some),
        _ = tokio::signal::ctrl_c() => Ok(None),
        _ = terminate.recv() => Ok(None),
    }
}

fn seeds(options: &Options) -> Vec<u64> {
    let recorded =
        REGRESSIONS.lines().filter_map(|line| line.split_whitespace().next()?.parse().ok());
    let regressions = recorded.filter(|_| options.regressions);
    regressions.chain(options.first..options.first + options.seeds).collect()
}

fn print_report(seed: u64, report: &Report) {
    println!(
        "seed={seed} faults={} jobs={} accepted={} starts={} completed={} broken={}",
        report.faults,
        report.jobs,
        report.accepted,
        report.starts,
        report.completed,
        report.violations.len()
    );
    for violation in &report.violations {
        println!("  {violation}");
    }
    if let Some(logs) = &report.logs {
        println!("  logs: {}", logs.display());
    }
}
