//! `crosspath evacuate` against a store as the platform's.

use std::process::Command;
use std::sync::Arc;

use crosspath_platform_stand_in::store::Store;

/// Exit code and what was printed.
async fn ask(store: &Store, args: &[&str]) -> (i32, String) {
    let mut command = Command::new(env!("CARGO_BIN_EXE_crosspath"));
    command.env("CROSSPATH_STORE", store.address().to_string()).args(args);
    let running = tokio::task::spawn_blocking(move || command.output());
    let output = running.await.expect("not cancelled").expect("the tool runs");
    let text = [output.stdout, output.stderr].concat();
    (output.status.code().unwrap_or(-1), String::from_utf8_lossy(&text).into_owned())
}

async fn store() -> Arc<Store> {
    let store = Arc::new(Store::start().await.expect("a free port"));
    let entry = br#"{"service":"counter","address":"127.0.0.1:9","zone":"a","state":"ready",
        "call_seq":1,"capacity":{"cpu":8000,"mem_mb":32000}}"#;
    store.write_worker("w-1", entry);
    store
}

#[tokio::test(flavor = "multi_thread")]
async fn a_data_centre_is_evacuated_and_that_is_taken_back() {
    let store = store().await;
    let (code, text) = ask(&store, &["evacuate", "a"]).await;
    assert_eq!(code, 0, "{text}");
    assert!(text.contains("counter"), "{text}");
    let (_, json) = ask(&store, &["--output-format", "json", "evacuations"]).await;
    let shown: serde_json::Value = serde_json::from_str(&json).expect("JSON");
    assert_eq!(shown["a"]["counter"]["workers"], 1);
    let (code, text) = ask(&store, &["evacuate", "--undo", "a"]).await;
    assert_eq!((code, text.trim()), (0, "no data centre is evacuated"));
}

#[tokio::test(flavor = "multi_thread")]
async fn a_data_centre_that_there_is_not_is_named_and_nothing_kept() {
    let store = store().await;
    let (code, text) = ask(&store, &["evacuate", "b"]).await;
    assert_eq!(code, 2);
    assert!(text.contains("no worker is in the data centre b; there are a"), "{text}");
    let (_, text) = ask(&store, &["evacuations"]).await;
    assert_eq!(text.trim(), "no data centre is evacuated");
}

#[tokio::test(flavor = "multi_thread")]
async fn a_store_that_turns_the_operator_away_has_taken_nothing() {
    let store = store().await;
    store.set_mode(crosspath_platform_stand_in::store::Mode::Busy);
    let (code, text) = ask(&store, &["evacuate", "a"]).await;
    assert_eq!(code, 4, "{text}");
}
