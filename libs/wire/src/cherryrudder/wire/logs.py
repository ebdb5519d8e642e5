"""Logging setup on loguru; each line names the part of the program it is from."""

import sys

from loguru import logger

from cherryrudder.model.settings import LogSettings

TEXT = "{time:YYYY-MM-DDTHH:mm:ss.SSS} {level: <7} {extra[part]}: {message}"


def set_up_logs(settings: LogSettings) -> None:
    """Log to standard error as text or JSON."""
    logger.remove()
    logger.configure(extra={"part": "daemon"})
    as_json = settings.format == "json"
    logger.add(
        sys.stderr,
        level=settings.level,
        format="{message}" if as_json else TEXT,
        serialize=as_json,
        backtrace=False,
        diagnose=False,
    )
