"""Headers that callers and backend servers of the platform speak."""

from __future__ import annotations

import re

import result

from irisshelf.gateway import dialect
from irisshelf.gateway import messages
from irisshelf.routing.direct import prompt
from irisshelf.routing.direct import slowdown

_REQUEST_ID = b"request-id"
_SIGNATURE = b"response-signature"
_NOT_RUN = b"not-executed"
_LOAD = b"server-load"
_DEADLINE = b"deadline-ms"
_KEEP_ALIVE = b"keep-alive"
_CONNECTION = b"connection"
_LEAVING = b"server-leaving"
_RETRY_AFTER = b"retry-after"
_BEARER = "bearer "
_MISDIRECTED = 421
_UNAVAILABLE = 503
# A server that asks for more makes a mistake.
_LONGEST_REST_S = 3600.0
# A request's id; ids of other forms are passed on, but name no stream.
_ID = re.compile(r"[!-~]{1,200}")
# Fifteen digits are exact in any number format; a count has fewer.
_MOST_DIGITS = 15
_LONGEST_KEEP_ALIVE_S = 86400
# Figures of a load report that are read.
_LOAD_FIGURES = 4
# A server that reports less makes a mistake: none is so much faster than
# normal, and 0 would mean infinitely fast.
_MIN_SLOWDOWN_PERCENT = slowdown.to_percent(slowdown.MIN_SLOWDOWN)
# What an error shows of a value.
_SHOWN = 60
# They belong to one connection, not to the message (RFC 9110, 7.6.1), or
# frame a body that is framed anew.
_HOP = frozenset(
    {
        _CONNECTION,
        _KEEP_ALIVE,
        b"proxy-connection",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
        b"content-length",
        b"expect",
    }
)
# Set by irisshelf alone, whatever the caller sent; the key stays here.
_OWN = frozenset(
    {
        b"authorization",
        _DEADLINE,
        b"tenant-id",
        b"expect-instance",
        b"expect-version",
        b"request-priority",
        b"last-event-id",
        b"kv-fetch",
        b"kv-from",
        b"kv-backup",
        b"hold",
        b"pin-ms",
    }
)
# Of an answer these are meant for irisshelf, not for its caller.
_INTERNAL = frozenset({_LOAD, _NOT_RUN, _LEAVING})


class HttpDialect(dialect.Dialect):
    """Translates heads of HTTP messages."""

    def parse_request(self, inbound: messages.InboundRequest) -> result.Result:
        """See ``dialect.Dialect.parse_request``."""
        found = {
            name.lower(): value.decode("latin-1").strip()
            for name, value in inbound.headers
        }
        try:
            return result.Ok(_parse_head(inbound.target, found))
        except ValueError as exc:
            return result.Err(str(exc))

    def backend_request_headers(
        self, inbound: messages.InboundRequest, send: messages.ForwardedContext
    ) -> list[tuple[bytes, bytes]]:
        """See ``dialect.Dialect.backend_request_headers``."""
        dropped = _HOP | _OWN | _named_in_connection(inbound.headers)
        headers = [
            (name, value)
            for name, value in inbound.headers
            if name.lower() not in dropped
        ]
        headers += [
            (name, value.encode("latin-1")) for name, value in _set_by_us(send)
        ]
        if inbound.has_body:
            length = str(len(inbound.body)).encode()
            headers.append((b"Content-Length", length))
        return headers

    def parse_answer(
        self, status: int, headers: messages.Headers
    ) -> messages.AnswerHead:
        """See ``dialect.Dialect.parse_answer``."""
        found = {
            name.lower(): value.decode("latin-1").strip()
            for name, value in headers
        }
        dropped = _HOP | _INTERNAL | _named_in_connection(headers)
        return messages.AnswerHead(
            status=status,
            headers=tuple(
                (name, value)
                for name, value in headers
                if name.lower() not in dropped
            ),
            request_id=found.get(_REQUEST_ID, ""),
            signed=bool(found.get(_SIGNATURE)),
            not_run=_NOT_RUN in found or status == _MISDIRECTED,
            encoded=b"content-encoding" in found,
            body_bytes=_count(found.get(b"content-length", "")),
            report=_report(status, headers),
        )

    def local_answer_headers(
        self, request_id: str, retry_after_s: float | None
    ) -> list[tuple[bytes, bytes]]:
        """See ``dialect.Dialect.local_answer_headers``."""
        headers = [(b"Content-Type", b"application/json")]
        if request_id:
            headers.append((b"Request-Id", request_id.encode("latin-1")))
        if retry_after_s is not None:
            headers.append((b"Retry-After", f"{retry_after_s:.3f}".encode()))
        return headers


def _report(status: int, headers: messages.Headers) -> messages.ServerReport:
    """Reads what the server says of itself.

    A header that comes twice is one with a list of values (RFC 9110, 5.3).
    """
    found: dict[bytes, str] = {}
    for name, value in headers:
        name = name.lower()
        text = value.decode("latin-1").strip()
        found[name] = f"{found[name]},{text}" if name in found else text
    unreadable = []
    load, load_is_valid = _load(headers)
    if not load_is_valid:
        unreadable.append("Server-Load")
    leaving = _flag(found.get(_LEAVING, ""))
    if _LEAVING in found and leaving is None:
        unreadable.append("Server-Leaving")
    rest_s: float | None = 0.0
    if status == _UNAVAILABLE and _RETRY_AFTER in found:
        rest_s = _rest_s(found[_RETRY_AFTER])
        if rest_s is None:
            unreadable.append("Retry-After")
    return messages.ServerReport(
        load=load,
        leaving=bool(leaving),
        rest_s=rest_s or 0.0,
        absent=status == _MISDIRECTED,
        keep_alive_s=_keep_alive_s(found.get(_KEEP_ALIVE, "")),
        unreadable=tuple(unreadable),
    )


def _flag(text: str) -> bool | None:
    """Reads a header that is there, as 1, or not; None for other values."""
    values = {item.strip() for item in text.split(",")}
    return True if "1" in values else None


def _rest_s(text: str) -> float | None:
    """Reads seconds, fractions included; the longest of several."""
    rests_s = [_plain_seconds(item.strip()) for item in text.split(",")]
    known_s = [rest_s for rest_s in rests_s if rest_s is not None]
    return min(max(known_s), _LONGEST_REST_S) if known_s else None


def _plain_seconds(text: str) -> float | None:
    """Reads digits with at most one point among them."""
    whole, _, part = text.partition(".")
    digits = whole + part
    if not (digits.isascii() and digits.isdigit()):
        return None
    return float(text) if len(digits) <= _MOST_DIGITS else _LONGEST_REST_S


def _parse_head(target: str, found: dict[bytes, str]) -> messages.RequestHead:
    request_id = found.get(_REQUEST_ID, "")
    if not request_id:
        raise ValueError("header 'Request-Id' is missing, allowed: an id")
    return messages.RequestHead(
        request_id=request_id,
        host=found.get(b"host", ""),
        path=target.partition("?")[0],
        key=_key(found.get(b"authorization", "")),
        deadline_s=_seconds(found, _DEADLINE),
        prompt=_prompt(found),
        last_event_id=_whole_number(found, b"last-event-id"),
        resumes=_id(found.get(b"resumes", "")),
    )


def _id(text: str) -> str:
    return text if _ID.fullmatch(text) else ""


def _key(authorization: str) -> str:
    if authorization[: len(_BEARER)].lower() != _BEARER:
        return ""
    return authorization[len(_BEARER) :].strip()


def _seconds(found: dict[bytes, str], name: bytes) -> float | None:
    text = found.get(name)
    if text is None:
        return None
    try:
        value = float(text)
    except ValueError:
        value = -1.0
    if not 0 <= value < 1e9:
        raise ValueError(
            f"header {name.decode()!r} is {text[:_SHOWN]!r}, "
            "allowed: milliseconds"
        )
    return value / 1000


def _whole_number(found: dict[bytes, str], name: bytes) -> int | None:
    text = found.get(name)
    if text is None:
        return None
    count = _count(text)
    if count is None:
        shown = text[:_SHOWN]
        raise ValueError(
            f"header {name.decode()!r} is {shown!r}, allowed: a whole number"
        )
    return count


def _prompt(found: dict[bytes, str]) -> prompt.Prompt:
    """Reads the prompt's parts; what is unreadable is left out of placement.

    The headers themselves are passed on unchanged, so that the server judges
    them.
    """
    parts = []
    for item in found.get(b"prefix-hash", "").split(","):
        part_id, _, tokens = item.strip().partition(":")
        count = _count(tokens)
        if part_id and count is not None:
            parts.append(prompt.Part(part_id=part_id, tokens=count))
    most = found.get(b"token-count", "").partition(",")[2].strip()
    return prompt.Prompt(
        parts=tuple(parts),
        max_answer_tokens=_count(most) or 0,
    )


def _count(text: str) -> int | None:
    """Reads a whole number; None if it is none, or too long to be meant."""
    if not (text.isascii() and text.isdigit()) or len(text) > _MOST_DIGITS:
        return None
    return int(text)


def _set_by_us(send: messages.ForwardedContext) -> list[tuple[bytes, str]]:
    headers = [(b"Expect-Instance", send.entry_id)]
    if send.team:
        headers.append((b"Tenant-Id", send.team))
    if send.left_s is not None:
        left_ms = max(1, int(send.left_s * 1000))
        headers.append((b"Deadline-Ms", str(left_ms)))
    if send.priority is not None:
        headers.append((b"Request-Priority", str(min(9, send.priority))))
    if send.cache_source:
        headers.append((b"Kv-Fetch", send.cache_source))
    if send.last_event_id is not None:
        headers.append((b"Last-Event-Id", str(send.last_event_id)))
    return headers


def _named_in_connection(headers: messages.Headers) -> frozenset[bytes]:
    named = set()
    for name, value in headers:
        if name.lower() == _CONNECTION:
            named |= {item.strip().lower() for item in value.split(b",")}
    return frozenset(named)


def _load(headers: messages.Headers) -> tuple[messages.Load | None, bool]:
    """Reads running, waiting, slots and slowdown in percent.

    Servers without a slowdown report three figures. Figures beyond the fourth
    are reserved for later servers. What is readable of an invalid header is
    used, if that includes running and waiting. A header that is repeated is
    invalid, and the first one is used: the figures of the second one would be
    taken for the slowdown and later ones.

    Returns:
        The load, None if there is none; whether the header is valid or absent.
    """
    texts = [
        value.decode("latin-1")
        for name, value in headers
        if name.lower() == _LOAD
    ]
    if not texts:
        return None, True
    fields = texts[0].split(",", _LOAD_FIGURES)[:_LOAD_FIGURES]
    counts = [_count(field.strip()) for field in fields]
    percent = counts[3] if len(counts) > 3 else None
    if percent is not None and percent < _MIN_SLOWDOWN_PERCENT:
        percent = counts[3] = None
    is_valid = len(texts) == 1 and len(counts) >= 3 and None not in counts
    if len(counts) < 2 or counts[0] is None or counts[1] is None:
        return None, is_valid
    load = messages.Load(
        running=counts[0],
        waiting=counts[1],
        slots=counts[2] if len(counts) > 2 else None,
        slowdown=1.0 if percent is None else slowdown.from_percent(percent),
        reports_slowdown=percent is not None,
    )
    return load, is_valid


def _keep_alive_s(text: str) -> float | None:
    """Reads the seconds of ``Keep-Alive: timeout=5`` or of ``Keep-Alive: 5``.

    The platform's page says only that they are whole seconds.
    """
    for item in text.split(","):
        value = item.strip().lower().removeprefix("timeout=")
        seconds = _count(value)
        if seconds is not None:
            return float(min(seconds, _LONGEST_KEEP_ALIVE_S))
    return None
