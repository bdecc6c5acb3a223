//! `crosspath explain`: shows what blocks a VM or a job.

use crosspath_state::resource::Id;

use crate::api::Api;
use crate::error::{Error, ExitStatus};
use crate::output::{self, Format};

pub(crate) async fn run(api: &Api, format: Format, id: &Id) -> Result<ExitStatus, Error> {
    let explanation = api.explain(id).await?;
    output::print(format, &explanation, || {
        let head = format!("{id}: {}", explanation.status);
        let obstacles = explanation.obstacles.iter().map(|o| format!("  blocked by: {o}"));
        let lines: Vec<_> = std::iter::once(head).chain(obstacles).collect();
        if explanation.obstacles.is_empty() {
            return format!("{}\n  not blocked", lines.join("\n"));
        }
        lines.join("\n")
    });
    Ok(ExitStatus::Success)
}
