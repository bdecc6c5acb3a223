//! The table of counted figures in `docs/CAPACITY.md`, kept the same as what is counted.

use std::path::PathBuf;

use snafu::{OptionExt as _, ResultExt as _, Snafu};

use crate::figure::Figure;

const BEGIN: &str = "<!-- counted figures, written by `crosspath_bench report` -->";
const END: &str = "<!-- end of counted figures -->";

/// The page cannot be used.
#[derive(Debug, Snafu)]
pub enum Error {
    /// It cannot be read or written.
    #[snafu(display("{}: {source}", path.display()))]
    Io {
        /// The file.
        path: PathBuf,
        /// Why.
        source: std::io::Error,
    },
    /// The place of the table is not marked.
    #[snafu(display("{}: no lines {BEGIN:?} and {END:?}", path.display()))]
    MissingMarkers {
        /// The file.
        path: PathBuf,
    },
}

fn page_path() -> PathBuf {
    PathBuf::from(env!("CARGO_MANIFEST_DIR")).join("../../docs/CAPACITY.md")
}

fn table(figures: &[Figure]) -> String {
    let cell = |value: Option<f64>| value.map_or("-".to_owned(), |value| value.to_string());
    let row = |figure: &Figure| {
        let (bound, baseline) = (cell(figure.bound), cell(figure.baseline));
        let name = &figure.name;
        format!("| `{name}` | {} | {} | {bound} | {baseline} |", figure.value, figure.unit)
    };
    let rows: Vec<_> = figures.iter().map(row).collect();
    format!(
        "| figure | value | unit | bound | baseline |\n|---|---|---|---|---|\n{}",
        rows.join("\n")
    )
}

/// The page as it should be, and as it is.
fn expected_and_current(figures: &[Figure]) -> Result<(String, String), Error> {
    let path = page_path();
    let current = std::fs::read_to_string(&path).context(IoSnafu { path: &path })?;
    let (before, rest) = current.split_once(BEGIN).context(MissingMarkersSnafu { path: &path })?;
    let (_, after) = rest.split_once(END).context(MissingMarkersSnafu { path: &path })?;
    let expected = format!("{before}{BEGIN}\n\n{}\n\n{END}{after}", table(figures));
    Ok((expected, current))
}

/// Writes the table into the page.
///
/// # Errors
///
/// [`Error`] when the page cannot be used.
pub fn write(figures: &[Figure]) -> Result<(), Error> {
    let (expected, _) = expected_and_current(figures)?;
    let path = page_path();
    std::fs::write(&path, expected).context(IoSnafu { path })
}

/// Whether the page says what was counted.
///
/// # Errors
///
/// [`Error`] when the page cannot be used.
pub fn is_current(figures: &[Figure]) -> Result<bool, Error> {
    let (expected, current) = expected_and_current(figures)?;
    Ok(expected == current)
}
