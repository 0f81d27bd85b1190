//! Greedy packing that ignores the current placement: the baseline to which
//! benchmarks and tests compare [`Planner`](crate::maps::Planner).

use crate::maps::Loads;
use crate::maps::Placement;

/// Returns a placement that packs every layer from scratch. Experts get copies
/// by their load; then the copies are placed, the largest share of load first,
/// each on the rank that ends up fastest.
pub fn full_replan(loads: &Loads, speeds: &[f64]) -> Placement {
    let shape = loads.shape();
    let mut placement = Placement::round_robin(shape);
    for layer in 0..shape.layers {
        let loads = loads.layer(layer);
        let copies = choose_copies(loads, shape.slots_per_layer(), shape.ranks);
        let slots = pack(loads, &copies, speeds, shape.slots_per_rank);
        placement.layer_mut(layer).copy_from_slice(&slots);
    }
    placement
}

/// Returns the number of copies of each expert: one, and one for each further
/// slot, which goes to the expert with the largest load per copy.
fn choose_copies(loads: &[f64], slots: usize, ranks: usize) -> Vec<u32> {
    let mut copies = vec![1u32; loads.len()];
    for _ in loads.len()..slots {
        let share = |expert: usize| loads[expert] / f64::from(copies[expert]);
        let best = (0..loads.len())
            .filter(|expert| (copies[*expert] as usize) < ranks)
            .max_by(|a, b| share(*a).total_cmp(&share(*b)));
        match best {
            Some(expert) => copies[expert] += 1,
            None => break,
        }
    }
    copies
}

fn pack(loads: &[f64], copies: &[u32], speeds: &[f64], slots_per_rank: usize) -> Vec<u16> {
    let mut shares: Vec<(f64, u16)> = Vec::new();
    for (expert, count) in copies.iter().enumerate() {
        let share = loads[expert] / f64::from(*count);
        shares.extend((0..*count).map(|_| (share, expert as u16)));
    }
    shares.sort_by(|a, b| b.0.total_cmp(&a.0).then(a.1.cmp(&b.1)));
    let mut ranks: Vec<Vec<u16>> = vec![Vec::with_capacity(slots_per_rank); speeds.len()];
    let mut times = vec![0.0; speeds.len()];
    for (share, expert) in shares {
        let ranks_with_room = (0..speeds.len()).filter(|rank| ranks[*rank].len() < slots_per_rank);
        let after = |rank: &usize| times[*rank] + share / speeds[*rank];
        let best = ranks_with_room.min_by(|a, b| {
            // A second copy on the same rank takes no load off any rank.
            let holds_copy = ranks[*a]
                .contains(&expert)
                .cmp(&ranks[*b].contains(&expert));
            holds_copy.then(after(a).total_cmp(&after(b)))
        });
        if let Some(rank) = best {
            times[rank] += share / speeds[rank];
            ranks[rank].push(expert);
        }
    }
    // Slots that are left over hold another copy of an expert of their rank.
    for rank in &mut ranks {
        while rank.len() < slots_per_rank {
            rank.push(rank[0]);
        }
    }
    ranks.concat()
}
