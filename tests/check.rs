//! `check` of declarations: what it prints, and its exit status for scripts.

use std::path::PathBuf;
use std::process::Command;

use serde_json::Value;
use wisteriawick_platform_standin::configuration;

fn write_file(name: &str, text: &str) -> PathBuf {
    let path =
        std::env::temp_dir().join(format!("wisteriawick-check-{}-{name}", std::process::id()));
    std::fs::write(&path, text).expect("file written");
    path
}

/// Returns the exit status and what was printed.
fn check(arguments: &[&str]) -> (Option<i32>, String) {
    let output = Command::new(env!("CARGO_BIN_EXE_wisteriawick"))
        .arg("check")
        .args(arguments)
        .output()
        .expect("the program runs");
    let text = [output.stdout, output.stderr].concat();
    (
        output.status.code(),
        String::from_utf8_lossy(&text).into_owned(),
    )
}

#[test]
fn the_exit_status_tells_sound_from_wrong_from_unreadable() {
    let sound = configuration(1, 4_000).to_string();
    let wrong = configuration(2, 4_000).to_string();
    let wrong = wrong.replace("\"/safe/\"", "\"nowhere\"");
    let sound = write_file("sound.json", &sound);
    let wrong = write_file("wrong.json", &wrong);
    let torn = write_file("torn.json", "{\"version\": 1");
    let (sound, wrong) = (sound.to_string_lossy(), wrong.to_string_lossy());
    let (status, text) = check(&[&sound]);
    assert_eq!(status, Some(0), "{text}");
    let (status, text) = check(&[&wrong, "--against", &sound]);
    assert_eq!(status, Some(1), "{text}");
    assert!(text.contains("no path matches the prefix"), "{text}");
    assert!(text.contains("change: route"), "{text}");
    let (status, text) = check(&[&torn.to_string_lossy()]);
    assert_eq!(status, Some(2), "{text}");
    let (status, text) = check(&["/nowhere/declaration.json"]);
    assert_eq!(status, Some(2), "{text}");
}

#[test]
fn json_has_an_object_for_each_file() {
    let file = write_file("whole.json", &configuration(3, 4_000).to_string());
    let (status, text) = check(&["--json", &file.to_string_lossy(), &file.to_string_lossy()]);
    assert_eq!(status, Some(0), "{text}");
    let reports: Vec<Value> = text
        .lines()
        .map(|line| serde_json::from_str(line).expect("a JSON object"))
        .collect();
    assert_eq!(reports.len(), 2);
    assert_eq!(reports[0]["version"], 3);
}
