//! Names and messages of the users' platform, read from `wire.txt`.

const TEXT: &str = include_str!("../wire.txt");

/// The text of an entry.
pub fn wire(key: &str) -> &'static str {
    let entry = TEXT.lines().filter_map(|line| line.split_once('=')).find(|(k, _)| *k == key);
    entry.map(|(_, text)| text).unwrap_or_else(|| panic!("wire.txt has no entry `{key}`"))
}

/// The text of an entry with its placeholders `<name>` filled in.
pub fn fill(key: &str, values: &[(&str, &str)]) -> String {
    let mut text = wire(key).to_owned();
    for (name, value) in values {
        text = text.replace(&format!("<{name}>"), value);
    }
    text
}
