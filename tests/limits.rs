//! What holds for the source files. Those of the decision module: each is listed in the deploy file, does no I/O, keeps to the
//! line width, and imports nothing of the layers above it. Those of the program: they are short, hold no test module, and
//! name what they import.

use std::collections::BTreeSet;
use std::path::{Path, PathBuf};

const MAX_LINE_WIDTH: usize = 110;
/// Lines of a file of the program.
const MAX_FILE_LINES: usize = 400;
/// What a file of the module may import beside its own siblings: the parts of the standard library that do no I/O and
/// read no clock, and libraries of plain data.
const ALLOWED_IMPORTS: [&str; 9] = [
    "std::cmp",
    "std::collections",
    "std::sync::Arc",
    "std::time::Duration",
    "std::{fmt",
    "std::fmt",
    "serde::",
    "xxhash_rust::",
    "thiserror::",
];
/// Words of I/O, clocks and threads, which no path in the code may name either.
const FORBIDDEN: [&str; 12] = [
    "std::fs",
    "std::io",
    "std::net",
    "std::env",
    "std::thread",
    "std::process",
    "Instant",
    "SystemTime",
    "tokio",
    "println!",
    "log::",
    "unsafe",
];

fn files_below(folder: &Path) -> Vec<PathBuf> {
    let mut files = Vec::new();
    for entry in std::fs::read_dir(folder).expect("the folder can be read") {
        let path = entry.expect("an entry can be read").path();
        if path.is_dir() {
            files.extend(files_below(&path));
        } else {
            files.push(path);
        }
    }
    files
}

/// The path of each file below a folder, from the repository's root, with its text.
fn files_with_text(folder: &str) -> Vec<(String, String)> {
    let root = Path::new(env!("CARGO_MANIFEST_DIR"));
    let name = |path: &Path| path.strip_prefix(root).expect("it is below the root").display().to_string();
    let files = files_below(&root.join(folder));
    files.iter().map(|path| (name(path), std::fs::read_to_string(path).expect("it can be read"))).collect()
}

/// The files of the decision module.
fn module_files() -> Vec<(String, String)> {
    files_with_text("src/policy")
}

/// The Rust files below a folder.
fn rust_files(folder: &str) -> Vec<(String, String)> {
    let mut files = files_with_text(folder);
    files.retain(|(path, _)| path.ends_with(".rs"));
    files
}

/// The lines of a file that are code, with their numbers.
fn code(text: &str) -> impl Iterator<Item = (usize, &str)> {
    let numbered = text.lines().enumerate().map(|(at, line)| (at + 1, line.trim()));
    numbered.filter(|(_, line)| !line.starts_with("//"))
}

#[test]
fn the_deploy_file_lists_each_file_of_the_module_and_no_other() {
    let deploy: toml::Value = toml::from_str(include_str!("../deploy/balancer.toml")).expect("it is TOML");
    let listed = deploy["policy"].as_array().expect("a list").iter();
    let listed: BTreeSet<&str> = listed.map(|path| path.as_str().expect("a path")).collect();
    let files = module_files();
    let present: BTreeSet<&str> = files.iter().map(|(path, _)| path.as_str()).collect();
    assert!(!present.is_empty(), "the module has files");
    assert_eq!(listed, present);
}

#[test]
fn the_module_keeps_to_the_line_width() {
    for (path, text) in module_files() {
        for (at, line) in text.lines().enumerate() {
            assert!(line.chars().count() <= MAX_LINE_WIDTH, "{path}:{} is too long", at + 1);
        }
    }
}

#[test]
fn the_module_does_no_io_and_reads_no_clock() {
    for (path, text) in module_files() {
        for (number, line) in code(&text) {
            for word in FORBIDDEN {
                assert!(!line.contains(word), "{path}:{number} names {word}");
            }
        }
    }
}

#[test]
fn the_module_imports_nothing_of_the_layers_above() {
    for (path, text) in module_files() {
        for (number, line) in code(&text) {
            if let Some(at) = line.find("crate::") {
                assert!(line[at..].starts_with("crate::policy"), "{path}:{number} reaches out of the module");
            }
            let Some(import) = line.strip_prefix("use ").or_else(|| line.strip_prefix("pub use ")) else {
                continue;
            };
            let inside =
                ["super::", "self::", "crate::policy"].iter().any(|prefix| import.starts_with(prefix));
            let sibling = import.split("::").next().is_some_and(|first| is_module(&path, first));
            let allowed = ALLOWED_IMPORTS.iter().any(|prefix| import.starts_with(prefix));
            assert!(inside || sibling || allowed, "{path}:{number} imports {import}");
        }
    }
}

#[test]
fn files_of_the_program_are_short() {
    for (path, text) in rust_files("src") {
        let lines = text.lines().count();
        assert!(lines <= MAX_FILE_LINES, "{path} has {lines} lines");
    }
}

#[test]
fn test_modules_have_files_of_their_own() {
    for (path, text) in rust_files("src") {
        let mut lines = code(&text).skip_while(|(_, line)| *line != "#[cfg(test)]");
        let module = lines.nth(1).map(|(_, line)| line);
        assert!(module.is_none_or(|line| line == "mod tests;"), "{path}: {module:?}");
    }
}

#[test]
fn imports_are_named() {
    for (path, text) in ["src", "tests", "examples"].into_iter().flat_map(rust_files) {
        for (number, line) in code(&text).filter(|(_, line)| line.contains("use ")) {
            let names_all = line.contains("::*") && !line.contains("prelude::*");
            assert!(!names_all, "{path}:{number} imports all of a module");
        }
    }
}

/// Whether a name is a module beside this file.
fn is_module(file: &str, name: &str) -> bool {
    let root = Path::new(env!("CARGO_MANIFEST_DIR"));
    let folder = root.join(file).parent().expect("a folder").to_path_buf();
    folder.join(format!("{name}.rs")).exists() || folder.join(name).is_dir()
}
