//! Maintenance waves while daemons, VMs or the log fail.

use std::time::Duration;

use crosspath_fakes::site::{Plan, Site};
use crosspath_http::client::Method;
use crosspath_state::resource::Kind;
use serde_json::{Value, json};

use crate::common::{self, WAIT_LIMIT};

const WAVE_LIMIT: Duration = Duration::from_secs(40);

fn plan() -> Plan {
    let mut plan = common::plan(6)
        .with(Kind::Job, "fixed", common::job(4, false))
        .with(Kind::Job, "import-0", common::job(8, true))
        .with(Kind::Job, "import-1", common::job(8, true));
    plan.fakes.reboot_ms = 300;
    plan
}

async fn create(site: &Site, spec: Value) {
    common::put(site, 0, "/v1/waves/w", spec).await.expect("accepted");
}

async fn phase(site: &Site, index: usize) -> String {
    let wave = common::get(site, index, "/v1/waves/w").await;
    wave["status"]["phase"]["phase"].as_str().unwrap_or_default().to_owned()
}

/// Sets the phase of the wave. The name is that of the stored change.
async fn steer(site: &Site, index: usize, phase: Value) {
    let operator = site.daemons[index].operator();
    let body = json!({ "phase": phase });
    let put = operator.call::<Value>(Method::PUT, "/v1/waves/w/phase", Some(&body)).await;
    put.expect("accepted");
}

/// Waits until `met` returns `true`; panics if more than `max` VMs are unavailable at a time.
async fn watch_budget(site: &Site, max: usize, what: &str, met: impl AsyncFn() -> bool) {
    site.wait(WAVE_LIMIT, what, async || {
        let out = site.fakes.audits().iter().filter(|vm| !vm.up || vm.drained).count();
        assert!(out <= max, "{out} VMs are unavailable, at most {max} are allowed");
        met().await
    })
    .await
    .expect("condition is met in time with the budget kept");
}

fn reboots(site: &Site) -> Vec<u32> {
    site.fakes.audits().iter().map(|vm| vm.reboots).collect()
}

#[tokio::test(flavor = "multi_thread")]
async fn wave_services_every_vm_once_when_its_planner_is_killed() {
    let mut site = common::start(&plan()).await;
    create(&site, json!({ "pools": ["counter"] })).await;
    let half = async || reboots(&site).iter().sum::<u32>() >= 2;
    watch_budget(&site, 2, "half way", half).await;
    site.daemons[0].kill();
    watch_budget(&site, 2, "done", async || phase(&site, 1).await == "done").await;
    assert_eq!(reboots(&site), [1; 6]);
    let interrupted: u32 = site.fakes.audits().iter().map(|vm| vm.cut_off + vm.jobs_cut_off).sum();
    assert_eq!(interrupted, 0);
    let jobs = common::get(&site, 1, "/v1/jobs").await;
    for job in jobs["items"].as_array().expect("a list") {
        let moves = job["status"]["moves"].as_u64();
        let most = if job["name"] == "fixed" { 1 } else { 0 };
        assert!(moves <= Some(most), "{job}");
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn frozen_daemon_delays_a_wave_at_most_until_its_lease_expires() {
    let site = common::start(&plan()).await;
    site.daemons[2].freeze();
    create(&site, json!({ "pools": ["counter"] })).await;
    watch_budget(&site, 2, "done", async || phase(&site, 0).await == "done").await;
    assert_eq!(reboots(&site), [1; 6]);
    site.daemons[2].thaw();
    site.wait_ready(2).await.expect("member again");
}

#[tokio::test(flavor = "multi_thread")]
async fn wave_resumes_after_a_log_outage() {
    let site = common::start(&plan()).await;
    create(&site, json!({ "pools": ["counter"] })).await;
    let begun = async || reboots(&site).iter().sum::<u32>() >= 1;
    watch_budget(&site, 2, "begun", begun).await;
    let down = crosspath_fakes::fault::LogFault { down: true, ..Default::default() };
    site.fakes.set_log_fault(down);
    tokio::time::sleep(Duration::from_millis(1_500)).await;
    site.fakes.set_log_fault(Default::default());
    watch_budget(&site, 2, "done", async || phase(&site, 0).await == "done").await;
    assert_eq!(reboots(&site), [1; 6]);
}

#[tokio::test(flavor = "multi_thread")]
async fn paused_wave_starts_no_reboot_and_cancelled_wave_returns_vms_to_service() {
    let mut plan = plan();
    plan.fakes.reboot_ms = 800;
    let site = common::start(&plan).await;
    create(&site, json!({ "pools": ["counter"] })).await;
    let begun = async || reboots(&site).iter().sum::<u32>() >= 1;
    watch_budget(&site, 2, "begun", begun).await;
    steer(&site, 1, json!({ "phase": "paused", "cause": "operator" })).await;
    tokio::time::sleep(Duration::from_millis(2_500)).await;
    let paused = reboots(&site);
    tokio::time::sleep(Duration::from_millis(1_500)).await;
    assert_eq!(reboots(&site), paused);
    let obstacle = common::get(&site, 0, "/v1/explain/vms/vm-5").await;
    assert_eq!(obstacle["obstacles"][0]["reason"], "paused", "{obstacle}");
    steer(&site, 1, json!({ "phase": "cancelled" })).await;
    site.wait(WAIT_LIMIT, "all serving", async || {
        let vms = common::get(&site, 0, "/v1/vms").await;
        let vms = vms["items"].as_array().cloned().unwrap_or_default();
        vms.iter().all(|vm| vm["status"]["phase"] == "serving")
            && site.fakes.audits().iter().all(|vm| vm.up && !vm.drained)
    })
    .await
    .expect("all VMs are serving again");
    let refused = site.daemons[0].operator();
    let body = json!({ "phase": { "phase": "running" } });
    let refused = refused.call::<Value>(Method::PUT, "/v1/waves/w/phase", Some(&body)).await;
    assert!(refused.is_err());
}

#[tokio::test(flavor = "multi_thread")]
async fn failures_use_the_budget_and_pause_the_wave() {
    let mut plan = plan();
    plan.fakes.reboot_ms = 1_500;
    let site = common::start(&plan).await;
    create(&site, json!({ "pools": ["counter"], "pause_after_failures": 2 })).await;
    let victims: Vec<_> = ["vm-4", "vm-5"].iter().map(|vm| vm.parse().expect("a name")).collect();
    for vm in &victims {
        site.fakes.set_up(vm, false);
    }
    site.wait(WAIT_LIMIT, "paused", async || phase(&site, 0).await == "paused")
        .await
        .expect("paused");
    let wave = common::get(&site, 0, "/v1/waves/w").await;
    assert_eq!(wave["status"]["phase"]["cause"], "correlated_failures");
    for vm in &victims {
        site.fakes.set_up(vm, true);
    }
    site.wait(WAIT_LIMIT, "recovered", async || {
        let pool = common::get(&site, 0, "/v1/pools/counter").await;
        pool["status"]["failed"] == 0
    })
    .await
    .expect("recovered");
    steer(&site, 0, json!({ "phase": "running" })).await;
    watch_budget(&site, 4, "done", async || phase(&site, 0).await == "done").await;
}
