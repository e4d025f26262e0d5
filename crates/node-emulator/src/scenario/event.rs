//! Checks the events of a scenario file.

use std::ops::Range;

use toml::Spanned;

use super::check::{fault, within, Fault, MAX_SIZE};
use super::file::RawEvent;
use super::{Event, Kind};
use crate::catalogue::Size;

/// Takes the keys of an event one by one; what is left over does not belong to its kind.
pub(super) struct Keys {
    pub(super) raw: RawEvent,
    pub(super) span: Range<usize>,
    pub(super) duration_s: f64,
}

impl Keys {
    pub(super) fn need<T>(&self, value: Option<T>, key: &str) -> Result<T, Fault> {
        value.map_or_else(|| fault(self.span.clone(), key, "is missing"), Ok)
    }

    /// A time within the play, in seconds.
    pub(super) fn time(&self, value: Option<Spanned<f64>>, key: &str) -> Result<f64, Fault> {
        within(&self.need(value, key)?, key, 0.0, self.duration_s)
    }

    pub(super) fn index(
        &self,
        value: Option<Spanned<usize>>,
        key: &str,
        count: usize,
    ) -> Result<usize, Fault> {
        let value = self.need(value, key)?;
        if *value.get_ref() < count {
            return Ok(value.into_inner());
        }
        fault(value.span(), key, format!("there are {count}, numbered from 0"))
    }

    pub(super) fn for_s(&mut self) -> Result<f64, Fault> {
        let value = self.raw.for_s.take();
        self.time(value, "for_s")
    }

    pub(super) fn over_s(&mut self) -> Result<f64, Fault> {
        let value = self.raw.over_s.take();
        self.time(value, "over_s")
    }

    pub(super) fn noticed_s(&mut self) -> Result<f64, Fault> {
        let value = self.raw.noticed_s.take();
        self.time(value, "noticed_s")
    }

    pub(super) fn region(&mut self, size: Size) -> Result<usize, Fault> {
        let value = self.raw.region.take();
        self.index(value, "region", size.regions)
    }

    /// The event's kind with its keys, and how long it lasts, in seconds.
    fn kind(&mut self, kind: &Spanned<String>, size: Size) -> Result<(Kind, f64), Fault> {
        Ok(match kind.get_ref().as_str() {
            "ordinary-day" => self.ordinary_day()?,
            "rolling-replacement" => self.rolling_replacement()?,
            "rack-lost" => {
                let rack = self.raw.rack.take();
                let rack = self.index(rack, "rack", size.racks)?;
                let (noticed_s, for_s) = (self.noticed_s()?, self.for_s()?);
                (Kind::RackLost { rack, noticed_s, for_s }, for_s)
            }
            "zone-lost" => {
                let zone = self.raw.zone.take();
                let zone = self.index(zone, "zone", size.zones)?;
                let (noticed_s, for_s) = (self.noticed_s()?, self.for_s()?);
                (Kind::ZoneLost { zone, noticed_s, for_s }, for_s)
            }
            "region-cut" => {
                let (region, for_s) = (self.region(size)?, self.for_s()?);
                (Kind::RegionCut { region, for_s }, for_s)
            }
            "restart-nodes" => {
                let (region, over_s) = (self.region(size)?, self.over_s()?);
                (Kind::RestartNodes { region, over_s }, over_s)
            }
            "configuration-storm" => {
                let changes = self.raw.changes.take();
                let changes = self.count(changes, "changes")?;
                let over_s = self.over_s()?;
                (Kind::ConfigurationStorm { changes, over_s }, over_s)
            }
            "discovery-silent" => {
                let for_s = self.for_s()?;
                (Kind::DiscoverySilent { for_s }, for_s)
            }
            other => return fault(kind.span(), "kind", format!("there is no event `{other}`")),
        })
    }

    fn ordinary_day(&mut self) -> Result<(Kind, f64), Fault> {
        let speed = self.raw.speed.take();
        let speed = speed.map_or(Ok(1.0), |speed| within(&speed, "speed", 0.001, 100_000.0))?;
        let for_s = self.for_s()?;
        Ok((Kind::OrdinaryDay { for_s, speed }, for_s))
    }

    fn rolling_replacement(&mut self) -> Result<(Kind, f64), Fault> {
        let part = self.raw.part.take();
        let part = within(&self.need(part, "part")?, "part", 0.0, 1.0)?;
        let batches = self.raw.batches.take();
        let batches = self.count(batches, "batches")?;
        let drain = self.raw.drain_s.take();
        let (over_s, drain_s) = (self.over_s()?, self.time(drain, "drain_s")?);
        Ok((Kind::RollingReplacement { part, batches, over_s, drain_s }, over_s + drain_s))
    }

    /// A count above zero.
    fn count(&self, value: Option<Spanned<usize>>, key: &str) -> Result<usize, Fault> {
        let value = self.need(value, key)?;
        match *value.get_ref() {
            n if (1..=MAX_SIZE).contains(&n) => Ok(n),
            _ => fault(value.span(), key, format!("must be 1 to {MAX_SIZE}")),
        }
    }

    pub(super) fn nothing_left(&self) -> Result<(), Fault> {
        let raw = &self.raw;
        let span = |value: &Option<Spanned<f64>>| value.as_ref().map(Spanned::span);
        let complete = |value: &Option<Spanned<usize>>| value.as_ref().map(Spanned::span);
        let left = [
            ("for_s", span(&raw.for_s)),
            ("over_s", span(&raw.over_s)),
            ("noticed_s", span(&raw.noticed_s)),
            ("drain_s", span(&raw.drain_s)),
            ("speed", span(&raw.speed)),
            ("part", span(&raw.part)),
            ("batches", complete(&raw.batches)),
            ("changes", complete(&raw.changes)),
            ("rack", complete(&raw.rack)),
            ("zone", complete(&raw.zone)),
            ("region", complete(&raw.region)),
        ];
        match left.into_iter().find_map(|(key, span)| Some((key, span?))) {
            Some((key, span)) => fault(span, key, "does not belong to an event of this kind"),
            None => Ok(()),
        }
    }
}

pub(super) fn check_event(event: Spanned<RawEvent>, size: Size, duration_s: f64) -> Result<Event, Fault> {
    let mut keys = Keys { span: event.span(), raw: event.into_inner(), duration_s };
    let kind = keys.raw.kind.take();
    let kind = keys.need(kind, "kind")?;
    let at = keys.raw.at_s.take();
    let at_span = at.as_ref().map_or(keys.span.clone(), Spanned::span);
    let at_s = keys.time(at, "at_s")?;
    let (kind, lasts_s) = keys.kind(&kind, size)?;
    keys.nothing_left()?;
    if at_s + lasts_s > duration_s {
        let why = format!("the event ends {} s after the start, and the play {duration_s} s", at_s + lasts_s);
        return fault(at_span, "at_s", why);
    }
    Ok(Event { at_s, kind })
}
