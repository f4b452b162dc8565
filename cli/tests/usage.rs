//! Checks exit codes and messages of invalid command lines, commands that need no daemon, and help
//! texts.

use clap::Command as Definition;
use pomelotide_cli::command;
use std::{fs, path::Path, process::Command};

fn folder() -> std::path::PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("tests")
}

/// Runs the program in the folder of the test data; returns its exit code and its output.
fn run(arguments: &[String]) -> (Option<i32>, String) {
    let ended = Command::new(env!("CARGO_BIN_EXE_pomelotide"))
        .args(arguments)
        .current_dir(folder())
        .env_remove("POMELOTIDE_DAEMON")
        .env_remove("POMELOTIDE_SECRET")
        .output()
        .expect("the program runs");
    let said = [ended.stdout, ended.stderr].concat();
    (
        ended.status.code(),
        String::from_utf8_lossy(&said).into_owned(),
    )
}

#[test]
fn wrong_command_lines_end_with_their_exit_code_and_message() {
    let table = fs::read_to_string(folder().join("usage.txt")).expect("the test data");
    let lines = table.lines().filter(|line| !line.starts_with(';'));
    for line in lines {
        let mut columns = line.split(" | ").map(str::trim);
        let code: i32 = columns.next().and_then(|c| c.parse().ok()).expect("a code");
        let arguments = columns.next().expect("arguments").split(' ');
        let arguments: Vec<String> = arguments.map(|a| a.replace('_', " ")).collect();
        let part = columns.next().expect("a message");
        let (got, said) = run(&arguments);
        assert_eq!(got, Some(code), "{line}: {said}");
        assert!(said.contains(part), "{line}: {said}");
    }
}

#[test]
fn good_commands_without_a_daemon_end_with_0() {
    let json = ["--output", "json", "key", "digest", "press"].map(String::from);
    let (code, said) = run(&json);
    assert_eq!(code, Some(0));
    let digest = "842fcb5e60989a03d08ee07f9bea0a0a4a824d991fe8cc055f3a89e05c5c392e";
    assert_eq!(said, format!("{{\"secret_sha256\":\"{digest}\"}}\n"));
    for example in ["first-note.ini", "withdraw-key.ini"] {
        let file = format!("../../examples/{example}");
        let (code, said) = run(&["note".into(), "check".into(), file]);
        assert_eq!(code, Some(0), "{said}");
    }
    for shell in ["bash", "fish", "zsh"] {
        let (code, said) = run(&["completions".into(), shell.into()]);
        assert_eq!(code, Some(0));
        assert!(said.contains("explain"), "{shell}");
    }
}

/// Checks that the help of every command without subcommands has an example.
fn check_examples(definition: &Definition) {
    let help = definition.get_after_help().map(ToString::to_string);
    let subcommands: Vec<&Definition> = definition.get_subcommands().collect();
    let has_example = help.is_some_and(|help| help.contains("Example"));
    assert!(
        has_example || !subcommands.is_empty(),
        "{}",
        definition.get_name()
    );
    subcommands.into_iter().for_each(check_examples);
}

#[test]
fn every_command_has_an_example_in_its_help() {
    check_examples(&command());
}
