//! Reads the links from the outbound proxies of other nodes.

use crate::inbound::Inner;
use crate::inbound::inbound_call::InboundCall;
use crate::inbound::{load_probe, run};
use crate::link::{Expected, Receiver, Sender};
use call::{Arrival, Id, Outcome, Verdict};
use clock::Clock;
use parking_lot::Mutex;
use std::ops::ControlFlow;
use std::sync::Arc;
use wire::call::{Frame, Reason, Request};

/// Reads one link until it ends.
pub(crate) async fn run_link<C>(
    inner: Arc<Inner<C>>,
    sender: Arc<Sender>,
    receiver: Receiver,
    origin: u64,
) where
    C: Clock,
{
    let uploading_calls = Mutex::default();
    let mut reader = Reader {
        inner: &inner,
        sender: &sender,
        origin,
        link: None,
        uploading_calls: &uploading_calls,
    };
    let expected = || {
        if uploading_calls
            .lock()
            .iter()
            .any(|call| call.expects_body())
        {
            Expected::Body
        } else {
            Expected::Nothing
        }
    };
    receiver
        .run(|frame| reader.handle_frame(frame), expected)
        .await;
    for call in uploading_calls.into_inner() {
        call.abort_request_body();
        inner.body_receiver.abort(call.id);
    }
}

/// Handles the frames of one link.
struct Reader<'a, C>
where
    C: Clock,
{
    inner: &'a Arc<Inner<C>>,
    sender: &'a Arc<Sender>,
    origin: u64,
    /// Number of the link, from its `Open` frame.
    link: Option<u64>,
    /// Calls whose request body is incomplete.
    uploading_calls: &'a Mutex<Vec<Arc<InboundCall>>>,
}

impl<C> Reader<'_, C>
where
    C: Clock,
{
    fn handle_frame(&mut self, frame: Frame) -> ControlFlow<()> {
        if let Frame::Open { link } = frame {
            let now = self.inner.shared.clock.now();
            self.inner
                .attempt_table(self.origin)
                .lock()
                .open_link(self.origin, link, now);
            self.link = Some(link);
            return ControlFlow::Continue(());
        }
        let Some(link) = self.link else {
            return ControlFlow::Break(());
        };
        match frame {
            Frame::Request(request) => self.start_call(request, link),
            Frame::Body { id, bytes, end } => self.receive_chunk(id, bytes, end),
            Frame::Credit { id, bytes } => {
                if let Some(call) = self.find_call(id) {
                    call.add_credit(bytes);
                }
                ControlFlow::Continue(())
            }
            Frame::Cancel(id) => {
                if let Some(call) = self.find_call(id) {
                    call.cancel();
                }
                ControlFlow::Continue(())
            }
            Frame::Done(sequences) => {
                let origin = self.origin;
                let mut table = self.inner.attempt_table(origin).lock();
                for sequence in sequences {
                    table.acknowledge(Id { origin, sequence });
                }
                ControlFlow::Continue(())
            }
            Frame::QueryOutcome {
                id,
                previous_link,
                head_received,
                received,
                window,
            } => {
                self.answer_query(id, previous_link, head_received, received, window);
                ControlFlow::Continue(())
            }
            Frame::LoadProbe(probe) => {
                let estimate = Frame::Estimate(load_probe::answer_probe(self.inner, &probe));
                // If the link is closed, its end tells the peer that no reply will come.
                drop(self.sender.send([estimate]));
                ControlFlow::Continue(())
            }
            Frame::TokenRequest(request) => {
                let shared = &self.inner.shared;
                let grant = shared.team_limits.answer(shared, request);
                drop(self.sender.send([Frame::TokenGrant(grant)]));
                ControlFlow::Continue(())
            }
            _ => ControlFlow::Break(()),
        }
    }

    /// Finds a call that uses this link.
    ///
    /// After a call has moved to another link, its frames that still arrive on the earlier link are
    /// ignored: their credit is included in the query that moved the call.
    fn find_call(&self, id: Id) -> Option<Arc<InboundCall>> {
        let table = self.inner.attempt_table(id.origin).lock();
        table
            .get(id)
            .filter(|call| call.uses_link(self.sender))
            .map(Arc::clone)
    }

    fn start_call(&mut self, request: Request, link: u64) -> ControlFlow<()> {
        let id = request.id;
        if id.origin != self.origin {
            return ControlFlow::Break(());
        }
        let call = InboundCall::new(id, Arc::clone(self.sender), request.end, request.length);
        let now = self.inner.shared.clock.now();
        let arrival =
            self.inner
                .attempt_table(id.origin)
                .lock()
                .receive(id, link, Arc::clone(&call), now);
        if arrival != Arrival::Queued {
            return ControlFlow::Break(());
        }
        if !request.end {
            let mut uploading_calls = self.uploading_calls.lock();
            uploading_calls.retain(|call| call.expects_body());
            uploading_calls.push(Arc::clone(&call));
        }
        run::spawn(Arc::clone(self.inner), call, request);
        ControlFlow::Continue(())
    }

    fn receive_chunk(&mut self, id: Id, bytes: bytes::Bytes, end: bool) -> ControlFlow<()> {
        let uploading_calls = self.uploading_calls.lock();
        let Some(call) = uploading_calls.iter().find(|call| call.id == id) else {
            return ControlFlow::Continue(());
        };
        let length = bytes.len();
        if !call.receive_chunk(bytes, end) {
            return ControlFlow::Break(());
        }
        self.inner.body_receiver.record_received(id, length, end);
        ControlFlow::Continue(())
    }

    /// Answers a query for the outcome of an attempt that was sent over an earlier link.
    fn answer_query(
        &self,
        id: Id,
        previous_link: u64,
        head_received: bool,
        received: u64,
        window: u32,
    ) {
        let now = self.inner.shared.clock.now();
        let mut table = self.inner.attempt_table(id.origin).lock();
        let link = Arc::clone(self.sender);
        let verdict = match table.query(id, previous_link, now) {
            Outcome::NeverReceived => Verdict::NotRun,
            Outcome::Withdrawn(call) => {
                call.resume(link, head_received, received, window);
                call.refuse(Verdict::NotRun, Reason::Cancelled, 0);
                call.cancel();
                return;
            }
            Outcome::Running(call) | Outcome::Finished(call) => {
                if call.resume(link, head_received, received, window) {
                    return;
                }
                Verdict::MayHaveRun
            }
            Outcome::Unknown => Verdict::MayHaveRun,
        };
        drop(table);
        let refusal = wire::call::Refusal {
            id,
            verdict,
            reason: Reason::Backend,
            retry_after_ms: 0,
            report: None,
        };
        // If this link is closed as well, the peer repeats the query on its next link.
        drop(self.sender.send([Frame::Refusal(refusal)]));
    }
}
