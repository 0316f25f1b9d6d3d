//! Rules for the source files. Each file of the decision module is listed in the deploy file, does no I/O,
//! keeps to the line width, and imports nothing of the layers above it. The files of the program are short,
//! hold no test module, and name what they import.

use std::collections::BTreeSet;
use std::path::{Path, PathBuf};

/// Characters in a line of a file of the decision module.
const MAX_LINE_WIDTH: usize = 110;
/// Lines in a file of the program.
const MAX_FILE_LINES: usize = 400;
/// Prefixes of the imports that a file of the decision module may have besides its siblings: the parts of
/// the standard library that do no I/O and read no clock, and libraries of plain data.
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
/// Names of I/O, clocks, threads and unsafe code that must not occur in the code of the decision module.
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
    for entry in std::fs::read_dir(folder).expect("the folder of source files can be read") {
        let path = entry.expect("the folder's entry can be read").path();
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
    let name = |path: &Path| {
        path.strip_prefix(root).expect("the path is below the repository's root").display().to_string()
    };
    let files = files_below(&root.join(folder));
    files
        .iter()
        .map(|path| (name(path), std::fs::read_to_string(path).expect("the source file can be read")))
        .collect()
}

/// All files of the decision module, with their texts.
fn module_files() -> Vec<(String, String)> {
    files_with_text("src/policy")
}

/// The Rust files below a folder, with their texts.
fn rust_files(folder: &str) -> Vec<(String, String)> {
    let mut files = files_with_text(folder);
    files.retain(|(path, _)| path.ends_with(".rs"));
    files
}

/// The lines of a file that are no comments, with their numbers.
fn code_lines(text: &str) -> impl Iterator<Item = (usize, &str)> {
    let numbered = text.lines().enumerate().map(|(at, line)| (at + 1, line.trim()));
    numbered.filter(|(_, line)| !line.starts_with("//"))
}

#[test]
fn the_deploy_file_lists_each_file_of_the_module_and_no_other() {
    let deploy: toml::Value =
        toml::from_str(include_str!("../deploy/balancer.toml")).expect("deploy/balancer.toml is TOML");
    let listed = deploy["policy"].as_array().expect("the key `policy` is a list").iter();
    let listed: BTreeSet<&str> =
        listed.map(|path| path.as_str().expect("each entry of `policy` is a path")).collect();
    let files = module_files();
    let present: BTreeSet<&str> = files.iter().map(|(path, _)| path.as_str()).collect();
    assert!(!present.is_empty(), "src/policy has no files");
    assert_eq!(listed, present, "paths in deploy/balancer.toml (left) and files in src/policy (right)");
}

#[test]
fn the_module_keeps_to_the_line_width() {
    for (path, text) in module_files() {
        for (at, line) in text.lines().enumerate() {
            let width = line.chars().count();
            let number = at + 1;
            assert!(
                width <= MAX_LINE_WIDTH,
                "{path}:{number} has {width} characters, the limit is {MAX_LINE_WIDTH}"
            );
        }
    }
}

#[test]
fn the_module_does_no_io_and_reads_no_clock() {
    for (path, text) in module_files() {
        for (number, line) in code_lines(&text) {
            for word in FORBIDDEN {
                assert!(
                    !line.contains(word),
                    "{path}:{number} uses {word}, which is forbidden in the decision module"
                );
            }
        }
    }
}

#[test]
fn the_module_imports_nothing_of_the_layers_above() {
    for (path, text) in module_files() {
        for (number, line) in code_lines(&text) {
            if let Some(at) = line.find("crate::") {
                let stays_in_module = line[at..].starts_with("crate::policy");
                assert!(stays_in_module, "{path}:{number} uses a module outside src/policy: {line}");
            }
            let Some(import) = line.strip_prefix("use ").or_else(|| line.strip_prefix("pub use ")) else {
                continue;
            };
            let is_inside =
                ["super::", "self::", "crate::policy"].iter().any(|prefix| import.starts_with(prefix));
            let is_sibling = import.split("::").next().is_some_and(|first| is_module(&path, first));
            let is_allowed = ALLOWED_IMPORTS.iter().any(|prefix| import.starts_with(prefix));
            assert!(
                is_inside || is_sibling || is_allowed,
                "{path}:{number} imports {import}, which is not in ALLOWED_IMPORTS"
            );
        }
    }
}

#[test]
fn files_of_the_program_are_short() {
    for (path, text) in rust_files("src") {
        let lines = text.lines().count();
        assert!(lines <= MAX_FILE_LINES, "{path} has {lines} lines, at most {MAX_FILE_LINES} are allowed");
    }
}

#[test]
fn test_modules_are_in_separate_files() {
    for (path, text) in rust_files("src") {
        let mut lines = code_lines(&text).skip_while(|(_, line)| *line != "#[cfg(test)]");
        let module = lines.nth(1).map(|(_, line)| line);
        assert!(
            module.is_none_or(|line| line == "mod tests;"),
            "{path}: `mod tests;` must follow #[cfg(test)], found {module:?}"
        );
    }
}

#[test]
fn imports_use_no_globs() {
    for (path, text) in ["src", "tests", "examples"].into_iter().flat_map(rust_files) {
        for (number, line) in code_lines(&text).filter(|(_, line)| line.contains("use ")) {
            let is_glob = line.contains("::*") && !line.contains("prelude::*");
            assert!(!is_glob, "{path}:{number} imports all names of a module: {line}");
        }
    }
}

/// Whether a name is a module in the folder of this file.
fn is_module(file: &str, name: &str) -> bool {
    let root = Path::new(env!("CARGO_MANIFEST_DIR"));
    let folder = root.join(file).parent().expect("the file is in a folder").to_path_buf();
    folder.join(format!("{name}.rs")).exists() || folder.join(name).is_dir()
}
