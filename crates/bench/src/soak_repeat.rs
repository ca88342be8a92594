//! A soak again and again, side by side, and a failing plan made shorter.

use crate::error::Error;
use crate::process::Process;
use crate::soak::Options;
use crate::soak_plan::Plan;
use rustix::process::Signal;
use serde::Serialize;
use std::collections::BTreeMap;
use std::path::Path;
use std::time::Duration;

/// Time between two looks at the runs.
const POLL: Duration = Duration::from_millis(100);

/// Longest wait for a run that is ended early.
const END: Duration = Duration::from_secs(5);

/// Words of a violation by which it is counted.
const WORDS: usize = 4;

/// What many runs showed.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize)]
pub struct Tally {
    /// Runs.
    pub runs: usize,
    /// Those that failed.
    pub failed: usize,
    /// Runs by what was violated.
    pub violations: BTreeMap<String, usize>,
}

/// One run in a process of its own.
struct Run {
    number: usize,
    seed: u64,
    process: Process,
}

impl Drop for Run {
    /// Ends a run so that it ends the processes that it started; killed, it leaves them behind.
    fn drop(&mut self) {
        if self.process.is_running() {
            // What goes wrong here is told as the process handle kills what is left.
            drop(self.process.signal(Signal::TERM));
            drop(self.process.wait(END));
        }
    }
}

/// Runs a soak as often as the options says, and counts what was violated.
///
/// # Errors
///
/// When a run can't be started.
pub async fn run(options: &Options) -> Result<Tally, Error> {
    let folder = tempfile::Builder::new().prefix("soaks-").tempdir()?;
    let mut tally = Tally::default();
    let mut running: Vec<Run> = Vec::new();
    let mut started = 0;
    while started < options.repeat || !running.is_empty() {
        while started < options.repeat && running.len() < options.jobs {
            running.push(start(options, started, folder.path())?);
            started += 1;
        }
        tokio::time::sleep(POLL).await;
        for mut run in std::mem::take(&mut running) {
            if run.process.is_running() {
                running.push(run);
            } else {
                tally.add(options, &mut run)?;
            }
        }
    }
    Ok(tally)
}

impl Tally {
    /// Takes in a run that has ended, and tells of it.
    fn add(&mut self, options: &Options, run: &mut Run) -> Result<(), Error> {
        let is_clean = run.process.wait(POLL)?.success();
        self.runs += 1;
        self.failed += usize::from(!is_clean);
        let text = std::fs::read_to_string(&run.process.log)?;
        let marks = ["violation: ", "bluebellpick-bench: "];
        let violations = text
            .lines()
            .filter_map(|line| marks.iter().find_map(|mark| line.strip_prefix(mark)));
        let mut kinds: Vec<_> = violations.map(name_kind).collect();
        kinds.sort();
        kinds.dedup();
        let state = if is_clean { "clean" } else { "failed" };
        let (done, all, seed) = (self.runs, options.repeat, run.seed);
        eprintln!("{done} of {all}: seed {seed} {state} {}", kinds.join("; "));
        for kind in kinds {
            *self.violations.entry(kind).or_default() += 1;
        }
        if let Some(keep) = options.keep.as_ref().filter(|_| !is_clean) {
            let folder = keep.join(format!("run-{}", run.number));
            std::fs::create_dir_all(&folder)?;
            std::fs::copy(&run.process.log, folder.join("trace"))?;
        }
        Ok(())
    }
}

/// Names the promise that a violation breaks, without the numbers of one run.
fn name_kind(violation: &str) -> String {
    let words = violation.split_whitespace();
    let words = words.filter(|word| !word.contains(|letter: char| letter.is_ascii_digit()));
    words.take(WORDS).collect::<Vec<_>>().join(" ")
}

fn start(options: &Options, number: usize, folder: &Path) -> Result<Run, Error> {
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
    }
    if let Some(plan) = &options.plan {
        arguments.push(format!("--plan={}", plan.display()));
    }
    if let Some(keep) = &options.keep {
        let folder = keep.join(format!("run-{number}"));
        arguments.push(format!("--keep={}", folder.display()));
    }
    let log = folder.join(format!("run-{number}"));
    let process = Process::spawn("bluebellpick-bench", arguments, &log)?;
    Ok(Run {
        number,
        seed,
        process,
    })
}

/// Leaves events out of a plan as long as one of `repeat` runs of it fails, halves first.
///
/// # Errors
///
/// When there is no plan, it doesn't fail, or a run can't be started.
pub async fn shrink(options: &Options) -> Result<Tally, Error> {
    let missing = || Error::Unexpected("--shrink wants --plan or --planned".to_owned());
    let mut plan = options.find_plan()?.ok_or_else(missing)?;
    let file = tempfile::Builder::new().prefix("plan-").tempfile()?;
    let mut last = play(options, &plan, file.path()).await?;
    if last.failed == 0 {
        return Err(Error::Unexpected("the plan does not fail".to_owned()));
    }
    let mut size = plan.events.len().div_ceil(2);
    while size > 0 {
        let mut start = 0;
        while start < plan.events.len() {
            let shorter = plan.without(start, start + size);
            let tally = play(options, &shorter, file.path()).await?;
            if tally.failed > 0 {
                plan = shorter;
                last = tally;
                eprintln!("{} events still fail", plan.events.len());
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

async fn play(options: &Options, plan: &Plan, file: &Path) -> Result<Tally, Error> {
    plan.write(file)?;
    let options = Options {
        plan: Some(file.to_owned()),
        keep: None,
        ..options.clone()
    };
    run(&options).await
}
