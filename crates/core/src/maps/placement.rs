//! Which experts stand in which slots of which ranks, and what that costs a step.

/// The shape of a group.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Shape {
    /// Ranks that run in lock-step.
    pub ranks: usize,
    /// Experts in each layer.
    pub experts: usize,
    /// Layers with experts.
    pub layers: usize,
    /// Expert slots of one rank in one layer; `ranks * slots_per_rank >= experts`.
    pub slots_per_rank: usize,
}

impl Shape {
    /// Returns the slots of all ranks in one layer.
    pub fn slots_per_layer(&self) -> usize {
        self.ranks * self.slots_per_rank
    }
}

/// Tokens that each expert of each layer gets, in any common unit.
#[derive(Clone, Debug, PartialEq)]
pub struct Loads {
    shape: Shape,
    /// Layer-major: `layers * experts` numbers from zero.
    values: Vec<f64>,
}

impl Loads {
    /// Returns equal loads.
    pub fn even(shape: Shape) -> Self {
        Self {
            shape,
            values: vec![1.0; shape.layers * shape.experts],
        }
    }

    /// Returns the loads of a layer's experts.
    pub fn layer(&self, layer: usize) -> &[f64] {
        let experts = self.shape.experts;
        &self.values[layer * experts..(layer + 1) * experts]
    }

    /// Returns the loads of a layer's experts for change.
    pub fn layer_mut(&mut self, layer: usize) -> &mut [f64] {
        let experts = self.shape.experts;
        &mut self.values[layer * experts..(layer + 1) * experts]
    }

    /// Returns the shape.
    pub fn shape(&self) -> Shape {
        self.shape
    }
}

/// The experts in the slots of a group.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Placement {
    shape: Shape,
    /// Layer-major, then rank, then slot; each expert stands at least once a layer.
    slots: Vec<u16>,
}

impl Placement {
    /// Returns the placement that a group starts with: experts in turn.
    pub fn round_robin(shape: Shape) -> Self {
        let slots = (0..shape.layers)
            .flat_map(|_| {
                (0..shape.slots_per_layer()).map(move |slot| (slot % shape.experts) as u16)
            })
            .collect();
        Self { shape, slots }
    }

    /// Takes a layer-major list; `None` unless it has the shape and every
    /// expert stands in every layer.
    pub fn try_from_layers(shape: Shape, layers: &[Vec<u16>]) -> Option<Self> {
        if layers.len() != shape.layers {
            return None;
        }
        for layer in layers {
            let mut seen = vec![false; shape.experts];
            for expert in layer {
                *seen.get_mut(usize::from(*expert))? = true;
            }
            if layer.len() != shape.slots_per_layer() || seen.contains(&false) {
                return None;
            }
        }
        let slots = layers.concat();
        Some(Self { shape, slots })
    }

    /// Returns the placement as a list for each layer.
    pub fn to_layers(&self) -> Vec<Vec<u16>> {
        self.slots
            .chunks(self.shape.slots_per_layer())
            .map(<[u16]>::to_vec)
            .collect()
    }

    /// Returns the shape.
    pub fn shape(&self) -> Shape {
        self.shape
    }

    /// Returns a layer's cells, rank by rank.
    pub fn layer(&self, layer: usize) -> &[u16] {
        let slots_per_layer = self.shape.slots_per_layer();
        &self.slots[layer * slots_per_layer..(layer + 1) * slots_per_layer]
    }

    /// Returns a layer's cells for change.
    pub(crate) fn layer_mut(&mut self, layer: usize) -> &mut [u16] {
        let slots_per_layer = self.shape.slots_per_layer();
        &mut self.slots[layer * slots_per_layer..(layer + 1) * slots_per_layer]
    }

    /// Counts the slots that must be loaded to go from one placement to another.
    pub fn moves_from(&self, previous: &Self) -> usize {
        let slots_per_rank = self.shape.slots_per_rank;
        self.slots
            .chunks(slots_per_rank)
            .zip(previous.slots.chunks(slots_per_rank))
            .map(|(new, old)| new.iter().filter(|expert| !old.contains(expert)).count())
            .sum()
    }

    /// Returns each rank's load of one layer, divided by its speed.
    pub fn rank_times(&self, layer: usize, loads: &[f64], speeds: &[f64]) -> Vec<f64> {
        let slots = self.layer(layer);
        let copies = copies(slots, self.shape.experts);
        let mut times = vec![0.0; self.shape.ranks];
        for (slot, expert) in slots.iter().enumerate() {
            let expert = usize::from(*expert);
            times[slot / self.shape.slots_per_rank] += loads[expert] / f64::from(copies[expert]);
        }
        for (time, speed) in times.iter_mut().zip(speeds) {
            *time /= speed;
        }
        times
    }

    /// Returns the time of a step: layers run one after another, and each
    /// waits for its slowest rank.
    pub fn step_time(&self, loads: &Loads, speeds: &[f64]) -> f64 {
        (0..self.shape.layers)
            .map(|layer| max(&self.rank_times(layer, loads.layer(layer), speeds)))
            .sum()
    }

    /// Returns the step time over the least that any placement could reach:
    /// the mean over ranks, weighted by their speed.
    pub fn skew(&self, loads: &Loads, speeds: &[f64]) -> f64 {
        let least = least_step_time(loads, speeds);
        if least > 0.0 {
            self.step_time(loads, speeds) / least
        } else {
            1.0
        }
    }
}

/// Returns the least step time that perfectly divisible work could reach.
pub(crate) fn least_step_time(loads: &Loads, speeds: &[f64]) -> f64 {
    let speed: f64 = speeds.iter().sum();
    (0..loads.shape.layers)
        .map(|layer| loads.layer(layer).iter().sum::<f64>() / speed)
        .sum()
}

/// Counts how often each expert stands in a layer.
pub(crate) fn copies(slots: &[u16], experts: usize) -> Vec<u32> {
    let mut copies = vec![0; experts];
    for expert in slots {
        copies[usize::from(*expert)] += 1;
    }
    copies
}

pub(crate) fn max(times: &[f64]) -> f64 {
    times.iter().copied().fold(0.0, f64::max)
}

#[cfg(test)]
mod tests {
    use super::Loads;
    use super::Placement;
    use super::Shape;

    const SHAPE: Shape = Shape {
        ranks: 4,
        experts: 8,
        layers: 2,
        slots_per_rank: 3,
    };

    #[test]
    fn replicas_share_an_experts_load() {
        let placement = Placement::round_robin(SHAPE);
        let mut loads = Loads::even(SHAPE);
        loads.layer_mut(0).fill(0.0);
        loads.layer_mut(0)[0] = 10.0;
        let times = placement.rank_times(0, loads.layer(0), &[1.0; 4]);
        assert_eq!(times.iter().sum::<f64>(), 10.0);
        assert_eq!(times[0], 5.0);
    }

    #[test]
    fn malformed_placements_are_refused() {
        let layers = Placement::round_robin(SHAPE).to_layers();
        assert!(Placement::try_from_layers(SHAPE, &layers).is_some());
        let mut missing = layers.clone();
        missing[1].fill(0);
        assert!(Placement::try_from_layers(SHAPE, &missing).is_none());
        let mut unknown = layers.clone();
        unknown[0][0] = 99;
        assert!(Placement::try_from_layers(SHAPE, &unknown).is_none());
        assert!(Placement::try_from_layers(SHAPE, &layers[..1]).is_none());
    }

    #[test]
    fn order_within_a_rank_costs_no_move() {
        let placement = Placement::round_robin(SHAPE);
        let mut swapped = placement.clone();
        swapped.layer_mut(0).swap(0, 1);
        assert_eq!(swapped.moves_from(&placement), 0);
        swapped.layer_mut(0).swap(0, 5);
        assert_eq!(swapped.moves_from(&placement), 2);
    }
}
