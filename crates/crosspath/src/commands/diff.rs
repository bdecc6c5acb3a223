//! `crosspath diff`: compares a file with the declared resources.

use std::path::Path;

use crosspath_state::record::Revision;
use crosspath_state::resource::Id;
use serde::Serialize;
use serde_json::Value;

use crate::api::Api;
use crate::error::{Error, ExitStatus};
use crate::file::{self, Declaration};
use crate::output::{self, Format};

/// Difference between a resource in a file and the declared one.
#[derive(Debug, Serialize)]
pub(crate) struct Difference {
    pub(crate) id: Id,
    /// Revision of the declared resource; 0 if it does not exist.
    pub(crate) revision: Revision,
    /// Fields that differ.
    pub(crate) fields: Vec<Field>,
    #[serde(skip)]
    pub(crate) spec: Value,
}

/// Value of a field in the declared resource (before) and in the file (after).
#[derive(Debug, Serialize)]
pub(crate) struct Field {
    name: String,
    before: Value,
    after: Value,
}

pub(crate) async fn run(api: &Api, format: Format, file: &Path) -> Result<ExitStatus, Error> {
    let differences = differences(api, file).await?;
    output::print(format, &differences, || text(&differences));
    Ok(if differences.is_empty() { ExitStatus::Success } else { ExitStatus::Different })
}

pub(crate) async fn differences(api: &Api, file: &Path) -> Result<Vec<Difference>, Error> {
    let mut differences = Vec::new();
    for Declaration { id, spec } in file::read(file)? {
        let current = api.get(&id).await?;
        let revision = current.as_ref().map(|current| current.revision).unwrap_or_default();
        let before = current.map(|current| current.spec).unwrap_or_default();
        let fields = fields(&before, &spec);
        if revision == Revision(0) || !fields.is_empty() {
            differences.push(Difference { id, revision, fields, spec });
        }
    }
    Ok(differences)
}

/// Returns the fields of `after` that differ from `before`. A field that `after` leaves out has its
/// default and is not compared.
fn fields(before: &Value, after: &Value) -> Vec<Field> {
    let Some(after) = after.as_object() else { return Vec::new() };
    let differing = after.iter().filter(|(name, value)| before.get(*name) != Some(*value));
    let field = |(name, value): (&String, &Value)| Field {
        name: name.clone(),
        before: before.get(name).cloned().unwrap_or_default(),
        after: value.clone(),
    };
    differing.map(field).collect()
}

pub(crate) fn text(differences: &[Difference]) -> String {
    let lines = differences.iter().flat_map(|difference| {
        let new = difference.revision == Revision(0);
        let head = format!("{} {}", if new { "+" } else { "~" }, difference.id);
        let fields = difference.fields.iter().filter(move |_| !new);
        let fields = fields.map(|f| format!("    {}: {} -> {}", f.name, f.before, f.after));
        std::iter::once(head).chain(fields)
    });
    let lines: Vec<_> = lines.collect();
    if lines.is_empty() { "no differences".to_owned() } else { lines.join("\n") }
}
