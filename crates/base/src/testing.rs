//! Helpers for tests.

/// Defines one test function per line: `cases! { name => check("input", "expected"); }`.
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

/// Returns the seed for property tests: the variable `SAMPHIREMOOR_SEED` if set, else a fixed value.
pub fn seed() -> u64 {
    std::env::var("SAMPHIREMOOR_SEED").ok().and_then(|text| text.parse().ok()).unwrap_or(7)
}
