//! The decay of a message's value with its age.

use crate::model::{Class, Decay};

/// The number of stages of a message's value: on time, late, at its minimum, past its deadline.
pub const VALUE_STAGES: usize = 4;

/// The remaining value of a message at some age.
#[derive(Clone, Copy)]
pub struct RemainingValue {
    /// Ratio of the full value.
    pub ratio: f64,
    /// Number of the stage, from 0, below [`VALUE_STAGES`]. It only grows with age. Within a stage the ratio
    /// only falls or stays constant.
    pub stage: usize,
}

impl RemainingValue {
    /// Returns the remaining value of a message of a class at an age in seconds.
    pub fn at_age(class: &Class, decay: Decay, age_secs: f64) -> RemainingValue {
        let objective_secs = class.latency_objective.as_secs_f64();
        let deadline_secs = class.deadline.as_secs_f64();
        if age_secs > deadline_secs {
            return RemainingValue { ratio: 0.0, stage: VALUE_STAGES - 1 };
        }
        let late_secs = (age_secs - objective_secs).max(0.0);
        let (ratio, min_ratio) = match decay {
            Decay::Linear => (
                1.0 - (1.0 - class.late_value_ratio) * late_secs
                    / (deadline_secs - objective_secs).max(0.001),
                f64::NEG_INFINITY,
            ),
            Decay::Halving => ((-late_secs / objective_secs.max(0.001)).exp2(), class.late_value_ratio),
        };
        RemainingValue {
            ratio: ratio.max(min_ratio),
            stage: usize::from(late_secs > 0.0) + usize::from(ratio <= min_ratio),
        }
    }
}
