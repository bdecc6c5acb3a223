//! The project's daemons, as separate processes with the command of the deploy file.

use std::fs::{self, File};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::Arc;
use std::time::{Duration, Instant};

use serde_json::json;

use crate::http;
use crate::record::Record;
use crate::store::PARTS;

/// Program of the deploy file's `run`.
const PROGRAM: &str = "target/release/crosspathd";
/// Memory of an entry VM in MB (`limits.memory_mb`).
const MEMORY_MB: u64 = 260;
/// Time after which a process that ended is started again.
const RESTART_DELAY: Duration = Duration::from_millis(1_000);

#[derive(Debug)]
struct Daemon {
    name: String,
    settings: PathBuf,
    callers: SocketAddr,
    ready: SocketAddr,
    child: Option<Child>,
    ended_at: Instant,
    /// Number of times that the process ended by itself or was over its memory.
    own_ends: u32,
    peak_mb: u64,
}

/// Addresses of what the platform serves.
#[derive(Debug)]
pub struct Platform {
    /// Address of the store for each daemon.
    pub gates: Vec<SocketAddr>,
    pub cloud: SocketAddr,
    pub adviser: Option<SocketAddr>,
}

/// Daemons of a small deployment. They are killed when this is dropped.
#[derive(Debug)]
pub struct Daemons {
    all: Vec<Daemon>,
    folder: PathBuf,
    record: Arc<Record>,
}

impl Daemons {
    /// Starts `count` daemons with the settings that `platform/settings.json` makes of a small
    /// deployment.
    pub fn start(count: usize, platform: &Platform, record: &Arc<Record>) -> Self {
        let folder = std::env::temp_dir().join(format!("crosspath-review-{}", std::process::id()));
        fs::create_dir_all(&folder).expect("the temporary folder can be created");
        let all = (0..count).map(|number| {
            let name = format!("edge-z1-{number}");
            let (callers, ready) = (http::free_address(), http::free_address());
            let mut settings = json!({
                "name": name, "data_centre": "z1", "data_centres": ["z1"], "cores": 0.25,
                "listen": {
                    "callers": callers, "readiness": ready, "peers": http::free_address(),
                    "metrics": http::free_address(),
                },
                "platform": {
                    "log": platform.gates[number], "vms": platform.cloud, "vm_orders_per_s": 64.0,
                    "shards": PARTS,
                },
                "admission": {
                    "prefer_feasible": false, "by_customer": false, "reject_hopeless": false,
                },
                "leases": {
                    "longest_hold_ms": 10_000, "membership_least_ms": 1_000, "vm_order_ms": 3_000,
                    "keep_ended_s": 120, "stop_grace_s": 6,
                },
            });
            if let Some(adviser) = platform.adviser {
                settings["platform"]["advice"] = json!(adviser);
            }
            let path = folder.join(format!("{name}.json"));
            fs::write(&path, settings.to_string()).expect("the settings can be written");
            let ended_at = Instant::now();
            let (settings, child, own_ends) = (path, None, 0);
            Daemon { name, settings, callers, ready, child, ended_at, own_ends, peak_mb: 0 }
        });
        let mut daemons = Self { all: all.collect(), folder, record: Arc::clone(record) };
        for number in 0..count {
            daemons.launch(number);
        }
        daemons
    }

    fn launch(&mut self, number: usize) {
        let daemon = &mut self.all[number];
        let log = self.folder.join(format!("{}.log", daemon.name));
        let log = File::options().create(true).append(true).open(log);
        let log = log.expect("the log can be written");
        let child = Command::new(PROGRAM)
            .arg("--platform")
            .arg(&daemon.settings)
            .env_clear()
            .stdin(Stdio::null())
            .stdout(log.try_clone().expect("the log can be shared"))
            .stderr(log)
            .spawn()
            .expect("the daemon can be started; build it first");
        self.record.line(&format!("daemon {} starts", daemon.name));
        daemon.child = Some(child);
    }

    /// Does what the platform does: kills a process that is over its memory, and starts one that
    /// has ended again after a short delay.
    pub fn tend(&mut self) {
        for number in 0..self.all.len() {
            let daemon = &mut self.all[number];
            let Some(child) = &mut daemon.child else {
                if daemon.ended_at.elapsed() >= RESTART_DELAY {
                    self.launch(number);
                }
                continue;
            };
            let used_mb = resident_mb(child.id());
            daemon.peak_mb = daemon.peak_mb.max(used_mb);
            let why = if used_mb > MEMORY_MB {
                child.kill().ok();
                child.wait().ok();
                format!("is over its memory with {used_mb} MB and is killed")
            } else if let Ok(Some(status)) = child.try_wait() {
                format!("ends by itself: {status}")
            } else {
                continue;
            };
            daemon.child = None;
            daemon.ended_at = Instant::now();
            daemon.own_ends += 1;
            let text = format!("daemon {} {why} (time {})", daemon.name, daemon.own_ends);
            self.record.line(&text);
        }
    }

    /// Number of times that processes ended by themselves or were over their memory.
    pub fn own_ends(&self) -> u32 {
        self.all.iter().map(|daemon| daemon.own_ends).sum()
    }

    /// Highest memory of any daemon so far, in MB.
    pub fn peak_mb(&self) -> u64 {
        self.all.iter().map(|daemon| daemon.peak_mb).max().unwrap_or(0)
    }

    /// Address for callers of one daemon.
    pub fn caller_address(&self, number: usize) -> SocketAddr {
        self.all[number].callers
    }

    /// Addresses for callers of the daemons that run.
    pub fn callers(&self) -> Vec<SocketAddr> {
        let running = self.all.iter().filter(|daemon| daemon.child.is_some());
        running.map(|daemon| daemon.callers).collect()
    }

    /// Waits until all daemons say that they are ready. Returns whether they did in time.
    pub fn wait_until_ready(&mut self, within: Duration) -> bool {
        let deadline = Instant::now() + within;
        while Instant::now() < deadline {
            let ready = |daemon: &Daemon| {
                let timeout = Duration::from_millis(500);
                let path = "/crosspath/readiness";
                let reply = http::send(daemon.ready, "GET", path, "ready", b"", timeout);
                reply.is_ok_and(|reply| reply.status == 200)
            };
            if self.all.iter().all(ready) {
                return true;
            }
            std::thread::sleep(Duration::from_millis(100));
        }
        false
    }
}

impl Drop for Daemons {
    fn drop(&mut self) {
        for daemon in &mut self.all {
            if let Some(child) = &mut daemon.child {
                child.kill().ok();
                child.wait().ok();
            }
        }
        let kept = std::env::var_os("KEEP_LOGS").map(PathBuf::from);
        if let Some(kept) = kept {
            copy_logs(&self.folder, &kept);
        }
        fs::remove_dir_all(&self.folder).ok();
    }
}

fn copy_logs(from: &Path, to: &Path) {
    fs::create_dir_all(to).ok();
    for entry in fs::read_dir(from).into_iter().flatten().flatten() {
        fs::copy(entry.path(), to.join(entry.file_name())).ok();
    }
}

/// Resident memory of a process in MB; 0 if it has ended.
fn resident_mb(id: u32) -> u64 {
    let status = fs::read_to_string(format!("/proc/{id}/status")).unwrap_or_default();
    let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
    let kb = line.and_then(|line| line.trim().split(' ').next()?.parse::<u64>().ok());
    kb.unwrap_or(0) / 1_024
}
