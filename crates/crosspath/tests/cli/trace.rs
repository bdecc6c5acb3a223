//! `crosspath trace` over saved logs.

use std::process::{Command, Output};

fn trace(job: &str, files: &[&str]) -> Output {
    trace_with(&[], job, files)
}

fn trace_with(flags: &[&str], job: &str, files: &[&str]) -> Output {
    let fixture = |name: &&str| format!("{}/tests/cli/fixtures/{name}", env!("CARGO_MANIFEST_DIR"));
    let mut command = Command::new(env!("CARGO_BIN_EXE_crosspath"));
    command.env_remove("CROSSPATH_SERVER").arg("trace").args(flags).arg(job);
    command.args(files.iter().map(fixture)).output().expect("command line runs")
}

/// Returns the `event` of each printed line.
fn events(output: &Output) -> Vec<String> {
    let text = String::from_utf8_lossy(&output.stdout).into_owned();
    let event = |line: &str| line.split("event=").nth(1)?.split(' ').next().map(str::to_owned);
    text.lines().filter_map(event).collect()
}

#[test]
fn lines_of_a_job_are_merged_over_all_daemons_in_order() {
    let output = trace_with(&["--all"], "00000000000000a1", &["entry-a.log", "entry-b.log"]);
    let expected = [
        "shard_claimed",
        "submit",
        "run_placed",
        "worker_silent",
        "run_placed",
        "run_ended",
        "job_ended",
    ];
    assert_eq!(
        events(&output),
        expected,
        "includes neither the other job nor the worker that the job did not use"
    );
    assert_eq!(output.status.code(), Some(0));
}

#[test]
fn a_job_in_no_line_is_an_error() {
    let output = trace("00000000000000ff", &["entry-a.log"]);
    assert_eq!(output.status.code(), Some(2));
    let error = String::from_utf8_lossy(&output.stderr).into_owned();
    assert!(error.contains("00000000000000ff"), "{error}");
}

#[test]
fn a_missing_file_is_named() {
    let output = trace("00000000000000a1", &["none.log"]);
    assert_eq!(output.status.code(), Some(2));
    assert!(String::from_utf8_lossy(&output.stderr).contains("none.log"));
}

#[test]
fn a_summary_gives_lateness_and_the_cause_of_the_longest_wait() {
    let output = trace("00000000000000a1", &["entry-a.log", "entry-b.log"]);
    let text = String::from_utf8_lossy(&output.stdout).into_owned();
    let lines: Vec<_> = text.lines().collect();
    assert_eq!(
        lines[..2],
        [
            "completed after 3100 ms, 600 ms late for 2500 ms; longest wait 900 ms before step 0.0 \
             (no worker with room)",
            "step 0.0: 2 runs placed, 1 done, 0 otherwise; longest wait 900 ms (no worker with \
             room); longest run 700 ms",
        ]
    );
    assert_eq!(
        events(&output),
        ["shard_claimed", "submit", "job_ended"],
        "includes no line of a task"
    );
}

#[test]
fn a_summary_counts_the_workers_lost_by_an_abandoned_task() {
    let output = trace("00000000000000d4", &["entry-d.log"]);
    let text = String::from_utf8_lossy(&output.stdout).into_owned();
    let lines: Vec<_> = text.lines().collect();
    assert_eq!(
        lines[..2],
        [
            "failed after 10400 ms: 3 workers were lost under 00000000000000d4.0.0.2",
            "step 0.0: 3 runs placed, 0 done, 3 otherwise; no wait; longest run 0 ms",
        ]
    );
}

#[test]
fn a_wait_during_a_takeover_is_attributed_to_it() {
    let output = trace("00000000000000c3", &["entry-c.log"]);
    let text = String::from_utf8_lossy(&output.stdout).into_owned();
    let verdict = "not ended in these logs; longest wait 1800 ms before step 0.1 (its shard was \
                   taken over)";
    assert_eq!(text.lines().next(), Some(verdict));
}

#[test]
fn a_summary_names_the_relays_by_which_starts_went() {
    let output = trace("00000000000000e5", &["entry-e.log"]);
    let text = String::from_utf8_lossy(&output.stdout).into_owned();
    assert_eq!(
        text.lines().nth(1),
        Some(
            "step 0.0: 2 runs placed, 1 done, 0 otherwise; no wait; longest run 500 ms; 1 starts by \
             relay 10.2.0.4:7740"
        )
    );
}
