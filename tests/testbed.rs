//! The testbed: bad input starts nothing, the small experiment has all its figures, what was not run is reported, and a
//! signal ends every process that was started.

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

// Not all of it is asked here.
#[allow(dead_code)]
#[path = "../src/bin/testbed/fit.rs"]
mod fit;

use fit::{median, Fit};

/// Far longer than anything here takes; only a failing test waits for so long.
const PATIENCE: Duration = Duration::from_secs(60);
const SMALL: &str = include_str!("../experiments/small.toml");
const SCALE: &str = include_str!("../experiments/scale.toml");
const GATEWAY: &str = env!("CARGO_BIN_EXE_delivery-gateway");

/// A folder for one run, which holds its temporary files as well.
struct Place(PathBuf);

impl Place {
    fn new() -> Self {
        static NEXT: AtomicU32 = AtomicU32::new(0);
        let own = format!("testbed-test-{}-{}", std::process::id(), NEXT.fetch_add(1, Ordering::SeqCst));
        let place = Place(std::env::temp_dir().join(own));
        fs::create_dir_all(place.0.join("tmp")).unwrap();
        place
    }

    fn path(&self, name: &str) -> PathBuf {
        self.0.join(name)
    }

    /// A gateway that does something first.
    fn gateway(&self, first: &str) -> PathBuf {
        let path = self.path("courier");
        fs::write(&path, format!("#!/bin/sh\n{first}\nexec {GATEWAY}\n")).unwrap();
        fs::set_permissions(&path, fs::Permissions::from_mode(0o755)).unwrap();
        path
    }

    fn command(&self, experiment: &str, gateway: &Path, more: &[&str]) -> Command {
        fs::write(self.path("x.toml"), experiment).unwrap();
        let mut command = Command::new(env!("CARGO_BIN_EXE_testbed"));
        command.args(["scale", "x.toml", "--json", "x.json", "--courier"]).arg(gateway).args(more);
        command.current_dir(&self.0).env("TMPDIR", self.path("tmp"));
        command
    }

    fn run(&self, experiment: &str, gateway: &Path, more: &[&str]) -> Output {
        self.command(experiment, gateway, more).output().unwrap()
    }

    fn json(&self) -> Value {
        serde_json::from_slice(&fs::read(self.path("x.json")).unwrap()).unwrap()
    }

    fn left_behind(&self) -> usize {
        fs::read_dir(self.path("tmp")).unwrap().count()
    }
}

impl Drop for Place {
    fn drop(&mut self) {
        let _ = fs::remove_dir_all(&self.0);
    }
}

/// The line of the small experiment that begins with some words, counted from 1.
fn line_of(text: &str, words: &str) -> usize {
    1 + text.lines().position(|line| line.starts_with(words)).unwrap()
}

/// An experiment that is rejected: the error says where and why, and nothing is started or written.
fn assert_rejected(experiment: &str, more: &[&str], says: &[&str]) {
    let place = Place::new();
    let gateway = place.gateway("touch \"$TMPDIR/../started\"");
    let output = place.run(experiment, &gateway, more);
    let stderr = String::from_utf8_lossy(&output.stderr).into_owned();
    assert_eq!(output.status.code(), Some(1), "{stderr}");
    for words in says {
        assert!(stderr.contains(words), "'{words}' is missing in: {stderr}");
    }
    assert_eq!(output.stdout, b"");
    assert!(!place.path("started").exists() && !place.path("x.json").exists());
    assert_eq!(place.left_behind(), 0);
}

#[test]
fn an_unknown_key_is_rejected_with_its_line() {
    let line = format!("x.toml:{}:", line_of(SMALL, "rounds"));
    assert_rejected(
        &SMALL.replace("rounds = 2", "turns = 2"),
        &[],
        &[&line, "unknown field `turns`", "`rounds`"],
    );
    let line = format!("x.toml:{}:", line_of(SMALL, "kind = \"down\""));
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
    let line = format!("x.toml:{}:", line_of(SMALL, "sizes"));
    assert_rejected(
        &SMALL.replacen("[50, 200, 1000", "[0, 200, 1000", 1),
        &[],
        &[&line, "endpoints has a size of zero", "remove it"],
    );
}

#[test]
fn sizes_that_show_no_growth_are_rejected() {
    let line = format!("x.toml:{}:", line_of(SMALL, "kind"));
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
    let line = format!("x.toml:{}:", line_of(SMALL, "sizes"));
    assert_rejected(
        &SMALL.replacen("1000, 5000]", "1000, 1_000_000_000]", 1),
        &[],
        &[&line, "over bounds.memory_mb = 500", "leave out the largest or raise the bound"],
    );
}

#[test]
fn bounds_beyond_the_machine_are_rejected() {
    let line = format!("x.toml:{}:", line_of(SMALL, "memory_mb"));
    let more = SMALL.replace("memory_mb = 500", "memory_mb = 1_000_000_000");
    assert_rejected(&more, &[], &[&line, "at most half of the machine's", "has to be between 1 and"]);
    let line = format!("x.toml:{}:", line_of(SMALL, "processes"));
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
    let place = Place::new();
    let output = place.run(SMALL, Path::new("nowhere/delivery-gateway"), &[]);
    let stderr = String::from_utf8_lossy(&output.stderr).into_owned();
    assert_eq!(output.status.code(), Some(1));
    assert!(stderr.contains("nowhere/delivery-gateway is missing; build it first: cargo build"), "{stderr}");
    assert_eq!(output.stdout, b"");
    assert!(!place.path("x.json").exists());
    assert_eq!(place.left_behind(), 0);
}

#[test]
fn a_missing_experiment_file_is_rejected() {
    let output =
        Command::new(env!("CARGO_BIN_EXE_testbed")).args(["scale", "nowhere.toml"]).output().unwrap();
    assert_eq!(output.status.code(), Some(1));
    assert!(String::from_utf8_lossy(&output.stderr).contains("nowhere.toml: No such file"));
}

/// Kinds and sizes of a file's sweeps, in its order.
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

/// The default experiment's sizes span a factor of 100, and the small one has the same sweeps.
#[test]
fn the_experiments_have_the_same_sweeps() {
    let destination_kinds = |text| sweeps(text).into_iter().map(|(kind, _)| kind).collect::<Vec<_>>();
    assert_eq!(destination_kinds(SCALE), destination_kinds(SMALL));
    for (kind, sizes) in sweeps(SCALE).into_iter().chain(sweeps(SMALL)) {
        assert!(sizes.len() >= 4 && sizes[sizes.len() - 1] >= 100 * sizes[0], "{kind}: {sizes:?}");
    }
}

/// All sweeps run at all their sizes, with real gateways as well, and nothing stays behind.
#[test]
fn the_small_experiment_has_all_its_figures() {
    let place = Place::new();
    let output = place.run(SMALL, Path::new(GATEWAY), &[]);
    let stderr = String::from_utf8_lossy(&output.stderr).into_owned();
    assert!(output.status.success(), "{stderr}");
    let table = String::from_utf8_lossy(&output.stdout).into_owned();
    let report = place.json();
    let found = report["sweeps"].as_array().unwrap();
    assert_eq!(found.len(), sweeps(SMALL).len());
    for ((kind, sizes), sweep) in sweeps(SMALL).iter().zip(found) {
        assert_eq!(sweep["kind"], kind.as_str());
        assert!(table.contains(&format!("{kind} (target size ")), "{table}");
        let points = sweep["points"].as_array().unwrap();
        let of_points: Vec<u64> = points.iter().map(|point| point["size"].as_u64().unwrap()).collect();
        assert_eq!(of_points, *sizes);
        for point in points {
            assert_eq!(point["not_run"], Value::Null, "{kind}: {point}");
            let figures = point["figures"].as_object().unwrap();
            assert!(figures.len() >= 4, "{kind}: {point}");
            for (name, value) in figures {
                assert!(value.as_f64().is_some_and(f64::is_finite), "{kind} {name}: {point}");
            }
        }
        let growth = sweep["growth"].as_array().unwrap();
        assert!(!growth.is_empty(), "{kind}");
        for growth in growth {
            for name in ["slope", "constant", "largest_residual", "exponent"] {
                assert!(growth[name].as_f64().is_some_and(f64::is_finite), "{kind} {name}: {growth}");
            }
        }
    }
    let journal = &found[sweeps(SMALL).iter().position(|(kind, _)| kind == "journal").unwrap()];
    for point in journal["points"].as_array().unwrap() {
        assert_eq!(point["figures"]["tried_share"], 1.0, "{point}");
    }
    assert!(table.contains("the first limit first"), "{table}");
    assert_eq!(place.left_behind(), 0);
}

#[test]
fn one_sweep_can_be_run_alone() {
    let place = Place::new();
    // No gateway is needed for these, and so none is looked for.
    let nowhere = Path::new("nowhere/delivery-gateway");
    let output = place.run(SMALL, nowhere, &["--only", "calls-out", "--only", "endpoints"]);
    assert!(output.status.success());
    let report = place.json();
    let destination_kinds: Vec<&Value> =
        report["sweeps"].as_array().unwrap().iter().map(|sweep| &sweep["kind"]).collect();
    assert_eq!(destination_kinds, ["endpoints", "calls-out"]);
}

/// Figures of one sweep that no clock has part in.
fn counted(seed: u32) -> Vec<(u64, f64, f64)> {
    let place = Place::new();
    let experiment = SMALL
        .replace("seed = 19", &format!("seed = {seed}"))
        .replace("jitter_ms = 0", "jitter_ms = 20")
        .replace("block_ms = 30", "block_ms = 10000");
    let output = place.run(&experiment, Path::new(GATEWAY), &["--only", "calls-out"]);
    assert!(output.status.success());
    let report = place.json();
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
    assert_eq!(counted(5), counted(5));
    assert_ne!(counted(5), counted(6));
}

/// A gateway whose endpoints reject calls is not measured as if it had done the work.
#[test]
fn work_that_was_not_done_is_reported() {
    let place = Place::new();
    let rejecting = SMALL.replace("latency_ms = 40", "limit_per_s = 0.001\nlatency_ms = 40");
    let output = place.run(&rejecting, Path::new(GATEWAY), &["--only", "endpoints"]);
    assert!(output.status.success());
    let smallest = &place.json()["sweeps"][0]["points"][0];
    let why = smallest["not_run"].as_str().unwrap_or_else(|| panic!("{smallest}"));
    assert!(why.starts_with("the work was not done: "), "{why}");
}

/// What the time of the run did not allow is reported as not run, with the reason, and has no figures.
#[test]
fn sizes_that_were_not_run_are_reported() {
    let place = Place::new();
    let short = SMALL.replace("time_s = 120", "time_s = 1");
    let long = short.replace("rounds = 2", "rounds = 1000").replace("steps = 100", "steps = 1000000");
    let output = place.run(&long, Path::new(GATEWAY), &[]);
    assert!(output.status.success());
    let table = String::from_utf8_lossy(&output.stdout).into_owned();
    for sweep in place.json()["sweeps"].as_array().unwrap() {
        for point in sweep["points"].as_array().unwrap() {
            let why = point["not_run"].as_str().unwrap_or_else(|| panic!("{point}"));
            assert_eq!(why, "the time of the whole run was up");
            assert_eq!(point["figures"], serde_json::json!({}));
            let line = format!("not run: {} {}: {why}", sweep["kind"].as_str().unwrap(), point["size"]);
            assert!(table.contains(&line), "{table}");
        }
        assert_eq!(sweep["growth"], serde_json::json!([]));
    }
    assert_eq!(place.left_behind(), 0);
}

/// Ctrl-C ends the gateway that has been started, removes its folder, and reports what was not run.
#[test]
fn a_signal_ends_every_process_that_was_started() {
    let place = Place::new();
    let pipe = place.path("pipe");
    assert!(Command::new("mkfifo").arg(&pipe).status().unwrap().success());
    let gateway = place.gateway(&format!("echo $$ > {}", pipe.display()));
    let mut command = place.command(SMALL, &gateway, &["--only", "journal"]);
    let mut testbed = command.stdout(Stdio::null()).stderr(Stdio::null()).spawn().unwrap();
    // Opening the pipe waits for the gateway's process to be there.
    let (send, first) = channel();
    thread::spawn(move || {
        let mut text = String::new();
        let read = fs::File::open(pipe).and_then(|mut pipe| pipe.read_to_string(&mut text));
        let _ = send.send(read.map(|_| text));
    });
    let id: u32 = first.recv_timeout(PATIENCE).expect("a gateway starts").unwrap().trim().parse().unwrap();
    assert!(Path::new(&format!("/proc/{id}")).exists());
    let signal = format!("kill -INT {}", testbed.id());
    assert!(Command::new("/bin/sh").args(["-c", &signal]).status().unwrap().success());
    assert_eq!(testbed.wait().unwrap().code(), Some(130));
    // It has been waited for, so that not even its id is left.
    assert!(!Path::new(&format!("/proc/{id}")).exists());
    assert_eq!(place.left_behind(), 0);
    let points = &place.json()["sweeps"][0]["points"];
    for point in points.as_array().unwrap() {
        assert_eq!(point["not_run"], "interrupted", "{points}");
    }
}

fn close(a: f64, b: f64, share: f64) {
    assert!((a - b).abs() <= share * b.abs(), "{a} is not {b}");
}

const SIZES: [f64; 6] = [10.0, 100.0, 500.0, 1000.0, 5000.0, 10_000.0];

#[test]
fn a_line_is_fitted() {
    let fit = Fit::through(&SIZES.map(|x| (x, 3.0 * x + 250.0))).unwrap();
    close(fit.slope, 3.0, 1e-9);
    close(fit.constant, 250.0, 1e-9);
    assert!(fit.largest_residual < 1e-9);
    assert!(!fit.is_worse_than_linear());
    assert_eq!(fit.range, (1000.0, 10_000.0));
    // Without a constant the exponent is that of a line.
    close(Fit::through(&SIZES.map(|x| (x, 3.0 * x))).unwrap().exponent, 1.0, 1e-9);
}

#[test]
fn a_square_law_is_worse_than_linear() {
    let points = SIZES.map(|x| (x, 0.5 * x * x));
    let fit = Fit::through(&points).unwrap();
    close(fit.exponent, 2.0, 1e-9);
    assert!(fit.is_worse_than_linear());
    assert!(fit.largest_residual > 0.5, "no line goes through {points:?}");
    // Beyond the points the power law goes on.
    close(fit.size_at(0.5 * 1e10, &points).unwrap(), 1e5, 1e-9);
}

#[test]
fn noise_moves_a_line_little() {
    for seed in 0..50 {
        let mut chance = fastrand::Rng::with_seed(seed);
        let points = SIZES.map(|x| (x, (20.0 * x + 1000.0) * (0.95 + 0.1 * chance.f64())));
        let fit = Fit::through(&points).unwrap();
        close(fit.slope, 20.0, 0.1);
        close(fit.constant, 1000.0, 0.3);
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
fn a_budget_is_passed_where_the_points_say_so() {
    let points = SIZES.map(|x| (x, 3.0 * x + 250.0));
    let fit = Fit::through(&points).unwrap();
    close(fit.size_at(3.0 * 700.0 + 250.0, &points).unwrap(), 700.0, 1e-9);
    close(fit.size_at(3.0 * 1e6 + 250.0, &points).unwrap(), 1e6, 1e-6);
    // Passed by the constant alone.
    assert_eq!(fit.size_at(100.0, &points), Some(0.0));
    // Between two points what was measured goes before the line.
    let bent = [(1.0, 1.0), (2.0, 2.0), (4.0, 40.0), (8.0, 400.0)];
    close(Fit::through(&bent).unwrap().size_at(21.0, &bent).unwrap(), 3.0, 1e-9);
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

/// A short soak of real gateways among all faults: no rule is broken, and faults were met.
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
        assert!(report.contains(word), "{word}: {report}");
    }
}

/// Without the shim nothing would fail: the soak says what is missing, and how it is made.
#[test]
fn a_soak_without_its_shim_is_rejected() {
    let output =
        Command::new(env!("CARGO_BIN_EXE_testbed")).args(["soak", "--shim", "nowhere.so"]).output().unwrap();
    assert!(!output.status.success());
    let stderr = String::from_utf8_lossy(&output.stderr).into_owned();
    assert!(stderr.contains("nowhere.so is missing; cargo build --release --examples makes it"), "{stderr}");
}
