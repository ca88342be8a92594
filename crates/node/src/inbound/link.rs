//! Reads the links from other nodes' outbound proxies.

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
    let uploads = Mutex::default();
    let mut reader = Reader {
        inner: &inner,
        sender: &sender,
        origin,
        link: None,
        uploads: &uploads,
    };
    let watch = || {
        if uploads.lock().iter().any(|upload| upload.wants_more()) {
            Expected::Body
        } else {
            Expected::Nothing
        }
    };
    receiver.run(|frame| reader.take(frame), watch).await;
    for upload in uploads.into_inner() {
        upload.break_upload();
        inner.bodies.break_off(upload.id);
    }
}

/// What reads one link.
struct Reader<'a, C>
where
    C: Clock,
{
    inner: &'a Arc<Inner<C>>,
    sender: &'a Arc<Sender>,
    origin: u64,
    /// Number of the link, once it is open.
    link: Option<u64>,
    /// Calls whose request's body has not come whole.
    uploads: &'a Mutex<Vec<Arc<InboundCall>>>,
}

impl<C> Reader<'_, C>
where
    C: Clock,
{
    fn take(&mut self, frame: Frame) -> ControlFlow<()> {
        if let Frame::Open { link } = frame {
            let now = self.inner.shared.clock.now();
            self.inner
                .table(self.origin)
                .lock()
                .open_link(self.origin, link, now);
            self.link = Some(link);
            return ControlFlow::Continue(());
        }
        let Some(link) = self.link else {
            return ControlFlow::Break(());
        };
        match frame {
            Frame::Request(request) => self.start(request, link),
            Frame::Body { id, bytes, end } => self.take_part(id, bytes, end),
            Frame::Credit { id, bytes } => {
                if let Some(call) = self.find(id) {
                    call.add_credit(bytes);
                }
                ControlFlow::Continue(())
            }
            Frame::Cancel(id) => {
                if let Some(call) = self.find(id) {
                    call.cancel();
                }
                ControlFlow::Continue(())
            }
            Frame::Done(sequences) => {
                let origin = self.origin;
                let mut table = self.inner.table(origin).lock();
                for sequence in sequences {
                    table.acknowledge(Id { origin, sequence });
                }
                ControlFlow::Continue(())
            }
            Frame::Ask {
                id,
                link,
                head,
                received,
                room,
            } => {
                self.answer(id, link, head, received, room);
                ControlFlow::Continue(())
            }
            Frame::Look(look) => {
                let outlook = Frame::Outlook(load_probe::tell_outlook(self.inner, &look));
                // Whoever asked sees by the end of the link that no answer comes.
                drop(self.sender.send([outlook]));
                ControlFlow::Continue(())
            }
            _ => ControlFlow::Break(()),
        }
    }

    /// Finds a call that goes over this link.
    ///
    /// What an earlier link still brings about a call that has moved on is
    /// void: its credit is counted in the question that moved the call.
    fn find(&self, id: Id) -> Option<Arc<InboundCall>> {
        let table = self.inner.table(id.origin).lock();
        table
            .get(id)
            .filter(|call| call.is_on(self.sender))
            .map(Arc::clone)
    }

    fn start(&mut self, request: Request, link: u64) -> ControlFlow<()> {
        let id = request.id;
        if id.origin != self.origin {
            return ControlFlow::Break(());
        }
        let call = InboundCall::new(id, Arc::clone(self.sender), request.end, request.length);
        let now = self.inner.shared.clock.now();
        let arrival = self
            .inner
            .table(id.origin)
            .lock()
            .receive(id, link, Arc::clone(&call), now);
        if arrival != Arrival::Queued {
            return ControlFlow::Break(());
        }
        if !request.end {
            let mut uploads = self.uploads.lock();
            uploads.retain(|upload| upload.wants_more());
            uploads.push(Arc::clone(&call));
        }
        run::spawn(Arc::clone(self.inner), call, request);
        ControlFlow::Continue(())
    }

    fn take_part(&mut self, id: Id, bytes: bytes::Bytes, end: bool) -> ControlFlow<()> {
        let uploads = self.uploads.lock();
        let Some(upload) = uploads.iter().find(|upload| upload.id == id) else {
            return ControlFlow::Continue(());
        };
        let length = bytes.len();
        if !upload.take_part(bytes, end) {
            return ControlFlow::Break(());
        }
        self.inner.bodies.take(id, length, end);
        ControlFlow::Continue(())
    }

    /// Says what became of a call that was sent over an earlier link.
    fn answer(&self, id: Id, former: u64, head: bool, received: u64, room: u32) {
        let now = self.inner.shared.clock.now();
        let mut table = self.inner.table(id.origin).lock();
        let link = Arc::clone(self.sender);
        let verdict = match table.query(id, former, now) {
            Outcome::NeverReceived => Verdict::NotRun,
            Outcome::Withdrawn(call) => {
                call.resume(link, head, received, room);
                call.refuse(Verdict::NotRun, Reason::Cancelled, 0);
                call.cancel();
                return;
            }
            Outcome::Running(call) | Outcome::Finished(call) => {
                if call.resume(link, head, received, room) {
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
        };
        // When this link is gone too, the question comes again over the next.
        drop(self.sender.send([Frame::Refusal(refusal)]));
    }
}
