//! Which expert each slot of a group holds, and how long a step then takes.
//!
//! A rank has a fixed number of expert slots in each layer. An expert may have
//! copies in several slots, which share its load evenly. A step takes as long
//! as the slowest rank of each layer, so the placement decides its time.

/// The dimensions of a group.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Shape {
    /// Ranks, which run each step together.
    pub ranks: usize,
    /// Experts in each layer.
    pub experts: usize,
    /// Layers with experts.
    pub layers: usize,
    /// Expert slots of one rank in one layer; `ranks * slots_per_rank >= experts`.
    pub slots_per_rank: usize,
}

impl Shape {
    /// Returns the number of slots of all ranks in one layer.
    pub fn slots_per_layer(&self) -> usize {
        self.ranks * self.slots_per_rank
    }
}

/// Load of each expert of each layer: the tokens that it gets, in any common
/// unit.
#[derive(Clone, Debug, PartialEq)]
pub struct Loads {
    shape: Shape,
    /// Layer-major: `layers * experts` values that are not negative.
    values: Vec<f64>,
}

impl Loads {
    /// Returns a load of one for every expert.
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

    /// Returns the loads of a layer's experts as a mutable slice.
    pub fn layer_mut(&mut self, layer: usize) -> &mut [f64] {
        let experts = self.shape.experts;
        &mut self.values[layer * experts..(layer + 1) * experts]
    }

    /// Returns the shape of the group.
    pub fn shape(&self) -> Shape {
        self.shape
    }
}

/// The expert in each slot of a group.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Placement {
    shape: Shape,
    /// Layer-major, then by rank, then by slot; a layer holds each expert at
    /// least once.
    slots: Vec<u16>,
}

impl Placement {
    /// Returns the placement that a group starts with: the experts in order,
    /// again from the first one until all slots are filled.
    pub fn round_robin(shape: Shape) -> Self {
        let slots = (0..shape.layers)
            .flat_map(|_| {
                (0..shape.slots_per_layer()).map(move |slot| (slot % shape.experts) as u16)
            })
            .collect();
        Self { shape, slots }
    }

    /// Builds a placement from the slots of each layer. Returns `None` unless
    /// the list has the shape and every layer holds every expert.
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

    /// Returns the slots of each layer, rank by rank.
    pub fn to_layers(&self) -> Vec<Vec<u16>> {
        self.slots
            .chunks(self.shape.slots_per_layer())
            .map(<[u16]>::to_vec)
            .collect()
    }

    /// Returns the shape of the group.
    pub fn shape(&self) -> Shape {
        self.shape
    }

    /// Returns a layer's slots, rank by rank.
    pub fn layer(&self, layer: usize) -> &[u16] {
        let slots_per_layer = self.shape.slots_per_layer();
        &self.slots[layer * slots_per_layer..(layer + 1) * slots_per_layer]
    }

    /// Returns a layer's slots as a mutable slice.
    pub(crate) fn layer_mut(&mut self, layer: usize) -> &mut [u16] {
        let slots_per_layer = self.shape.slots_per_layer();
        &mut self.slots[layer * slots_per_layer..(layer + 1) * slots_per_layer]
    }

    /// Counts the slots to load when the group changes from `previous` to this
    /// placement. A rank that already holds an expert in the same layer loads
    /// nothing for it.
    pub fn moves_from(&self, previous: &Self) -> usize {
        let slots_per_rank = self.shape.slots_per_rank;
        self.slots
            .chunks(slots_per_rank)
            .zip(previous.slots.chunks(slots_per_rank))
            .map(|(new, old)| new.iter().filter(|expert| !old.contains(expert)).count())
            .sum()
    }

    /// Returns the time that each rank takes for one layer: its load divided by
    /// its speed.
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

    /// Returns the step time divided by its lower bound: the time that it would
    /// take if the load were spread over the ranks in proportion to their speed.
    pub fn skew(&self, loads: &Loads, speeds: &[f64]) -> f64 {
        let lower_bound = step_time_lower_bound(loads, speeds);
        if lower_bound > 0.0 {
            self.step_time(loads, speeds) / lower_bound
        } else {
            1.0
        }
    }
}

/// Returns the step time that perfectly divisible work would take, which no
/// placement can go below.
pub(crate) fn step_time_lower_bound(loads: &Loads, speeds: &[f64]) -> f64 {
    let speed: f64 = speeds.iter().sum();
    (0..loads.shape.layers)
        .map(|layer| loads.layer(layer).iter().sum::<f64>() / speed)
        .sum()
}

/// Counts the copies of each expert in a layer.
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
    fn copies_of_an_expert_share_its_load() {
        let placement = Placement::round_robin(SHAPE);
        let mut loads = Loads::even(SHAPE);
        loads.layer_mut(0).fill(0.0);
        loads.layer_mut(0)[0] = 10.0;
        let times = placement.rank_times(0, loads.layer(0), &[1.0; 4]);
        assert_eq!(times.iter().sum::<f64>(), 10.0);
        assert_eq!(times[0], 5.0);
    }

    #[test]
    fn malformed_layers_are_rejected() {
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
    fn exchange_within_a_rank_costs_no_move() {
        let placement = Placement::round_robin(SHAPE);
        let mut swapped = placement.clone();
        swapped.layer_mut(0).swap(0, 1);
        assert_eq!(swapped.moves_from(&placement), 0);
        swapped.layer_mut(0).swap(0, 5);
        assert_eq!(swapped.moves_from(&placement), 2);
    }
}
