"""Planning of chains: endpoints whose layer ranges cover a model exactly once."""

from typing import NamedTuple

from expression import Error, Ok, Result

from cherryrudder.pipeline.errors import PlanError
from cherryrudder.pipeline.messages import Stage


class LayerRange(NamedTuple):
    """A range of layers without a stage in a plan; `end_layer` is exclusive."""

    first_layer: int
    end_layer: int


def cover(announcements, model_layers: int) -> Result[tuple[Stage, ...], PlanError]:
    """Return the shortest chain that covers each layer exactly once, in order.

    Among equally short chains, earlier announcements win. The shortest is preferred
    because each hop adds a link's latency to every token.
    """
    usable = [a for a in announcements if is_usable(a, model_layers)]
    best = {0: ()}
    for layer in range(model_layers):
        if layer in best:
            _extend(best, layer, usable)
    if model_layers > 0 and model_layers in best:
        return Ok(tuple(stage_of(a) for a in best[model_layers]))
    return Error(PlanError(_explain(best, usable, model_layers)))


def is_usable(announcement, model_layers: int) -> bool:
    """Return whether an endpoint may be part of a new plan."""
    return (
        not announcement.leaving
        and announcement.model_layers == model_layers
        and 0 <= announcement.first_layer < announcement.end_layer <= model_layers
    )


def stage_of(announcement) -> Stage:
    """Return the stage for an endpoint's announcement."""
    return Stage(
        announcement.endpoint,
        announcement.incarnation,
        announcement.frames_address,
        announcement.first_layer,
        announcement.end_layer,
    )


def fill_missing(missing_ranges, stage: Stage) -> Result[list[LayerRange], PlanError]:
    """Return the ranges still missing after a stage takes the first part of one."""
    for missing in missing_ranges:
        fits = stage.first_layer == missing.first_layer
        if fits and stage.end_layer <= missing.end_layer:
            others = [other for other in missing_ranges if other != missing]
            rest = LayerRange(stage.end_layer, missing.end_layer)
            return Ok([rest, *others] if rest.first_layer < rest.end_layer else others)
    return Error(
        PlanError(
            f"endpoint {stage.endpoint} holds layers {stage.first_layer} to "
            f"{stage.end_layer}, which match no missing part of the plan"
        )
    )


def overlaps_any(missing_ranges, stage: Stage) -> bool:
    """Return whether a stage holds a layer of any missing range."""
    return any(
        stage.first_layer < missing.end_layer and missing.first_layer < stage.end_layer
        for missing in missing_ranges
    )


def _extend(best, layer, usable):
    for announcement in usable:
        if announcement.first_layer != layer:
            continue
        chain = best[layer] + (announcement,)
        known = best.get(announcement.end_layer)
        if known is None or len(chain) < len(known):
            best[announcement.end_layer] = chain


def _explain(best, usable, model_layers):
    reached = max(best)
    if reached >= model_layers:
        return f"a model of {model_layers} layers cannot be planned"
    holders = [a for a in usable if a.first_layer < reached < a.end_layer]
    if holders:
        names = ", ".join(
            f"{a.endpoint} ({a.first_layer}-{a.end_layer})" for a in holders
        )
        return f"layer {reached} is held only by ranges that overlap others: {names}"
    later = [a.first_layer for a in usable if a.first_layer > reached]
    end = min(later, default=model_layers)
    return f"no endpoint holds layers {reached} to {end} of {model_layers}"
