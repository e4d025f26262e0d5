//! Checks the events of a scenario file and converts them.

use std::ops::Range;

use toml::Spanned;

use super::check::{check_range, invalid, InvalidKey, MAX_SIZE};
use super::file::RawEvent;
use super::{Event, EventKind};
use crate::catalogue::Size;

/// The keys of an event. They are removed one by one as they are checked; a key that remains at the end does
/// not belong to the event's kind.
pub(super) struct EventKeys {
    pub(super) raw: RawEvent,
    /// Position of the event in the text, for errors about missing keys.
    pub(super) span: Range<usize>,
    /// Duration of the scenario, in seconds.
    pub(super) duration_s: f64,
}

impl EventKeys {
    /// Returns the value of a mandatory key.
    pub(super) fn required<T>(&self, value: Option<T>, key: &str) -> Result<T, InvalidKey> {
        value.map_or_else(|| invalid(self.span.clone(), key, "is missing"), Ok)
    }

    /// Checks that a time is within the duration of the scenario, in seconds.
    pub(super) fn time(&self, value: Option<Spanned<f64>>, key: &str) -> Result<f64, InvalidKey> {
        check_range(&self.required(value, key)?, key, 0.0, self.duration_s)
    }

    /// Checks that an index is below `count`.
    pub(super) fn index(
        &self,
        value: Option<Spanned<usize>>,
        key: &str,
        count: usize,
    ) -> Result<usize, InvalidKey> {
        let value = self.required(value, key)?;
        if *value.get_ref() < count {
            return Ok(value.into_inner());
        }
        invalid(value.span(), key, format!("there are {count}, numbered from 0"))
    }

    pub(super) fn for_s(&mut self) -> Result<f64, InvalidKey> {
        let value = self.raw.for_s.take();
        self.time(value, "for_s")
    }

    pub(super) fn over_s(&mut self) -> Result<f64, InvalidKey> {
        let value = self.raw.over_s.take();
        self.time(value, "over_s")
    }

    pub(super) fn noticed_s(&mut self) -> Result<f64, InvalidKey> {
        let value = self.raw.noticed_s.take();
        self.time(value, "noticed_s")
    }

    pub(super) fn region(&mut self, size: Size) -> Result<usize, InvalidKey> {
        let value = self.raw.region.take();
        self.index(value, "region", size.regions)
    }

    /// Returns the kind of the event with its parameters, and the duration of the event in seconds.
    fn kind(&mut self, kind: &Spanned<String>, size: Size) -> Result<(EventKind, f64), InvalidKey> {
        Ok(match kind.get_ref().as_str() {
            "ordinary-day" => self.ordinary_day()?,
            "rolling-replacement" => self.rolling_replacement()?,
            "rack-lost" => {
                let rack = self.raw.rack.take();
                let rack = self.index(rack, "rack", size.racks)?;
                let (noticed_s, for_s) = (self.noticed_s()?, self.for_s()?);
                (EventKind::RackLost { rack, noticed_s, for_s }, for_s)
            }
            "zone-lost" => {
                let zone = self.raw.zone.take();
                let zone = self.index(zone, "zone", size.zones)?;
                let (noticed_s, for_s) = (self.noticed_s()?, self.for_s()?);
                (EventKind::ZoneLost { zone, noticed_s, for_s }, for_s)
            }
            "region-cut" => {
                let (region, for_s) = (self.region(size)?, self.for_s()?);
                (EventKind::RegionPartitioned { region, for_s }, for_s)
            }
            "restart-nodes" => {
                let (region, over_s) = (self.region(size)?, self.over_s()?);
                (EventKind::RestartNodes { region, over_s }, over_s)
            }
            "configuration-storm" => {
                let changes = self.raw.changes.take();
                let changes = self.positive_count(changes, "changes")?;
                let over_s = self.over_s()?;
                (EventKind::ConfigurationStorm { changes, over_s }, over_s)
            }
            "discovery-silent" => {
                let for_s = self.for_s()?;
                (EventKind::DiscoveryUnresponsive { for_s }, for_s)
            }
            unknown => return invalid(kind.span(), "kind", format!("`{unknown}` is not a kind of event")),
        })
    }

    fn ordinary_day(&mut self) -> Result<(EventKind, f64), InvalidKey> {
        let speed = self.raw.speed.take();
        let speed = speed.map_or(Ok(1.0), |speed| check_range(&speed, "speed", 0.001, 100_000.0))?;
        let for_s = self.for_s()?;
        Ok((EventKind::OrdinaryDay { for_s, speed }, for_s))
    }

    fn rolling_replacement(&mut self) -> Result<(EventKind, f64), InvalidKey> {
        let part = self.raw.part.take();
        let part = check_range(&self.required(part, "part")?, "part", 0.0, 1.0)?;
        let batches = self.raw.batches.take();
        let batches = self.positive_count(batches, "batches")?;
        let drain = self.raw.drain_s.take();
        let (over_s, drain_s) = (self.over_s()?, self.time(drain, "drain_s")?);
        Ok((EventKind::RollingReplacement { part, batches, over_s, drain_s }, over_s + drain_s))
    }

    /// Checks that a count is from 1 to [`MAX_SIZE`].
    fn positive_count(&self, value: Option<Spanned<usize>>, key: &str) -> Result<usize, InvalidKey> {
        let value = self.required(value, key)?;
        match *value.get_ref() {
            n if (1..=MAX_SIZE).contains(&n) => Ok(n),
            _ => invalid(value.span(), key, format!("must be 1 to {MAX_SIZE}")),
        }
    }

    /// Fails if the event has a key that does not belong to its kind.
    pub(super) fn check_no_keys_left(&self) -> Result<(), InvalidKey> {
        let raw = &self.raw;
        let number_span = |value: &Option<Spanned<f64>>| value.as_ref().map(Spanned::span);
        let integer_span = |value: &Option<Spanned<usize>>| value.as_ref().map(Spanned::span);
        let remaining_keys = [
            ("for_s", number_span(&raw.for_s)),
            ("over_s", number_span(&raw.over_s)),
            ("noticed_s", number_span(&raw.noticed_s)),
            ("drain_s", number_span(&raw.drain_s)),
            ("speed", number_span(&raw.speed)),
            ("part", number_span(&raw.part)),
            ("batches", integer_span(&raw.batches)),
            ("changes", integer_span(&raw.changes)),
            ("rack", integer_span(&raw.rack)),
            ("zone", integer_span(&raw.zone)),
            ("region", integer_span(&raw.region)),
        ];
        match remaining_keys.into_iter().find_map(|(key, span)| Some((key, span?))) {
            Some((key, span)) => invalid(span, key, "does not belong to an event of this kind"),
            None => Ok(()),
        }
    }
}

/// Checks an event of a scenario that lasts `duration_s` seconds.
pub(super) fn check_event(
    event: Spanned<RawEvent>,
    size: Size,
    duration_s: f64,
) -> Result<Event, InvalidKey> {
    let mut keys = EventKeys { span: event.span(), raw: event.into_inner(), duration_s };
    let kind = keys.raw.kind.take();
    let kind = keys.required(kind, "kind")?;
    let at = keys.raw.at_s.take();
    let at_span = at.as_ref().map_or(keys.span.clone(), Spanned::span);
    let at_s = keys.time(at, "at_s")?;
    let (kind, event_duration_s) = keys.kind(&kind, size)?;
    keys.check_no_keys_left()?;
    if at_s + event_duration_s > duration_s {
        let reason = format!(
            "the event ends {} s after the start of the run, but the run ends after {duration_s} s",
            at_s + event_duration_s
        );
        return invalid(at_span, "at_s", reason);
    }
    Ok(Event { at_s, kind })
}
