//! Compares the output of `trace` and `report` with golden files. The fixtures are log lines of
//! two daemons that ran the example configuration `herbarium`; one line is truncated to test the
//! handling of lines that cannot be parsed.

use std::process::Command;

const FIRST: &str = "tests/fixtures/edge-kochi-a-1.log";
const SECOND: &str = "tests/fixtures/edge-kochi-a-3.log";

fn run_trestlectl(args: &[&str]) -> (bool, String) {
    let output = Command::new(env!("CARGO_BIN_EXE_trestlectl"))
        .current_dir(env!("CARGO_MANIFEST_DIR"))
        .args(args)
        .output()
        .expect("trestlectl runs");
    let mut text = String::from_utf8_lossy(&output.stdout).into_owned();
    text.push_str(&String::from_utf8_lossy(&output.stderr));
    (output.status.success(), text)
}

macro_rules! golden {
    ($($name:ident => [$($arg:expr),+])+) => {
        $(#[test] fn $name() {
            let (succeeded, text) = run_trestlectl(&[$($arg),+]);
            assert!(succeeded, "{text}");
            insta::assert_snapshot!(text);
        })+
    };
}

golden! {
    rejected_request => ["trace", "1fdc06b945b0bd82", FIRST, SECOND]
    late_request => ["trace", "b6aa1659593fc7d7", FIRST, SECOND]
    aborted_stream => ["trace", "4a48357d84c068c3", FIRST, SECOND]
    tables_of_two_logs => ["report", FIRST, SECOND]
}

#[test]
fn unknown_request_id_is_an_error() {
    let (succeeded, text) = run_trestlectl(&["trace", "unheard-of", FIRST]);
    assert!(!succeeded);
    assert!(text.contains("no line of 1 files is about request `unheard-of`"), "{text}");
}

#[test]
fn unreadable_file_is_named() {
    let (succeeded, text) = run_trestlectl(&["report", "tests/fixtures/none.log"]);
    assert!(!succeeded);
    assert!(text.contains("tests/fixtures/none.log cannot be read"), "{text}");
}

#[test]
fn report_writes_a_page_with_plots() {
    let page = std::env::temp_dir().join(format!("trestle-report-{}.html", std::process::id()));
    let path = page.to_str().expect("the path is UTF-8");
    let (succeeded, text) = run_trestlectl(&["report", FIRST, SECOND, "--html", path]);
    assert!(succeeded, "{text}");
    let content = std::fs::read_to_string(&page).expect("the page is written");
    assert!(content.contains("<svg") && content.contains("requests, by route"));
    let _ = std::fs::remove_file(page);
}
