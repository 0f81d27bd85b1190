//! Expected expert loads, from recent reports and the hour's profile.
//!
//! Reports lag and some are missing. Two levels follow every other report each,
//! so that one can test what was concluded from the other; the profile
//! remembers how each hour compares with the next, which is what drifts with
//! the evening peak.

use crate::maps::Loads;

/// Hours of a day.
const HOURS: usize = 24;
/// Weight of a new report in the level.
const LEVEL_GAIN: f64 = 0.25;
/// Weight of a new report in an hour's profile.
const PROFILE_GAIN: f64 = 0.1;

/// Learns and predicts the loads of one group.
#[derive(Clone, Debug)]
pub struct Forecast {
    /// From every other report; the forecast starts from it.
    level: Option<Loads>,
    /// From the reports between.
    check: Option<Loads>,
    /// Whether the next report belongs to `check`.
    check_next: bool,
    /// Mean loads at each hour of the day.
    profile: Vec<Option<Loads>>,
}

impl Forecast {
    /// Returns a forecast that has seen nothing.
    pub fn new() -> Self {
        Self {
            level: None,
            check: None,
            check_next: false,
            profile: vec![None; HOURS],
        }
    }

    /// Takes a report of the loads at an hour of the day, from 0 to below 24.
    pub fn observe(&mut self, hour: f64, loads: &Loads) {
        let level = match self.check_next {
            true => &mut self.check,
            false => &mut self.level,
        };
        blend(level, loads, LEVEL_GAIN);
        self.check_next = !self.check_next;
        let slot = hour.rem_euclid(HOURS as f64) as usize;
        blend(&mut self.profile[slot], loads, PROFILE_GAIN);
    }

    /// Returns the loads as they are, by reports that `expected` has not seen.
    pub fn validation(&self) -> Option<&Loads> {
        self.check.as_ref()
    }

    /// Returns the mean loads expected from an hour over a horizon.
    ///
    /// Where a day has been seen, the profile says how the hours ahead differ
    /// from this one; elsewhere the present is all there is.
    pub fn expected(&self, hour: f64, horizon_h: f64) -> Option<Loads> {
        let level = self.level.as_ref()?;
        let now = hour.rem_euclid(HOURS as f64) as usize;
        let ahead = (hour + horizon_h / 2.0).rem_euclid(HOURS as f64) as usize;
        let (Some(now), Some(ahead)) = (&self.profile[now], &self.profile[ahead]) else {
            return Some(level.clone());
        };
        let mut expected = level.clone();
        for layer in 0..level.shape().layers {
            let ratios = ahead.layer(layer).iter().zip(now.layer(layer));
            for (value, (ahead, now)) in expected.layer_mut(layer).iter_mut().zip(ratios) {
                if *now > 0.0 {
                    *value *= ahead / now;
                }
            }
        }
        Some(expected)
    }
}

impl Default for Forecast {
    fn default() -> Self {
        Self::new()
    }
}

fn blend(held: &mut Option<Loads>, loads: &Loads, gain: f64) {
    let Some(held) = held else {
        *held = Some(loads.clone());
        return;
    };
    for layer in 0..loads.shape().layers {
        let new = loads.layer(layer);
        for (value, new) in held.layer_mut(layer).iter_mut().zip(new) {
            *value += gain * (new - *value);
        }
    }
}

#[cfg(test)]
mod tests {
    use super::Forecast;
    use crate::maps::Loads;
    use crate::maps::Shape;

    const SHAPE: Shape = Shape {
        ranks: 2,
        experts: 2,
        layers: 1,
        slots_per_rank: 1,
    };

    fn loads(a: f64) -> Loads {
        let mut loads = Loads::even(SHAPE);
        loads.layer_mut(0)[0] = a;
        loads
    }

    #[test]
    fn the_evening_is_expected_after_a_day_was_seen() {
        let mut forecast = Forecast::new();
        for hour in 0..48 {
            let peak = if hour % 24 >= 18 { 4.0 } else { 1.0 };
            forecast.observe(f64::from(hour), &loads(peak));
        }
        for hour in 48..66 {
            forecast.observe(f64::from(hour), &loads(1.0));
        }
        let expected = forecast.expected(17.0, 2.0).expect("reports came");
        assert!(expected.layer(0)[0] > 2.0);
        assert!((expected.layer(0)[1] - 1.0).abs() < 1e-9);
    }

    #[test]
    fn without_a_day_the_present_is_expected() {
        let mut forecast = Forecast::new();
        assert!(forecast.expected(1.0, 1.0).is_none());
        forecast.observe(1.0, &loads(3.0));
        assert_eq!(forecast.expected(1.0, 6.0), Some(loads(3.0)));
    }
}
