//! `crosspath change`.

use crosspath_operator::model::Fate;

use crate::api::Api;
use crate::error::{Error, ExitStatus};
use crate::output::{self, Format};

pub(crate) async fn run(api: &Api, format: Format, change: &str) -> Result<ExitStatus, Error> {
    let fate = api.fate(change).await?;
    output::print(format, &fate, || match &fate {
        Fate::Accepted { revision } => format!("accepted at revision {revision}"),
        Fate::Rejected { conflict } => format!("rejected: {conflict}"),
        Fate::NotAccepted => "not accepted, and will not be".to_owned(),
        Fate::Pending => "not known yet; ask again".to_owned(),
        Fate::Unheard => "this daemon does not know; ask another, or read the resource".to_owned(),
    });
    Ok(match fate {
        Fate::Accepted { .. } => ExitStatus::Success,
        Fate::Rejected { .. } => ExitStatus::Refused,
        Fate::NotAccepted => ExitStatus::NotAccepted,
        Fate::Pending | Fate::Unheard => ExitStatus::Unknown,
    })
}
