//! Files that declare resources.

use std::path::Path;

use crosspath_state::name::ResourceName;
use crosspath_state::resource::{Id, Kind};
use serde::Deserialize;
use serde_json::Value;
use snafu::ResultExt as _;

use crate::error::{Error, NameSnafu, ReadSnafu};

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct Line {
    kind: Kind,
    name: String,
    spec: Value,
}

/// A resource as a file declares it.
#[derive(Debug)]
pub(crate) struct Declared {
    pub(crate) id: Id,
    pub(crate) spec: Value,
}

/// Reads a file, in the order in which resources refer to each other.
pub(crate) fn read(file: &Path) -> Result<Vec<Declared>, Error> {
    let text = std::fs::read_to_string(file).context(ReadSnafu { file })?;
    let decoder = &mut serde_json::Deserializer::from_str(&text);
    let lines: Vec<Line> = serde_path_to_error::deserialize(decoder).map_err(|error| {
        let field = error.path().to_string();
        Error::Shape { file: file.to_owned(), field, source: error.into_inner() }
    })?;
    let declared = lines.into_iter().map(|line| {
        let name = ResourceName::new(&line.name).context(NameSnafu { file, name: line.name })?;
        Ok(Declared { id: Id::new(line.kind, name), spec: line.spec })
    });
    let mut declared: Vec<Declared> = declared.collect::<Result<_, Error>>()?;
    declared.sort_by_key(|resource| resource.id.kind);
    Ok(declared)
}
