//! The kinds of messages, as metrics name them.

use crate::rank::link::LinkMessage;
use crate::rank::wire::EntryMessage;
use crate::rank::wire::GroupMessage;
use crate::rank::wire::Hello;
use crate::rank::wire::LeaderMessage;
use crate::rank::wire::MemberMessage;

impl LinkMessage for Hello {
    fn kind(&self) -> &'static str {
        "hello"
    }
}

impl LinkMessage for GroupMessage {
    fn kind(&self) -> &'static str {
        match self {
            Self::Position(_) => "position",
            Self::Load(_) => "group_load",
            Self::Members(_) => "members",
            Self::Entries(_) => "entries",
            Self::Crashes(_) => "crashes",
            Self::Limits(_) => "limits",
            Self::Evacuations(_) => "evacuations",
        }
    }
}

impl LinkMessage for EntryMessage {
    fn kind(&self) -> &'static str {
        match self {
            Self::Crashes(_) => "crashes",
            Self::Limits(_) => "limits",
            Self::Evacuations(_) => "evacuations",
        }
    }
}

impl LinkMessage for LeaderMessage {
    fn kind(&self) -> &'static str {
        match self {
            Self::Order(order) => order.kind(),
            Self::Runners(_) => "runners",
            Self::Intervals(_) => "intervals",
        }
    }
}

impl LinkMessage for MemberMessage {
    fn kind(&self) -> &'static str {
        match self {
            Self::Position(_) => "position",
            Self::View(_) => "view",
            Self::Load(_) => "load",
            Self::Experts(_) => "experts",
            Self::Counts(_) => "counts",
        }
    }
}
