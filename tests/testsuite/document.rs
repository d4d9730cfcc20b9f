use wisteriahead::core::control::changes::ActiveRevision;
use wisteriahead::core::document::Document;
use yare::parameterized;

#[parameterized(
    no_time = { "[[rules.class]]\nname = \"a\"\npriority = 1\ntimeout_ms = 0\n", "line 4: class `a` has timeout_ms = 0" },
    long_time = { "[[rules.class]]\nname = \"a\"\npriority = 1\ntimeout_ms = 60001\n", "1 to 60000 is allowed" },
    no_concurrency = { "# note\n[[rules.class]]\nname = \"a\"\nconcurrency = 0\npriority = 1\n", "line 4: class `a` has concurrency = 0" },
    second_class = {
        "[[rules.class]]\nname = \"a\"\npriority = 1\nconcurrency = 1\n[[rules.class]]\nname = \"b\"\npriority = 1\nconcurrency = 0\n",
        "line 8: class `b`"
    },
    inline = { "[rules]\n\nclass = [{ name = \"a\", priority = 1, timeout_ms = 0 }]\n", "line 3: class `a`" },
    no_slots = { "[[rules.cap]]\nservice = \"s\"\nslots = 0\n", "line 3: cap of `s` has slots = 0" },
    slots_reason = { "[[rules.cap]]\nservice = \"s\"\nslots = 0\n", "set their hosts to `leaving` or their zone to `out`" },
)]
fn out_of_range_value_is_rejected_with_line_and_reason(text: &str, want: &str) {
    let error = Document::parse(text).unwrap_err();
    assert!(error.contains(want), "{error}");
}

#[parameterized(
    least = { "[[rules.class]]\nname = \"a\"\npriority = 0\ntimeout_ms = 1\nconcurrency = 1\n" },
    most = { "[[rules.class]]\nname = \"a\"\npriority = 0\ntimeout_ms = 60000\n" },
    slot = { "[[rules.cap]]\nservice = \"s\"\nslots = 1\n" },
    none = { "" },
)]
fn value_within_limits_is_accepted(text: &str) {
    Document::parse(text).unwrap();
}

#[test]
fn active_revision_stays_readable_under_stricter_limits() {
    let text = "[[rules.cap]]\nservice = \"s\"\nslots = 0\n";
    assert!(Document::parse(text).is_err());
    let active = ActiveRevision { revision: 1, text: text.into(), ..ActiveRevision::default() };
    assert_eq!(active.document().unwrap().rules.caps[0].slots, 0);
}
