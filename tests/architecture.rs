//! The modules of the library and of each program have no import cycles.
//!
//! For each module, the imports between its child modules, with all modules below them, form an acyclic graph. Imports
//! by a child of what its parent defines, and by a parent of what its children define, are part of a module's own
//! structure and do not count. What a parent only re-exports counts as its child's.

use std::collections::{BTreeMap, BTreeSet};
use std::fs;
use std::path::Path;

type ModulePath = Vec<String>;

/// The code of the modules of one crate by their paths. The root has the empty path.
struct Crate {
    modules: BTreeMap<ModulePath, String>,
}

impl Crate {
    fn read(root_file: &Path) -> Self {
        let mut modules = BTreeMap::new();
        modules.insert(Vec::new(), code_of(root_file));
        let folder = root_file.parent().unwrap();
        read_modules(folder, &Vec::new(), root_file, &mut modules);
        Crate { modules }
    }

    /// Returns the module that defines the item at a path from the crate's root. Follows re-exports, up to 8 in a row;
    /// `depth` is the number of re-exports followed so far.
    fn find_owner(&self, path: &[String], depth: usize) -> ModulePath {
        let length =
            (0..=path.len()).rev().find(|length| self.modules.contains_key(&path[..*length])).unwrap();
        let module = path[..length].to_vec();
        let Some(name) = path.get(length).filter(|_| depth < 8) else { return module };
        for import in imports(&self.modules[&module]) {
            let Some(first) = import.first() else { continue };
            let child = [module.clone(), vec![first.clone()]].concat();
            if !self.modules.contains_key(&child) {
                continue;
            }
            let target = [module.clone(), import.clone()].concat();
            match import.last().map(String::as_str) {
                Some("*") => {
                    let below = target[..target.len() - 1].to_vec();
                    if self.modules.get(&below).is_some_and(|code| defines(code, name)) {
                        return below;
                    }
                }
                Some(last) if last == name => return self.find_owner(&target, depth + 1),
                _ => {}
            }
        }
        module
    }

    /// Returns the imports between the children of each module, as pairs of the importing and the imported child.
    fn edges(&self) -> BTreeMap<ModulePath, BTreeSet<(String, String)>> {
        let mut edges: BTreeMap<ModulePath, BTreeSet<(String, String)>> = BTreeMap::new();
        for (module, code) in &self.modules {
            for path in imports(code).iter().chain(&inline_paths(code)) {
                let Some(path) = absolute(module, path) else { continue };
                let target = self.find_owner(&path, 0);
                let shared = module.iter().zip(&target).take_while(|(own, imported)| own == imported).count();
                if let (Some(from), Some(to)) = (module.get(shared), target.get(shared)) {
                    let child_edges = edges.entry(module[..shared].to_vec()).or_default();
                    child_edges.insert((from.clone(), to.clone()));
                }
            }
        }
        edges
    }
}

fn read_modules(folder: &Path, at: &ModulePath, root: &Path, modules: &mut BTreeMap<ModulePath, String>) {
    for entry in fs::read_dir(folder).unwrap() {
        let path = entry.unwrap().path();
        let name = path.file_stem().unwrap().to_str().unwrap().to_owned();
        let module = [at.clone(), vec![name.clone()]].concat();
        if path.is_dir() {
            // Programs are crates of their own: their folders have no mod.rs.
            if path.join("mod.rs").exists() {
                modules.insert(module.clone(), code_of(&path.join("mod.rs")));
                read_modules(&path, &module, root, modules);
            }
        } else if path != root && path.extension().is_some_and(|kind| kind == "rs") && name != "mod" {
            // Unit tests beside a module may use everything in it.
            if name != "tests" {
                modules.insert(module, code_of(&path));
            }
        }
    }
}

/// Returns the text of a file without line comments and string literals.
fn code_of(file: &Path) -> String {
    let text = fs::read_to_string(file).unwrap();
    let mut code = String::new();
    let mut rest = text.as_str();
    while let Some(next) = rest.chars().next() {
        let skipped = if rest.starts_with("//") {
            rest.find('\n').unwrap_or(rest.len())
        } else if next == '"' {
            let mut escaped = false;
            let end = rest[1..].find(|c| {
                let ends = c == '"' && !escaped;
                escaped = c == '\\' && !escaped;
                ends
            });
            end.map_or(rest.len(), |end| end + 2)
        } else if rest.starts_with("'\"'") {
            3
        } else {
            code.push(next);
            next.len_utf8()
        };
        rest = &rest[skipped..];
    }
    code
}

/// Returns the paths of all `use` declarations, with their braces expanded.
fn imports(code: &str) -> Vec<ModulePath> {
    let mut found = Vec::new();
    for (at, _) in code.match_indices("use ") {
        let before = code[..at].chars().next_back();
        if before.is_some_and(|c| c.is_alphanumeric() || c == '_') {
            continue;
        }
        if let Some(end) = code[at..].find(';') {
            expand(&code[at + "use ".len()..at + end], &[], &mut found);
        }
    }
    found
}

fn expand(tree: &str, prefix: &[String], found: &mut Vec<ModulePath>) {
    let tree = tree.trim();
    match tree.find('{') {
        Some(open) => {
            let head = tree[..open].trim().trim_end_matches("::");
            let below = [prefix, &names(head)].concat();
            let inner = tree[open + 1..].rsplit_once('}').map_or("", |(inner, _)| inner);
            let (mut depth, mut start) = (0, 0);
            for (at, c) in inner.char_indices() {
                match c {
                    '{' => depth += 1,
                    '}' => depth -= 1,
                    ',' if depth == 0 => {
                        expand(&inner[start..at], &below, found);
                        start = at + 1;
                    }
                    _ => {}
                }
            }
            expand(&inner[start..], &below, found);
        }
        None if !tree.is_empty() => {
            let path = tree.split(" as ").next().unwrap_or(tree);
            found.push([prefix, &names(path)].concat());
        }
        None => {}
    }
}

fn names(path: &str) -> ModulePath {
    path.split("::").map(|name| name.trim().to_owned()).filter(|name| !name.is_empty()).collect()
}

/// Returns the paths that begin with `crate` or `super`, also those outside of `use` declarations.
fn inline_paths(code: &str) -> Vec<ModulePath> {
    let starts = ["crate::", "super::"].into_iter().flat_map(|start| code.match_indices(start));
    let path = |at: usize| {
        let end = code[at..].find(|c: char| !(c.is_alphanumeric() || c == '_' || c == ':'));
        names(&code[at..at + end.unwrap_or(code.len() - at)])
    };
    starts.map(|(at, _)| path(at)).collect()
}

/// Returns a path as one from the crate's root, or None if it leads out of the crate or is relative to the module
/// itself.
fn absolute(module: &[String], path: &[String]) -> Option<ModulePath> {
    let mut base = module.to_vec();
    let mut rest = path;
    match rest.first()?.as_str() {
        "crate" => {
            base.clear();
            rest = &rest[1..];
        }
        "super" => {
            while rest.first().is_some_and(|name| name == "super") {
                base.pop()?;
                rest = &rest[1..];
            }
        }
        _ => return None,
    }
    Some([base, rest.to_vec()].concat())
}

/// Returns whether a module defines an item of this name.
fn defines(code: &str, name: &str) -> bool {
    ["struct", "enum", "fn", "const", "type", "trait", "static"].iter().any(|kind| {
        code.match_indices(&format!("{kind} {name}")).any(|(at, found)| {
            let next = code[at + found.len()..].chars().next();
            next.is_none_or(|c| !(c.is_alphanumeric() || c == '_'))
        })
    })
}

/// Returns the edges that remain when those to modules without imports are removed repeatedly. They contain a cycle.
/// Returns None if no edge remains.
fn find_cycle(edges: &BTreeSet<(String, String)>) -> Option<Vec<String>> {
    let mut remaining: BTreeSet<&(String, String)> = edges.iter().collect();
    loop {
        let importers: BTreeSet<&String> = remaining.iter().map(|(from, _)| from).collect();
        let before = remaining.len();
        // An edge to a module without remaining imports is in no cycle.
        remaining.retain(|(_, to)| importers.contains(to));
        if remaining.is_empty() {
            return None;
        }
        if remaining.len() == before {
            return Some(remaining.iter().map(|(from, to)| format!("{from} -> {to}")).collect());
        }
    }
}

#[test]
fn modules_have_no_import_cycles() {
    let source = Path::new(env!("CARGO_MANIFEST_DIR")).join("src");
    let mut roots = vec![source.join("lib.rs")];
    for program in fs::read_dir(source.join("bin")).unwrap() {
        roots.push(program.unwrap().path().join("main.rs"));
    }
    assert_eq!(roots.len(), 4, "{roots:?}");
    let mut cycles = Vec::new();
    for root in roots {
        for (parent, edges) in Crate::read(&root).edges() {
            if let Some(cycle) = find_cycle(&edges) {
                cycles.push(format!("{} {}: {}", root.display(), parent.join("::"), cycle.join(", ")));
            }
        }
    }
    assert!(cycles.is_empty(), "import cycles:\n{}", cycles.join("\n"));
}

#[test]
fn an_import_cycle_is_found_through_re_exports_and_braces() {
    let module = |path: &[&str], code: &str| {
        (path.iter().map(|name| (*name).to_owned()).collect::<ModulePath>(), code.to_owned())
    };
    let modules = [
        module(&[], "mod a; mod b; mod c; pub use b::*; pub use c::Deep;"),
        module(&["a"], "use crate::{Shared, c::{Other as Renamed}}; pub struct Own;"),
        module(&["b"], "pub struct Shared; fn run() { super::a::Own; }"),
        module(&["c"], "pub struct Deep; pub struct Other;"),
    ];
    let crate_with_cycle = Crate { modules: modules.into_iter().collect() };
    let edges = crate_with_cycle.edges().remove(&Vec::new()).unwrap();
    let edge = |from: &str, to: &str| (from.to_owned(), to.to_owned());
    assert_eq!(edges, BTreeSet::from([edge("a", "b"), edge("a", "c"), edge("b", "a")]));
    assert_eq!(find_cycle(&edges).unwrap(), ["a -> b", "b -> a"]);
    assert_eq!(find_cycle(&BTreeSet::from([edge("a", "b"), edge("a", "c"), edge("b", "c")])), None);
}
