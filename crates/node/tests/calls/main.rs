//! Calls through nodes in one process: complete answers, silent links, early ends.

mod access;
mod announced_times;
mod connection_close;
mod early_end;
mod forward;
mod framing;
mod hedge;
mod keyed;
mod load_probe;
mod mesh;
mod misbehaving_peer;
mod pipeline;
mod quarantine;
mod raw_peer;
mod raw_server;
mod retry_budget;
mod reuse;
mod round_trip;
mod self_report;
mod server_load;
mod silent_link;
mod stop_time;
mod unending_answers;
mod unread_answers;
