//! Settings files as users write them: which are accepted, and what the errors say.

use std::io::Write as _;

use crosspath_settings::{Options, load};
use serde_json::{Value, json};

fn valid_settings() -> Value {
    json!({
        "name": "entry-1", "data_centre": "dc-1",
        "listen": {
            "callers": "127.0.0.1:7001", "operators": "127.0.0.1:7002", "peers": "127.0.0.1:7003"
        },
        "peers": [{ "name": "entry-2", "address": "127.0.0.1:7013" }],
        "peer_token": "0123456789abcdef", "platform": "127.0.0.1:7000",
        "operators": [{ "name": "ana", "token_sha256": "ab".repeat(32), "rights": ["read"] }]
    })
}

fn load_result(settings: &Value) -> String {
    let mut file = tempfile::NamedTempFile::new().expect("temporary file is created");
    file.write_all(settings.to_string().as_bytes()).expect("settings are written");
    match load(file.path()) {
        Ok(settings) => format!("ok: {}", settings.name),
        Err(error) => error.to_string().replace(&*file.path().to_string_lossy(), "FILE"),
    }
}

/// Loads the valid settings with one field replaced.
fn load_with(pointer: &str, value: Value) -> String {
    let mut settings = valid_settings();
    let (parent, field) = pointer.rsplit_once('/').expect("pointer has a field");
    let parent = settings.pointer_mut(parent).expect("parent of the field exists");
    parent[field] = value;
    load_result(&settings)
}

#[test]
fn valid_settings_load() {
    assert_eq!(load_result(&valid_settings()), "ok: entry-1");
}

#[test]
fn errors_name_file_field_value_and_remedy() {
    let mut results = vec![
        load_with("/name", json!("Entry 1")),
        load_with("/listen/peers", json!("127.0.0.1:7001")),
        load_with("/peer_token", json!("short")),
        load_with("/peers/0/name", json!("entry-1")),
        load_with("/operators/0/token_sha256", json!("ab")),
        load_with("/operators/0/rights", json!(["admin"])),
        load_with("/limits", json!({ "header_bytes": 10 })),
        load_with("/limits", json!({ "headerbytes": 10 })),
        load_with("/limits", json!({ "batch_ceiling_percent": 0 })),
        load_with("/timing", json!({ "lease_ms": 1500 })),
        load_with("/timing", json!({ "tenure_ms": 100 })),
        load_with("/platform", json!("nowhere")),
    ];
    results.push(load_result(&json!({})));
    insta::assert_snapshot!(results.join("\n"));
}

/// The committed schema must match the one that the daemon prints; otherwise editors and users
/// check their settings against outdated rules.
#[test]
fn the_schema_is_current() {
    let schema = schemars::schema_for!(Options);
    let current = serde_json::to_string_pretty(&schema).expect("schema is encoded as JSON") + "\n";
    let committed = include_str!("../../schema/crosspathd.schema.json");
    assert_eq!(current, committed, "update the file with: crosspathd --settings-schema");
}
