//! Which node all nodes choose for something, without asking each other.
//!
//! That all nodes have the same one commit a shard's records lets these carry many
//! reservations each. It saves writes only: two nodes that both think themselves the owner
//! meet at the journal's next number, where one of them wins.

/// Owners of a shard by rendezvous hashing: the first, and the next should it be out of reach.
///
/// Gives indices into `nodes`, which hold names that are unique in the fleet.
/// When a node comes or goes, only the shards that it owns change hands.
pub fn pick_owners<'a, I>(shard: u16, nodes: I) -> [Option<usize>; 2]
where
    I: IntoIterator<Item = &'a str>,
{
    let mut best: [Option<(u64, usize)>; 2] = [None; 2];
    for (index, node) in nodes.into_iter().enumerate() {
        let ranked = Some((rank(u64::from(shard), node), index));
        if ranked > best[0] {
            best = [ranked, best[0]];
        } else if ranked > best[1] {
            best[1] = ranked;
        }
    }
    best.map(|ranked| ranked.map(|(_, index)| index))
}

/// Gives a node's rank for what `seed` names; the highest one owns it.
///
/// FNV-1a, then the finaliser of `SplitMix64`: nodes of all builds must agree
/// on it, and FNV's high bits alone differ too little between short names.
#[must_use]
pub fn rank(seed: u64, node: &str) -> u64 {
    let seed = 0xcbf2_9ce4_8422_2325 ^ seed;
    let hash = node.bytes().fold(seed, |hash, byte| {
        (hash ^ u64::from(byte)).wrapping_mul(0x0100_0000_01b3)
    });
    let hash = (hash ^ (hash >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let hash = (hash ^ (hash >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    hash ^ (hash >> 31)
}
