//! Aligned columns of what the command line prints.

use samphiremoor_base::cases;
use samphiremoor_ctl::columns;

/// Rows are lines, cells are separated by `|`.
fn check(input: &str, expect: &str) {
    let rows: Vec<Vec<String>> =
        input.lines().map(|line| line.split('|').map(str::to_owned).collect()).collect();
    assert_eq!(columns::align(&rows), expect);
}

cases! {
    nothing => check("", "");
    one_row => check("a|b", "a  b\n");
    widest_cell_sets_the_column => check("ZONE|AGE\nbouskoura|9ms", "ZONE       AGE\nbouskoura  9ms\n");
    last_column_is_not_filled_up => check("a|long\nb|c", "a  long\nb  c\n");
    letters_count_not_bytes => check("é|x\nab|y", "é   x\nab  y\n");
    short_row_stays_short => check("a|b|c\nd", "a  b  c\nd\n");
}
