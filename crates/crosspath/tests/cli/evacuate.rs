//! `crosspath evacuate` against a stand-in for the platform's store.

use std::process::Command;
use std::sync::Arc;

use std::time::{Duration, SystemTime, UNIX_EPOCH};

use crosspath_border::evacuation::{Progress, Tasks};
use crosspath_border::store::{NewRecord, Partition, Precondition, Store as _, Topic};
use crosspath_platform::LogStore;
use crosspath_platform_stand_in::store::Store;

/// Runs the command line and returns its exit code and output.
async fn run(store: &Store, args: &[&str]) -> (i32, String) {
    let mut command = Command::new(env!("CARGO_BIN_EXE_crosspath"));
    command.env("CROSSPATH_STORE", store.address().to_string()).args(args);
    let running = tokio::task::spawn_blocking(move || command.output());
    let output = running.await.expect("task is not cancelled").expect("command line runs");
    let text = [output.stdout, output.stderr].concat();
    (output.status.code().unwrap_or(-1), String::from_utf8_lossy(&text).into_owned())
}

async fn start_store() -> Arc<Store> {
    let store = Arc::new(Store::start().await.expect("store starts on a free port"));
    let entry = br#"{"service":"counter","address":"127.0.0.1:9","zone":"a","state":"ready",
        "call_seq":1,"capacity":{"cpu":8000,"mem_mb":32000}}"#;
    store.write_worker("w-1", entry);
    let elsewhere = String::from_utf8_lossy(entry).replace(r#""zone":"a""#, r#""zone":"z""#);
    store.write_worker("w-2", elsewhere.as_bytes());
    store
}

/// Stores what the owner of the fleet tells of the data centre `a`, after it has read the operators'
/// log up to `read_to`.
async fn publish(store: &Store, read_to: u64, finite: u32, in_force: bool) {
    let tasks = Tasks { vms: 1, finite, long_running: 0, finite_ms: 2_500 };
    let pools = [("counter".into(), tasks)].into();
    let now = SystemTime::now().duration_since(UNIX_EPOCH).expect("a time after 1970");
    let at_ms = u64::try_from(now.as_millis()).expect("a time of this age");
    let progress = Progress { at_ms, read_to, pools, unknown_vms: 0, in_force };
    let value = serde_json::to_vec(&progress).expect("progress serialises as JSON");
    let record = NewRecord { key: "a".to_owned(), value: value.into() };
    let partition = Partition { topic: Topic::Evacuations, number: 0 };
    let log = LogStore::new(store.address(), Duration::from_secs(5));
    let appended = log.append(partition, &[record], Precondition::Unconditional).await;
    appended.expect("the store takes the record");
}

#[tokio::test(flavor = "multi_thread")]
async fn an_evacuation_is_requested_and_withdrawn() {
    let store = start_store().await;
    let (code, text) = run(&store, &["evacuate", "a"]).await;
    assert_eq!(code, 0, "{text}");
    assert!(text.contains("counter"), "{text}");
    let (_, json) = run(&store, &["--output-format", "json", "evacuations"]).await;
    let evacuated: serde_json::Value = serde_json::from_str(&json).expect("output is JSON");
    assert_eq!(evacuated["a"]["counter"]["workers"], 1);
    let (code, text) = run(&store, &["evacuate", "--undo", "a"]).await;
    assert_eq!((code, text.trim()), (0, "no data centre is evacuated"));
}

#[tokio::test(flavor = "multi_thread")]
async fn an_unknown_data_centre_is_refused_by_name_and_nothing_is_stored() {
    let store = start_store().await;
    let (code, text) = run(&store, &["evacuate", "b"]).await;
    assert_eq!(code, 2);
    assert!(
        text.contains("no worker is in the data centre b; data centres with workers: a, z"),
        "{text}"
    );
    let (_, text) = run(&store, &["evacuations"]).await;
    assert_eq!(text.trim(), "no data centre is evacuated");
}

#[tokio::test(flavor = "multi_thread")]
async fn a_busy_store_gives_the_exit_code_for_nothing_changed() {
    let store = start_store().await;
    store.set_mode(crosspath_platform_stand_in::store::Mode::Busy);
    let (code, text) = run(&store, &["evacuate", "a"]).await;
    assert_eq!(code, 4, "{text}");
}

#[tokio::test(flavor = "multi_thread")]
async fn the_tasks_that_remain_are_shown_with_their_age() {
    let store = start_store().await;
    run(&store, &["evacuate", "a"]).await;
    let (_, text) = run(&store, &["evacuations"]).await;
    assert!(text.contains("not told yet"), "{text}");
    publish(&store, 100, 3, true).await;
    let (_, text) = run(&store, &["evacuations"]).await;
    assert!(text.contains("3 tasks remain") && text.contains("AGE"), "{text}");
    let (_, json) = run(&store, &["--output-format", "json", "evacuations"]).await;
    let evacuated: serde_json::Value = serde_json::from_str(&json).expect("output is JSON");
    let pool = &evacuated["a"]["counter"];
    assert_eq!((&pool["finite_tasks"], &pool["empty"]), (&3.into(), &false.into()), "{json}");
    assert_eq!((&pool["workers"], &pool["finite_ms"]), (&1.into(), &2_500.into()), "{json}");
}

/// What was told of an earlier evacuation says nothing about the present one.
#[tokio::test(flavor = "multi_thread")]
async fn progress_from_before_the_request_does_not_count() {
    let store = start_store().await;
    publish(&store, 0, 0, true).await;
    let (code, text) = run(&store, &["evacuate", "--wait", "--timeout", "0", "a"]).await;
    assert_eq!(code, 6, "{text}");
    assert!(text.contains("not told yet"), "{text}");
}

#[tokio::test(flavor = "multi_thread")]
async fn a_wait_ends_when_the_data_centre_is_empty() {
    let store = start_store().await;
    publish(&store, 100, 2, true).await;
    let wait = ["evacuate", "--wait", "--timeout", "60", "a"];
    let (waited, ()) = tokio::join!(run(&store, &wait), async {
        tokio::time::sleep(Duration::from_millis(300)).await;
        publish(&store, 101, 0, false).await;
        tokio::time::sleep(Duration::from_millis(700)).await;
        publish(&store, 102, 0, true).await;
    });
    assert_eq!(waited.0, 0, "{}", waited.1);
    assert!(waited.1.contains("empty"), "{}", waited.1);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_wait_that_times_out_says_what_remains() {
    let store = start_store().await;
    for (finite, in_force, state) in
        [(2, true, "2 tasks remain"), (0, false, "not in force everywhere")]
    {
        publish(&store, 100, finite, in_force).await;
        let (code, text) = run(&store, &["evacuate", "--wait", "--timeout", "1", "a"]).await;
        assert_eq!(code, 6, "{text}");
        assert!(text.contains(state), "{text}");
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_wait_ends_when_the_evacuation_is_withdrawn() {
    let store = start_store().await;
    publish(&store, 100, 2, true).await;
    let wait = ["evacuate", "--wait", "--timeout", "60", "a"];
    let (waited, ()) = tokio::join!(run(&store, &wait), async {
        tokio::time::sleep(Duration::from_millis(500)).await;
        run(&store, &["evacuate", "--undo", "a"]).await;
    });
    assert_eq!(waited.0, 3, "{}", waited.1);
    assert!(waited.1.contains("withdrawn"), "{}", waited.1);
}

#[tokio::test(flavor = "multi_thread")]
async fn the_last_data_centre_is_evacuated_only_by_force() {
    let store = start_store().await;
    assert_eq!(run(&store, &["evacuate", "a"]).await.0, 0);
    let (code, text) = run(&store, &["evacuate", "z"]).await;
    assert_eq!(code, 3, "{text}");
    assert!(text.contains("--force"), "{text}");
    let (_, json) = run(&store, &["--output-format", "json", "evacuations"]).await;
    assert!(!json.contains("\"z\""), "nothing was stored: {json}");
    assert_eq!(run(&store, &["evacuate", "--force", "z"]).await.0, 0);
    assert_eq!(run(&store, &["evacuate", "a"]).await.0, 0, "a is evacuated already");
}

#[tokio::test(flavor = "multi_thread")]
async fn an_error_names_the_address_of_the_store() {
    let store = start_store().await;
    store.set_mode(crosspath_platform_stand_in::store::Mode::Busy);
    let (_, text) = run(&store, &["evacuations"]).await;
    assert!(text.contains(&store.address().to_string()), "{text}");
}
