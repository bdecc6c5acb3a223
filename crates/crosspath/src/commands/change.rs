//! `crosspath change`.

use crosspath_operator::model::Outcome;

use crate::api::Api;
use crate::error::{Error, ExitStatus};
use crate::output::{self, Format};

pub(crate) async fn run(api: &Api, format: Format, change: &str) -> Result<ExitStatus, Error> {
    let outcome = api.outcome(change).await?;
    output::print(format, &outcome, || match &outcome {
        Outcome::Accepted { revision } => format!("accepted at revision {revision}"),
        Outcome::Rejected { conflict } => format!("rejected: {conflict}"),
        Outcome::NotAccepted => "not accepted, and will not be".to_owned(),
        Outcome::Pending => "not known yet; ask again".to_owned(),
        Outcome::Unrecorded => {
            "this daemon does not know; ask another, or read the resource".to_owned()
        }
    });
    Ok(match outcome {
        Outcome::Accepted { .. } => ExitStatus::Success,
        Outcome::Rejected { .. } => ExitStatus::Refused,
        Outcome::NotAccepted => ExitStatus::NotAccepted,
        Outcome::Pending | Outcome::Unrecorded => ExitStatus::Unknown,
    })
}
