//! Validation of the annotated example settings file.

use std::path;

use samphiremoor_ctl::settings;
use samphiremoor_settings::load;

const EXAMPLE: &str = include_str!("../../../deploy/examples/samphiremoorctl.toml");

#[test]
fn example_is_valid() {
    let name = path::Path::new("example");
    load::parse::<settings::CtlSettings>(name, EXAMPLE).expect("the example is valid");
}
