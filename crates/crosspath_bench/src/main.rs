//! `crosspath_bench counts [--check] | timed | slopes` prints each figure as a JSON object on its
//! own line; `crosspath_bench report` writes the counted figures into `docs/CAPACITY.md`.

use std::io::Write as _;
use std::path::PathBuf;
use std::process::{Command, ExitCode};

use bpaf::Bpaf;
use crosspath_bench::figure::{self, Figure};
use crosspath_bench::{counts, report, slopes, timed};

#[derive(Debug, Clone, Bpaf)]
#[bpaf(options)]
/// Benchmarks of crosspath
enum Options {
    /// Counted figures, the same on every run
    #[bpaf(command)]
    Counts {
        /// Fail when a figure exceeds its bound or docs/CAPACITY.md holds other values
        check: bool,
    },
    /// Write the counted figures into docs/CAPACITY.md
    #[bpaf(command)]
    Report,
    /// Times of decisions at several sizes, with their spread
    #[bpaf(command)]
    Timed,
    /// Memory, processor time, latency and bytes of real daemons at several sizes
    #[bpaf(command)]
    Slopes,
}

fn print(figures: &[Figure]) {
    let mut out = std::io::stdout();
    for figure in figures {
        let line = serde_json::to_string(figure).unwrap_or_default();
        let _ = writeln!(out, "{line}");
    }
}

fn check_bounds(figures: &[Figure]) -> ExitCode {
    let exceeded: Vec<_> = figures.iter().filter(|figure| !figure.is_within_bound()).collect();
    let is_measured = |name: &String| figures.iter().any(|figure| figure.name == *name);
    let unmeasured: Vec<_> =
        figure::bounds().into_keys().filter(|name| !is_measured(name)).collect();
    for figure in &exceeded {
        eprintln!(
            "{} is {} and exceeds its bound of {:?}",
            figure.name, figure.value, figure.bound
        );
    }
    for name in &unmeasured {
        eprintln!("{name} has a bound in bounds.json but was not measured");
    }
    let current = report::is_current(figures).unwrap_or_else(|error| {
        eprintln!("{error}");
        false
    });
    if !current {
        eprintln!("docs/CAPACITY.md is out of date; run: crosspath_bench report");
    }
    let passed = exceeded.is_empty() && unmeasured.is_empty() && current;
    if passed { ExitCode::SUCCESS } else { ExitCode::FAILURE }
}

/// Builds the daemon in release mode. Returns its path, in the directory of this program.
fn build_daemon() -> PathBuf {
    let mut build = Command::new(std::env::var_os("CARGO").unwrap_or_else(|| "cargo".into()));
    build.args(["build", "--quiet", "--release", "-p", "crosspathd", "--bin", "crosspathd"]);
    if !build.status().is_ok_and(|status| status.success()) {
        eprintln!("cannot build crosspathd; using an earlier build if there is one");
    }
    let current_exe = std::env::current_exe().unwrap_or_default();
    current_exe.with_file_name("crosspathd")
}

async fn measure_slopes() -> Result<Vec<Figure>, slopes::Error> {
    let daemon_program = build_daemon();
    let mut figures = Vec::new();
    for workers in [50, 200, 780, 3_120] {
        figures.extend(slopes::idle_daemon(&daemon_program, workers).await?);
    }
    for daemons in [6, 12, 24] {
        figures.extend(slopes::idle_daemons(&daemon_program, daemons).await?);
    }
    for log_latency_ms in [10, 200] {
        figures.extend(slopes::config_propagation(&daemon_program, log_latency_ms).await?);
    }
    figures.extend(slopes::heartbeat_bytes(&daemon_program).await?);
    Ok(figures)
}

#[tokio::main]
async fn main() -> ExitCode {
    match options().run() {
        Options::Counts { check: checked } => {
            let figures = figure::with_bounds(counts::all());
            print(&figures);
            if checked { check_bounds(&figures) } else { ExitCode::SUCCESS }
        }
        Options::Report => match report::write(&figure::with_bounds(counts::all())) {
            Ok(()) => ExitCode::SUCCESS,
            Err(error) => {
                eprintln!("{error}");
                ExitCode::FAILURE
            }
        },
        Options::Timed => {
            print(&timed::decisions());
            ExitCode::SUCCESS
        }
        Options::Slopes => match measure_slopes().await {
            Ok(figures) => {
                print(&figures);
                ExitCode::SUCCESS
            }
            Err(error) => {
                eprintln!("{error}");
                ExitCode::FAILURE
            }
        },
    }
}
