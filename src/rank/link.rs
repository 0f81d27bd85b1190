//! Links between agents: one TCP connection from a leader to each member.
//!
//! The links carry no secrets and give no power: a runner takes orders from
//! anybody who reaches it, so a stranger gains nothing here that the runner
//! itself would not give. Nothing that a request needs depends on them.

use bytes::Bytes;
use futures_util::SinkExt;
use futures_util::StreamExt;
use serde::Serialize;
use serde::de::DeserializeOwned;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::sync::broadcast::error::RecvError;
use tokio_util::codec::Framed;
use tokio_util::codec::LengthDelimitedCodec;
use tokio_util::sync::CancellationToken;

use crate::gateway::notice_silence;
use crate::rank::member::MemberHandle;
use crate::rank::member::OwnRank;
use crate::rank::wire::ExpertsWire;
use crate::rank::wire::MemberMessage;
use crate::rank::wire::OrderMessage;
use crate::rank::wire::PlaceWire;
use crate::rank::wire::ViewWire;

/// Largest message, in bytes: a map of a group of 64 ranks is below 200 kB.
const MAX_MESSAGE_BYTES: usize = 4 * 1024 * 1024;

/// A connection that carries messages.
pub(crate) struct Link {
    framed: Framed<TcpStream, LengthDelimitedCodec>,
}

impl Link {
    pub(crate) fn new(stream: TcpStream) -> std::io::Result<Self> {
        notice_silence(&stream)?;
        let codec = LengthDelimitedCodec::builder()
            .max_frame_length(MAX_MESSAGE_BYTES)
            .new_codec();
        Ok(Self {
            framed: Framed::new(stream, codec),
        })
    }

    pub(crate) async fn send<T: Serialize>(&mut self, message: &T) -> std::io::Result<()> {
        let bytes = postcard::to_allocvec(message).map_err(std::io::Error::other)?;
        self.framed.send(Bytes::from(bytes)).await
    }

    /// Returns the next message.
    ///
    /// # Errors
    ///
    /// Fails when the link ended or carries something else.
    pub(crate) async fn recv<T: DeserializeOwned>(&mut self) -> std::io::Result<T> {
        let frame = self
            .framed
            .next()
            .await
            .ok_or(std::io::ErrorKind::UnexpectedEof)??;
        postcard::from_bytes(&frame).map_err(std::io::Error::other)
    }
}

/// Takes links of leaders.
pub(crate) async fn serve(listener: TcpListener, member: MemberHandle, stop: CancellationToken) {
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            () = stop.cancelled() => return,
        };
        let Ok((stream, _)) = accepted else {
            continue; // The leader dials again.
        };
        let member = member.clone();
        let stop = stop.clone();
        tokio::spawn(async move {
            let Ok(link) = Link::new(stream) else {
                return;
            };
            tokio::select! {
                // The leader dials again after any failure.
                _ = report(link, member) => {}
                () = stop.cancelled() => {}
            }
        });
    }
}

/// What the leader at the other end of a link was told.
#[derive(Default)]
struct Told {
    place: Option<PlaceWire>,
    view: Option<ViewWire>,
    experts: Option<ExpertsWire>,
}

/// Reports this rank to a leader and takes its orders.
async fn report(mut link: Link, mut member: MemberHandle) -> std::io::Result<()> {
    let mut counts = member.counts();
    let mut told = Told::default();
    tell(&mut link, &mut told, &member).await?;
    loop {
        tokio::select! {
            changed = member.own.changed() => {
                changed.map_err(std::io::Error::other)?;
                tell(&mut link, &mut told, &member).await?;
            }
            reading = counts.recv() => match reading {
                Ok(reading) => link.send(&MemberMessage::Counts(reading)).await?,
                // Missed readings only make a plan coarser.
                Err(RecvError::Lagged(_)) => {}
                Err(RecvError::Closed) => return Ok(()),
            },
            order = link.recv::<OrderMessage>() => {
                member.orders.send(order?).await.map_err(std::io::Error::other)?;
            }
        }
    }
}

async fn tell(link: &mut Link, told: &mut Told, member: &MemberHandle) -> std::io::Result<()> {
    let own = member.own.borrow().clone();
    let Some(OwnRank { state, experts, .. }) = own else {
        return Ok(());
    };
    let place = PlaceWire {
        group: state.group,
        rank: state.rank,
        size: state.size,
    };
    if told.place.as_ref() != Some(&place) {
        link.send(&MemberMessage::Place(place.clone())).await?;
        told.place = Some(place);
    }
    if let Some(experts) = experts
        && told.experts.as_ref() != Some(&experts)
    {
        link.send(&MemberMessage::Experts(experts.clone())).await?;
        told.experts = Some(experts);
    }
    let view = ViewWire::from(&state.view);
    if told.view.as_ref() != Some(&view) {
        link.send(&MemberMessage::View(view.clone())).await?;
        told.view = Some(view);
    }
    Ok(())
}
