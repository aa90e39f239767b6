//! Deterministic subsetting by rendezvous hashing: selects the servers that an instance uses.
//! Adding or removing a server changes one entry in the subsets of some instances; adding or
//! removing an instance changes no other instance's subset.

/// Indices of the `count` servers of highest rank, in descending order of rank; of all servers if
/// there are fewer.
///
/// `instance` and `servers` are hashes of names. The ranking must be the same in every version.
pub fn subset(instance: u64, servers: &[u64], count: usize) -> Vec<usize> {
    let mut ranked: Vec<(u64, usize)> = servers
        .iter()
        .enumerate()
        .map(|(index, server)| (rank(instance, *server), index))
        .collect();
    if count > 0 && ranked.len() > count {
        ranked.select_nth_unstable_by(count - 1, |a, b| b.cmp(a));
    }
    ranked.truncate(count);
    ranked.sort_unstable_by(|a, b| b.cmp(a));
    ranked.into_iter().map(|(_, index)| index).collect()
}

/// The rank of a server for an instance; each bit depends on all bits of both.
fn rank(instance: u64, server: u64) -> u64 {
    let instance_hash = finalize(instance.wrapping_add(0x9E37_79B9_7F4A_7C15));
    finalize(instance_hash ^ server.wrapping_mul(0x9E37_79B9_7F4A_7C15))
}

/// The finalizer of splitmix64.
fn finalize(mut bits: u64) -> u64 {
    bits = (bits ^ (bits >> 30)).wrapping_mul(0xBF58_476D_1CE4_E5B9);
    bits = (bits ^ (bits >> 27)).wrapping_mul(0x94D0_49BB_1331_11EB);
    bits ^ (bits >> 31)
}
