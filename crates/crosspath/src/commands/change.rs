//! `crosspath change`: shows the outcome of a change.

use crosspath_operator::model::Outcome;

use crate::api::Api;
use crate::error::{Error, ExitStatus};
use crate::output::{self, Format};

pub(crate) async fn run(api: &Api, format: Format, change: &str) -> Result<ExitStatus, Error> {
    let outcome = api.outcome(change).await?;
    output::print(format, &outcome, || match &outcome {
        Outcome::Accepted { revision } => format!("accepted at revision {revision}"),
        Outcome::Rejected { conflict } => format!("rejected: {conflict}"),
        Outcome::NotAccepted => "not accepted; it had no effect and will have none".to_owned(),
        Outcome::Pending => "pending; the outcome is not known yet".to_owned(),
        Outcome::Unrecorded => {
            "unknown to this daemon; ask another one, or get the resource".to_owned()
        }
    });
    Ok(match outcome {
        Outcome::Accepted { .. } => ExitStatus::Success,
        Outcome::Rejected { .. } => ExitStatus::Refused,
        Outcome::NotAccepted => ExitStatus::NotAccepted,
        Outcome::Pending | Outcome::Unrecorded => ExitStatus::Unknown,
    })
}
