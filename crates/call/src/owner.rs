//! Rendezvous hashing: all nodes choose the same owner without coordination.
//!
//! When a single node commits a shard's records, each record can batch many reservations. Agreement
//! on the owner only saves writes; correctness doesn't depend on it: two nodes that both consider
//! themselves the owner compete for the journal's next number, and one of them wins.

/// Picks the owner of a shard by rendezvous hashing, and a fallback if the owner is unreachable.
///
/// Returns indices into `nodes`, whose names are unique in the fleet. When a
/// node joins or leaves, only the shards that it owns change owners.
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

/// Returns the rendezvous rank of a node for the item `seed`; the highest-ranked node owns it.
///
/// The hash is FNV-1a followed by the finalizer of `SplitMix64`. It is fixed
/// because nodes of all builds must agree on it, and the finalizer is needed
/// because FNV's high bits alone differ too little between short names.
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
