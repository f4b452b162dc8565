//! Tests which settings are read from files and which messages invalid files give.

use pomelotide_core::Millis;
use pomelotide_daemon::{read_settings, settings_reference, HostLimits};
use std::{
    fs,
    path::{Path, PathBuf},
    process::Command,
};

fn folder() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/settings")
}

#[test]
fn invalid_settings_give_the_expected_messages() {
    let mut checked = 0;
    for file in fs::read_dir(folder()).unwrap() {
        let path = file.unwrap().path();
        if path.extension().is_none_or(|kind| kind != "txt") {
            continue;
        }
        let text = fs::read_to_string(path.with_extension("ini")).unwrap();
        let name = path.with_extension("ini");
        let name = name.file_name().unwrap().to_str().unwrap();
        let problems = read_settings(name, &text).unwrap_err();
        let expected = fs::read_to_string(&path).unwrap();
        assert_eq!(format!("{problems}\n"), expected, "{name}");
        checked += 1;
    }
    assert_eq!(checked, 7);
}

#[test]
fn every_field_is_read() {
    let text = fs::read_to_string(folder().join("good.ini")).unwrap();
    let settings = read_settings("good.ini", &text).unwrap();
    assert_eq!(settings.name, "saiss-1");
    assert_eq!(settings.callers.to_string(), "10.0.0.1:7100");
    assert_eq!(settings.peers.to_string(), "10.0.0.1:7200");
    assert_eq!(settings.platform.to_string(), "10.0.0.9:7000");
    assert_eq!(settings.drain_grace_ms, Millis(600_000));
    assert!(settings
        .operator
        .is_some_and(|digest| digest.as_str().starts_with("06e55b63")));
    assert_eq!(settings.trace.as_deref(), Some("run/trace.jsonl"));
}

#[test]
fn the_page_contains_the_settings_reference() {
    let page = Path::new(env!("CARGO_MANIFEST_DIR")).join("../docs/OPERATING.md");
    let page = fs::read_to_string(page).unwrap();
    let reference = settings_reference();
    assert!(
        page.contains(&reference),
        "docs/OPERATING.md lacks:\n{reference}"
    );
}

#[test]
fn check_exits_with_0_for_valid_and_2_for_invalid_settings() {
    let check = |file: &str| {
        let path = folder().join(file);
        let output = Command::new(env!("CARGO_BIN_EXE_pomelotided"))
            .arg("--config")
            .arg(&path)
            .arg("--check")
            .output()
            .unwrap();
        let stderr = String::from_utf8(output.stderr).unwrap();
        (output.status.code(), stderr)
    };
    assert_eq!(check("good.ini").0, Some(0));
    let (code, stderr) = check("many.ini");
    assert_eq!(code, Some(2));
    for line in ["many.ini:3:", "many.ini:8:", "did you mean platform?"] {
        assert!(stderr.contains(line), "{line} is not in:\n{stderr}");
    }
    assert_eq!(check("no-such-file.ini").0, Some(2));
}

#[test]
fn the_limits_of_the_host_are_read_and_checked() {
    let read = |fields: &str| {
        let head = "[daemon]\nname = a\ndomain = d\n[cell]\n";
        read_settings("a.ini", &format!("{head}{fields}"))
    };
    let host = |fields: &str| read(fields).unwrap().cell.unwrap().host;
    let (memory_mb, max_fds) = (512, 8_192);
    let given = host("memory_mb = 512.0\nmax_fds = 8192\n");
    assert_eq!(given, HostLimits { memory_mb, max_fds });
    assert_eq!(host("cpu_share = 1.0\n"), HostLimits::default());
    let link = |fields: &str| read(fields).unwrap().cell.unwrap().link_kbps;
    assert_eq!(link("link_mbps = 10.0\n"), Some(10_000));
    assert_eq!(link("cpu_share = 1.0\n"), None);
    for wrong in [
        "link_mbps = 0",
        "memory_mb = 63",
        "memory_mb = x",
        "max_fds = 511",
        "max_fds = 1e9",
    ] {
        assert!(read(wrong).is_err(), "{wrong}");
    }
}
