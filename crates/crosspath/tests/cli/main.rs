//! The command line against a real daemon, as an operator uses it.

mod evacuate;
mod trace;

use std::path::PathBuf;
use std::process::{Command, Output};

use crosspath_fakes::site::{OPERATOR_TOKEN, Plan, Site};

/// Returns the path of the daemon's program. Tests of the whole workspace build it next to the
/// command line; tests of this package alone build it here if it is missing.
fn daemon_program() -> PathBuf {
    let tool = PathBuf::from(env!("CARGO_BIN_EXE_crosspath"));
    let program = tool.with_file_name("crosspathd");
    if program.exists() {
        return program;
    }
    let mut build = Command::new(env!("CARGO"));
    build.args(["build", "--quiet", "-p", "crosspathd", "--bin", "crosspathd"]);
    if tool.parent().is_some_and(|folder| folder.ends_with("release")) {
        build.arg("--release");
    }
    assert!(build.status().expect("cargo runs").success());
    program
}

struct Tool<'a> {
    site: &'a Site,
}

impl Tool<'_> {
    async fn output(&self, args: &[&str]) -> Output {
        let mut command = Command::new(env!("CARGO_BIN_EXE_crosspath"));
        command.env("CROSSPATH_SERVER", self.site.daemons[0].operators.to_string());
        command.env("CROSSPATH_TOKEN", OPERATOR_TOKEN);
        command.args(args);
        let running = tokio::task::spawn_blocking(move || command.output());
        running.await.expect("task is not cancelled").expect("command line runs")
    }

    /// Runs the command line and returns its exit code and output.
    async fn run(&self, args: &[&str]) -> (i32, String) {
        let output = self.output(args).await;
        let mut text = String::from_utf8_lossy(&output.stdout).into_owned();
        text += &String::from_utf8_lossy(&output.stderr);
        (output.status.code().unwrap_or(-1), text)
    }
}

fn fixture(name: &str) -> String {
    format!("{}/tests/cli/fixtures/{name}", env!("CARGO_MANIFEST_DIR"))
}

#[tokio::test(flavor = "multi_thread")]
async fn resources_are_declared_shown_serviced_and_removed() {
    let site = Site::start(&Plan::new(daemon_program(), 1)).await.expect("site starts");
    let tool = Tool { site: &site };
    let file = fixture("small.json");
    let (code, plan) = tool.run(&["apply", "--dry-run", "-f", &file]).await;
    assert_eq!(code, 0, "{plan}");
    insta::assert_snapshot!("dry_run", plan);
    assert_eq!(tool.run(&["diff", "-f", &file]).await.0, 1);
    let (code, applied) = tool.run(&["apply", "--wait", "-f", &file]).await;
    assert_eq!(code, 0, "{applied}");
    assert_eq!(tool.run(&["diff", "-f", &file]).await, (0, "no differences\n".to_owned()));
    let (_, pools) = tool.run(&["get", "pools"]).await;
    insta::with_settings!({ filters => vec![(r"\s+\d+  ", "  REV  ")] }, {
        insta::assert_snapshot!("pools", pools);
    });
    assert!(pools.lines().all(|line| line.chars().count() <= 100), "{pools}");
    let (code, json) = tool.run(&["--output-format", "json", "get", "vm", "vm-1"]).await;
    let vm: serde_json::Value = serde_json::from_str(&json).expect("output is JSON");
    assert_eq!((code, &vm["status"]["phase"]), (0, &serde_json::json!("serving")));
    let (code, wave) = tool.run(&["wave", "create", "first", "counter"]).await;
    assert_eq!(code, 0, "{wave}");
    assert!(wave.starts_with("first [....."), "{wave}");
    let (code, paused) = tool.run(&["wave", "pause", "first"]).await;
    assert_eq!(code, 0, "{paused}");
    assert!(paused.contains("paused (operator)"), "{paused}");
    let (_, why) = tool.run(&["explain", "vm", "vm-2"]).await;
    assert!(why.contains("blocked by") && why.contains("paused"), "{why}");
    let (code, cancelled) = tool.run(&["wave", "cancel", "first"]).await;
    assert_eq!(code, 0, "{cancelled}");
    let (code, _) = tool.run(&["delete", "wave", "first"]).await;
    assert!(code == 0 || code == 3, "deleted, or refused while a VM is still being serviced");
    let (code, status) = tool.run(&["status"]).await;
    assert_eq!(code, 0);
    assert!(status.contains("entry-1") && status.contains("log up"), "{status}");
}

#[tokio::test(flavor = "multi_thread")]
async fn exit_codes_distinguish_the_failures() {
    let site = Site::start(&Plan::new(daemon_program(), 1)).await.expect("site starts");
    let tool = Tool { site: &site };
    assert_eq!(tool.run(&["get", "pool", "none"]).await.0, 3);
    assert_eq!(tool.run(&["apply", "-f", &fixture("broken.json")]).await.0, 2);
    assert_eq!(tool.run(&["apply", "-f", &fixture("missing.json")]).await.0, 2);
    assert_eq!(tool.run(&["delete", "pool", "none"]).await.0, 3);
    let (code, unknown_field) = tool.run(&["apply", "-f", &fixture("typo.json")]).await;
    assert_eq!(code, 2, "{unknown_field}");
    assert!(unknown_field.contains("max_unavailable"), "{unknown_field}");
    let down = crosspath_fakes::fault::LogFault { down: true, ..Default::default() };
    site.fakes.set_log_fault(down);
    let (code, refused) = tool.run(&["apply", "-f", &fixture("small.json")]).await;
    assert_eq!(code, 4, "{refused}");
    let unreachable = ["--server", "127.0.0.1:1", "status"];
    assert_eq!(tool.run(&unreachable).await.0, 4);
}

#[test]
fn help_hides_the_token_and_completion_is_offered() {
    let run = |args: &[&str]| {
        let mut tool = Command::new(env!("CARGO_BIN_EXE_crosspath"));
        let output = tool.env("CROSSPATH_TOKEN", OPERATOR_TOKEN).args(args).output();
        String::from_utf8_lossy(&output.expect("command line runs").stdout).into_owned()
    };
    let help = run(&["--help"]);
    assert!(!help.contains(OPERATOR_TOKEN), "{help}");
    insta::assert_snapshot!("help", help);
    let completion = run(&["--bpaf-complete-style-bash"]);
    assert!(completion.contains("crosspath"), "{completion}");
}
