"""Errors of the pipeline library."""

from cherryrudder.model.errors import CherryrudderError


class PipelineError(CherryrudderError):
    """Base class of the errors of this library."""


class PlanError(PipelineError):
    """No chain of endpoints covers each layer exactly once."""
