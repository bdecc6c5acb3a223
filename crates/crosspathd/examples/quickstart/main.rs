//! Starts a complete site, sends payments during a maintenance wave with injected faults, and
//! counts violations of the system's guarantees.
//!
//! `cargo run --release -p crosspathd --example quickstart -- [--deployment association] [--json]`

mod audit;
mod faults;
mod report;
mod traffic;

use std::path::{Path, PathBuf};
use std::process::{Command, ExitCode};
use std::sync::Arc;
use std::time::{Duration, Instant};

use bpaf::{Parser as _, construct, long};
use crosspath_fakes::site::{self, Plan, Site};
use crosspath_http::client::Method;
use crosspath_state::resource::Kind;
use serde::Deserialize;
use serde_json::{Value, json};
use snafu::{OptionExt as _, ResultExt as _, Snafu};
use tokio::sync::RwLock;

use report::Report;

const DAEMONS: usize = 6;
const REBOOT_MS: u64 = 1_200;
const BEFORE_WAVE: Duration = Duration::from_secs(2);
const AFTER_WAVE: Duration = Duration::from_secs(2);
const WAVE_LIMIT: Duration = Duration::from_secs(40);
const WAVE: &str = "quickstart";

/// Running site. Killing and restarting a daemon takes the write lock; all else takes the read
/// lock.
type Shared = Arc<RwLock<Site>>;

#[derive(Debug, Snafu)]
enum Error {
    #[snafu(display("{source}"))]
    Site { source: site::Error },
    #[snafu(display("cannot access {}: {source}", file.display()))]
    File { file: PathBuf, source: std::io::Error },
    #[snafu(display("cannot parse {}: {source}", file.display()))]
    Parse { file: PathBuf, source: serde_json::Error },
    #[snafu(display("the crosspathd binary cannot be built or found"))]
    Build,
    #[snafu(display("{source}"))]
    Call { source: crosspath_http::client::Error },
}

#[derive(Debug, Clone)]
struct Options {
    deployment: String,
    json: bool,
}

#[derive(Deserialize)]
struct FakeSettings {
    data_centres: Vec<String>,
    service_ms: std::collections::BTreeMap<String, u64>,
}

fn options() -> Options {
    let deployment = long("deployment")
        .help("Deployment, a directory of examples/: cobros-unidos or association")
        .argument::<String>("NAME")
        .fallback("cobros-unidos".to_owned());
    let json = long("json").help("Print the results as a JSON object on the last line").switch();
    construct!(Options { deployment, json }).to_options().run()
}

fn root() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("../..")
}

/// Builds the daemon's program beside this one and returns its path. An existing program is used if
/// the build fails.
fn program() -> Result<PathBuf, Error> {
    let own = std::env::current_exe().context(FileSnafu { file: "this program" })?;
    let folder = own.parent().and_then(Path::parent).context(BuildSnafu)?;
    let program = folder.join("crosspathd");
    let mut build = Command::new(std::env::var_os("CARGO").unwrap_or_else(|| "cargo".into()));
    // Building the example as well resolves to the same features with which this program was built.
    build.args(["build", "--quiet", "-p", "crosspathd", "--bin", "crosspathd"]);
    build.args(["--example", "quickstart"]);
    if folder.ends_with("release") {
        build.arg("--release");
    }
    let built = build.current_dir(root()).status();
    let built = built.is_ok_and(|status| status.success()) || program.exists();
    built.then_some(program).context(BuildSnafu)
}

fn plan(options: &Options) -> Result<Plan, Error> {
    let folder = root().join("examples").join(&options.deployment);
    let file = folder.join("stand-ins.json");
    let text = std::fs::read_to_string(&file).context(FileSnafu { file: &file })?;
    let fake_settings: FakeSettings =
        serde_json::from_str(&text).context(ParseSnafu { file: &file })?;
    let mut plan = Plan::new(program()?, DAEMONS);
    plan.resources = site::read_resources(&folder.join("resources.json")).context(SiteSnafu)?;
    plan.data_centres = fake_settings.data_centres;
    plan.fakes.service_ms = fake_settings.service_ms;
    plan.fakes.log_latency_ms = 10;
    plan.fakes.reboot_ms = REBOOT_MS;
    Ok(plan)
}

async fn run(options: &Options) -> Result<Report, Error> {
    let plan = plan(options)?;
    let site = Site::start(&plan).await.context(SiteSnafu)?;
    site.declare(0, &plan.resources).await.context(SiteSnafu)?;
    let pools: Vec<_> = plan.resources.iter().filter(|r| r.kind == Kind::Pool).collect();
    let pools: Vec<_> = pools.into_iter().map(|pool| pool.name.clone()).collect();
    let site: Shared = Arc::new(RwLock::new(site));
    let traffic = traffic::start(&site, &plan.resources);
    let monitor = audit::start(&site, &plan.resources).await;
    tokio::time::sleep(BEFORE_WAVE).await;
    let wave = json!({ "spec": { "pools": pools, "pause_after_failures": 5 } });
    let started = Instant::now();
    let operator = site.read().await.daemons[0].operator();
    let path = format!("/v1/waves/{WAVE}");
    operator.call::<Value>(Method::PUT, &path, Some(&wave)).await.context(CallSnafu)?;
    let faults = tokio::spawn(faults::inject(Arc::clone(&site)));
    let wave_time = wait_for_wave(&site, started).await;
    let _ = faults.await;
    tokio::time::sleep(AFTER_WAVE).await;
    let traffic = traffic.stop().await;
    let audit = monitor.stop(&site, WAVE).await;
    Ok(Report::new(&traffic, &audit, wave_time))
}

/// Waits for the wave and returns its duration; `None` if it was not done within [`WAVE_LIMIT`].
async fn wait_for_wave(site: &Shared, started: Instant) -> Option<Duration> {
    while started.elapsed() < WAVE_LIMIT {
        tokio::time::sleep(Duration::from_millis(50)).await;
        // No fault is injected into the last daemon.
        let operator = site.read().await.daemons[DAEMONS - 1].operator();
        let path = format!("/v1/waves/{WAVE}");
        let wave = operator.call::<Value>(Method::GET, &path, None::<&()>).await;
        if wave.is_ok_and(|wave| wave["status"]["phase"]["phase"] == "done") {
            return Some(started.elapsed());
        }
    }
    None
}

#[tokio::main]
async fn main() -> ExitCode {
    env_logger::init();
    let options = options();
    match run(&options).await {
        Ok(report) => {
            report.print(options.json);
            if report.is_clean() { ExitCode::SUCCESS } else { ExitCode::FAILURE }
        }
        Err(error) => {
            eprintln!("quickstart: {error}");
            ExitCode::FAILURE
        }
    }
}
