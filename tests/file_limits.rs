//! The files of the scheduler and of the model stay short and narrow enough to be read one at a time.

use std::fs;
use std::path::{Path, PathBuf};

/// The number of non-blank lines that a file has to stay below.
const LINES_BELOW: usize = 500;
const MAX_COLUMNS: usize = 110;

#[test]
fn scheduler_and_model_files_stay_short_and_narrow() {
    let source = Path::new(env!("CARGO_MANIFEST_DIR")).join("src");
    let mut violations = Vec::new();
    for folder in ["scheduler", "model"] {
        let files = rust_files(&source.join(folder));
        assert!(files.iter().any(|file| file.ends_with("mod.rs")), "no module in {folder}: {files:?}");
        violations.extend(files.iter().flat_map(|file| violations_of(file)));
    }
    assert!(violations.is_empty(), "{}", violations.join("\n"));
}

/// Returns all files of a folder and of the folders in it.
fn rust_files(folder: &Path) -> Vec<PathBuf> {
    let mut files = Vec::new();
    for entry in fs::read_dir(folder).unwrap() {
        let path = entry.unwrap().path();
        if path.is_dir() {
            files.extend(rust_files(&path));
        } else {
            assert_eq!(path.extension().unwrap(), "rs", "{}", path.display());
            files.push(path);
        }
    }
    files
}

fn violations_of(file: &Path) -> Vec<String> {
    let text = fs::read_to_string(file).unwrap();
    let lines = text.lines().filter(|line| !line.trim().is_empty()).count();
    let too_long = (lines >= LINES_BELOW).then(|| format!("{}: {lines} non-blank lines", file.display()));
    let too_wide = text.lines().enumerate().filter_map(|(index, line)| {
        let columns = line.chars().count();
        (columns > MAX_COLUMNS).then(|| format!("{}:{}: {columns} columns", file.display(), index + 1))
    });
    too_long.into_iter().chain(too_wide).collect()
}
