//! The fingerprint of handed-over state covers every source file that defines its types or their meaning. A file that
//! is missing from the list would let two builds exchange state that they encode or interpret differently.

#[path = "../src/bin/delivery-gateway/handover/fingerprint.rs"]
mod fingerprint;

use delivery_gateway::{settings_from_json, ParsedSettings};
use fingerprint::{fingerprint, state_fingerprint, SourceFile, STATE_SOURCES};
use serde_json::json;
use std::collections::{BTreeMap, BTreeSet};
use std::fs;
use std::path::PathBuf;

/// The name of the type that the predecessor encodes and the successor decodes.
const SNAPSHOT: &str = "HandoverSnapshot";
/// The folders in which every file decides on the meaning of the state.
const STATE_FOLDERS: [&str; 2] = ["src/scheduler", "src/model"];
/// The file that translates the times in the snapshot.
const CLOCK: &str = "src/bin/delivery-gateway/clock.rs";
const PROGRAMS: &str = "src/bin/";
/// The programs that are no part of the gateway.
const OTHER_PROGRAMS: [&str; 2] = ["src/bin/simulator-adapter", "src/bin/testbed"];
/// The name of the list of source files, for failure messages.
const LIST: &str = "STATE_SOURCES in src/bin/delivery-gateway/handover/fingerprint.rs";

fn root() -> PathBuf {
    PathBuf::from(env!("CARGO_MANIFEST_DIR"))
}

/// Returns all Rust files of a folder except for its tests, as paths from the package's root.
fn rust_files(folder: &str) -> BTreeSet<String> {
    let mut files = BTreeSet::new();
    for entry in fs::read_dir(root().join(folder)).unwrap() {
        let path = format!("{folder}/{}", entry.unwrap().file_name().to_str().unwrap());
        if path.ends_with("/tests.rs") || path.ends_with("/tests") {
            continue;
        }
        if root().join(&path).is_dir() {
            files.extend(rust_files(&path));
        } else if path.ends_with(".rs") {
            files.insert(path);
        }
    }
    files
}

fn listed_paths() -> BTreeSet<String> {
    STATE_SOURCES.iter().map(|source| source.path.to_owned()).collect()
}

/// Returns the paths and texts of the gateway's source files, without tests.
fn gateway_sources() -> BTreeMap<String, String> {
    let is_of_gateway = |path: &String| !OTHER_PROGRAMS.iter().any(|program| path.starts_with(program));
    let files = rust_files("src").into_iter().filter(is_of_gateway);
    files.map(|path| (path.clone(), fs::read_to_string(root().join(path)).unwrap())).collect()
}

/// Returns the identifiers and keywords of a text, without those in comments.
fn words(text: &str) -> Vec<&str> {
    let code = text.lines().map(|line| line.split("//").next().unwrap_or_default());
    let is_word = |c: char| c.is_alphanumeric() || c == '_';
    code.flat_map(|line| line.split(move |c| !is_word(c))).filter(|word| !word.is_empty()).collect()
}

/// The name of a type and the text of its definition.
struct Definition {
    name: String,
    text: String,
}

/// Returns the types that a file defines, including the ids that it lists in a macro.
fn definitions(source: &str) -> Vec<Definition> {
    let lines: Vec<&str> = source.lines().collect();
    let mut definitions = Vec::new();
    for (at, line) in lines.iter().enumerate() {
        let words = words(line);
        if let Some(name) = defined_type(&words) {
            let text = definition_text(&lines[at..]);
            definitions.push(Definition { name: name.to_owned(), text });
        } else if let [name, inner] = words[..] {
            if line.trim() == format!("{name}({inner});") {
                definitions.push(Definition { name: name.to_owned(), text: line.to_string() });
            }
        }
    }
    definitions
}

/// Returns the name of the type whose definition starts with these words, or None if they start no definition.
fn defined_type<'a>(words: &[&'a str]) -> Option<&'a str> {
    let kind = words.iter().position(|word| ["struct", "enum", "type", "union"].contains(word))?;
    let is_visibility = |word: &&str| ["pub", "crate", "super"].contains(word);
    words[..kind].iter().all(is_visibility).then(|| words.get(kind + 1).copied()).flatten()
}

/// Returns a definition from its first line to its end, which is a closing bracket or semicolon at the indentation of
/// the first line.
fn definition_text(lines: &[&str]) -> String {
    let first = lines[0];
    if first.trim_end().ends_with([';', '}']) {
        return first.to_owned();
    }
    let indentation = &first[..first.len() - first.trim_start().len()];
    let closes =
        |line: &&str| line.strip_prefix(indentation).is_some_and(|line| line.starts_with(['}', ')', ';']));
    let end = lines.iter().position(closes).unwrap_or(lines.len());
    lines[..end].join("\n")
}

/// Returns whether a type that the file `user` names may be defined in the file `path`.
fn is_visible_from(user: &str, path: &str) -> bool {
    // Types of the library contain no types of the program.
    user.starts_with(PROGRAMS) || !path.starts_with(PROGRAMS)
}

/// Returns the files that define a type and all types that it contains, with the names of these types.
fn files_of_type(name: &str, sources: &BTreeMap<String, String>) -> BTreeMap<String, BTreeSet<String>> {
    let defined: BTreeMap<&str, Vec<Definition>> =
        sources.iter().map(|(path, text)| (path.as_str(), definitions(text))).collect();
    let mut files: BTreeMap<String, BTreeSet<String>> = BTreeMap::new();
    let mut visited = BTreeSet::new();
    let mut unresolved = vec![(PROGRAMS.to_owned(), name.to_owned())];
    while let Some((user, name)) = unresolved.pop() {
        if !visited.insert((user.clone(), name.clone())) {
            continue;
        }
        let defines = |path: &str| defined[path].iter().any(|definition| definition.name == name);
        // A type of the file itself shadows others of the same name.
        let candidates: Vec<&str> = if defined.contains_key(user.as_str()) && defines(&user) {
            vec![user.as_str()]
        } else {
            defined.keys().copied().filter(|path| is_visible_from(&user, path) && defines(path)).collect()
        };
        for path in candidates {
            files.entry(path.to_owned()).or_default().insert(name.clone());
            for definition in defined[path].iter().filter(|definition| definition.name == name) {
                let named = words(&definition.text).into_iter();
                unresolved.extend(named.map(|word| (path.to_owned(), word.to_owned())));
            }
        }
    }
    files
}

fn copy(source: &SourceFile) -> SourceFile {
    SourceFile { path: source.path, text: source.text }
}

fn parsed() -> ParsedSettings {
    settings_from_json(&json!({
        "Lanes": [{"Aim": 3_000_000_000_u64, "Name": "pay-notice"}],
        "MachineTypes": ["banks", "employer-systems"],
        "Projects": [{"Name": "north", "QuotaPerS": 25.0}],
        "Zones": ["kingston-dc"],
    }))
    .unwrap()
}

#[test]
fn every_file_of_the_scheduler_and_the_model_is_listed() {
    for folder in STATE_FOLDERS {
        let files = rust_files(folder);
        assert!(
            files.len() > 2,
            "{folder} has only {} files; update STATE_FOLDERS if it was moved",
            files.len()
        );
        let missing: Vec<_> = files.difference(&listed_paths()).cloned().collect();
        assert!(missing.is_empty(), "{LIST} lacks {missing:?}");
    }
}

#[test]
fn every_file_that_defines_a_type_of_the_snapshot_is_listed() {
    let files = files_of_type(SNAPSHOT, &gateway_sources());
    let types: BTreeSet<&str> = files.values().flatten().map(String::as_str).collect();
    // The snapshot contains these types: the search is incomplete if it has not reached them.
    for name in
        [SNAPSHOT, "Scheduler", "ClockReading", "EndpointIdTable", "InFlightCall", "MessageId", "EndpointId"]
    {
        assert!(types.contains(name), "{name} was not found in {SNAPSHOT}");
    }
    let listed = listed_paths();
    let missing: BTreeMap<_, _> = files.iter().filter(|(path, _)| !listed.contains(*path)).collect();
    assert!(missing.is_empty(), "{LIST} lacks files of the snapshot's types: {missing:?}");
    assert!(listed.contains(CLOCK), "{LIST} lacks {CLOCK}");
}

/// A listed file that no longer affects the state would give builds different fingerprints although they could hand
/// over their state.
#[test]
fn no_other_file_is_listed() {
    let mut expected: BTreeSet<String> = files_of_type(SNAPSHOT, &gateway_sources()).into_keys().collect();
    expected.extend(STATE_FOLDERS.iter().flat_map(|folder| rust_files(folder)));
    expected.insert(CLOCK.to_owned());
    let superfluous: Vec<_> = listed_paths().difference(&expected).cloned().collect();
    assert!(superfluous.is_empty(), "{LIST} names files that do not affect the state: {superfluous:?}");
    assert_eq!(STATE_SOURCES.len(), listed_paths().len(), "{LIST} names a file twice");
}

#[test]
fn a_change_of_any_file_changes_the_fingerprint() {
    let parsed = parsed();
    let before = state_fingerprint(&parsed);
    assert_eq!(fingerprint(STATE_SOURCES, &parsed), before);
    for (changed, source) in STATE_SOURCES.iter().enumerate() {
        assert_eq!(source.text, fs::read_to_string(root().join(source.path)).unwrap());
        let text: &'static str = Box::leak(format!("{} ", source.text).into_boxed_str());
        let mut sources: Vec<SourceFile> = STATE_SOURCES.iter().map(copy).collect();
        sources[changed].text = text;
        assert_ne!(fingerprint(&sources, &parsed), before, "a change of {} has no effect", source.path);
    }
}

#[test]
fn a_change_of_any_name_in_the_settings_changes_the_fingerprint() {
    let parsed = parsed();
    let before = state_fingerprint(&parsed);
    let names: [fn(&mut ParsedSettings) -> &mut Vec<String>; 4] = [
        |parsed| &mut parsed.class_names,
        |parsed| &mut parsed.tenant_names,
        |parsed| &mut parsed.kind_names,
        |parsed| &mut parsed.zone_names,
    ];
    for names in names {
        let mut changed = parsed.clone();
        names(&mut changed).push("another".to_owned());
        assert_ne!(state_fingerprint(&changed), before);
    }
}
