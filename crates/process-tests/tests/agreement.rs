//! Agreement of both sides of the external protocols.

use samphiremoor_routing::prefix;
use samphiremoor_standin_engine::blocks;

#[test]
fn engine_and_router_compute_equal_block_hashes() {
    let words: Vec<String> = (0..100).map(|index| format!("word{index}")).collect();
    let router: Vec<u64> = prefix::hash_blocks(&words).iter().map(|hash| hash.get()).collect();
    let engine: Vec<u64> = blocks::hash_blocks(&words).iter().map(|hash| hash.get()).collect();
    assert_eq!(router.len(), 6);
    assert_eq!(router, engine);
}
