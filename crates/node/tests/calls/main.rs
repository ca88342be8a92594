//! Calls through nodes in one process: whole answers, silent links, early ends.

mod ending;
mod forward;
mod keyed;
mod mesh;
mod silence;
mod whole;
