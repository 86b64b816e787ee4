//! Rates as text.

use samphiremoor_base::rate;
use samphiremoor_base::rate::RequestRate;

fn check(text: &str, expected: Result<u64, rate::RateError>) {
    assert_eq!(text.parse::<RequestRate>().map(RequestRate::as_millis), expected, "{text:?}");
}

samphiremoor_base::cases! {
    whole_number => check("3", Ok(3_000));
    decimal_number => check("1.25", Ok(1_250));
    zero => check("0", Ok(0));
    less_than_a_thousandth => check("0.0001", Ok(0));
    surrounding_spaces => check(" 2.5 ", Ok(2_500));
    negative_number => check("-1", Err(rate::RateError::OutOfRange));
    infinity => check("inf", Err(rate::RateError::OutOfRange));
    not_a_number => check("NaN", Err(rate::RateError::NotDecimal));
    empty_text => check("", Err(rate::RateError::NotDecimal));
    word => check("many", Err(rate::RateError::NotDecimal));
    unit => check("5/s", Err(rate::RateError::NotDecimal));
    two_numbers => check("1, 2", Err(rate::RateError::NotDecimal));
    rate_is_displayed_as_it_is_parsed => {
        assert_eq!(RequestRate::from_millis(1_100).to_string(), "1.1")
    };
}
