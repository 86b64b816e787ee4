//! Alignment of columns in the output.

use samphiremoor_base::cases;
use samphiremoor_ctl::columns;

/// Checks the alignment of `input`, whose rows are lines and whose cells are separated by `|`.
fn check(input: &str, expect: &str) {
    let rows: Vec<Vec<String>> =
        input.lines().map(|line| line.split('|').map(str::to_owned).collect()).collect();
    assert_eq!(columns::align(&rows), expect);
}

cases! {
    empty_input => check("", "");
    one_row => check("a|b", "a  b\n");
    widest_cell_sets_the_column_width => check("ZONE|AGE\nbouskoura|9ms", "ZONE       AGE\nbouskoura  9ms\n");
    last_column_is_not_padded => check("a|long\nb|c", "a  long\nb  c\n");
    width_is_in_characters_not_bytes => check("é|x\nab|y", "é   x\nab  y\n");
    short_row_is_not_extended => check("a|b|c\nd", "a  b  c\nd\n");
}
