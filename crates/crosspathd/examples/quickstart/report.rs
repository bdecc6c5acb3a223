//! Results of the run, as text and as JSON.

use std::time::Duration;

use serde_json::{Value, json};

use crate::audit::Audit;
use crate::traffic::{Outcome, Results};

pub(crate) struct Report {
    counts: Value,
    lines: Vec<String>,
    clean: bool,
}

impl Report {
    pub(crate) fn new(results: &Results, audit: &Audit, wave_time: Option<Duration>) -> Self {
        let runs = |payment: &String| audit.runs.get(payment).copied().unwrap_or_default();
        let with_outcome = |wanted: Outcome| {
            results.outcomes.iter().filter(move |(_, outcome)| **outcome == wanted)
        };
        let not_idempotent = results.idempotent.iter().filter(|(_, idempotent)| !**idempotent);
        let doubled = not_idempotent.filter(|(payment, _)| runs(payment) > 1).count();
        let not_run_but_run =
            with_outcome(Outcome::NotRun).filter(|(payment, _)| runs(payment) > 0).count();
        let run = results.outcomes.keys().filter(|payment| runs(payment) > 0).count();
        let answered_not_run =
            with_outcome(Outcome::Answered).filter(|(payment, _)| runs(payment) == 0).count();
        let over_bound = match (wave_time, audit.bound) {
            (Some(time), Some(bound)) => Some(time.as_secs_f64() / bound.as_secs_f64()),
            _ => None,
        };
        let moves_per_vm = f64::from(audit.moves) / audit.vms_total.max(1) as f64;
        let counts = json!({
            "payments_sent": results.outcomes.len(),
            "payments_run": run,
            "payments_doubled": doubled,
            "not_run_but_run": not_run_but_run,
            "answers_crossed": results.mismatched,
            "vms_total": audit.vms_total,
            "vms_serviced": audit.vms_serviced,
            "budget_violations": audit.budget_violations,
            "vms_in_two_pools": audit.vms_in_two_pools,
            "wave_over_bound": over_bound,
            "moves_per_vm": moves_per_vm,
            "requests_cut_off": audit.requests_cut_off,
        });
        let no_violations = doubled == 0
            && not_run_but_run == 0
            && answered_not_run == 0
            && results.mismatched == 0
            && audit.budget_violations == 0
            && audit.vms_in_two_pools == 0
            && audit.requests_cut_off == 0
            && audit.jobs_cut_off == 0
            && audit.slot_overshoot == 0;
        let clean = no_violations && run > 0 && audit.vms_serviced == audit.vms_total;
        let mut lines = vec![
            format!("payments sent            {}", results.outcomes.len()),
            format!("payments run             {run}"),
            format!("payments doubled         {doubled}"),
            format!("'not run' but run        {not_run_but_run}"),
            format!("answered but not run     {answered_not_run}"),
            format!("answers crossed          {}", results.mismatched),
            format!("told 'not run'           {}", with_outcome(Outcome::NotRun).count()),
            format!("told 'unknown'           {}", with_outcome(Outcome::Unknown).count()),
            format!("unanswered               {}", with_outcome(Outcome::Nothing).count()),
            format!("VMs serviced             {} of {}", audit.vms_serviced, audit.vms_total),
            format!("budget violations        {}", audit.budget_violations),
            format!("VMs in two pools         {}", audit.vms_in_two_pools),
            format!("requests cut off         {}", audit.requests_cut_off),
            format!("jobs cut off             {}", audit.jobs_cut_off),
            format!("slots overshot by        {}", audit.slot_overshoot),
            format!("wave time                {wave_time:?}, at best {:?}", audit.bound),
            format!("moves per VM             {moves_per_vm:.2}"),
        ];
        for (class, histogram) in &results.latency_us {
            let Some(histogram) = histogram else { continue };
            let ms = |quantile| histogram.value_at_quantile(quantile) as f64 / 1_000.0;
            lines.push(format!("{class:<8} p50 {:.1} ms  p99 {:.1} ms", ms(0.5), ms(0.99)));
        }
        Self { counts, lines, clean }
    }

    pub(crate) fn is_clean(&self) -> bool {
        self.clean
    }

    pub(crate) fn print(&self, json: bool) {
        for line in &self.lines {
            println!("{line}");
        }
        if json {
            println!("{}", self.counts);
        }
    }
}
