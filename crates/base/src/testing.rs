//! Helpers for test files.

/// Names test cases: `cases! { name => check("input", "expected"); }` makes one test of each line.
#[macro_export]
macro_rules! cases {
    ($($name:ident => $body:expr;)*) => {
        $(
            #[test]
            fn $name() {
                $body;
            }
        )*
    };
}

/// Seed of property tests: `SAMPHIREMOOR_SEED` where set, else a fixed one.
pub fn seed() -> u64 {
    std::env::var("SAMPHIREMOOR_SEED").ok().and_then(|text| text.parse().ok()).unwrap_or(7)
}
