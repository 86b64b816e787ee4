//! Formats text in aligned columns.

/// Separator between two columns.
const SEPARATOR: &str = "  ";

/// Formats rows as lines with aligned columns; the last column is not padded.
pub fn align(rows: &[Vec<String>]) -> String {
    let count = rows.iter().map(Vec::len).max().unwrap_or(0);
    let width = |column: usize| {
        let cells = rows.iter().filter_map(|row| row.get(column));
        cells.map(|cell| cell.chars().count()).max().unwrap_or(0)
    };
    let widths: Vec<usize> = (0..count).map(width).collect();
    let mut text = String::new();
    for row in rows {
        let cells = row.iter().zip(&widths).map(|(cell, width)| format!("{cell:width$}"));
        let line = cells.collect::<Vec<_>>().join(SEPARATOR);
        text.push_str(line.trim_end());
        text.push('\n');
    }
    text
}

/// Splits column titles, which are separated by spaces, into the cells of a header row.
pub fn header(titles: &str) -> Vec<String> {
    titles.split_whitespace().map(str::to_owned).collect()
}
