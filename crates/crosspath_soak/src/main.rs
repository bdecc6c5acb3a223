//! Runs real daemons as processes against a simulated platform, injects faults from outside, and
//! checks what callers and workers observe.
//!
//! The seed of a run determines the jobs that are submitted, and the kind, target, time and
//! duration of each fault. Faults overlap. Two runs of a seed still differ in what depends on the
//! speed of the machine, so the logs of a run that broke a guarantee are kept.

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

/// Seeds of runs that broke a guarantee; each line holds a seed and then the cause.
const REGRESSIONS: &str = include_str!("../seeds.txt");

/// Runs daemons under faults and checks their guarantees.
#[derive(Debug, Clone, Bpaf)]
#[bpaf(options)]
struct Options {
    /// First seed to run.
    #[bpaf(long, argument("SEED"), fallback(1))]
    first: u64,
    /// Number of seeds to run, counted up from the first.
    #[bpaf(long, argument("N"), fallback(1))]
    seeds: u64,
    /// Seconds for which each seed submits jobs and injects faults.
    #[bpaf(long, argument("S"), fallback(20))]
    seconds: u64,
    /// Number of daemons.
    #[bpaf(long, argument("N"), fallback(4))]
    daemons: usize,
    /// Number of workers in each of the two pools.
    #[bpaf(long, argument("N"), fallback(4))]
    workers: usize,
    /// Run the recorded seeds of past failures before the others.
    #[bpaf(long)]
    regressions: bool,
    /// Let some jobs crash the workers that start them.
    #[bpaf(long("deadly"))]
    crashing_jobs: bool,
    /// Crash workers often, and let crashed workers restart under the same identifier.
    #[bpaf(long("reborn"))]
    reuse_worker_ids: bool,
    /// Assign queues to other pools while their jobs run.
    #[bpaf(long("reassign"))]
    reassign_queues: bool,
    /// Number of data centres; from 2 on, links between them break, and they are lost and evacuated.
    #[bpaf(long("data-centres"), argument("N"), fallback(1))]
    data_centres: usize,
    /// Path of the daemon; by default `crosspathd` in the directory of this program.
    #[bpaf(long, argument("FILE"))]
    daemon: Option<PathBuf>,
}

fn main() -> ExitCode {
    env_logger::Builder::from_env(env_logger::Env::default().default_filter_or("warn")).init();
    let options = options().run();
    let Some(program) = options.daemon.clone().or_else(daemon::default_program) else {
        eprintln!(
            "no crosspathd in the directory of this program; build it, or give its path by --daemon"
        );
        return ExitCode::FAILURE;
    };
    let runtime = match tokio::runtime::Builder::new_multi_thread().enable_all().build() {
        Ok(runtime) => runtime,
        Err(error) => {
            eprintln!("cannot start the async runtime: {error}");
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
            reassign_queues: options.reassign_queues,
            data_centres: options.data_centres.max(1),
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
                eprintln!("seed {seed}: {error}");
                return ExitCode::FAILURE;
            }
        }
    }
    if failed_seeds == 0 { ExitCode::SUCCESS } else { ExitCode::FAILURE }
}

/// Runs one seed. None when SIGINT or SIGTERM interrupts it; its processes are then killed.
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

/// The recorded seeds if asked for, then the range of the options.
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
