//! Golden files of what is told from logs. The fixtures are lines of a recorded day
//! of the herbarium, from two daemons; one line is cut on purpose.

use std::process::Command;

const FIRST: &str = "tests/fixtures/edge-kochi-a-1.log";
const SECOND: &str = "tests/fixtures/edge-kochi-a-3.log";

fn run(args: &[&str]) -> (bool, String) {
    let output = Command::new(env!("CARGO_BIN_EXE_trestlectl"))
        .current_dir(env!("CARGO_MANIFEST_DIR"))
        .args(args)
        .output()
        .expect("it runs");
    let mut text = String::from_utf8_lossy(&output.stdout).into_owned();
    text.push_str(&String::from_utf8_lossy(&output.stderr));
    (output.status.success(), text)
}

macro_rules! golden {
    ($($name:ident => [$($arg:expr),+])+) => {
        $(#[test] fn $name() {
            let (succeeded, text) = run(&[$($arg),+]);
            assert!(succeeded, "{text}");
            insta::assert_snapshot!(text);
        })+
    };
}

golden! {
    a_refused_request => ["trace", "1fdc06b945b0bd82", FIRST, SECOND]
    a_late_request => ["trace", "b6aa1659593fc7d7", FIRST, SECOND]
    a_stream_that_broke_off => ["trace", "4a48357d84c068c3", FIRST, SECOND]
    tables_of_two_logs => ["report", FIRST, SECOND]
}

#[test]
fn a_request_that_is_in_no_log_is_said_so() {
    let (succeeded, text) = run(&["trace", "unheard-of", FIRST]);
    assert!(!succeeded);
    assert!(text.contains("no line of 1 files is about request `unheard-of`"), "{text}");
}

#[test]
fn a_file_that_cannot_be_read_is_named() {
    let (succeeded, text) = run(&["report", "tests/fixtures/none.log"]);
    assert!(!succeeded);
    assert!(text.contains("tests/fixtures/none.log cannot be read"), "{text}");
}

#[test]
fn a_page_with_plots_is_written() {
    let page = std::env::temp_dir().join(format!("trestle-report-{}.html", std::process::id()));
    let path = page.to_str().expect("a path of text");
    let (succeeded, text) = run(&["report", FIRST, SECOND, "--html", path]);
    assert!(succeeded, "{text}");
    let content = std::fs::read_to_string(&page).expect("the page is there");
    assert!(content.contains("<svg") && content.contains("requests, by route"));
    let _ = std::fs::remove_file(page);
}
