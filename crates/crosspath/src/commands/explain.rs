//! `crosspath explain`.

use crosspath_state::resource::Id;

use crate::api::Api;
use crate::error::{Error, ExitStatus};
use crate::output::{self, Format};

pub(crate) async fn run(api: &Api, format: Format, id: &Id) -> Result<ExitStatus, Error> {
    let explanation = api.explain(id).await?;
    output::print(format, &explanation, || {
        let head = format!("{id}: {}", explanation.status);
        let obstacles = explanation.obstacles.iter().map(|o| format!("  stands in the way: {o}"));
        let lines: Vec<_> = std::iter::once(head).chain(obstacles).collect();
        if explanation.obstacles.is_empty() {
            return format!("{}\n  nothing stands in the way", lines.join("\n"));
        }
        lines.join("\n")
    });
    Ok(ExitStatus::Success)
}
