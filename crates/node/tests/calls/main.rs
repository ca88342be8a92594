//! Calls through nodes in one process: whole answers, silent links, early ends.

mod deadly;
mod ending;
mod feed;
mod forward;
mod hedge;
mod keyed;
mod look;
mod mesh;
mod peer;
mod reuse;
mod silence;
mod unread;
mod whole;
