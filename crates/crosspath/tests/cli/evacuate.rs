//! `crosspath evacuate` against a stand-in for the platform's store.

use std::process::Command;
use std::sync::Arc;

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
    store
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
        text.contains("no worker is in the data centre b; data centres with workers: a"),
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
