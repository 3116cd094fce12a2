"""Stateful fuzzing of nodes in one process under any order of faults.

Upstreams, homes, the table service and connections are fakes; everything between the
call of a caller and the connection to an upstream is product code. The oracle is the
same as for real processes.
"""

import contextlib
import io
import json
import socket
from unittest import mock

from hypothesis import HealthCheck, Phase, settings
from hypothesis import seed as fixed_seed
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    invariant,
    rule,
    run_state_machine_as_test,
)

import baobabwing.entry.completions  # noqa: F401
import baobabwing.entry.services  # noqa: F401  (registers its routes)
from baobabwing.bench.executions import Executed
from baobabwing.bench.matrix.caller import Ending, Job, Transcript
from baobabwing.bench.matrix.oracle import judge
from baobabwing.bench.matrix.site import BOOKING, CHAT_MODEL, trial_shape
from baobabwing.bench.shapes import build_configuration
from baobabwing.entry import dispatch, forward, key_routing, server
from baobabwing.entry.chunks import LAST_CHUNK, encode_chunk
from baobabwing.entry.context import Catalogue, EntryContext, Readiness
from baobabwing.entry.events import REQUEST_FAULT
from baobabwing.entry.upstream import (
    CallerGoneError,
    UpstreamBrokenError,
    UpstreamUnreachableError,
)
from baobabwing.exceptions import NotAdmittedError, PeerError
from baobabwing.fleet.host import Host, Member, MemberState
from baobabwing.fleet.view import FleetView
from baobabwing.reports.metrics import NodeMetrics
from baobabwing.requests import claims
from baobabwing.requests.claims import ClaimService
from baobabwing.requests.keys import key_prefix
from baobabwing.requests.registry import RequestRegistry
from baobabwing.requests.shared_retry_budgets import SharedRetryBudgets
from baobabwing.settings.schema import NodeSettings
from baobabwing.standins.output import token
from baobabwing.store.memory import Fault, MemoryTables
from baobabwing.wire.messages import PermitDecision, WhereAnswer

NODES = ("node-1", "node-2", "node-3")
SHAPE = trial_shape()
ADDRESSES = {
    name: f"127.0.0.1:{port}"
    for port, name in enumerate(
        [one.name for one in (*SHAPE.engines, *SHAPE.services)], start=21_000
    )
}
NAMES = {address: name for name, address in ADDRESSES.items()}
CATALOGUE = Catalogue(cfg=build_configuration(SHAPE, ADDRESSES, policy="baobabwing"))
CREDENTIAL = SHAPE.credential_key("pocitos", "chat")
BUGS = ("AttributeError", "TypeError", "NameError", "KeyError", "AssertionError")
TOKENS = 4
DEADLINE_MS = 50
NOW_S = 1_700_000_000.0
ENGINE_MOODS = ("ok", "cut", "fail", "twice", "drop")
MOODS = (*ENGINE_MOODS, "refuse", "unreachable", "lost", "foreign")


class Killed(BaseException):
    """The process of the node was killed while it was handling a call."""


class FakeAnswer:
    """Answer whose complete body is buffered in a socket."""

    def __init__(self, body, *, status=200, headers=(), chunked=True, peer=""):
        self.sock, self._far = socket.socketpair()
        self._far.sendall(body)
        self._far.close()
        self.status = status
        self.headers = dict(headers)
        self.leftover = b""
        self.chunked = chunked
        self.content_length = None if chunked else len(body)
        self.keep = False
        self.peer = peer

    @property
    def request_id(self):
        return self.headers.get("X-Request-Id", "")

    def release(self):
        self.sock.close()

    discard = release


class FakeWriter(io.BytesIO):
    """Output of an answer, which fails once the caller has disconnected."""

    def __init__(self, far):
        super().__init__()
        self._far = far

    def write(self, block):
        if self._far.fileno() < 0:
            raise BrokenPipeError
        return super().write(block)


class FakeReq:
    """Request object in the form that cheroot passes, which records the answer."""

    response_protocol = "HTTP/1.1"

    def __init__(self, method, path, headers, body):
        self.method, self.path, self.qs = method.encode(), path.encode(), b""
        self.inheaders = {
            name.title().encode(): str(value).encode()
            for name, value in headers.items()
        }
        self.inheaders[b"Content-Length"] = str(len(body)).encode()
        self.rfile = io.BytesIO(body)
        self.server = mock.MagicMock()
        self.conn = mock.Mock()
        self.conn.socket, self.far = socket.socketpair()
        self.conn.wfile = FakeWriter(self.far)
        self.outheaders = []
        self.status = b""
        self.sent_headers = self.close_connection = False
        self.chunked_write = False

    def send_headers(self):
        return

    def answer(self):
        """Return status, headers, body and whether the body is a stream."""
        self.conn.socket.close()
        streamed = b""
        with contextlib.suppress(OSError):
            while block := self.far.recv(65_536):
                streamed += block
        self.far.close()
        headers = {name.decode(): value.decode() for name, value in self.outheaders}
        status = int(self.status[:3] or 0)
        is_stream = headers.get("Content-Type") == "text/event-stream"
        body = streamed if is_stream else self.conn.wfile.getvalue()
        return status, headers, body, is_stream


class FakeNode:
    """Incarnation of a node, whose state is lost when it is killed."""

    def __init__(self, world, name, incarnation):
        self.host = Host(
            name=name,
            incarnation=incarnation,
            zone="a",
            region="uy",
            peer=f"127.0.0.1:{30_000 + NODES.index(name)}",
            http=f"127.0.0.1:{31_000 + NODES.index(name)}",
        )
        self.claims = ClaimService(tables=world.tables, budget_s=5.0)
        self.claims.start()
        readiness = Readiness()
        readiness.remove_reason("starting")
        limits = mock.Mock()
        limits.admit.return_value = None
        self.context = EntryContext(
            settings=NodeSettings(
                name=name,
                region="uy",
                zone="a",
                http=self.host.http,
                peer=self.host.peer,
                platform_url="http://127.0.0.1:1",
                peer_secrets=("x" * 16,),
            ),
            me=self.host,
            view=world.view,
            permits=FakePermits(world, self),
            registry=RequestRegistry(retention_s=1_200.0),
            claims=self.claims,
            limits=limits,
            retries=SharedRetryBudgets(),
            metrics=NodeMetrics(),
            readiness=readiness,
            wall_clock=lambda: NOW_S,
            catalogue=CATALOGUE,
        )
        self.context.retries.take_retry = lambda *_: True


class FakePermits:
    """Home that always grants the first free upstream and loses state if replaced."""

    def __init__(self, world, node):
        self._world = world
        self._node = node

    def request_permit(self, message, *, still_wanted):
        world = self._world
        world.act("queued", self._node)
        if world.home_silent:
            raise PeerError("no home", step="permit")
        pool = message.cell.partition("/")[0]
        names = [one.name for one in CATALOGUE.upstreams_of(pool)]
        free = [name for name in names if name not in message.exclude]
        if not free:
            return PermitDecision(
                request_id=message.request_id, granted=False, code="no_upstream"
            )
        if message.key:
            placed = (free[0], message.request_id, self._node)
            world.placements[message.key] = placed
        decision = PermitDecision(
            request_id=message.request_id, granted=True, upstream=free[0], attempt=1
        )
        world.act("permitted", self._node)
        return decision

    def release(self, *message):
        return

    withdraw = back_up_placement = release

    def find_placement(self, cell, key, pool):
        world = self._world
        if world.home_silent:
            raise PeerError("no home", step="where")
        placed = world.placements.get(key)
        if placed is None:
            return WhereAnswer(known=False, sure=world.home_sure)
        return WhereAnswer(known=True, upstream=placed[0], request_id=placed[1])


class World:
    """Simulated deployment of three nodes, their upstreams and the platform."""

    def __init__(self):
        self.table_fault = None
        self.tables = MemoryTables(on_call=lambda call: self.table_fault)
        self.placements = {}
        self.home_silent = False
        self.home_sure = True
        self.executed = []
        self.streams = {}
        self.transcripts = []
        self.moods = []
        self.plan = {}
        self.depth = 0
        self.leavers = []
        self.serving = []
        self.incarnation = 0
        self.bugs = []
        self.now = 0.0
        self.nodes = {}
        for name in NODES:
            self.start(name)

    def start(self, name):
        self.incarnation += 1
        self.nodes[name] = FakeNode(self, name, self.incarnation)

    def tick(self):
        """Advance the simulated clock and return its time."""
        self.now += 1.0
        return self.now

    def note(self, event, **fields):
        """Record errors that indicate a bug rather than a simulated fault.

        An outdated fake causes such errors too.
        """
        kind = fields.get("error", "").partition(":")[0]
        if event is REQUEST_FAULT and kind in BUGS:
            self.bugs.append(fields["error"])

    def close(self):
        for node in self.nodes.values():
            node.claims.stop()

    def view(self):
        return FleetView(
            members=tuple(
                Member(host=node.host, state=MemberState.ALIVE)
                for node in self.nodes.values()
            )
        )

    def kill(self, name):
        """Replace a node by a new incarnation without state."""
        old = self.nodes[name]
        old.claims.stop()
        self.start(name)
        return old

    def stop(self, name):
        """Give up the requests that a leaving node has not dispatched."""
        for request in self.nodes[name].context.registry.open_requests():
            request.give_up()

    def replace_home(self):
        """Keep only the placements of requests open at live entries.

        A new home knows only these.
        """
        alive = {
            request.facts.request_id
            for node in self.nodes.values()
            for request in node.context.registry.open_requests()
        }
        lost = [key for key, one in self.placements.items() if one[1] not in alive]
        for key in lost:
            del self.placements[key]
        self.home_sure = False

    def act(self, step, node):
        """Perform the action planned for this step of the outermost attempt."""
        if self.depth > 1 or step not in self.plan:
            return
        action = self.plan.pop(step)
        if action == "kill":
            self.kill(node.host.name)
            raise Killed
        if action == "stop":
            self.stop(node.host.name)
        elif action == "leave":
            self.leavers[-1].far.close()
        elif action == "home":
            self.replace_home()
        else:
            self.send(*action)

    def send(self, name, key, service, last_event=None):
        """Make one attempt of a caller and store its transcript."""
        job = Job(text=f"a cut for {key}", key=key, tokens=TOKENS, service=service)
        first = 0 if last_event is None else last_event + 1
        script = Transcript(job=job, address=name, first=first, sent_s=self.tick())
        self.transcripts.append(script)
        path, document = _call_of(job)
        headers = {
            "Authorization": f"Bearer {CREDENTIAL}",
            "Idempotency-Key": key,
            "X-Deadline-Ms": DEADLINE_MS,
            "X-Non-Idempotent": "1",
        }
        if last_event is not None:
            headers["Last-Event-ID"] = last_event
        req = FakeReq("POST", path, headers, json.dumps(document).encode())
        self.depth += 1
        self.leavers.append(req)
        try:
            self._respond(self.nodes[name], req)
        except Killed:
            script.ending = Ending.BROKEN
        except (OSError, CallerGoneError):
            script.ending = Ending.GONE
        finally:
            self.depth -= 1
            self.leavers.pop()
        gone = req.far.fileno() < 0
        status, answered, body, is_stream = req.answer()
        if script.ending is None and not gone:
            _read(script, status, answered, body, is_stream)
        script.ending = script.ending or Ending.GONE
        script.ended_s = self.tick()

    def _respond(self, node, req):
        self.serving.append(node)
        try:
            server._EntryGateway(req, node.context).respond()
        finally:
            self.serving.pop()

    def exchange(self, **call):
        """Fake the exchange with a node or an upstream."""
        address = call["address"]
        for node in self.nodes.values():
            if node.host.http == address:
                return self._to_node(node, call)
        return self._to_upstream(NAMES[address], call)

    def _to_node(self, node, call):
        req = FakeReq(call["method"], call["target"], call["headers"], call["body"])
        try:
            self.act("forwarded", node)
            self._respond(node, req)
        except Killed as exc:
            raise UpstreamBrokenError("died", step="forward") from exc
        status, headers, body, is_stream = req.answer()
        return FakeAnswer(body, status=status, headers=headers, chunked=is_stream)

    def _to_upstream(self, name, call):
        mood = self.moods.pop(0) if self.moods else "ok"
        node = self.serving[-1]
        if mood == "unreachable":
            raise UpstreamUnreachableError("refused", step="connect", peer=name)
        call["before_send"]()
        self.act("dispatched", node)
        if mood == "refuse":
            raise NotAdmittedError("refused", step="dispatch", peer=name)
        if mood == "lost":
            raise UpstreamBrokenError("lost on its way", step="send", peer=name)
        attempt = call["headers"]["X-Request-Id"]
        self._execute(name, attempt, call["headers"].get("Idempotency-Key", ""))
        self.streams[name, attempt] = json.loads(call["body"])
        self.act("executed", node)
        if mood == "drop":
            raise UpstreamBrokenError("dropped", step="read head", peer=name)
        if name.startswith("service"):
            return _service_answer(attempt, call, mood)
        return self._stream(name, attempt, 0, mood)

    def _execute(self, name, attempt, key):
        self.executed.append(
            Executed(
                upstream=name,
                attempt=attempt,
                key=key,
                prompt_tokens=1,
                cached_tokens=0,
                prefilled_tokens=1,
                output_tokens=TOKENS,
                state="finished",
                started_s=self.tick(),
                finished_s=0.0,
            )
        )

    def resume(self, address, attempt, last_event_id):
        """Fake the resumption of an engine's stream; for a service it is a call."""
        name = NAMES[address]
        if name.startswith("service"):
            self._execute(name, attempt, "")
        if (name, attempt) not in self.streams:
            return FakeAnswer(b"{}", status=404, chunked=False)
        mood = self.moods.pop(0) if self.moods else "ok"
        if mood not in ENGINE_MOODS:
            raise UpstreamBrokenError("broken", step="resume", peer=name)
        first = 0 if last_event_id is None else last_event_id + 1
        return self._stream(name, attempt, first, mood)

    def cancel(self, address, attempt):
        """Fake the cancellation at an engine; for a service it is a call."""
        if NAMES[address].startswith("service"):
            self._execute(NAMES[address], attempt, "")

    def _stream(self, name, attempt, first, mood):
        document = self.streams[name, attempt]
        text = "\n".join(one["content"] for one in document["messages"])
        said = attempt if mood != "foreign" else "req-other.engine-1"
        headers = {"X-Request-Id": said, "Content-Type": "text/event-stream"}
        if mood == "fail":
            return FakeAnswer(b"{}", status=500, headers=headers, chunked=False)
        end = TOKENS if mood != "cut" else min(TOKENS, first + 1)
        body = b"".join(
            encode_chunk(_event(said, text, index)) for index in range(first, end)
        )
        if mood != "cut":
            body += encode_chunk(b"data: [DONE]\n\n") + LAST_CHUNK
        if mood == "twice":
            body += b"HTTP/1.1 200 OK\r\n\r\n" + body
        return FakeAnswer(body, headers=headers, peer=name)


def _call_of(job):
    if job.service:
        return f"/v1/services/{BOOKING}/book", {"text": job.text}
    messages = [{"role": "user", "content": job.text}]
    return "/v1/chat/completions", {
        "model": CHAT_MODEL,
        "messages": messages,
        "max_tokens": job.tokens,
        "stream": True,
    }


def _event(attempt, text, index):
    word = ("" if index == 0 else " ") + token(text, index)
    choice = {"index": 0, "delta": {"content": word}, "finish_reason": None}
    document = {"id": attempt, "choices": [choice]}
    return f"id: {index}\ndata: {json.dumps(document)}\n\n".encode()


def _service_answer(attempt, call, mood):
    key = call["headers"].get("Idempotency-Key", "")
    document = {"key": key, "echo": call["body"].decode(), "execution": 1}
    body = json.dumps(document).encode()
    said = attempt if mood != "foreign" else "req-other.service-1"
    headers = {"X-Request-Id": said, "Content-Type": "application/json"}
    if mood == "cut":
        answer = FakeAnswer(body[:-1], headers=headers, chunked=False)
        answer.content_length = len(body)
        return answer
    status = 500 if mood == "fail" else 200
    return FakeAnswer(body, status=status, headers=headers, chunked=False)


def _read(script, status, headers, body, is_stream):
    """Fill a transcript from the answer that the caller received."""
    script.status = status
    script.request_id = headers.get("X-Request-Id", "")
    documents = _stream_documents(body) if is_stream else [json.loads(body or "{}")]
    for document in documents:
        if document is None:
            script.ending = Ending.WHOLE
        elif "error" in document:
            script.error = document["error"]
            script.ending = Ending(document["error"]["outcome"])
        elif is_stream:
            word = document["choices"][0]["delta"]["content"].strip()
            script.words.append(word)
        else:
            script.document = document
            script.ending = Ending.WHOLE if status == 200 else Ending.OTHER
    script.ending = script.ending or Ending.BROKEN


def _stream_documents(raw):
    """Return the events of a chunked body; ``None`` for the end of the answer."""
    payload, rest = b"", raw
    while rest and not rest.startswith(b"0\r\n"):
        size, _, rest = rest.partition(b"\r\n")
        payload, rest = payload + rest[: int(size, 16)], rest[int(size, 16) + 2 :]
    for line in payload.split(b"\n"):
        data = line.removeprefix(b"data: ")
        if data == b"[DONE]":
            yield None
        elif line.startswith(b"data: "):
            yield json.loads(data)


STEPS = ("queued", "permitted", "dispatched", "executed", "forwarded")
nodes = st.sampled_from(NODES)
moods = st.lists(st.sampled_from(MOODS), max_size=3)
numbers = st.integers(0, 5)
deeds = st.sampled_from(("kill", "stop", "leave", "home"))


class OutcomeMachine(RuleBasedStateMachine):
    """Callers, faults and deaths in any order, judged after each step."""

    def __init__(self):
        super().__init__()
        self.world = World()
        self.keys = [f"own-{number}" for number in range(3)]
        self.kinds = {}
        self._patches = contextlib.ExitStack()
        for module, name, value in (
            (server, "log", self.world.note),
            (dispatch, "open_exchange", self.world.exchange),
            (forward, "open_exchange", self.world.exchange),
            (dispatch, "resume", self.world.resume),
            (dispatch, "cancel", self.world.cancel),
            (dispatch, "RESUME_PAUSES_S", (0.0, 0.0)),
            (key_routing, "REUSE_RETRY_S", 0.0),
            (claims, "READ_BACK_PAUSE_S", 0.0),
            (claims, "BATCH_WAIT_S", 0.0),
        ):
            self._patches.enter_context(mock.patch.object(module, name, value))

    def teardown(self):
        self.world.close()
        self._patches.close()

    @rule(name=nodes)
    def bind_key(self, name):
        host = self.world.nodes[name].host
        prefix = key_prefix(node=name, incarnation=host.incarnation, now_s=NOW_S)
        self.keys.append(f"{prefix}{len(self.keys)}")

    def _try(self, name, number, last_event=None):
        key = self.keys[-1 - number % len(self.keys)]
        service = self.kinds.setdefault(key, len(self.kinds) % 2 == 0)
        return (name, key, service, None if service else last_event)

    @rule(name=nodes, number=numbers, last=st.none() | st.integers(0, 2), moods=moods)
    def plain_try(self, name, number, last, moods):
        self.world.moods = moods
        self.world.send(*self._try(name, number, last))

    @rule(
        name=nodes,
        number=numbers,
        moods=moods,
        step=st.sampled_from(STEPS),
        deed=deeds | st.tuples(nodes, numbers),
    )
    def struck_try(self, name, number, moods, step, deed):
        self.world.moods = moods
        action = deed if isinstance(deed, str) else self._try(*deed)
        self.world.plan = {step: action}
        self.world.send(*self._try(name, number))
        self.world.plan = {}

    @rule(name=nodes)
    def kill_node(self, name):
        self.world.kill(name)

    @rule(name=nodes, ready=st.booleans())
    def ready(self, name, ready):
        readiness = self.world.nodes[name].context.readiness
        (readiness.remove_reason if ready else readiness.add_reason)("leaving")

    @rule()
    def replace_home(self):
        self.world.replace_home()

    @rule(silent=st.booleans())
    def home_silent(self, silent):
        self.world.home_silent = silent

    @rule(fault=st.sampled_from((None, None, *Fault)))
    def platform(self, fault):
        self.world.table_fault = fault

    @rule(number=numbers)
    def engine_forgets(self, number):
        streams = self.world.streams
        if streams:
            del streams[list(streams)[number % len(streams)]]

    @invariant()
    def promises_hold(self):
        assert not self.world.bugs
        assert judge(self.world.transcripts, self.world.executed) == []


def test_service_is_not_called_for_a_caller_that_left():
    """Guard against a second call of a service whose caller has disconnected.

    A booking is executed and its answer is lost. For an engine the entry would resume
    or cancel the stream, but a plain service executes every call.
    """
    machine = OutcomeMachine()
    machine.world.moods = ["drop"]
    machine.world.plan = {"executed": "leave"}
    machine.world.send("node-1", "own-0", service=True)
    machine.teardown()
    assert len(machine.world.executed) == 1


def test_any_order_of_faults(fuzz_examples, fuzz_seed, request):
    """Guard against violations when nodes, homes, upstreams and the store fail.

    Callers send and retry requests while faults occur in any order.
    """
    machine = OutcomeMachine
    options = settings(
        max_examples=fuzz_examples,
        stateful_step_count=25,
        derandomize=fuzz_seed is None,
        database=None,
        deadline=None,
        suppress_health_check=list(HealthCheck),
    )
    if fuzz_seed is not None:
        machine = fixed_seed(fuzz_seed)(type("Fuzz", (OutcomeMachine,), {}))
    if request.config.getoption("--fuzz-raw"):
        options = settings(options, phases=(Phase.generate,))
    run_state_machine_as_test(machine, settings=options)
