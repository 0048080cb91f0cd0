//! The settings have the same meaning as lines, which the simulator sends, and as nested JSON, which the gateway's
//! configuration has.

use delivery_gateway::*;
use serde_json::json;
use std::time::Duration;

const LINES: &str = "Balancers=3
FamilyInfo.CallsOut=28
FamilyInfo.FeeByZone=0,0.03
FamilyInfo.KindBatch=1,4
FamilyInfo.OwnLimits=false,true
Lanes.count=1
Lanes.0.Aim=3000000000
Lanes.0.Effect=idempotency_key
Lanes.0.Group=all
Lanes.0.Name=pay-notice
Lanes.0.OneAtATime=true
Lanes.0.RepeatWindow=10000000000
MachineTypes=banks,employer-systems
Permissions.Cancel=true
Permissions.MostHeld=519
Projects.count=1
Projects.0.Name=north
Projects.0.QuotaPerS=25.0
Report.Fields=x0,x1
Rules.ColdFrom=0.16
Zones=kingston-dc
";

#[test]
fn lines_and_json_give_the_same_settings() {
    let nested = json!({
        "Balancers": 3,
        "FamilyInfo": {"CallsOut": 28, "FeeByZone": [0.0, 0.03], "KindBatch": [1, 4], "OwnLimits": [false, true]},
        "Lanes": [{
            "Aim": 3_000_000_000_u64, "Effect": "idempotency_key", "Group": "all", "Name": "pay-notice",
            "OneAtATime": true, "RepeatWindow": 1e10,
        }],
        "MachineTypes": ["banks", "employer-systems"],
        "Permissions": {"Cancel": true, "MostHeld": 519.0},
        "Projects": [{"Name": "north", "QuotaPerS": 25.0}],
        "Report": {"Fields": ["x0", "x1"]},
        "Rules": {"ColdFrom": 0.16},
        "Zones": ["kingston-dc"],
        "Unheard": {"Of": null},
    });
    let (lines, json) = (settings_from_lines(LINES).unwrap(), settings_from_json(&nested).unwrap());
    assert_eq!(format!("{lines:?}"), format!("{json:?}"));
    assert_eq!(json.settings.max_pending_messages, 519);
    assert_eq!(json.class_names, ["pay-notice"]);
    assert_eq!(json.settings.zone_costs, [0.0, 0.03]);
    assert_eq!(json.tenant_names, ["north"]);
    assert!(json.settings.destination_kinds[1].has_per_endpoint_limits);
}

#[test]
fn a_bad_value_is_named() {
    let error = settings_from_json(&json!({"Permissions": {"MostHeld": "many"}})).unwrap_err();
    let (path, value) = ("Permissions.MostHeld".into(), "many".into());
    assert_eq!(error, SettingError::Value { path, value, expected: "a whole number" });
}

#[test]
fn a_bad_entry_of_a_list_is_named() {
    let error = settings_from_lines("FamilyInfo.KindBatch=1,four").unwrap_err();
    assert_eq!(error.to_string(), "setting FamilyInfo.KindBatch: 'four' is not a whole number");
    let error = settings_from_lines("Lanes.count=1\nLanes.0.Effect=none\n").unwrap_err();
    let expected = "read_like, idempotency_key or non_idempotent";
    assert_eq!(error.to_string(), format!("setting Lanes.0.Effect: 'none' is not {expected}"));
}

#[test]
fn a_line_without_an_equals_sign_is_named() {
    let error = settings_from_lines("Balancers=3\n\nLanes\n").unwrap_err();
    assert_eq!(error, SettingError::Line { line: 3, text: "Lanes".into() });
}

/// Absent settings have the scheduler's defaults, except for those that are listed here.
#[test]
fn absent_settings_have_their_defaults() {
    let parsed = settings_from_lines("Lanes.count=1\nProjects.count=1\n").unwrap();
    let class = Class {
        idempotency: Idempotency::NonIdempotent,
        deduplication_scope: DeduplicationScope::Zone,
        idempotency_window: Duration::ZERO,
        late_value_ratio: 0.0,
        ..Class::default()
    };
    let expected = Settings {
        classes: vec![class],
        tenants: vec![Tenant { quota_per_sec: f64::INFINITY }],
        destination_kinds: Vec::new(),
        capacity_hints: CapacityHints::Ignored,
        allow_cancel: false,
        ..Settings::default()
    };
    assert_eq!(format!("{:?}", parsed.settings), format!("{expected:?}"));
    assert_eq!((parsed.class_names, parsed.tenant_names), (vec![String::new()], vec![String::new()]));
    assert_eq!((parsed.headroom_index, parsed.limit_index), (None, None));
    let empty = settings_from_lines("").unwrap().settings;
    assert!(empty.classes.is_empty() && empty.tenants.is_empty());
}
