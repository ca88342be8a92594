//! Plain-text tables.

use std::fmt::Write as _;

/// Number of spaces between two columns.
const COLUMN_GAP: usize = 2;

/// Renders rows with aligned columns; the first row is the heading.
pub(crate) fn render_table<const N: usize>(rows: &[[String; N]]) -> String {
    let mut widths = [0; N];
    for row in rows {
        for (width, cell) in widths.iter_mut().zip(row) {
            *width = (*width).max(cell.chars().count());
        }
    }
    let mut text = String::new();
    for row in rows {
        let mut line = String::new();
        for (width, cell) in widths.iter().zip(row) {
            let width = width + COLUMN_GAP;
            // Writing to a string can't fail.
            let _written = write!(line, "{cell:width$}");
        }
        text.push_str(line.trim_end());
        text.push('\n');
    }
    text
}
