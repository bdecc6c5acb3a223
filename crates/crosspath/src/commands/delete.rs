//! `crosspath delete`: deletes a resource.

use crosspath_state::resource::Id;

use crate::api::Api;
use crate::error::{Error, ExitStatus};
use crate::output::{self, Format};

pub(crate) async fn run(
    api: &Api,
    format: Format,
    id: &Id,
    revision: Option<u64>,
) -> Result<ExitStatus, Error> {
    let deleted = api.delete(id, revision).await?;
    output::print(format, &deleted, || format!("{id} is deleted"));
    Ok(ExitStatus::Success)
}
