//! Greedy packing from nothing: the baseline that ignores what stands where.

use crate::maps::Loads;
use crate::maps::Placement;

/// Packs every layer anew: replicas by load, then the largest share first onto
/// the rank that it slows least.
pub fn full_replan(loads: &Loads, speeds: &[f64]) -> Placement {
    let shape = loads.shape();
    let mut placement = Placement::round_robin(shape);
    for layer in 0..shape.layers {
        let loads = loads.layer(layer);
        let copies = choose_copies(loads, shape.slots_per_layer(), shape.ranks);
        let cells = pack(loads, &copies, speeds, shape.slots_per_rank);
        placement.layer_mut(layer).copy_from_slice(&cells);
    }
    placement
}

/// Gives each further slot to the expert with the largest share.
fn choose_copies(loads: &[f64], cells: usize, ranks: usize) -> Vec<u32> {
    let mut copies = vec![1u32; loads.len()];
    for _ in loads.len()..cells {
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
        let open = (0..speeds.len()).filter(|rank| ranks[*rank].len() < slots_per_rank);
        let after = |rank: &usize| times[*rank] + share / speeds[*rank];
        let best = open.min_by(|a, b| {
            // A second copy on one rank helps nobody.
            let held = ranks[*a]
                .contains(&expert)
                .cmp(&ranks[*b].contains(&expert));
            held.then(after(a).total_cmp(&after(b)))
        });
        if let Some(rank) = best {
            times[rank] += share / speeds[rank];
            ranks[rank].push(expert);
        }
    }
    // Slots that no further copy could use hold what their rank has already.
    for rank in &mut ranks {
        while rank.len() < slots_per_rank {
            rank.push(rank[0]);
        }
    }
    ranks.concat()
}
