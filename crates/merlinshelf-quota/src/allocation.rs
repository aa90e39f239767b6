//! Divides a budget among claims: first evenly, then by weight (weighted max-min fairness).

/// A holder's claim on a budget and its allocation.
#[derive(Clone, Copy, Debug)]
pub struct Claim {
    /// Calls per second.
    pub calls_needed: u32,
    /// The weight of the claim when the calls that remain after the even division are divided;
    /// above 0.
    pub weight: f64,
    /// Calls per second; at most `calls_needed`.
    pub allocated: u32,
}

impl Claim {
    fn is_satisfied(&self) -> bool {
        self.allocated >= self.calls_needed
    }

    /// Allocates up to `calls` calls, as many as are still needed; returns how many.
    fn allocate(&mut self, calls: u32) -> u32 {
        let calls = calls.min(self.calls_needed - self.allocated);
        self.allocated += calls;
        calls
    }
}

/// Allocates a budget to claims that have no allocation yet; returns the part that no claim needs.
pub fn allocate(budget: u32, claims: &mut [Claim]) -> u32 {
    let even_calls = budget / (claims.len() as u32).max(1);
    let mut remaining = budget;
    for claim in claims.iter_mut() {
        remaining -= claim.allocate(even_calls);
    }
    while remaining > 0 {
        let before = remaining;
        remaining = allocate_by_weight(remaining, claims);
        if remaining < before {
            continue;
        }
        // The remainder is too small to divide by weight: allocate it call by call.
        let Some(claim) = highest_weight_per_call(claims) else {
            break;
        };
        remaining -= claim.allocate(1);
    }
    remaining
}

/// Allocates calls in proportion to the weights of the unsatisfied claims; returns the number of
/// calls that remain.
fn allocate_by_weight(calls: u32, claims: &mut [Claim]) -> u32 {
    let weight_sum: f64 = claims
        .iter()
        .filter(|claim| !claim.is_satisfied())
        .map(|claim| claim.weight)
        .sum();
    let mut remaining = calls;
    for claim in claims.iter_mut().filter(|claim| !claim.is_satisfied()) {
        let proportion = (f64::from(calls) * claim.weight / weight_sum) as u32;
        remaining -= claim.allocate(proportion.min(remaining));
    }
    remaining
}

/// The unsatisfied claim with the highest weight per allocated call, counting one more call.
fn highest_weight_per_call(claims: &mut [Claim]) -> Option<&mut Claim> {
    let weight_per_call = |claim: &Claim| claim.weight / f64::from(claim.allocated + 1);
    claims
        .iter_mut()
        .filter(|claim| !claim.is_satisfied())
        .max_by(|left, right| weight_per_call(left).total_cmp(&weight_per_call(right)))
}
