//! `crosspath get`: shows resources.

use crosspath_operator::model::Resource;
use crosspath_state::resource::Kind;

use crate::api::Api;
use crate::commands;
use crate::error::{Error, ExitStatus};
use crate::output::{self, Format};
use crate::table;

pub(crate) async fn run(
    api: &Api,
    format: Format,
    kind: Kind,
    name: Option<&str>,
) -> Result<ExitStatus, Error> {
    let Some(name) = name else {
        let list = api.list(kind).await?;
        output::print(format, &list, || rows(&list.items));
        return Ok(ExitStatus::Success);
    };
    let id = commands::id(kind, name)?;
    let Some(resource) = api.get(&id).await? else {
        output::print_line(&format!("{id} does not exist"));
        return Ok(ExitStatus::Refused);
    };
    output::print(format, &resource, || rows(std::slice::from_ref(&resource)));
    Ok(ExitStatus::Success)
}

pub(crate) fn rows(resources: &[Resource]) -> String {
    let row = |resource: &Resource| {
        vec![
            resource.id.name.to_string(),
            resource.revision.to_string(),
            summary(&resource.status),
            summary(&resource.spec),
        ]
    };
    let rows: Vec<_> = resources.iter().map(row).collect();
    table::render(&["NAME", "REVISION", "STATUS", "SPEC"], &rows)
}

/// Formats fields on one line. Lists of more than three items are shown as their length.
fn summary(value: &serde_json::Value) -> String {
    use serde_json::Value;
    let field = |(name, value): (&String, &Value)| match value {
        Value::Array(items) if items.len() > 3 => format!("{name}={} items", items.len()),
        Value::Array(items) => {
            format!("{name}={}", items.iter().map(plain).collect::<Vec<_>>().join(","))
        }
        Value::Object(_) => format!("{name}=({})", summary(value)),
        other => format!("{name}={}", plain(other)),
    };
    match value {
        Value::Object(fields) if fields.is_empty() => "-".to_owned(),
        Value::Object(fields) => fields.iter().map(field).collect::<Vec<_>>().join(" "),
        other => plain(other),
    }
}

fn plain(value: &serde_json::Value) -> String {
    value.as_str().map_or_else(|| value.to_string(), ToOwned::to_owned)
}
