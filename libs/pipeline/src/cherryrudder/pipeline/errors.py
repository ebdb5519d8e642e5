"""The errors of the pipeline."""

from cherryrudder.model.errors import CherryrudderError


class PipelineError(CherryrudderError):
    """Base of the errors of this library."""


class PlanError(PipelineError):
    """No chain of endpoints covers each layer exactly once."""
