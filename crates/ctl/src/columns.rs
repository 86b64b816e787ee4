//! Lines of text in columns.

/// Space between two columns.
const GAP: &str = "  ";

/// Rows as lines whose columns start at the same place; the last column is not filled up.
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
        let line = cells.collect::<Vec<_>>().join(GAP);
        text.push_str(line.trim_end());
        text.push('\n');
    }
    text
}

/// The cells of a header line, which is written with spaces between them.
pub fn header(titles: &str) -> Vec<String> {
    titles.split_whitespace().map(str::to_owned).collect()
}
