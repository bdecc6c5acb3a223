//! Tables that fit a terminal.

/// Widest line, in characters.
pub(crate) const WIDTH: usize = 100;

const GAP: &str = "  ";

/// Lays rows out in columns; what does not fit is cut from the last column.
pub(crate) fn render(header: &[&str], rows: &[Vec<String>]) -> String {
    let header: Vec<String> = header.iter().map(ToString::to_string).collect();
    let width = |column: usize| {
        let cells = rows.iter().chain([&header]).filter_map(|row| row.get(column));
        cells.map(|cell| cell.chars().count()).max().unwrap_or_default()
    };
    let widths: Vec<usize> = (0..header.len()).map(width).collect();
    let lines = [&header].into_iter().chain(rows).map(|row| line(row, &widths));
    lines.collect::<Vec<_>>().join("\n")
}

fn line(row: &[String], widths: &[usize]) -> String {
    let cells = row.iter().zip(widths).map(|(cell, width)| format!("{cell:<width$}"));
    let line = cells.collect::<Vec<_>>().join(GAP);
    cut(line.trim_end())
}

fn cut(line: &str) -> String {
    if line.chars().count() <= WIDTH {
        return line.to_owned();
    }
    let kept: String = line.chars().take(WIDTH - 1).collect();
    kept + "…"
}
