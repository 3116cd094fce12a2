"""Callers that send requests, record transcripts and can retry."""

from __future__ import annotations

import http.client
import json
import socket
import struct
import threading
import time
import uuid
from collections.abc import Mapping
from dataclasses import dataclass, field
from enum import StrEnum
from typing import Any

from baobabwing.bench.matrix.site import BOOKING, CHAT_MODEL

__all__ = ["Caller", "Ending", "Follower", "Job", "Transcript", "Try"]

READ_TIMEOUT_S = 30.0
MS_PER_S = 1_000.0
_OK_STATUS = 200
_DATA_PREFIX = b"data: "
_STREAM_END = b"[DONE]"
_ERROR_OUTCOMES = ("not_run", "unknown", "partial")


class Ending(StrEnum):
    """Outcome of an attempt from its caller's point of view.

    ``BROKEN``: the connection was closed before the end of the answer. ``GONE``: the
    caller closed the connection itself. ``OTHER``: an error without an outcome.
    """

    WHOLE = "whole"
    NOT_RUN = "not_run"
    UNKNOWN = "unknown"
    PARTIAL = "partial"
    BROKEN = "broken"
    GONE = "gone"
    REFUSED = "refused"
    OTHER = "other"


@dataclass(frozen=True, kw_only=True)
class Job:
    """Request parameters of a caller.

    :param service: whether it is a booking at a plain service instead of a chat turn.
    :param tokens: length of the answer of a chat turn.
    """

    text: str
    key: str = ""
    tokens: int = 16
    service: bool = False
    stream: bool = True
    deadline_ms: int = 8_000


@dataclass(kw_only=True)
class Transcript:
    """Record of an attempt, which is updated while the attempt is running.

    :param sent_s: Unix time of the start of the attempt.
    :param ended_s: Unix time at which the ending was known.
    :param first: number of the first requested event.
    :param words: tokens in the order of their arrival.
    """

    job: Job
    address: str
    sent_s: float = 0.0
    ended_s: float = 0.0
    first: int = 0
    words: list[str] = field(default_factory=list)
    ending: Ending | None = None
    status: int = 0
    request_id: str = ""
    error: Mapping[str, Any] = field(default_factory=dict)
    document: Mapping[str, Any] = field(default_factory=dict)
    retry_after: str = ""


class Try:
    """Attempt that runs in its own thread.

    :param last_event: number of the last event that the caller has received.
    """

    def __init__(
        self,
        *,
        address: str,
        credential: str,
        job: Job,
        last_event: int | None = None,
        headers: Mapping[str, str] | None = None,
    ) -> None:
        first = 0 if last_event is None else last_event + 1
        self.transcript = Transcript(job=job, address=address, first=first)
        self._credential = credential
        self._last_event = last_event
        self._headers = dict(headers or {})
        self._conn = http.client.HTTPConnection(address, timeout=READ_TIMEOUT_S)
        self._closed_by_caller = False
        self._changed = threading.Condition()
        self._thread = threading.Thread(target=self._run, daemon=True)

    def start(self) -> Try:
        """Send the request."""
        self.transcript.sent_s = time.time()
        self._thread.start()
        return self

    def wait(self, timeout_s: float = READ_TIMEOUT_S) -> Transcript:
        """Wait for the end of the attempt and return the transcript.

        :raises TimeoutError: if it does not end in time.
        """
        self._thread.join(timeout_s)
        if self._thread.is_alive():
            raise TimeoutError("the attempt did not end in time")
        return self.transcript

    def wait_words(self, count: int, timeout_s: float = READ_TIMEOUT_S) -> bool:
        """Wait for some tokens and return whether they arrived before the end."""
        with self._changed:
            self._changed.wait_for(
                lambda: (
                    len(self.transcript.words) >= count
                    or self.transcript.ending is not None
                ),
                timeout_s,
            )
        return len(self.transcript.words) >= count

    def leave(self, *, hard: bool = False) -> None:
        """Close the connection.

        :param hard: reset the connection, as if the caller's host had vanished.
        """
        self._closed_by_caller = True
        sock = self._conn.sock
        if sock is None:
            return
        try:
            if hard:
                linger = struct.pack("ii", 1, 0)
                sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
                sock.shutdown(socket.SHUT_RD)
            else:
                sock.shutdown(socket.SHUT_RDWR)
        except OSError:
            return

    def _run(self) -> None:
        try:
            self._exchange()
        except (OSError, http.client.HTTPException, ValueError):
            self._set_ending(Ending.BROKEN)
        finally:
            self._conn.close()

    def _exchange(self) -> None:
        path, document, headers = self._request()
        try:
            self._conn.connect()
        except OSError:
            self._set_ending(Ending.REFUSED)
            return
        self._conn.request("POST", path, body=json.dumps(document), headers=headers)
        resp = self._conn.getresponse()
        transcript = self.transcript
        transcript.status = resp.status
        transcript.request_id = resp.headers.get("X-Request-Id", "")
        transcript.retry_after = resp.headers.get("Retry-After", "")
        if resp.headers.get("Content-Type", "").startswith("text/event-stream"):
            self._read_stream(resp)
        else:
            self._read_whole(resp)

    def _request(self) -> tuple[str, Mapping[str, Any], dict[str, str]]:
        job = self.transcript.job
        headers = {
            "Authorization": f"Bearer {self._credential}",
            "Content-Type": "application/json",
            "X-Deadline-Ms": str(job.deadline_ms),
            **self._headers,
        }
        if job.key:
            headers["Idempotency-Key"] = job.key
        if self._last_event is not None:
            headers["Last-Event-ID"] = str(self._last_event)
        if job.service:
            headers["X-Non-Idempotent"] = "1"
            return f"/v1/services/{BOOKING}/book", {"text": job.text}, headers
        document = {
            "model": CHAT_MODEL,
            "messages": [{"role": "user", "content": job.text}],
            "max_tokens": job.tokens,
            "stream": job.stream,
        }
        return "/v1/chat/completions", document, headers

    def _read_stream(self, resp: http.client.HTTPResponse) -> None:
        for line in resp:
            if not line.startswith(_DATA_PREFIX):
                continue
            data = line.removeprefix(_DATA_PREFIX).strip()
            if data == _STREAM_END:
                resp.read()
                self._set_ending(Ending.WHOLE)
                return
            self._handle_event(json.loads(data))
            if self.transcript.ending is not None:
                return
        self._set_ending(Ending.BROKEN)

    def _handle_event(self, document: Mapping[str, Any]) -> None:
        if "error" in document:
            self._handle_error(document["error"])
            return
        word = document["choices"][0]["delta"].get("content", "").strip()
        with self._changed:
            self.transcript.words.append(word)
            self._changed.notify_all()

    def _read_whole(self, resp: http.client.HTTPResponse) -> None:
        document = json.loads(resp.read())
        if "error" in document:
            self._handle_error(document["error"])
            return
        self.transcript.document = document
        if "choices" in document:
            text = document["choices"][0]["message"]["content"]
            self.transcript.words.extend(text.split())
        self._set_ending(Ending.WHOLE if resp.status == _OK_STATUS else Ending.OTHER)

    def _handle_error(self, error: Mapping[str, Any]) -> None:
        self.transcript.error = error
        outcome = error.get("outcome")
        has_outcome = outcome in _ERROR_OUTCOMES
        self._set_ending(Ending(outcome) if has_outcome else Ending.OTHER)

    def _set_ending(self, ending: Ending) -> None:
        if self._closed_by_caller and ending is Ending.BROKEN:
            ending = Ending.GONE
        with self._changed:
            if self.transcript.ending is None:
                self.transcript.ended_s = time.time()
                self.transcript.ending = ending
            self._changed.notify_all()


class Caller:
    """Caller that retries at other addresses when an attempt fails.

    :param credential: key of its organisation.
    """

    def __init__(self, *, credential: str) -> None:
        self._credential = credential
        self.transcripts: list[Transcript] = []

    def key_at(self, address: str, name: str) -> str:
        """Return an idempotency key that is bound to the node at an address.

        :raises LookupError: if the node does not announce its own address.
        """
        conn = http.client.HTTPConnection(address, timeout=5.0)
        try:
            conn.request("GET", "/v1/addresses")
            document = json.loads(conn.getresponse().read())
        finally:
            conn.close()
        for one in document["addresses"]:
            if one["http"] == address:
                return one["key_prefix"] + name
        raise LookupError(f"{address} is not among the announced addresses")

    def begin(
        self,
        job: Job,
        address: str,
        *,
        last_event: int | None = None,
        headers: Mapping[str, str] | None = None,
    ) -> Try:
        """Start an attempt."""
        attempt = Try(
            address=address,
            credential=self._credential,
            job=job,
            last_event=last_event,
            headers=headers,
        )
        self.transcripts.append(attempt.transcript)
        return attempt.start()

    def finish(
        self, job: Job, first: Try, others: tuple[str, ...], *, tries: int = 6
    ) -> Transcript:
        """Wait for an attempt and retry at other addresses until it is answered.

        Up to ``tries`` attempts are made. The caller retries after a broken
        connection, even if it closed the connection itself, after a partial answer,
        and after "unknown" or "not run".
        """
        answered = transcript = first.wait()
        for number in range(tries - 1):
            if transcript.ending in (Ending.WHOLE, Ending.OTHER):
                break
            words = self.words_of(job)
            last = len(words) - 1 if words and job.stream else None
            address = others[number % len(others)]
            transcript = self.begin(job, address, last_event=last).wait()
            if transcript.ending is not Ending.REFUSED:
                answered = transcript
        return answered

    def words_of(self, job: Job) -> list[str]:
        """Return the tokens of a job from all attempts, in stream order."""
        found: dict[int, str] = {}
        for transcript in self.transcripts:
            if transcript.job == job:
                found.update(enumerate(transcript.words, start=transcript.first))
        return [found[index] for index in range(len(found)) if index in found]


class Follower:
    """Caller that sends consecutive chat turns to the announced addresses.

    It caches the announced addresses for their keep time and uses the first of them.
    If a node does not answer an address query, it queries the next one.

    :param known: initial addresses from its settings.
    """

    def __init__(self, *, known: tuple[str, ...], credential: str, seed: str) -> None:
        self._known = known
        self._seed = seed
        self._caller = Caller(credential=credential)
        self._stopped = threading.Event()
        self._thread = threading.Thread(target=self._run, daemon=True)

    @property
    def transcripts(self) -> list[Transcript]:
        """Transcripts recorded so far, one per request."""
        return self._caller.transcripts

    def start(self) -> Follower:
        """Start sending."""
        self._thread.start()
        return self

    def stop(self) -> None:
        """Stop sending and wait for the last answer."""
        self._stopped.set()
        self._thread.join(READ_TIMEOUT_S)

    def _run(self) -> None:
        addresses: list[Mapping[str, str]] = []
        refresh_at = 0.0
        while not self._stopped.is_set():
            if not addresses or time.monotonic() >= refresh_at:
                addresses, keep_s = self._query_addresses(addresses)
                refresh_at = time.monotonic() + keep_s
                continue
            key = addresses[0]["key_prefix"] + uuid.uuid4().hex
            job = Job(text=f"a kickoff {key}", key=key)
            self._caller.begin(job, addresses[0]["http"]).wait()

    def _query_addresses(
        self, addresses: list[Mapping[str, str]]
    ) -> tuple[list[Mapping[str, str]], float]:
        for address in (*(one["http"] for one in addresses), *self._known):
            conn = http.client.HTTPConnection(address, timeout=1.0)
            try:
                conn.request(
                    "GET", "/v1/addresses", headers={"X-Caller-Seed": self._seed}
                )
                document = json.loads(conn.getresponse().read())
            except (OSError, http.client.HTTPException):
                continue
            finally:
                conn.close()
            return document["addresses"], document["keep_ms"] / MS_PER_S
        return [], 0.0
