//! Prints free loopback addresses, one on each line, and keeps them locked until its input ends.

use std::env;
use std::io;

fn main() -> io::Result<()> {
    let count = env::args().nth(1).and_then(|text| text.parse().ok()).unwrap_or(1);
    for _ in 0..count {
        println!("{}", samphiremoor_testkit::free_address());
    }
    io::copy(&mut io::stdin(), &mut io::sink()).map(|_| ())
}
