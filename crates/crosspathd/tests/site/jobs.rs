//! Jobs on VMs that fail, and VMs that are updated during their reboot.

use std::time::{Duration, Instant};

use crosspath_fakes::site::Site;
use crosspath_state::resource::Kind;
use serde_json::json;

use crate::common::{self, WAIT_LIMIT};

/// Urgent jobs must start within 1.9 s.
const URGENT_START: Duration = Duration::from_millis(1_900);

async fn assigned_vm(site: &Site, index: usize, job: &str) -> Option<String> {
    let job = common::get(site, index, &format!("/v1/jobs/{job}")).await;
    job["status"]["phase"]["vm"].as_str().map(ToOwned::to_owned)
}

fn total_starts(site: &Site) -> u32 {
    site.fakes.audits().iter().map(|vm| vm.job_starts).sum()
}

#[tokio::test(flavor = "multi_thread")]
async fn job_of_a_failed_vm_starts_elsewhere() {
    let plan = common::plan(3).with(Kind::Job, "fixed", common::job(4, false));
    let site = common::start(&plan).await;
    site.wait(WAIT_LIMIT, "started", async || total_starts(&site) == 1).await.expect("started");
    let first = assigned_vm(&site, 0, "fixed").await.expect("placed");
    site.fakes.set_up(&first.parse().expect("a name"), false);
    site.wait(WAIT_LIMIT, "started again", async || total_starts(&site) == 2)
        .await
        .expect("started again");
    let second = assigned_vm(&site, 0, "fixed").await.expect("placed");
    assert_ne!(first, second);
    // When the failed VM is up again, it gets no second copy of the job.
    site.fakes.set_up(&first.parse().expect("a name"), true);
    tokio::time::sleep(Duration::from_secs(3)).await;
    assert_eq!((total_starts(&site), assigned_vm(&site, 0, "fixed").await), (2, Some(second)));
}

#[tokio::test(flavor = "multi_thread")]
async fn urgent_job_starts_soon_after_it_is_declared() {
    let site = common::start(&common::plan(3)).await;
    let mut spec = common::job(4, false);
    spec["class"] = json!("urgent");
    let declared = Instant::now();
    common::put(&site, 1, "/v1/jobs/urgent", spec).await.expect("accepted");
    site.wait(URGENT_START, "started", async || total_starts(&site) == 1).await.expect("in time");
    println!("urgent job started after {:?}", declared.elapsed());
}

#[tokio::test(flavor = "multi_thread")]
async fn job_that_fits_no_vm_is_explained() {
    let plan = common::plan(2).with(Kind::Job, "huge", common::job(64, false));
    let site = common::start(&plan).await;
    let explanation = common::get(&site, 2, "/v1/explain/jobs/huge").await;
    assert_eq!(
        explanation["obstacles"][0],
        json!({ "reason": "never_fits", "what": "cores" }),
        "{explanation}"
    );
}

/// Updates every VM's resource repeatedly during a wave. A VM must not be rebooted a second time
/// because its resource changed while it rebooted.
#[tokio::test(flavor = "multi_thread")]
async fn vm_updated_during_a_wave_reboots_once() {
    let mut plan = common::plan(3);
    plan.fakes.reboot_ms = 600;
    let site = common::start(&plan).await;
    common::put(&site, 0, "/v1/waves/w", json!({ "pools": ["counter"] })).await.expect("accepted");
    let done =
        async || common::get(&site, 0, "/v1/waves/w").await["status"]["phase"]["phase"] == "done";
    let mut number = 0;
    while !done().await {
        for (name, address) in &site.fakes.vms {
            let mut spec = common::vm(0);
            spec["address"] = json!(address);
            spec["memory_mb"] = json!(131_072 + number);
            let path = format!("/v1/vms/{name}");
            common::put(&site, number % 3, &path, spec).await.expect("accepted");
        }
        number += 1;
        assert!(number < 200, "the wave did not finish");
    }
    let reboots: Vec<u32> = site.fakes.audits().iter().map(|vm| vm.reboots).collect();
    assert_eq!(reboots, [1, 1, 1]);
    // A new wave with the name of a deleted one reboots the VMs again.
    let operator = site.daemons[0].operator();
    let method = crosspath_http::client::Method::DELETE;
    let deleted = operator.call::<serde_json::Value>(method, "/v1/waves/w", None::<&()>).await;
    deleted.expect("deleted");
    common::put(&site, 0, "/v1/waves/w", json!({ "pools": ["counter"] })).await.expect("accepted");
    site.wait(WAIT_LIMIT, "done again", done).await.expect("done again");
    let reboots: Vec<u32> = site.fakes.audits().iter().map(|vm| vm.reboots).collect();
    assert_eq!(reboots, [2, 2, 2]);
}
