//! What a caller asks for: steps of tasks, perhaps at several times.

use std::sync::Arc;

use serde::{Deserialize, Serialize};
use snafu::Snafu;

/// Bytes of a job's text at most; the callers' interface promises it.
pub const MAX_TEXT_BYTES: usize = 4_000;
/// Tasks of one step at most. Far above any job seen; bounds what one caller can make us hold.
pub const MAX_STEP_TASKS: u32 = 4_096;
/// Steps of one job at most; bounds as [`MAX_STEP_TASKS`] does.
pub const MAX_STEPS: usize = 256;
/// Times of one job at most; bounds as [`MAX_STEP_TASKS`] does.
pub const MAX_OCCURRENCES: u32 = 10_000;

/// What a task needs of a worker, or what a worker has.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Resources {
    /// Thousandths of a core.
    pub cpu_millis: u64,
    /// Memory in MB.
    pub mem_mb: u64,
    /// Accelerators.
    pub gpus: u64,
}

impl Resources {
    /// More than anything needs.
    pub const UNLIMITED: Self = Self { cpu_millis: u64::MAX, mem_mb: u64::MAX, gpus: u64::MAX };

    /// Whether `self` fits into `free`.
    #[must_use]
    pub fn fits(&self, free: &Self) -> bool {
        self.cpu_millis <= free.cpu_millis && self.mem_mb <= free.mem_mb && self.gpus <= free.gpus
    }

    /// Adds `other`.
    pub fn add(&mut self, other: &Self) {
        *self = self.plus(other);
    }

    /// Both together.
    #[must_use]
    pub fn plus(&self, other: &Self) -> Self {
        self.zip_with(other, u64::saturating_add)
    }

    /// The smaller of each.
    #[must_use]
    pub fn component_min(&self, other: &Self) -> Self {
        self.zip_with(other, u64::min)
    }

    /// The larger of each.
    #[must_use]
    pub fn component_max(&self, other: &Self) -> Self {
        self.zip_with(other, u64::max)
    }

    fn zip_with(&self, other: &Self, combine: impl Fn(u64, u64) -> u64) -> Self {
        Self {
            cpu_millis: combine(self.cpu_millis, other.cpu_millis),
            mem_mb: combine(self.mem_mb, other.mem_mb),
            gpus: combine(self.gpus, other.gpus),
        }
    }

    /// What is left after taking `other`; 0 where `other` is larger.
    #[must_use]
    pub fn minus(&self, other: &Self) -> Self {
        self.zip_with(other, u64::saturating_sub)
    }
}

/// One step of a job: tasks that are alike.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct Step {
    /// Number of tasks.
    pub tasks: u32,
    /// What each needs.
    #[serde(rename = "room")]
    pub resources: Resources,
    /// The caller's guess of one task's duration, in ms.
    #[serde(skip_serializing_if = "is_default")]
    pub estimate_ms: u64,
    /// Steps that must have ended before.
    #[serde(skip_serializing_if = "is_default")]
    pub after: Vec<u32>,
    /// Whether tasks save checkpoints.
    #[serde(skip_serializing_if = "is_default")]
    pub checkpoints: bool,
    /// Whether the tasks run only all together.
    #[serde(skip_serializing_if = "is_default")]
    pub gang: bool,
    /// Whether a gang is slow when spread over racks.
    #[serde(skip_serializing_if = "is_default")]
    pub same_rack: bool,
    /// Label that the worker must have.
    #[serde(skip_serializing_if = "is_default")]
    pub requires: Option<Arc<str>>,
    /// Rack near the step's data.
    #[serde(rename = "near", skip_serializing_if = "is_default")]
    pub preferred_rack: Option<Arc<str>>,
    /// Most tasks of the step on one worker; 0 is no limit.
    #[serde(rename = "per_worker", skip_serializing_if = "is_default")]
    pub max_per_worker: u32,
    /// Whether a second copy of a task may run beside the first.
    #[serde(skip_serializing_if = "is_default")]
    pub speculative: bool,
    /// Whether tasks run until the job is cancelled.
    #[serde(rename = "lasting", skip_serializing_if = "is_default")]
    pub long_running: bool,
    /// What the tasks execute; tasks of one image behave alike.
    #[serde(skip_serializing_if = "is_default")]
    pub image: Option<Arc<str>>,
    /// Target for the tail of a lasting task's answer times, in ms; 0 is none.
    #[serde(skip_serializing_if = "is_default")]
    pub tail_target_ms: u64,
    /// Whether the tasks use only processor time that others leave.
    #[serde(rename = "filler", skip_serializing_if = "is_default")]
    pub best_effort: bool,
    /// Tasks of a lasting step that the system may take away at one time.
    #[serde(rename = "may_miss", skip_serializing_if = "is_default")]
    pub max_unavailable: Option<u32>,
}

impl Step {
    /// What one task reserves of a worker.
    #[must_use]
    pub fn reserved(&self) -> Resources {
        let cpu_millis = if self.best_effort { 0 } else { self.resources.cpu_millis };
        Resources { cpu_millis, ..self.resources }
    }
}

fn is_default<T: Default + PartialEq>(value: &T) -> bool {
    *value == T::default()
}

/// Times at which all steps run.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Repeat {
    /// Number of times.
    pub count: u32,
    /// The first, in ms since 1970.
    pub first_ms: u64,
    /// Between two, in ms.
    pub every_ms: u64,
}

/// A job as submitted.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Spec {
    /// Text that each task gets unchanged.
    pub text: Arc<str>,
    /// The steps.
    pub steps: Vec<Step>,
    /// Times; none runs the steps once, at once.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub repeat: Option<Repeat>,
}

/// A specification that contradicts itself or passes a bound.
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
pub enum SpecError {
    /// The text is too long.
    #[snafu(display("spec is {bytes} bytes long; at most {MAX_TEXT_BYTES} are taken"))]
    TextTooLong {
        /// Its length.
        bytes: usize,
    },
    /// No step, or too many.
    #[snafu(display("{steps} steps; 1 to {MAX_STEPS} are taken"))]
    StepCount {
        /// Their number.
        steps: usize,
    },
    /// A step without tasks, or with too many.
    #[snafu(display("steps[{step}] has {tasks} tasks; 1 to {MAX_STEP_TASKS} are taken"))]
    TaskCount {
        /// The step.
        step: usize,
        /// Its tasks.
        tasks: u32,
    },
    /// A step waits for one that is not before it.
    #[snafu(display("steps[{step}] comes after step {after}, which is not an earlier one"))]
    DependencyOrder {
        /// The step.
        step: usize,
        /// What it waits for.
        after: u32,
    },
    /// Too many times.
    #[snafu(display("{occurrences} times; at most {MAX_OCCURRENCES} are taken"))]
    OccurrenceCount {
        /// Their number.
        occurrences: u32,
    },
}

impl Spec {
    /// Number of times that the steps run.
    #[must_use]
    pub fn occurrences(&self) -> u32 {
        self.repeat.map_or(1, |repeat| repeat.count.max(1))
    }

    /// When a time is due, in ms since 1970; 0 without times.
    #[must_use]
    pub fn due_ms(&self, occurrence: u32) -> u64 {
        self.repeat.map_or(0, |repeat| {
            repeat.first_ms.saturating_add(u64::from(occurrence).saturating_mul(repeat.every_ms))
        })
    }

    /// Checks what the types leave open.
    ///
    /// # Errors
    ///
    /// [`SpecError`], the first that is found.
    pub fn check(&self) -> Result<(), SpecError> {
        let bytes = self.text.len();
        if bytes > MAX_TEXT_BYTES {
            return TextTooLongSnafu { bytes }.fail();
        }
        let steps = self.steps.len();
        if steps == 0 || steps > MAX_STEPS {
            return StepCountSnafu { steps }.fail();
        }
        if self.occurrences() > MAX_OCCURRENCES {
            return OccurrenceCountSnafu { occurrences: self.occurrences() }.fail();
        }
        for (number, step) in self.steps.iter().enumerate() {
            if step.tasks == 0 || step.tasks > MAX_STEP_TASKS {
                return TaskCountSnafu { step: number, tasks: step.tasks }.fail();
            }
            let later = step.after.iter().find(|after| **after as usize >= number);
            if let Some(after) = later {
                return DependencyOrderSnafu { step: number, after: *after }.fail();
            }
        }
        Ok(())
    }

    /// Longest chain of the caller's estimates from a step to the end, per step, in ms.
    #[must_use]
    pub fn critical_paths_ms(&self) -> Vec<u64> {
        let mut remaining = vec![0; self.steps.len()];
        for (number, step) in self.steps.iter().enumerate().rev() {
            remaining[number] += step.estimate_ms;
            let through = remaining[number];
            for after in &step.after {
                let before = &mut remaining[*after as usize];
                *before = through.max(*before);
            }
        }
        remaining
    }
}
