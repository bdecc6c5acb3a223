//! A daemon as a child process. Signals are sent only to processes that were started here.

use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::path::{Path, PathBuf};
use std::process::Stdio;
use std::time::Duration;

use nix::sys::signal::{Signal, kill};
use nix::unistd::Pid;
use serde_json::json;
use tokio::process::{Child, Command};

/// Time in which a daemon must exit after SIGTERM, also set as its `stop_grace_s`.
const STOP_GRACE: Duration = Duration::from_secs(6);

/// Time after the request of an evacuation from which no task may start in the data centre, also set
/// as `evacuation_ms`.
pub(crate) const EVACUATION_LIMIT: Duration = Duration::from_secs(5);

/// The `crosspathd` executable in the directory of this program, if it exists.
pub(crate) fn default_program() -> Option<PathBuf> {
    let program = std::env::current_exe().ok()?.parent()?.join("crosspathd");
    program.exists().then_some(program)
}

/// Ports of every daemon. They can be the same because each daemon has its own loopback address.
const CALLERS_PORT: u16 = 7_001;
const READINESS_PORT: u16 = 7_002;
const PEERS_PORT: u16 = 7_003;
const METRICS_PORT: u16 = 7_004;

/// A loopback address that no other daemon uses, whether started by this process or another.
///
/// Free ports of a shared address are not enough: another process may take a port while its daemon
/// is down.
fn loopback_ip(number: usize) -> Ipv4Addr {
    let [.., high, low] = std::process::id().to_be_bytes();
    let number = u8::try_from(number % 250).expect("a remainder modulo 250 fits into u8");
    Ipv4Addr::new(127, 1 + high % 250, low, 1 + number)
}

/// A daemon, running or stopped. Its process is killed on drop.
#[derive(Debug)]
pub(crate) struct Daemon {
    pub(crate) name: String,
    pub(crate) callers_address: SocketAddr,
    program: PathBuf,
    settings_file: PathBuf,
    log_file: PathBuf,
    child: Option<Child>,
}

impl Daemon {
    /// Writes the settings of a daemon that reaches the store at `store`; does not start it.
    pub(crate) fn new(
        number: usize,
        program: &Path,
        directory: &Path,
        store: SocketAddr,
        shards: u32,
        data_centres: &[String],
    ) -> std::io::Result<Self> {
        let name = format!("entry-{number}");
        let ip = loopback_ip(number);
        let listen = |port: u16| SocketAddr::from((ip, port));
        let callers_address = listen(CALLERS_PORT);
        let data_centre = number % data_centres.len();
        // The loss of a data centre can be survived only if two others remain to tell it from a cut.
        let tolerated = usize::from(data_centres.len() > 2);
        let mut settings = json!({
            "name": name,
            "data_centre": data_centres[data_centre],
            "data_centres": data_centres,
            "failure_domains": { "tolerated_data_centres": tolerated },
            "cores": 1.0,
            "listen": {
                "callers": callers_address,
                "readiness": listen(READINESS_PORT),
                "peers": listen(PEERS_PORT),
                "metrics": listen(METRICS_PORT),
                "source": ip,
            },
            "platform": { "log": store, "shards": shards },
            "leases": {
                "longest_hold_ms": 10_000,
                "membership_least_ms": 1_000,
                "vm_order_ms": 3_000,
                "keep_ended_s": 120,
                "stop_grace_s": STOP_GRACE.as_secs(),
            },
        });
        if data_centres.len() > 1 {
            settings["leases"]["evacuation_ms"] = json!(EVACUATION_LIMIT.as_millis());
        }
        let settings_file = directory.join(format!("{name}.json"));
        std::fs::write(&settings_file, settings.to_string())?;
        let log_file = directory.join(format!("{name}.log"));
        let program = program.to_owned();
        Ok(Self { name, callers_address, program, settings_file, log_file, child: None })
    }

    /// Address from which the daemon calls workers.
    pub(crate) fn source(&self) -> IpAddr {
        self.callers_address.ip()
    }

    /// Starts the process unless it is running.
    pub(crate) fn start(&mut self) -> std::io::Result<()> {
        if self.is_running() {
            return Ok(());
        }
        let stdout = std::fs::File::options().create(true).append(true).open(&self.log_file)?;
        let stderr = stdout.try_clone()?;
        let child = Command::new(&self.program)
            .arg("--platform")
            .arg(&self.settings_file)
            .stdin(Stdio::null())
            .stdout(stdout)
            .stderr(stderr)
            .kill_on_drop(true)
            .spawn()?;
        self.child = Some(child);
        Ok(())
    }

    pub(crate) fn is_running(&mut self) -> bool {
        self.child.as_mut().is_some_and(|child| matches!(child.try_wait(), Ok(None)))
    }

    /// Sends a signal to the process if it is running.
    pub(crate) fn signal(&mut self, signal: Signal) {
        if !self.is_running() {
            return;
        }
        let Some(id) = self.child.as_ref().and_then(Child::id) else { return };
        let Ok(id) = i32::try_from(id) else { return };
        if let Err(error) = kill(Pid::from_raw(id), signal) {
            log::warn!("event=signal_failed daemon={} signal={signal} error={error}", self.name);
        }
    }

    /// Kills the process and waits for it to exit.
    pub(crate) async fn kill(&mut self) {
        if let Some(mut child) = self.child.take()
            && let Err(error) = child.kill().await
        {
            log::warn!("event=kill_failed daemon={} error={error}", self.name);
        }
    }

    /// Sends SIGTERM and kills the process if it has not exited within [`STOP_GRACE`]. Returns
    /// whether it exited by itself.
    pub(crate) async fn stop(&mut self) -> bool {
        self.signal(Signal::SIGTERM);
        let Some(child) = &mut self.child else { return true };
        let ended = tokio::time::timeout(STOP_GRACE, child.wait()).await.is_ok();
        self.kill().await;
        ended
    }
}
