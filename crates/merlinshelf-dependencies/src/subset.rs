//! Which few of many servers an instance uses: the ones that rank highest by a number drawn from both their names. A server that
//! comes or goes changes one place in some lists, an instance that comes or goes none but its own.

/// Places in the list of servers, the highest ranks first, as many as are wanted or there are.
pub fn subset(instance: u64, servers: &[u64], count: usize) -> Vec<usize> {
    let mut ranked: Vec<(u64, usize)> = servers
        .iter()
        .enumerate()
        .map(|(place, server)| (mixed(instance, *server), place))
        .collect();
    if count > 0 && ranked.len() > count {
        ranked.select_nth_unstable_by(count - 1, |a, b| b.cmp(a));
    }
    ranked.truncate(count);
    ranked.sort_unstable_by(|a, b| b.cmp(a));
    ranked.into_iter().map(|(_, place)| place).collect()
}

/// A number from two, each of whose bits depends on all of theirs (the finish of splitmix64, twice).
fn mixed(one: u64, other: u64) -> u64 {
    let finish = |mut bits: u64| {
        bits = (bits ^ (bits >> 30)).wrapping_mul(0xBF58_476D_1CE4_E5B9);
        bits = (bits ^ (bits >> 27)).wrapping_mul(0x94D0_49BB_1331_11EB);
        bits ^ (bits >> 31)
    };
    finish(
        finish(one.wrapping_add(0x9E37_79B9_7F4A_7C15)) ^ other.wrapping_mul(0x9E37_79B9_7F4A_7C15),
    )
}
