//! Files with declarations of resources.

use std::path::Path;

use crosspath_state::name::ResourceName;
use crosspath_state::resource::{Id, Kind};
use serde::Deserialize;
use serde_json::Value;
use snafu::ResultExt as _;

use crate::error::{Error, NameSnafu, ReadSnafu};

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct Entry {
    kind: Kind,
    name: String,
    spec: Value,
}

/// A resource as declared in a file.
#[derive(Debug)]
pub(crate) struct Declaration {
    pub(crate) id: Id,
    pub(crate) spec: Value,
}

/// Reads the declarations in a file, ordered such that a resource follows those it refers to.
pub(crate) fn read(file: &Path) -> Result<Vec<Declaration>, Error> {
    let text = std::fs::read_to_string(file).context(ReadSnafu { file })?;
    let decoder = &mut serde_json::Deserializer::from_str(&text);
    let entries: Vec<Entry> = serde_path_to_error::deserialize(decoder).map_err(|error| {
        let field = error.path().to_string();
        Error::Malformed { file: file.to_owned(), field, source: error.into_inner() }
    })?;
    let declarations = entries.into_iter().map(|entry| {
        let name = ResourceName::new(&entry.name).context(NameSnafu { file, name: entry.name })?;
        Ok(Declaration { id: Id::new(entry.kind, name), spec: entry.spec })
    });
    let mut declarations: Vec<Declaration> = declarations.collect::<Result<_, Error>>()?;
    declarations.sort_by_key(|resource| resource.id.kind);
    Ok(declarations)
}
