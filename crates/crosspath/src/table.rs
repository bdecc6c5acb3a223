//! Tables that fit the width of a terminal.

/// Maximum length of a line, in characters.
pub(crate) const MAX_LINE_CHARS: usize = 100;

const COLUMN_GAP: &str = "  ";

/// Aligns rows in columns. Lines that are too long are truncated at the end.
pub(crate) fn render(header: &[&str], rows: &[Vec<String>]) -> String {
    let header: Vec<String> = header.iter().map(ToString::to_string).collect();
    let width = |column: usize| {
        let cells = rows.iter().chain([&header]).filter_map(|row| row.get(column));
        cells.map(|cell| cell.chars().count()).max().unwrap_or_default()
    };
    let widths: Vec<usize> = (0..header.len()).map(width).collect();
    let lines = [&header].into_iter().chain(rows).map(|row| render_row(row, &widths));
    lines.collect::<Vec<_>>().join("\n")
}

fn render_row(row: &[String], widths: &[usize]) -> String {
    let cells = row.iter().zip(widths).map(|(cell, width)| format!("{cell:<width$}"));
    let line = cells.collect::<Vec<_>>().join(COLUMN_GAP);
    truncate(line.trim_end())
}

fn truncate(line: &str) -> String {
    if line.chars().count() <= MAX_LINE_CHARS {
        return line.to_owned();
    }
    let visible: String = line.chars().take(MAX_LINE_CHARS - 1).collect();
    visible + "…"
}
