//! The settings on which the tests are based.

use serde_json::{Value, json};

/// Settings with one class of each effect and two tenants.
pub fn settings() -> Value {
    let class = |name: &str, effect: &str| {
        json!({"name": name, "effect": effect, "group": "zone", "window": 7500.0, "goal-time": 400.0,
            "hard-limit": 5000.0, "importance": 2.0, "late-value": 0.5, "streamed": false})
    };
    json!({
        "ordinal": 0, "balancers": 2, "zone": 0, "zones": ["north", "south"], "shapes": ["big", "small"],
        "classes": [class("view", "pure"), class("sale", "side_effect"), class("buy", "token")],
        "tenants": [{"name": "karoo", "fraction": 0.5, "quota-per-s": 100.0},
            {"name": "vaal", "fraction": 0.5, "quota-per-s": 100.0}],
        "discovery": "on_request", "report": {"fields": ["x0", "x1", "concurrent"], "source": "answers"},
        "specifics": {"tells-start": true, "class-stretch": [2.0, 2.0, 2.5]},
        "limits": {"max-attempts": 4, "connect-timeout": 150.0, "conn-idle": 15000.0, "retry-after": true,
            "max-retry-after": 2000.0, "peer-messages": true, "second-copies": true, "cancelling": true},
        "obligations": {"answer-slack": 8.0, "ask-within": 1000.0, "drain-grace": 250.0, "cold-share": 0.3,
            "warm-within": 8600.0, "fall-multiple": 4.0, "overload-for": 3000.0}
    })
}

/// Sets this key to `value` in each class.
pub fn set_in_each_class(settings: &mut Value, key: &str, value: f64) {
    for class in settings["classes"].as_array_mut().expect("classes") {
        class[key] = json!(value);
    }
}

/// Settings in which all classes have this deadline, in milliseconds.
pub fn settings_with_deadline(deadline: f64) -> Value {
    let mut settings = settings();
    set_in_each_class(&mut settings, "hard-limit", deadline);
    settings
}

/// Settings with deadlines and timeouts that do not expire within a test.
pub fn settings_without_timeouts() -> Value {
    let mut settings = settings_with_deadline(60_000.0);
    settings["limits"]["connect-timeout"] = json!(30_000.0);
    set_in_each_class(&mut settings, "goal-time", 60_000.0);
    settings
}

/// Like [`settings_without_timeouts`], and running attempts can't be cancelled.
pub fn settings_that_cancel_no_attempt() -> Value {
    let mut settings = settings_without_timeouts();
    settings["limits"]["cancelling"] = json!(false);
    settings
}
