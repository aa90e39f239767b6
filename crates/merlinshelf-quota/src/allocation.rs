//! Divides a budget among claims: an even part first, then by weight (weighted max-min fairness).

/// What a holder claims of a budget, and what it is allocated.
#[derive(Clone, Copy, Debug)]
pub struct Claim {
    /// Calls per second.
    pub calls_needed: u32,
    /// How much the claim counts against others beyond an even part; above 0.
    pub weight: f64,
    /// Calls per second; not more than are needed.
    pub allocated: u32,
}

impl Claim {
    fn is_satisfied(&self) -> bool {
        self.allocated >= self.calls_needed
    }

    /// Allocates as many calls as are needed of these; the result is what was allocated.
    fn allocate(&mut self, calls: u32) -> u32 {
        let calls = calls.min(self.calls_needed - self.allocated);
        self.allocated += calls;
        calls
    }
}

/// Allocates a budget to claims of which none is allocated anything yet; the result is what nobody
/// needs.
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
        // The rest is smaller than what divides by weight: it is allocated call by call.
        let Some(claim) = most_deserving(claims) else {
            break;
        };
        remaining -= claim.allocate(1);
    }
    remaining
}

/// Allocates calls in proportion to the weights of the claims that are not satisfied; the result is
/// what remains.
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

/// The claim that is not satisfied and has the highest weight for each call that it would have.
fn most_deserving(claims: &mut [Claim]) -> Option<&mut Claim> {
    let merit = |claim: &Claim| claim.weight / f64::from(claim.allocated + 1);
    claims
        .iter_mut()
        .filter(|claim| !claim.is_satisfied())
        .max_by(|left, right| merit(left).total_cmp(&merit(right)))
}
