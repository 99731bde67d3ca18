"""Logging as JSON lines on standard error or standard output, through ``absl.logging``.

Each line is one object: ``time`` (Unix milliseconds), ``monotonic`` (seconds since this
machine's boot), ``level``, ``event`` (a stable snake-case name), ``role`` and
``process``, then the event's own fields. Values of type bytes are never written, because
key material is always bytes in this system.
"""

from __future__ import annotations

import functools
import logging
import re
import sys
import traceback
from collections.abc import Callable

import msgspec
from absl import flags
from absl import logging as absl_logging

from peppershore.process.boot_clock import boot_seconds
from peppershore.process.commands import Notice
from peppershore.process.log_output import (
    CALL_LINES_BURST,
    CALL_LINES_PER_SECOND,
    BoundedOutput,
    LineBudget,
)
from peppershore.process.public_value import public_struct

LEVELS: dict[str, int] = {
    "debug": absl_logging.DEBUG,
    "info": absl_logging.INFO,
    "warning": absl_logging.WARNING,
    "error": absl_logging.ERROR,
}
"""Level numbers of absl by the names allowed for the setting ``log_level``."""

STANDARD_ERROR = "standard-error"
STANDARD_OUTPUT = "standard-output"
MILLISECONDS_PER_SECOND = 1_000
_RECORD_FIELDS = "peppershore_fields"
_WORD_START = re.compile(r"(?<=[a-z0-9])(?=[A-Z])")

NoticeSink = Callable[[Notice], None]


class LogIdentity(msgspec.Struct, frozen=True):
    """The process that writes the log: its role and its name in the cluster."""

    role: str
    process: str


@functools.cache
def event_name(notice_type: type[Notice]) -> str:
    """Return the stable event name of a notice: its class name in snake case."""
    return _WORD_START.sub("_", notice_type.__name__).lower()


def configure_logging(
    identity: LogIdentity, level: str, log_to: str = STANDARD_ERROR
) -> None:
    """Write every log record of this process and its libraries as a JSON line.

    ``level`` is one of ``LEVELS`` and ``log_to`` one of ``LOG_TARGETS``; the settings
    loader has checked both. Lines for standard output go into a bounded queue, and writing
    them never blocks the process.
    """
    flags.FLAGS.mark_as_parsed()  # click parses the command line, not absl
    absl_logging.use_absl_handler()
    absl_logging.set_verbosity(LEVELS[level])
    handler = absl_logging.get_absl_handler()
    if log_to == STANDARD_OUTPUT:
        root = logging.getLogger()
        root.removeHandler(handler)
        bounded = BoundedHandler(BoundedOutput(sys.stdout.fileno()))
        bounded.setFormatter(JsonLineFormatter(identity))
        root.addHandler(bounded)
    else:
        handler.python_handler.stream = sys.stderr
        handler.setFormatter(JsonLineFormatter(identity))
    logging.captureWarnings(True)


class BoundedHandler(logging.Handler):
    """Writes log lines to a bounded output and limits the rate of those about calls."""

    def __init__(self, output: BoundedOutput) -> None:
        """Write log lines to ``output``."""
        super().__init__()
        self._output = output
        self._budget = LineBudget(CALL_LINES_PER_SECOND, CALL_LINES_BURST)

    def emit(self, record: logging.LogRecord) -> None:
        """Write one record; drop it if it is about a call and the rate limit is reached."""
        notice = getattr(record, _RECORD_FIELDS, None)
        is_call = bool(getattr(type(notice), "is_call", False))
        if is_call and not self._budget.take(boot_seconds()):
            self._output.drop_call()
            return
        self._output.write(self.format(record), is_call)


def write_notice(notice: Notice) -> None:
    """Write one notice as a log line; can be used as a ``NoticeSink``."""
    name = event_name(type(notice))
    level = notice_level(notice)
    logger = absl_logging.get_absl_logger()
    if logger.isEnabledFor(level):
        logger.log(level, name, extra={_RECORD_FIELDS: notice})


def notice_level(notice: Notice) -> int:
    """Return the ``logging`` level of a notice: the ``level`` of its class, else info."""
    level = str(getattr(type(notice), "level", "info"))
    return logging.getLevelNamesMapping()[level.upper()]


class JsonLineFormatter(logging.Formatter):
    """Formats a log record as one JSON object."""

    def __init__(self, identity: LogIdentity) -> None:
        """Add the role and process of ``identity`` to every line."""
        super().__init__()
        self._identity = identity

    def format(self, record: logging.LogRecord) -> str:
        """Return the log line without a line feed."""
        line: dict[str, object] = {
            "time": int(record.created * MILLISECONDS_PER_SECOND),
            "monotonic": round(boot_seconds(), 3),
            "level": record.levelname.lower(),
            "role": self._identity.role,
            "process": self._identity.process,
        }
        notice = getattr(record, _RECORD_FIELDS, None)
        if notice is None:
            line |= _library_fields(record)
        else:
            line["event"] = record.getMessage()
            line |= _notice_fields(notice, reserved=line.keys())
        return msgspec.json.encode(line, enc_hook=repr).decode()


def _notice_fields(notice: Notice, reserved: object) -> dict[str, object]:
    assert hasattr(reserved, "__contains__")
    fields = public_struct(notice)
    return {
        (f"{name}_" if name in reserved else name): value for name, value in fields.items()
    }


def _library_fields(record: logging.LogRecord) -> dict[str, object]:
    """Return the fields of a record written by a library or the interpreter."""
    fields: dict[str, object] = {"event": "library_message", "logger": record.name}
    fields["message"] = record.getMessage()
    if record.exc_info is not None and record.exc_info[0] is not None:
        exception_type, _, frames = record.exc_info
        fields["exception"] = exception_type.__name__
        fields["frames"] = [
            f"{frame.filename}:{frame.lineno} {frame.name}"
            for frame in traceback.extract_tb(frames)
        ]
    return fields
