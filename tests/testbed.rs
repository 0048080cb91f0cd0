//! The testbed: malformed experiments are rejected before anything is started, the small experiment reports all its
//! figures, sizes that were not run are reported as such, and a signal ends every process that was started.

use serde_json::Value;
use std::fs;
use std::io::Read;
use std::os::unix::fs::PermissionsExt;
use std::path::{Path, PathBuf};
use std::process::{Command, Output, Stdio};
use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::mpsc::channel;
use std::thread;
use std::time::Duration;

// The tests use only a part of it.
#[allow(dead_code)]
#[path = "../src/bin/testbed/fit.rs"]
mod fit;

use fit::{median, Fit};

/// Limits how long a gateway may take to start. It is far longer than a start takes, so that only a failing test
/// reaches it.
const START_TIMEOUT: Duration = Duration::from_secs(60);
const SMALL: &str = include_str!("../experiments/small.toml");
const SCALE: &str = include_str!("../experiments/scale.toml");
const GATEWAY: &str = env!("CARGO_BIN_EXE_delivery-gateway");

/// The folder of one run of the testbed, with its temporary files. It is removed when dropped.
struct RunFolder(PathBuf);

impl RunFolder {
    fn new() -> Self {
        static NEXT: AtomicU32 = AtomicU32::new(0);
        let name = format!("testbed-test-{}-{}", std::process::id(), NEXT.fetch_add(1, Ordering::SeqCst));
        let folder = RunFolder(std::env::temp_dir().join(name));
        fs::create_dir_all(folder.0.join("tmp")).unwrap();
        folder
    }

    fn path(&self, name: &str) -> PathBuf {
        self.0.join(name)
    }

    /// Writes a script that runs a shell command and then becomes the gateway; returns its path.
    fn gateway(&self, first_command: &str) -> PathBuf {
        let path = self.path("courier");
        fs::write(&path, format!("#!/bin/sh\n{first_command}\nexec {GATEWAY}\n")).unwrap();
        fs::set_permissions(&path, fs::Permissions::from_mode(0o755)).unwrap();
        path
    }

    fn command(&self, experiment: &str, gateway: &Path, arguments: &[&str]) -> Command {
        fs::write(self.path("x.toml"), experiment).unwrap();
        let mut command = Command::new(env!("CARGO_BIN_EXE_testbed"));
        command.args(["scale", "x.toml", "--json", "x.json", "--courier"]).arg(gateway).args(arguments);
        command.current_dir(&self.0).env("TMPDIR", self.path("tmp"));
        command
    }

    fn run(&self, experiment: &str, gateway: &Path, arguments: &[&str]) -> Output {
        self.command(experiment, gateway, arguments).output().unwrap()
    }

    /// Returns the JSON report of the run.
    fn report(&self) -> Value {
        serde_json::from_slice(&fs::read(self.path("x.json")).unwrap()).unwrap()
    }

    /// Returns the number of temporary files and folders that the testbed has left.
    fn temporary_files(&self) -> usize {
        fs::read_dir(self.path("tmp")).unwrap().count()
    }
}

impl Drop for RunFolder {
    fn drop(&mut self) {
        let _ = fs::remove_dir_all(&self.0);
    }
}

/// Returns the number, from 1, of the first line of a text that begins with `start`.
fn line_number(text: &str, start: &str) -> usize {
    1 + text.lines().position(|line| line.starts_with(start)).unwrap()
}

/// Checks that an experiment is rejected, with an error that contains all of `expected`, and that nothing is started or
/// written.
fn assert_rejected(experiment: &str, arguments: &[&str], expected: &[&str]) {
    let folder = RunFolder::new();
    let gateway = folder.gateway("touch \"$TMPDIR/../started\"");
    let output = folder.run(experiment, &gateway, arguments);
    let stderr = String::from_utf8_lossy(&output.stderr).into_owned();
    assert_eq!(output.status.code(), Some(1), "{stderr}");
    for words in expected {
        assert!(stderr.contains(words), "'{words}' is missing in: {stderr}");
    }
    assert_eq!(output.stdout, b"");
    assert!(!folder.path("started").exists() && !folder.path("x.json").exists());
    assert_eq!(folder.temporary_files(), 0);
}

#[test]
fn an_unknown_key_is_rejected_with_its_line() {
    let line = format!("x.toml:{}:", line_number(SMALL, "rounds"));
    assert_rejected(
        &SMALL.replace("rounds = 2", "turns = 2"),
        &[],
        &[&line, "unknown field `turns`", "`rounds`"],
    );
    let line = format!("x.toml:{}:", line_number(SMALL, "kind = \"down\""));
    assert_rejected(
        &SMALL.replace("kind = \"down\"", "kind = \"dwon\""),
        &[],
        &[&line, "unknown variant `dwon`"],
    );
}

#[test]
fn invalid_toml_is_rejected_with_its_line() {
    assert_rejected("seed = 1\nseed = 2\n", &[], &["x.toml:2:", "duplicate key"]);
    assert_rejected("seed = 1\n", &[], &["x.toml:1:", "missing field `bounds`"]);
}

#[test]
fn a_size_of_zero_is_rejected_with_its_line() {
    let line = format!("x.toml:{}:", line_number(SMALL, "sizes"));
    assert_rejected(
        &SMALL.replacen("[50, 200, 1000", "[0, 200, 1000", 1),
        &[],
        &[&line, "endpoints has a size of zero", "remove it"],
    );
}

#[test]
fn sizes_that_show_no_growth_are_rejected() {
    let line = format!("x.toml:{}:", line_number(SMALL, "kind"));
    assert_rejected(
        &SMALL.replacen("[50, 200, 1000, 5000]", "[50, 5000]", 1),
        &[],
        &[&line, "has 2 sizes", "give at least 4"],
    );
    assert_rejected(
        &SMALL.replacen("[50, 200, 1000", "[50, 200, 200", 1),
        &[],
        &["200 is not above the size before it"],
    );
}

#[test]
fn a_size_beyond_the_memory_bound_is_rejected() {
    let line = format!("x.toml:{}:", line_number(SMALL, "sizes"));
    assert_rejected(
        &SMALL.replacen("1000, 5000]", "1000, 1_000_000_000]", 1),
        &[],
        &[&line, "over bounds.memory_mb = 500", "leave out the largest or raise the bound"],
    );
}

#[test]
fn bounds_beyond_the_machine_are_rejected() {
    let line = format!("x.toml:{}:", line_number(SMALL, "memory_mb"));
    let too_large = SMALL.replace("memory_mb = 500", "memory_mb = 1_000_000_000");
    assert_rejected(&too_large, &[], &[&line, "at most half of the machine's", "has to be between 1 and"]);
    let line = format!("x.toml:{}:", line_number(SMALL, "processes"));
    assert_rejected(&SMALL.replace("processes = 2", "processes = 1000"), &[], &[&line, "between 1 and 300"]);
    assert_rejected(&SMALL.replace("processes = 2", "processes = 1"), &[], &[&line, "real gateways needs 2"]);
    assert_rejected(&SMALL.replace("time_s = 120", "time_s = 0"), &[], &["bounds.time_s is 0"]);
    assert_rejected(&SMALL.replace("steps = 100", "steps = 0"), &[], &["work.steps is 0"]);
}

#[test]
fn a_sweep_missing_from_the_file_is_rejected() {
    assert_rejected(SMALL, &["--only", "ends"], &["--only ends: the file has no such sweep", "list-change"]);
}

#[test]
fn a_missing_gateway_binary_is_rejected() {
    let folder = RunFolder::new();
    let output = folder.run(SMALL, Path::new("nowhere/delivery-gateway"), &[]);
    let stderr = String::from_utf8_lossy(&output.stderr).into_owned();
    assert_eq!(output.status.code(), Some(1));
    assert!(stderr.contains("nowhere/delivery-gateway is missing; build it first: cargo build"), "{stderr}");
    assert_eq!(output.stdout, b"");
    assert!(!folder.path("x.json").exists());
    assert_eq!(folder.temporary_files(), 0);
}

#[test]
fn a_missing_experiment_file_is_rejected() {
    let output =
        Command::new(env!("CARGO_BIN_EXE_testbed")).args(["scale", "nowhere.toml"]).output().unwrap();
    assert_eq!(output.status.code(), Some(1));
    assert!(String::from_utf8_lossy(&output.stderr).contains("nowhere.toml: No such file"));
}

/// Returns the kinds and sizes of an experiment's sweeps, in the order of the file.
fn sweeps(text: &str) -> Vec<(String, Vec<u64>)> {
    let table: toml::Table = text.parse().unwrap();
    let sweeps = table["sweep"].as_array().unwrap().iter();
    let kind = |sweep: &toml::Value| sweep["kind"].as_str().unwrap().to_owned();
    let sizes = |sweep: &toml::Value| {
        let sizes = sweep["sizes"].as_array().unwrap().iter();
        sizes.map(|size| size.as_integer().unwrap().unsigned_abs()).collect()
    };
    sweeps.map(|sweep| (kind(sweep), sizes(sweep))).collect()
}

/// A sweep that is missing from the small experiment would not be tested. The sizes of each sweep have to span a factor
/// of 100.
#[test]
fn the_experiments_have_the_same_sweeps() {
    let sweep_kinds = |text| sweeps(text).into_iter().map(|(kind, _)| kind).collect::<Vec<_>>();
    assert_eq!(sweep_kinds(SCALE), sweep_kinds(SMALL));
    for (kind, sizes) in sweeps(SCALE).into_iter().chain(sweeps(SMALL)) {
        assert!(sizes.len() >= 4 && sizes[sizes.len() - 1] >= 100 * sizes[0], "{kind}: {sizes:?}");
    }
}

/// All sweeps run at all their sizes, those with real gateways included, and no temporary files are left.
#[test]
fn the_small_experiment_has_all_its_figures() {
    let folder = RunFolder::new();
    let output = folder.run(SMALL, Path::new(GATEWAY), &[]);
    let stderr = String::from_utf8_lossy(&output.stderr).into_owned();
    assert!(output.status.success(), "{stderr}");
    let table = String::from_utf8_lossy(&output.stdout).into_owned();
    let report = folder.report();
    let reported_sweeps = report["sweeps"].as_array().unwrap();
    assert_eq!(reported_sweeps.len(), sweeps(SMALL).len());
    for ((kind, sizes), sweep) in sweeps(SMALL).iter().zip(reported_sweeps) {
        assert_eq!(sweep["kind"], kind.as_str());
        assert!(table.contains(&format!("{kind} (target size ")), "{table}");
        let points = sweep["points"].as_array().unwrap();
        let reported_sizes: Vec<u64> = points.iter().map(|point| point["size"].as_u64().unwrap()).collect();
        assert_eq!(reported_sizes, *sizes);
        for point in points {
            assert_eq!(point["not_run"], Value::Null, "{kind} was not run: {point}");
            let figures = point["figures"].as_object().unwrap();
            assert!(figures.len() >= 4, "{kind} has too few figures: {point}");
            for (name, value) in figures {
                assert!(value.as_f64().is_some_and(f64::is_finite), "{kind}: {name} is not finite: {point}");
            }
        }
        let growth = sweep["growth"].as_array().unwrap();
        assert!(!growth.is_empty(), "{kind} has no growth");
        for growth in growth {
            for name in ["slope", "constant", "largest_residual", "exponent"] {
                assert!(
                    growth[name].as_f64().is_some_and(f64::is_finite),
                    "{kind}: {name} is not finite: {growth}"
                );
            }
        }
    }
    let journal = &reported_sweeps[sweeps(SMALL).iter().position(|(kind, _)| kind == "journal").unwrap()];
    for point in journal["points"].as_array().unwrap() {
        assert_eq!(point["figures"]["tried_share"], 1.0, "{point}");
    }
    assert!(table.contains("the first limit first"), "{table}");
    assert_eq!(folder.temporary_files(), 0);
}

#[test]
fn one_sweep_can_be_run_alone() {
    let folder = RunFolder::new();
    // These sweeps run no gateway, so that its binary may be missing.
    let missing_gateway = Path::new("nowhere/delivery-gateway");
    let output = folder.run(SMALL, missing_gateway, &["--only", "calls-out", "--only", "endpoints"]);
    assert!(output.status.success());
    let report = folder.report();
    let sweep_kinds: Vec<&Value> =
        report["sweeps"].as_array().unwrap().iter().map(|sweep| &sweep["kind"]).collect();
    assert_eq!(sweep_kinds, ["endpoints", "calls-out"]);
}

/// Runs one sweep and returns its sizes with two figures that do not depend on a clock.
fn clock_independent_figures(seed: u32) -> Vec<(u64, f64, f64)> {
    let folder = RunFolder::new();
    let experiment = SMALL
        .replace("seed = 19", &format!("seed = {seed}"))
        .replace("jitter_ms = 0", "jitter_ms = 20")
        .replace("block_ms = 30", "block_ms = 10000");
    let output = folder.run(&experiment, Path::new(GATEWAY), &["--only", "calls-out"]);
    assert!(output.status.success());
    let report = folder.report();
    let points = report["sweeps"][0]["points"].as_array().unwrap().iter();
    let figure = |point: &Value, name: &str| point["figures"][name].as_f64().unwrap();
    points
        .map(|point| {
            (point["size"].as_u64().unwrap(), figure(point, "looked_at"), figure(point, "hand_over_bytes"))
        })
        .collect()
}

#[test]
fn randomness_comes_from_the_seed_alone() {
    assert_eq!(clock_independent_figures(5), clock_independent_figures(5));
    assert_ne!(clock_independent_figures(5), clock_independent_figures(6));
}

/// A gateway whose endpoints reject calls must not be measured as if it had done the work. Its size counts as not run.
#[test]
fn work_that_was_not_done_is_reported() {
    let folder = RunFolder::new();
    let rejecting = SMALL.replace("latency_ms = 40", "limit_per_s = 0.001\nlatency_ms = 40");
    let output = folder.run(&rejecting, Path::new(GATEWAY), &["--only", "endpoints"]);
    assert!(output.status.success());
    let first_point = &folder.report()["sweeps"][0]["points"][0];
    let reason = first_point["not_run"].as_str().unwrap_or_else(|| panic!("has no reason: {first_point}"));
    assert!(reason.starts_with("the work was not done: "), "{reason}");
}

/// Sizes that the time limit of the run did not allow are reported as not run, with the reason and without figures.
#[test]
fn sizes_that_were_not_run_are_reported() {
    let folder = RunFolder::new();
    let short = SMALL.replace("time_s = 120", "time_s = 1");
    let long = short.replace("rounds = 2", "rounds = 1000").replace("steps = 100", "steps = 1000000");
    let output = folder.run(&long, Path::new(GATEWAY), &[]);
    assert!(output.status.success());
    let table = String::from_utf8_lossy(&output.stdout).into_owned();
    for sweep in folder.report()["sweeps"].as_array().unwrap() {
        for point in sweep["points"].as_array().unwrap() {
            let reason = point["not_run"].as_str().unwrap_or_else(|| panic!("has no reason: {point}"));
            assert_eq!(reason, "the time of the whole run was up");
            assert_eq!(point["figures"], serde_json::json!({}));
            let line = format!("not run: {} {}: {reason}", sweep["kind"].as_str().unwrap(), point["size"]);
            assert!(table.contains(&line), "{table}");
        }
        assert_eq!(sweep["growth"], serde_json::json!([]));
    }
    assert_eq!(folder.temporary_files(), 0);
}

/// Ctrl-C could leave gateways and their folders behind. The testbed ends and removes them, and reports the sizes that
/// were not run.
#[test]
fn a_signal_ends_every_process_that_was_started() {
    let folder = RunFolder::new();
    let pipe = folder.path("pipe");
    assert!(Command::new("mkfifo").arg(&pipe).status().unwrap().success());
    let gateway = folder.gateway(&format!("echo $$ > {}", pipe.display()));
    let mut command = folder.command(SMALL, &gateway, &["--only", "journal"]);
    let mut testbed = command.stdout(Stdio::null()).stderr(Stdio::null()).spawn().unwrap();
    // Opening the pipe waits until the gateway's process writes its id to it.
    let (send, receive) = channel();
    thread::spawn(move || {
        let mut text = String::new();
        let read = fs::File::open(pipe).and_then(|mut pipe| pipe.read_to_string(&mut text));
        let _ = send.send(read.map(|_| text));
    });
    let id: u32 = receive
        .recv_timeout(START_TIMEOUT)
        .expect("no gateway was started within 60 s")
        .unwrap()
        .trim()
        .parse()
        .unwrap();
    assert!(Path::new(&format!("/proc/{id}")).exists());
    let signal = format!("kill -INT {}", testbed.id());
    assert!(Command::new("/bin/sh").args(["-c", &signal]).status().unwrap().success());
    assert_eq!(testbed.wait().unwrap().code(), Some(130));
    // The testbed has waited for the process, so that its id is free.
    assert!(!Path::new(&format!("/proc/{id}")).exists());
    assert_eq!(folder.temporary_files(), 0);
    let points = &folder.report()["sweeps"][0]["points"];
    for point in points.as_array().unwrap() {
        assert_eq!(point["not_run"], "interrupted", "{points}");
    }
}

fn assert_close(actual: f64, expected: f64, relative_tolerance: f64) {
    assert!(
        (actual - expected).abs() <= relative_tolerance * expected.abs(),
        "{actual} is too far from {expected}"
    );
}

const SIZES: [f64; 6] = [10.0, 100.0, 500.0, 1000.0, 5000.0, 10_000.0];

#[test]
fn a_line_is_fitted() {
    let fit = Fit::through(&SIZES.map(|x| (x, 3.0 * x + 250.0))).unwrap();
    assert_close(fit.slope, 3.0, 1e-9);
    assert_close(fit.constant, 250.0, 1e-9);
    assert!(fit.largest_residual < 1e-9);
    assert!(!fit.is_worse_than_linear());
    assert_eq!(fit.range, (1000.0, 10_000.0));
    // Without a constant the exponent is 1.
    assert_close(Fit::through(&SIZES.map(|x| (x, 3.0 * x))).unwrap().exponent, 1.0, 1e-9);
}

#[test]
fn quadratic_growth_is_worse_than_linear() {
    let points = SIZES.map(|x| (x, 0.5 * x * x));
    let fit = Fit::through(&points).unwrap();
    assert_close(fit.exponent, 2.0, 1e-9);
    assert!(fit.is_worse_than_linear());
    assert!(fit.largest_residual > 0.5, "a line fits {points:?}");
    // Beyond the largest point the power law is extrapolated.
    assert_close(fit.size_at(0.5 * 1e10, &points).unwrap(), 1e5, 1e-9);
}

#[test]
fn noise_changes_a_fitted_line_little() {
    for seed in 0..50 {
        let mut rng = fastrand::Rng::with_seed(seed);
        let points = SIZES.map(|x| (x, (20.0 * x + 1000.0) * (0.95 + 0.1 * rng.f64())));
        let fit = Fit::through(&points).unwrap();
        assert_close(fit.slope, 20.0, 0.1);
        assert_close(fit.constant, 1000.0, 0.3);
        assert!(fit.largest_residual < 0.1 && !fit.is_worse_than_linear(), "seed {seed}: {fit:?}");
    }
}

#[test]
fn a_constant_does_not_grow() {
    let points = SIZES.map(|x| (x, 70.0));
    let fit = Fit::through(&points).unwrap();
    assert!(fit.slope.abs() < 1e-9 && fit.exponent.abs() < 1e-9);
    assert_eq!(fit.size_at(1000.0, &points).filter(|size| *size < 1e9), None);
}

#[test]
fn a_budget_gives_the_size_at_which_it_is_exceeded() {
    let points = SIZES.map(|x| (x, 3.0 * x + 250.0));
    let fit = Fit::through(&points).unwrap();
    assert_close(fit.size_at(3.0 * 700.0 + 250.0, &points).unwrap(), 700.0, 1e-9);
    assert_close(fit.size_at(3.0 * 1e6 + 250.0, &points).unwrap(), 1e6, 1e-6);
    // The constant alone exceeds this budget.
    assert_eq!(fit.size_at(100.0, &points), Some(0.0));
    // Between two points the measured values take precedence over the fitted line.
    let bent = [(1.0, 1.0), (2.0, 2.0), (4.0, 40.0), (8.0, 400.0)];
    assert_close(Fit::through(&bent).unwrap().size_at(21.0, &bent).unwrap(), 3.0, 1e-9);
}

#[test]
fn too_few_or_invalid_points_have_no_fit() {
    assert_eq!(Fit::through(&[]), None);
    assert_eq!(Fit::through(&[(5.0, 1.0)]), None);
    assert_eq!(Fit::through(&[(5.0, 1.0), (5.0, 2.0)]), None);
    assert_eq!(Fit::through(&[(5.0, 1.0), (6.0, f64::NAN)]), None);
    assert_eq!(Fit::through(&[(0.0, 1.0), (6.0, 2.0)]), None);
}

#[test]
fn the_median_is_the_middle_value() {
    assert_eq!(median(&mut [3.0, 1.0, 100.0]), Some(3.0));
    assert_eq!(median(&mut [3.0, 1.0, 100.0, 2.0]), Some(2.5));
    assert_eq!(median(&mut []), None);
}

/// A short soak of real gateways with injected faults breaks no delivery rule. Its report shows what was injected.
#[test]
fn a_short_soak_breaks_no_rule() {
    let shim = Path::new(env!("CARGO_BIN_EXE_testbed")).with_file_name("examples").join("libfault_shim.so");
    let mut testbed = Command::new(env!("CARGO_BIN_EXE_testbed"));
    testbed.args(["soak", "--seed", "11", "--couriers", "6", "--seconds", "8"]);
    testbed.args(["--courier", env!("CARGO_BIN_EXE_delivery-gateway"), "--shim"]).arg(shim);
    let output = testbed.output().unwrap();
    let report = String::from_utf8_lossy(&output.stdout).into_owned();
    assert!(output.status.success(), "{report}{}", String::from_utf8_lossy(&output.stderr));
    for word in ["accepted ", "delivered ", "notifications ", "starts ", "Accept ", "TcpRead ", "TcpWrite "] {
        assert!(report.contains(word), "'{word}' is missing in: {report}");
    }
}

/// A soak without the fault shim would pass without any fault. The error names the missing file and how to build it.
#[test]
fn a_soak_without_its_shim_is_rejected() {
    let output =
        Command::new(env!("CARGO_BIN_EXE_testbed")).args(["soak", "--shim", "nowhere.so"]).output().unwrap();
    assert!(!output.status.success());
    let stderr = String::from_utf8_lossy(&output.stderr).into_owned();
    assert!(stderr.contains("nowhere.so is missing; cargo build --release --examples makes it"), "{stderr}");
}
