//! Deterministic subsetting: even, and stable when servers are removed.

use merlinshelf_dependencies::subset;

#[test]
fn subsets_are_even_and_change_little_when_a_server_is_removed() {
    let servers: Vec<u64> = (0..100).map(|server| server * 7919 + 3).collect();
    let subsets: Vec<Vec<usize>> = (0..300)
        .map(|instance| subset(instance, &servers, 20))
        .collect();
    let mut load = vec![0_u32; 100];
    for server in subsets.iter().flatten() {
        load[*server] += 1;
    }
    let max_load = *load.iter().max().expect("a hundred servers");
    assert!(
        max_load < 85,
        "highest load relative to the mean: {}",
        f64::from(max_load) / 60.0
    );
    assert!(subsets.iter().all(|subset| subset.len() == 20));
    // Without one server, each subset that contained it changes in one entry, the others in none.
    let fewer: Vec<u64> = servers
        .iter()
        .copied()
        .filter(|server| *server != servers[42])
        .collect();
    for (instance, indices) in subsets.iter().enumerate() {
        let new_indices = subset(instance as u64, &fewer, 20);
        let names = |indices: &[usize], servers: &[u64]| -> Vec<u64> {
            indices.iter().map(|index| servers[*index]).collect()
        };
        let before = names(indices, &servers);
        let after = names(&new_indices, &fewer);
        let unchanged = before.iter().filter(|name| after.contains(name)).count();
        let expected = if indices.contains(&42) { 19 } else { 20 };
        assert_eq!(unchanged, expected);
    }
    assert_eq!(subset(1, &servers, 500).len(), 100);
    assert!(subset(1, &[], 5).is_empty());
    assert!(subset(1, &servers, 0).is_empty());
}
