//! The table of counted figures in `docs/CAPACITY.md`, which the check keeps equal to the figures.

use std::path::PathBuf;

use snafu::{OptionExt as _, ResultExt as _, Snafu};

use crate::figure::Figure;

const BEGIN: &str = "<!-- counted figures, written by `crosspath_bench report` -->";
const END: &str = "<!-- end of counted figures -->";

/// A page that cannot be read, written or updated.
#[derive(Debug, Snafu)]
pub enum Error {
    /// The page cannot be read or written.
    #[snafu(display("{}: {source}", path.display()))]
    Io {
        /// Path of `docs/CAPACITY.md`.
        path: PathBuf,
        /// Error of the operating system.
        source: std::io::Error,
    },
    /// The page lacks the lines that mark the place of the table.
    #[snafu(display("{}: the lines {BEGIN:?} and {END:?} are missing", path.display()))]
    MissingMarkers {
        /// Path of `docs/CAPACITY.md`.
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

/// The page with the table of `figures`, and the page as it is.
fn expected_and_current(figures: &[Figure]) -> Result<(String, String), Error> {
    let path = page_path();
    let current = std::fs::read_to_string(&path).context(IoSnafu { path: &path })?;
    let (before, rest) = current.split_once(BEGIN).context(MissingMarkersSnafu { path: &path })?;
    let (_, after) = rest.split_once(END).context(MissingMarkersSnafu { path: &path })?;
    let expected = format!("{before}{BEGIN}\n\n{}\n\n{END}{after}", table(figures));
    Ok((expected, current))
}

/// Replaces the table in the page by one of `figures`.
///
/// # Errors
///
/// [`Error`] when the page cannot be read or written, or has no markers.
pub fn write(figures: &[Figure]) -> Result<(), Error> {
    let (expected, _) = expected_and_current(figures)?;
    let path = page_path();
    std::fs::write(&path, expected).context(IoSnafu { path })
}

/// Whether the table in the page holds `figures`.
///
/// # Errors
///
/// [`Error`] when the page cannot be read or has no markers.
pub fn is_current(figures: &[Figure]) -> Result<bool, Error> {
    let (expected, current) = expected_and_current(figures)?;
    Ok(expected == current)
}
