//! Calls through nodes in one process: whole answers, silent links, early ends.

mod deadly;
mod ending;
mod forward;
mod hedge;
mod keyed;
mod load_probe;
mod mesh;
mod misbehaving_peer;
mod raw_peer;
mod reuse;
mod silence;
mod unread;
mod whole;
