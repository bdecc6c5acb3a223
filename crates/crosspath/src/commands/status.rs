//! `crosspath status`: shows the status of every daemon.

use crosspath_operator::model::{DaemonStatus, Status};

use crate::api::Api;
use crate::error::{Error, ExitStatus};
use crate::output::{self, Format};
use crate::table;

pub(crate) async fn run(api: &Api, format: Format) -> Result<ExitStatus, Error> {
    let status = api.status().await?;
    output::print(format, &status, || text(&status));
    Ok(ExitStatus::Success)
}

fn text(status: &Status) -> String {
    let up = if status.log_up { "up" } else { "down" };
    let mut head =
        format!("as reported by {}: log {up}, revision {}", status.daemon, status.applied);
    if let Some(cause) = &status.halted {
        head += &format!("\nthis daemon has stopped making decisions: {cause}");
    }
    let rows: Vec<_> = status.daemons.iter().map(|daemon| row(status, daemon)).collect();
    let header = ["DAEMON", "MEMBER", "READY", "APPLIED", "LAG", "HEARD", "KEYS", "GUARD"];
    format!("{head}\n{}", table::render(&header, &rows))
}

fn row(status: &Status, daemon: &DaemonStatus) -> Vec<String> {
    let yes = |flag: bool| if flag { "yes" } else { "no" }.to_owned();
    let heard = daemon.heard_ms_ago.map_or("never".to_owned(), |ms| format!("{ms} ms ago"));
    vec![
        daemon.name.clone(),
        yes(daemon.member),
        yes(daemon.ready),
        daemon.applied.to_string(),
        status.applied.0.saturating_sub(daemon.applied.0).to_string(),
        heard,
        daemon.partitions.to_string(),
        daemon.guard.clone().unwrap_or_else(|| "-".to_owned()),
    ]
}
