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
    #[snafu(display("{}: {source}", file.display()))]
    Page {
        /// The file.
        file: PathBuf,
        /// Why.
        source: std::io::Error,
    },
    /// The place of the table is not marked.
    #[snafu(display("{}: no lines {BEGIN:?} and {END:?}", file.display()))]
    NoPlace {
        /// The file.
        file: PathBuf,
    },
}

fn file() -> PathBuf {
    PathBuf::from(env!("CARGO_MANIFEST_DIR")).join("../../docs/CAPACITY.md")
}

fn table(figures: &[Figure]) -> String {
    let cell = |value: Option<f64>| value.map_or("-".to_owned(), |value| value.to_string());
    let row = |figure: &Figure| {
        let (bound, baseline) = (cell(figure.bound), cell(figure.baseline));
        let name = &figure.figure;
        format!("| `{name}` | {} | {} | {bound} | {baseline} |", figure.value, figure.unit)
    };
    let rows: Vec<_> = figures.iter().map(row).collect();
    format!(
        "| figure | value | unit | bound | baseline |\n|---|---|---|---|---|\n{}",
        rows.join("\n")
    )
}

/// The page as it should be, and as it is.
fn pages(figures: &[Figure]) -> Result<(String, String), Error> {
    let file = file();
    let page = std::fs::read_to_string(&file).context(PageSnafu { file: &file })?;
    let (before, rest) = page.split_once(BEGIN).context(NoPlaceSnafu { file: &file })?;
    let (_, after) = rest.split_once(END).context(NoPlaceSnafu { file: &file })?;
    let wanted = format!("{before}{BEGIN}\n\n{}\n\n{END}{after}", table(figures));
    Ok((wanted, page))
}

/// Writes the table into the page.
///
/// # Errors
///
/// [`Error`] when the page cannot be used.
pub fn write(figures: &[Figure]) -> Result<(), Error> {
    let (wanted, _) = pages(figures)?;
    let file = file();
    std::fs::write(&file, wanted).context(PageSnafu { file })
}

/// Whether the page says what was counted.
///
/// # Errors
///
/// [`Error`] when the page cannot be used.
pub fn is_current(figures: &[Figure]) -> Result<bool, Error> {
    let (wanted, page) = pages(figures)?;
    Ok(wanted == page)
}
