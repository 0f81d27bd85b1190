//! Forecasts expert loads from recent reports and a profile of the day.
//!
//! Reports lag, are noisy, and some are missing. Moving averages smooth them:
//! one over every other report, from which the forecast starts, and one over
//! the remaining reports, which validates a plan by loads that the forecast has
//! not used. The profile holds the mean loads of each hour of the day, so that
//! the forecast follows changes such as the evening peak.

use crate::maps::Loads;

const HOURS_PER_DAY: usize = 24;
/// Weight of a new report in the moving averages.
const LEVEL_WEIGHT: f64 = 0.25;
/// Weight of a new report in an hour's profile.
const PROFILE_WEIGHT: f64 = 0.1;

/// Forecasts the expert loads of one group.
#[derive(Clone, Debug)]
pub struct Forecast {
    /// Moving average of every other report; the forecast starts from it.
    level: Option<Loads>,
    /// Moving average of the remaining reports.
    validation: Option<Loads>,
    /// Whether the next report goes into `validation`.
    next_is_validation: bool,
    /// Moving average at each hour of the day.
    profile: Vec<Option<Loads>>,
}

impl Forecast {
    /// Returns a forecast without any reports.
    pub fn new() -> Self {
        Self {
            level: None,
            validation: None,
            next_is_validation: false,
            profile: vec![None; HOURS_PER_DAY],
        }
    }

    /// Adds a report of the loads at an hour of the day. Hours outside of 0 to
    /// 24 wrap around.
    pub fn observe(&mut self, hour: f64, loads: &Loads) {
        let level = match self.next_is_validation {
            true => &mut self.validation,
            false => &mut self.level,
        };
        update_mean(level, loads, LEVEL_WEIGHT);
        self.next_is_validation = !self.next_is_validation;
        let slot = hour.rem_euclid(HOURS_PER_DAY as f64) as usize;
        update_mean(&mut self.profile[slot], loads, PROFILE_WEIGHT);
    }

    /// Returns the present loads, from reports that `expected` does not use.
    pub fn validation(&self) -> Option<&Loads> {
        self.validation.as_ref()
    }

    /// Returns the loads expected for a horizon that begins at `hour`.
    ///
    /// The profile shows how the middle of the horizon differs from this hour.
    /// Where it has no loads for one of the two hours yet, the present loads
    /// are expected to last.
    pub fn expected(&self, hour: f64, horizon_h: f64) -> Option<Loads> {
        let level = self.level.as_ref()?;
        let now = hour.rem_euclid(HOURS_PER_DAY as f64) as usize;
        let ahead = (hour + horizon_h / 2.0).rem_euclid(HOURS_PER_DAY as f64) as usize;
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

/// Moves each value of the mean towards the new one by `weight`; the first loads
/// become the mean unchanged.
fn update_mean(mean: &mut Option<Loads>, loads: &Loads, weight: f64) {
    let Some(mean) = mean else {
        *mean = Some(loads.clone());
        return;
    };
    for layer in 0..loads.shape().layers {
        let new = loads.layer(layer);
        for (value, new) in mean.layer_mut(layer).iter_mut().zip(new) {
            *value += weight * (new - *value);
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
    fn after_a_day_of_reports_the_evening_peak_is_expected() {
        let mut forecast = Forecast::new();
        for hour in 0..48 {
            let peak = if hour % 24 >= 18 { 4.0 } else { 1.0 };
            forecast.observe(f64::from(hour), &loads(peak));
        }
        for hour in 48..66 {
            forecast.observe(f64::from(hour), &loads(1.0));
        }
        let expected = forecast.expected(17.0, 2.0).expect("there are reports");
        assert!(expected.layer(0)[0] > 2.0);
        assert!((expected.layer(0)[1] - 1.0).abs() < 1e-9);
    }

    #[test]
    fn without_a_profile_the_present_loads_are_expected() {
        let mut forecast = Forecast::new();
        assert!(forecast.expected(1.0, 1.0).is_none());
        forecast.observe(1.0, &loads(3.0));
        assert_eq!(forecast.expected(1.0, 6.0), Some(loads(3.0)));
    }
}
