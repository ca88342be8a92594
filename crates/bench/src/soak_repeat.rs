//! Repeated and concurrent runs of a soak test, and the shrinking of plans that fail.

use crate::error::Error;
use crate::process::Process;
use crate::soak::Options;
use crate::soak_plan::Plan;
use rustix::process::Signal;
use serde::Serialize;
use std::collections::BTreeMap;
use std::path::Path;
use std::time::Duration;

/// Interval at which the runs are polled.
const POLL_INTERVAL: Duration = Duration::from_millis(100);

/// Time limit for a run to end after SIGTERM.
const STOP_TIMEOUT: Duration = Duration::from_secs(5);

/// Number of words of a violation's text that make up its kind, as [`violation_kind`] selects them.
const KIND_WORDS: usize = 4;

/// Totals of many runs.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize)]
pub struct RunTotals {
    /// Number of runs.
    pub runs: usize,
    /// Number of runs that failed.
    pub failed: usize,
    /// Number of runs by kind of violation.
    pub violations: BTreeMap<String, usize>,
}

/// One run of the soak test, in a process of its own.
struct SoakRun {
    number: usize,
    seed: u64,
    process: Process,
}

impl Drop for SoakRun {
    /// Terminates a run with SIGTERM, so that the run ends the processes that it started. If the
    /// run were killed, these processes would be left behind.
    fn drop(&mut self) {
        if self.process.is_running() {
            // Errors are ignored: the process handle kills the run if it is still running.
            drop(self.process.signal(Signal::TERM));
            drop(self.process.wait(STOP_TIMEOUT));
        }
    }
}

/// Runs the soak test as often as the options say, and counts the runs with each kind of violation.
///
/// # Errors
///
/// When a run can't be started.
pub async fn run(options: &Options) -> Result<RunTotals, Error> {
    let folder = tempfile::Builder::new().prefix("soaks-").tempdir()?;
    let mut totals = RunTotals::default();
    let mut running: Vec<SoakRun> = Vec::new();
    let mut started = 0;
    while started < options.repeat || !running.is_empty() {
        while started < options.repeat && running.len() < options.jobs {
            running.push(start_run(options, started, folder.path())?);
            started += 1;
        }
        tokio::time::sleep(POLL_INTERVAL).await;
        for mut run in std::mem::take(&mut running) {
            if run.process.is_running() {
                running.push(run);
            } else {
                totals.add_run(options, &mut run)?;
            }
        }
    }
    Ok(totals)
}

impl RunTotals {
    /// Counts a run that has ended and prints its result.
    fn add_run(&mut self, options: &Options, run: &mut SoakRun) -> Result<(), Error> {
        let is_clean = run.process.wait(POLL_INTERVAL)?.success();
        self.runs += 1;
        self.failed += usize::from(!is_clean);
        let text = std::fs::read_to_string(&run.process.log)?;
        let prefixes = ["violation: ", "bluebellpick-bench: "];
        let violations = text
            .lines()
            .filter_map(|line| prefixes.iter().find_map(|prefix| line.strip_prefix(prefix)));
        let mut kinds: Vec<_> = violations.map(violation_kind).collect();
        kinds.sort();
        kinds.dedup();
        let state = if is_clean { "clean" } else { "failed" };
        let (done, all, seed) = (self.runs, options.repeat, run.seed);
        eprintln!("{done} of {all}: seed {seed} {state} {}", kinds.join("; "));
        for kind in kinds {
            *self.violations.entry(kind).or_default() += 1;
        }
        if let Some(keep) = options.keep_folder.as_ref().filter(|_| !is_clean) {
            let folder = keep.join(format!("run-{}", run.number));
            std::fs::create_dir_all(&folder)?;
            std::fs::copy(&run.process.log, folder.join("trace"))?;
        }
        Ok(())
    }
}

/// Returns the kind of a violation: the first words of its text, without words that contain digits,
/// which differ from run to run.
fn violation_kind(violation: &str) -> String {
    let words = violation.split_whitespace();
    let words = words.filter(|word| !word.contains(|letter: char| letter.is_ascii_digit()));
    words.take(KIND_WORDS).collect::<Vec<_>>().join(" ")
}

fn start_run(options: &Options, number: usize, folder: &Path) -> Result<SoakRun, Error> {
    let seed = if options.next_seeds {
        options.seed + number as u64
    } else {
        options.seed
    };
    let mut arguments = vec![
        "soak".to_owned(),
        format!("--seed={seed}"),
        format!("--seconds={}", options.duration.as_secs()),
        format!("--per-zone={}", options.per_zone),
    ];
    if options.planned {
        arguments.push("--planned".to_owned());
        if options.reports {
            arguments.push("--reports".to_owned());
        }
    }
    if let Some(plan) = &options.plan_file {
        arguments.push(format!("--plan={}", plan.display()));
    }
    if let Some(keep) = &options.keep_folder {
        let folder = keep.join(format!("run-{number}"));
        arguments.push(format!("--keep={}", folder.display()));
    }
    let log = folder.join(format!("run-{number}"));
    let process = Process::spawn("bluebellpick-bench", arguments, &log)?;
    Ok(SoakRun {
        number,
        seed,
        process,
    })
}

/// Removes events from a plan as long as at least one of `repeat` runs of the shorter plan fails.
/// Tries to remove halves of the plan first, then ever smaller parts. Returns the totals of the
/// last runs that failed.
///
/// # Errors
///
/// When there is no plan, the plan doesn't fail, or a run can't be started.
pub async fn shrink(options: &Options) -> Result<RunTotals, Error> {
    let missing = || Error::Unexpected("--shrink needs --plan or --planned".to_owned());
    let mut plan = options.find_plan()?.ok_or_else(missing)?;
    let file = tempfile::Builder::new().prefix("plan-").tempfile()?;
    let mut last = run_plan(options, &plan, file.path()).await?;
    if last.failed == 0 {
        return Err(Error::Unexpected("the plan does not fail".to_owned()));
    }
    let mut size = plan.events.len().div_ceil(2);
    while size > 0 {
        let mut start = 0;
        while start < plan.events.len() {
            let shorter = plan.without(start, start + size);
            let totals = run_plan(options, &shorter, file.path()).await?;
            if totals.failed > 0 {
                plan = shorter;
                last = totals;
                eprintln!("the plan still fails with {} events", plan.events.len());
                if let Some(kept) = &options.write_plan {
                    plan.write(kept)?;
                }
            } else {
                start += size;
            }
        }
        size /= 2;
    }
    Ok(last)
}

async fn run_plan(options: &Options, plan: &Plan, file: &Path) -> Result<RunTotals, Error> {
    plan.write(file)?;
    let options = Options {
        plan_file: Some(file.to_owned()),
        keep_folder: None,
        ..options.clone()
    };
    run(&options).await
}
