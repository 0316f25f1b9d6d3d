//! A process of the program under test: its start, its log and its end.

use super::{TEST_TIMEOUT, TempFolder, wait_until};
use std::io::{BufRead, BufReader};
use std::net::TcpStream;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::{Arc, Condvar, Mutex, OnceLock};
use std::thread;

/// The fault injection library (`tools/faults/faults.c`), built once for each test program.
pub fn faults_library() -> PathBuf {
    static BUILT: OnceLock<PathBuf> = OnceLock::new();
    let build = || {
        let folder = Path::new(env!("CARGO_TARGET_TMPDIR"));
        let (new, library) =
            (folder.join(format!("faults-{}.so", std::process::id())), folder.join("faults.so"));
        let source = concat!(env!("CARGO_MANIFEST_DIR"), "/tools/faults/faults.c");
        let mut compiler = Command::new("cc");
        compiler.args(["-O2", "-shared", "-fPIC", "-o"]).arg(&new).args([source, "-ldl"]);
        assert!(compiler.status().expect("a C compiler").success());
        // Another test program may be loading the one that is there.
        std::fs::rename(&new, &library).expect("renamed");
        library
    };
    BUILT.get_or_init(build).clone()
}

/// Writes a configuration to a file of its own.
fn write_config(folder: &TempFolder, config: &serde_json::Value) -> PathBuf {
    let file = folder.0.join(format!("config-{}.json", fastrand::u64(..)));
    std::fs::write(&file, config.to_string()).expect("written");
    file
}

/// A process of the program.
pub struct Gatherer {
    pub child: Child,
    /// The address at which clients connect.
    pub clients: String,
    /// The address of the operators' API; empty where there is none.
    pub operators: String,
    /// All lines of its log so far; the condition variable is notified of each further one.
    pub log: Arc<(Mutex<Vec<String>>, Condvar)>,
}

impl Gatherer {
    /// Starts the platform's front and waits until it serves.
    pub fn start(folder: &TempFolder, config: &serde_json::Value) -> Gatherer {
        let gatherer = Gatherer::start_without_waiting(folder, config);
        gatherer.wait_for_log(" serving on ");
        gatherer
    }

    /// Starts the platform's front without waiting until it serves.
    pub fn start_without_waiting(folder: &TempFolder, config: &serde_json::Value) -> Gatherer {
        Gatherer::start_on_config(folder, config, folder, None)
    }

    /// The same with an operator's file of this text.
    pub fn start_with_operator_file(
        folder: &TempFolder,
        config: &serde_json::Value,
        operator_file: &str,
    ) -> Gatherer {
        Gatherer::start_on_config(folder, config, folder, Some(operator_file))
    }

    /// Starts the platform's front with another folder for temporary files, and waits until it serves.
    pub fn start_with_temp_folder(
        folder: &TempFolder,
        config: &serde_json::Value,
        temp_folder: &TempFolder,
    ) -> Gatherer {
        let gatherer = Gatherer::start_on_config(folder, config, temp_folder, None);
        gatherer.wait_for_log(" serving on ");
        gatherer
    }

    /// Starts it on a new file with this configuration.
    fn start_on_config(
        folder: &TempFolder,
        config: &serde_json::Value,
        temp_folder: &TempFolder,
        operator_file: Option<&str>,
    ) -> Gatherer {
        let file = write_config(folder, config);
        Gatherer::spawn(&file, config, temp_folder, operator_file)
    }

    /// Starts it with the fault injection library preloaded. `faults` lists the faults, which happen while
    /// the file `switch` exists.
    pub fn start_with_faults(
        folder: &TempFolder,
        config: &serde_json::Value,
        faults: &str,
        switch: Option<&Path>,
    ) -> Gatherer {
        let file = write_config(folder, config);
        let mut variables = vec![("LD_PRELOAD", faults_library()), ("FAULTS", faults.into())];
        variables.extend(switch.map(|switch| ("FAULTS_SWITCH", switch.to_owned())));
        Gatherer::spawn_in(&file, config, folder, None, &variables)
    }

    /// Starts it on a file whose content is, or will be, `config`.
    pub fn spawn(
        file: &Path,
        config: &serde_json::Value,
        temp_folder: &TempFolder,
        operator_file: Option<&str>,
    ) -> Gatherer {
        Gatherer::spawn_in(file, config, temp_folder, operator_file, &[])
    }

    /// Starts it with further environment variables.
    fn spawn_in(
        file: &Path,
        config: &serde_json::Value,
        temp_folder: &TempFolder,
        operator_file: Option<&str>,
        variables: &[(&str, PathBuf)],
    ) -> Gatherer {
        let mut command = Command::new(env!("CARGO_BIN_EXE_gatherer"));
        command.env_clear().env("LB_CONFIG", file).env("TMPDIR", &temp_folder.0).stderr(Stdio::piped());
        command.envs(variables.iter().map(|(name, value)| (name, value)));
        if let Some(text) = operator_file {
            let file = file.with_extension("toml");
            std::fs::write(&file, text).expect("written");
            command.args(["serve", "--operator"]).arg(file);
        }
        let mut child = command.spawn().expect("the program starts");
        let lines = BufReader::new(child.stderr.take().expect("piped")).lines();
        let log: Arc<(Mutex<Vec<String>>, Condvar)> = Arc::default();
        let log_writer = log.clone();
        thread::spawn(move || {
            for line in lines.map_while(Result::ok) {
                log_writer.0.lock().expect("sound").push(line);
                log_writer.1.notify_all();
            }
            log_writer.0.lock().expect("sound").push("the log ends".to_owned());
            log_writer.1.notify_all();
        });
        let clients = config["listen"].as_str().expect("an address").to_owned();
        let operators = config["operator"].as_str().unwrap_or_default().to_owned();
        Gatherer { child, clients, operators, log }
    }

    /// Waits for a line of the log that contains these words.
    pub fn wait_for_log(&self, words: &str) -> String {
        let lines = self.log.0.lock().expect("sound");
        let is_there = |lines: &Vec<String>| lines.iter().any(|line| line.contains(words));
        let has_ended = |lines: &Vec<String>| lines.last().is_some_and(|line| line == "the log ends");
        let is_missing = |lines: &mut Vec<String>| !is_there(lines) && !has_ended(lines);
        let (lines, _) = self.log.1.wait_timeout_while(lines, TEST_TIMEOUT, is_missing).expect("sound");
        let found = lines.iter().find(|line| line.contains(words)).cloned();
        found.unwrap_or_else(|| panic!("no {words:?} in {lines:#?}"))
    }

    /// Sends a signal, by its option of `kill`.
    pub fn signal(&self, name: &str) {
        let kill =
            Command::new("kill").args([name, &self.child.id().to_string()]).status().expect("kill runs");
        assert!(kill.success());
    }

    /// Pauses the process (SIGSTOP) and waits until it is: what arrives from now on is seen at the same
    /// wake-up.
    pub fn pause(&self) {
        self.signal("-STOP");
        let stat = format!("/proc/{}/stat", self.child.id());
        wait_until("it is paused", || std::fs::read_to_string(&stat).expect("its state").contains(") T "));
    }

    /// Waits for its exit; returns whether its status is 0.
    pub fn wait_for_exit(&mut self) -> bool {
        let mut status = None;
        wait_until("it exits", || {
            status = self.child.try_wait().expect("its status");
            status.is_some()
        });
        status.is_some_and(|status| status.success())
    }

    /// Connects as a client.
    pub fn connect(&self) -> TcpStream {
        let stream = TcpStream::connect(&self.clients).expect("connected");
        stream.set_read_timeout(Some(TEST_TIMEOUT)).expect("set");
        stream
    }
}

impl Drop for Gatherer {
    fn drop(&mut self) {
        // Also where the test fails: no process outlives its test. One that has exited cannot be killed.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}
