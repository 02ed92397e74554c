//! Reads configuration and settings files. Errors must name the line and column of each problem.

use std::{env, fs, path::Path, process};
use trestle_config::{Category, SettingsFile, from_str, read_settings};

const FLEET: &str = include_str!("../../../examples/fleet.jsonc");
const HERBARIUM: &str = include_str!("../../../examples/herbarium.jsonc");

macro_rules! invalid_files {
    ($($name:ident: $from:literal => $to:literal, $category:ident, $message:literal;)+) => {
        $(
            #[test]
            fn $name() {
                let text = FLEET.replacen($from, $to, 1);
                assert_ne!(text, FLEET, "the text to replace is not in the example");
                let error = from_str(&text, "fleet.jsonc").unwrap_err();
                assert_eq!(error.classify(), Category::$category, "{error}");
                let problem = &error.problems()[0];
                let line = 1 + text[..offset_of(&text, $to)].matches('\n').count();
                assert_eq!(problem.line, line, "{error}");
                assert!(problem.column > 0, "{error}");
                assert!(error.to_string().contains($message), "{error}");
            }
        )+
    };
}

fn offset_of(text: &str, replacement: &str) -> usize {
    text.rfind(replacement).expect("the replacement is in the text")
}

invalid_files! {
    unknown_key: "\"urgency\": 0" => "\"urgence\": 0", Data, "unknown field `urgence`";
    wrong_type: "\"urgency\": 0" => "\"urgency\": \"0\"", Data, "invalid type: string";
    trailing_comma: "\"deadline_ms\": 300000}" => "\"deadline_ms\": 300000,}", Syntax, "no trailing commas";
    duplicate_key: "\"desk\": {" => "\"curb\": {", Data, "key `curb` stands twice";
    unknown_class: "\"classes\": [\"curb\"]" => "\"classes\": [\"curbs\"]", Data, "class `curbs` is not declared";
    unknown_base_model: "{\"base\": \"unlock-help-1\"}" => "{\"base\": \"unlock\"}", Data, "model `unlock` is not declared";
    url_without_port: "http://127.0.0.1:9101" => "http://localhost:9101", Data, "must be `http://ip:port`";
    too_long_load: "\"load_ms\": 7500" => "\"load_ms\": 99999999", Data, "must be 1 ms to one hour";
    short_digest: "\"token_sha256\": [\"" => "\"token_sha256\": [\"x", Data, "must be 64 hexadecimal digits";
}

#[test]
fn example_configurations_are_valid_and_have_the_expected_sizes() {
    for (text, models, adapters) in [(FLEET, 50, 55), (HERBARIUM, 50, 60)] {
        let config = from_str(text, "example").unwrap_or_else(|error| panic!("{error}"));
        assert_eq!(config.catalog.models.len(), models);
        assert_eq!(config.adapters.len(), adapters);
        assert_eq!(config.catalog.engines.len(), 9);
        assert_eq!(
            config.services.values().map(|service| service.endpoints.len()).sum::<usize>(),
            3
        );
    }
}

#[test]
fn windows_are_parsed_and_checked() {
    let with_window = |window: &str| {
        let keep = "\"keep_ms\": 600000";
        FLEET.replacen(keep, &format!("{keep}, \"windows\": [{window}]"), 1)
    };
    let valid = with_window("{\"weekdays\": [\"mon\"], \"from\": \"07:00\", \"to\": \"09:30\"}");
    let config = from_str(&valid, "fleet.jsonc").unwrap_or_else(|error| panic!("{error}"));
    let windows: Vec<_> = config.catalog.models.values().flat_map(|spec| &spec.windows).collect();
    assert_eq!((windows[0].from_minute, windows[0].to_minute, windows[0].weekdays), (420, 570, 1));
    for (window, message) in [
        ("{\"from\": \"09:00\", \"to\": \"07:00\"}", "must close after it opens"),
        ("{\"from\": \"9\", \"to\": \"10:00\"}", "must be a time of day"),
        (
            "{\"weekdays\": [\"monday\"], \"from\": \"07:00\", \"to\": \"08:00\"}",
            "must be one of: mon",
        ),
    ] {
        let error = from_str(&with_window(window), "fleet.jsonc").unwrap_err();
        assert!(error.to_string().contains(message), "{error}");
    }
}

#[test]
fn example_settings_are_read_as_those_of_their_kind_of_daemon() {
    let read = |name: &str| {
        let path = Path::new("../../examples").join(name);
        read_settings(&path).unwrap_or_else(|error| panic!("{error}"))
    };
    assert!(matches!(read("trestled.jsonc"), SettingsFile::Platform(_)));
    assert!(matches!(read("entry.jsonc"), SettingsFile::Entry(_)));
}

// Guards against a failure of all daemons of a deployment at once: each terminated at its start
// because a bound in the settings had a fraction.
#[test]
fn bounds_with_fractions_are_rounded_so_that_they_are_kept() {
    let text = fs::read_to_string("../../examples/entry.jsonc").expect("the example can be read");
    let with_bound = |name: &str, value: &str| {
        let line =
            text.lines().find(|line| line.contains(name)).expect("the example has the bound");
        let comma = if line.trim_end().ends_with(',') { "," } else { "" };
        text.replace(line, &format!("\"{name}\": {value}{comma}"))
    };
    let read = |name: &str, value: &str| {
        let path = env::temp_dir().join(format!("trestle-bounds-{}.jsonc", process::id()));
        fs::write(&path, with_bound(name, value)).expect("the file can be written");
        let settings = read_settings(&path);
        fs::remove_file(&path).expect("the file can be removed");
        match settings {
            Ok(SettingsFile::Entry(settings)) => Ok(settings.bounds),
            Ok(SettingsFile::Platform(_)) => panic!("the settings are of the other kind of daemon"),
            Err(error) => Err(error.to_string()),
        }
    };
    let bounds = |name, value| read(name, value).unwrap_or_else(|error| panic!("{error}"));
    assert_eq!(bounds("retry_fixed", "33.1578947368421").retry_fixed, 33);
    assert_eq!(bounds("leaving_ms", "2000.5").leaving_ms, 2_000);
    assert_eq!(bounds("stop_s", "8.0").stop_s, 8);
    assert_eq!(bounds("key_withdrawal_ms", "5000.5").key_withdrawal_ms, Some(5_000));
    assert_eq!(bounds("order_quiet_ms", "3000.5").order_quiet_ms, 3_001);
    assert_eq!(bounds("retry_window_s", "9.1").retry_window_s, 10);
    for invalid in ["-1", "1e40", "\"10\""] {
        let error = read("retry_fixed", invalid).expect_err("the bound is not valid");
        assert!(error.contains(".jsonc:"), "{error}");
    }
}
