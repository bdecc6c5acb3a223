//! Specification of a job: steps of tasks, run once or at regular intervals.

use std::sync::Arc;

use serde::{Deserialize, Serialize};
use snafu::Snafu;

/// Maximum size of a job's text in bytes, as promised to callers.
pub const MAX_TEXT_BYTES: usize = 4_000;
/// Maximum number of tasks in a step. Far above the size of real jobs; bounds the memory that one
/// caller can make a daemon use.
pub const MAX_STEP_TASKS: u32 = 4_096;
/// Maximum number of steps in a job. Bounds memory as [`MAX_STEP_TASKS`] does.
pub const MAX_STEPS: usize = 256;
/// Maximum number of occurrences of a job. Bounds memory as [`MAX_STEP_TASKS`] does.
pub const MAX_OCCURRENCES: u32 = 10_000;

/// Resources that a task requires or a worker provides.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Resources {
    /// Processor time in thousandths of a core.
    pub cpu_millis: u64,
    /// Memory in MB. Best-effort tasks reserve it too.
    pub mem_mb: u64,
    /// Number of accelerators. Best-effort tasks reserve them too.
    pub gpus: u64,
}

impl Resources {
    /// Larger than any requirement; stands for the absence of a limit.
    pub const UNLIMITED: Self = Self { cpu_millis: u64::MAX, mem_mb: u64::MAX, gpus: u64::MAX };

    /// Whether `self` fits within `free` in every component.
    #[must_use]
    pub fn fits(&self, free: &Self) -> bool {
        self.cpu_millis <= free.cpu_millis && self.mem_mb <= free.mem_mb && self.gpus <= free.gpus
    }

    /// Adds `other` in place; each component saturates.
    pub fn add(&mut self, other: &Self) {
        *self = self.plus(other);
    }

    /// Component-wise sum; each component saturates.
    #[must_use]
    pub fn plus(&self, other: &Self) -> Self {
        self.zip_with(other, u64::saturating_add)
    }

    /// Smaller value of each component.
    #[must_use]
    pub fn component_min(&self, other: &Self) -> Self {
        self.zip_with(other, u64::min)
    }

    /// Larger value of each component.
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

    /// Component-wise difference; 0 where `other` is larger.
    #[must_use]
    pub fn minus(&self, other: &Self) -> Self {
        self.zip_with(other, u64::saturating_sub)
    }
}

/// Step of a job: a group of identical tasks.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct Step {
    /// Number of tasks in the step.
    pub tasks: u32,
    /// Resources that each task requires.
    #[serde(rename = "room")]
    pub resources: Resources,
    /// Duration of one task as estimated by the caller, in ms; 0 if there is no estimate.
    #[serde(skip_serializing_if = "is_default")]
    pub estimate_ms: u64,
    /// Indices of the steps whose tasks must all end successfully before this one starts.
    #[serde(skip_serializing_if = "is_default")]
    pub after: Vec<u32>,
    /// Whether the tasks save checkpoints, from which a later run can resume.
    #[serde(skip_serializing_if = "is_default")]
    pub checkpoints: bool,
    /// Whether the tasks are gang-scheduled: all run at the same time or none does.
    #[serde(skip_serializing_if = "is_default")]
    pub gang: bool,
    /// Whether the gang runs slowly if it is spread over several racks. Placement then prefers a
    /// single rack.
    #[serde(skip_serializing_if = "is_default")]
    pub same_rack: bool,
    /// Label that a worker must have to run the tasks; `None` permits all workers.
    #[serde(skip_serializing_if = "is_default")]
    pub requires: Option<Arc<str>>,
    /// Label of the rack close to the step's data. Workers there are preferred, not required.
    #[serde(rename = "near", skip_serializing_if = "is_default")]
    pub preferred_rack: Option<Arc<str>>,
    /// Maximum number of the step's tasks on one worker; 0 means no limit.
    #[serde(rename = "per_worker", skip_serializing_if = "is_default")]
    pub max_per_worker: u32,
    /// Whether a speculative second run of a task may be started beside the first.
    #[serde(skip_serializing_if = "is_default")]
    pub speculative: bool,
    /// Whether the tasks run until the job is cancelled.
    #[serde(rename = "lasting", skip_serializing_if = "is_default")]
    pub long_running: bool,
    /// Image that the tasks execute. Tasks of the same image behave alike.
    #[serde(skip_serializing_if = "is_default")]
    pub image: Option<Arc<str>>,
    /// Target for the tail latency of a long-running task, in ms; 0 means none.
    #[serde(skip_serializing_if = "is_default")]
    pub tail_target_ms: u64,
    /// Whether the tasks use only processor time that other tasks leave idle.
    #[serde(rename = "filler", skip_serializing_if = "is_default")]
    pub best_effort: bool,
    /// Limit on moving tasks of a long-running step off workers that are to be vacated: a task is
    /// stopped only while fewer than this number of the others are unavailable. `None` means 1.
    #[serde(rename = "may_miss", skip_serializing_if = "is_default")]
    pub max_unavailable: Option<u32>,
}

impl Step {
    /// Resources that one task reserves on its worker. A best-effort task reserves no processor
    /// time.
    #[must_use]
    pub fn reserved(&self) -> Resources {
        let cpu_millis = if self.best_effort { 0 } else { self.resources.cpu_millis };
        Resources { cpu_millis, ..self.resources }
    }
}

fn is_default<T: Default + PartialEq>(value: &T) -> bool {
    *value == T::default()
}

/// Schedule on which all steps of the job are repeated.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Repeat {
    /// Number of occurrences; 0 counts as 1.
    pub count: u32,
    /// Due time of the first occurrence, in ms since 1970.
    pub first_ms: u64,
    /// Interval between two occurrences, in ms.
    pub every_ms: u64,
}

/// Job as submitted by the caller.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Spec {
    /// Text that is passed to each task unchanged.
    pub text: Arc<str>,
    /// Steps of the job; a step can depend only on earlier ones.
    pub steps: Vec<Step>,
    /// Repetition schedule; if absent, the steps run once, immediately.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub repeat: Option<Repeat>,
}

/// Specification that is inconsistent or exceeds a limit.
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
pub enum SpecError {
    /// The text is longer than [`MAX_TEXT_BYTES`].
    #[snafu(display("spec is {bytes} bytes long; at most {MAX_TEXT_BYTES} are taken"))]
    TextTooLong {
        /// Length of the text in bytes.
        bytes: usize,
    },
    /// The job has no steps or more than [`MAX_STEPS`].
    #[snafu(display("{steps} steps; 1 to {MAX_STEPS} are taken"))]
    StepCount {
        /// Number of steps in the specification.
        steps: usize,
    },
    /// A step has no tasks or more than [`MAX_STEP_TASKS`].
    #[snafu(display("steps[{step}] has {tasks} tasks; 1 to {MAX_STEP_TASKS} are taken"))]
    TaskCount {
        /// Index of the rejected step, counted from 0.
        step: usize,
        /// Number of tasks that the step asks for.
        tasks: u32,
    },
    /// A step depends on itself or on a later step.
    #[snafu(display("steps[{step}] comes after step {after}, which is not an earlier one"))]
    DependencyOrder {
        /// Index of the dependent step.
        step: usize,
        /// Index of the step that it depends on.
        after: u32,
    },
    /// The job has more occurrences than [`MAX_OCCURRENCES`].
    #[snafu(display("{occurrences} times; at most {MAX_OCCURRENCES} are taken"))]
    OccurrenceCount {
        /// Number of occurrences that the repetition schedule asks for.
        occurrences: u32,
    },
}

impl Spec {
    /// Number of occurrences; at least 1.
    #[must_use]
    pub fn occurrences(&self) -> u32 {
        self.repeat.map_or(1, |repeat| repeat.count.max(1))
    }

    /// Due time of an occurrence in ms since 1970; 0 if the job has no schedule.
    #[must_use]
    pub fn due_ms(&self, occurrence: u32) -> u64 {
        self.repeat.map_or(0, |repeat| {
            repeat.first_ms.saturating_add(u64::from(occurrence).saturating_mul(repeat.every_ms))
        })
    }

    /// Checks the constraints that the types cannot express.
    ///
    /// # Errors
    ///
    /// The first violation found, as a [`SpecError`].
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

    /// Critical path from each step to the end of the job: the longest sum of the caller's
    /// estimates along dependent steps, including the step itself, in ms.
    #[must_use]
    pub fn critical_paths_ms(&self) -> Vec<u64> {
        self.longest_paths_ms(|number| self.steps[number].estimate_ms)
    }

    /// The same by other durations of the steps' tasks, in ms; `duration_ms` gets the index of a
    /// step.
    #[must_use]
    pub fn longest_paths_ms(&self, duration_ms: impl Fn(usize) -> u64) -> Vec<u64> {
        let mut remaining = vec![0; self.steps.len()];
        for (number, step) in self.steps.iter().enumerate().rev() {
            let through = duration_ms(number).saturating_add(remaining[number]);
            remaining[number] = through;
            for after in &step.after {
                let before = &mut remaining[*after as usize];
                *before = through.max(*before);
            }
        }
        remaining
    }
}
