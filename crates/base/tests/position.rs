//! Order and text of positions in the table's history.

use samphiremoor_base::position;
use samphiremoor_base::position::StorePosition;

fn at(text: &str) -> StorePosition {
    text.parse().expect("the position is valid")
}

fn check_refused(text: &str) {
    assert!(text.parse::<StorePosition>().is_err(), "{text:?} is no position");
}

samphiremoor_base::cases! {
    versions_order_within_an_era => assert!(at("3.9") < at("3.10"));
    later_era_is_later_at_a_lower_version => assert!(at("3.900") < at("4.2"));
    text_is_era_and_version => assert_eq!(at("3.1042").to_string(), "3.1042");
    position_without_dot => {
        assert_eq!("31042".parse::<StorePosition>(), Err(position::PositionError::MissingDot))
    };
    position_without_era => check_refused(".5");
    position_without_version => check_refused("5.");
    position_with_a_sign => check_refused("-1.5");
}
