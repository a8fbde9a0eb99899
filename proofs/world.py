"""In-memory simulation of callers, entries, targets and engines with faults.

Exchanges at entries and target state machines are the shipped ones. Engines,
plain services and messages between processes are simulated by small lists, so
that a run can delay, drop, repeat and reorder messages. Responses to callers
are compared with what engines and services executed.
"""

import collections
import dataclasses
import random

from radishstack import attempt as attempt_lib
from radishstack import result
from radishstack import target as target_lib
from radishstack import target_event as event_lib
from radishstack.process import ledger as ledger_lib
from radishstack.process import load_budget
from radishstack.process import residency as residency_lib
from radishstack.process import retry_budget
from radishstack.request import exchange as exchange_lib
from radishstack.request import resolve
from radishstack.request import run as run_lib
from radishstack.version import checks
from radishstack.version import holder as holder_lib
from radishstack.version import operation as operation_lib

from proofs import actors
from proofs import deployment

CHUNKS_PER_RUN = 3
ADAPTER_SLOTS = 2
READ_WINDOW_CHUNKS = 2
VERSION_FETCH_PROBABILITY = 0.8


class ViolationError(AssertionError):
    """An invariant that callers or engines rely on was violated."""


class World:
    """All simulated processes, driven by the rules of a state machine."""

    def __init__(self, seed: int, counts: collections.Counter[str]) -> None:
        """Starts with every process up and the first version everywhere.

        Args:
            seed: Seed of the random source.
            counts: Counts of operations and faults, updated by the run.
        """
        self.random = random.Random(seed)
        self.counts = counts
        self.now_ms = 1_000
        self.versions = [
            holder_lib.HeldVersion(1, "w1", deployment.initial_document())
        ]
        self.entry_versions = [0, 0]
        self.budget = retry_budget.RetryBudget()
        self.callers: list[actors.Caller] = []
        self.messages: list[
            actors.MessageToTarget | actors.MessageToCaller
        ] = []
        self.executions: collections.Counter[tuple[str, str]] = (
            collections.Counter()
        )
        self.runs: set[tuple[bytes, int]] = set()
        self.attempts_run: set[bytes] = set()
        self.caller_of_attempt: dict[bytes, int] = {}
        self.draining_since_ms: dict[str, int] = {}
        self.submission_arrived_ms: dict[bytes, int] = {}
        self.seal_reply = ledger_lib.SealReply.UNKNOWN
        self.nodes = {
            name: actors.Node(name, actors.Engine())
            for name in (*deployment.ENGINES, *deployment.PLAIN_TARGETS)
        }
        for node in self.nodes.values():
            self.start(node, quarantine_ms=0)

    def start(
        self, node: actors.Node, quarantine_ms: int = deployment.RETRY_WINDOW_MS
    ) -> None:
        """Starts the target process of a node."""
        kind = (
            checks.TargetKind.ENGINE
            if node.name in deployment.ENGINES
            else checks.TargetKind.PLAIN
        )
        node.epoch += 1
        node.paused = False
        node.listed_draining = False
        node.servings.clear()
        node.owners.clear()
        node.state_machine = target_lib.Target(
            target_lib.TargetSettings(
                name=node.name,
                kind=kind,
                slot_count=ADAPTER_SLOTS,
                max_running=3,
                max_queued=6,
                quarantine_ms=quarantine_ms,
                first_order=node.epoch * 1_000_000,
            ),
            now_ms=self.now_ms,
            random_source=self.random,
            budget=load_budget.BudgetSettings(1_000.0, 100.0),
        )
        self.feed(node, event_lib.VersionActivated(self.versions[-1]))
        if kind is checks.TargetKind.ENGINE:
            node.engine.fencing_token = node.epoch * 1_000_000
            self.poll_engine(node)

    def feed(self, node: actors.Node, event: event_lib.Event) -> None:
        """Feeds an event to a process unless it is down or paused."""
        if node.state_machine is None or node.paused:
            return
        for action in node.state_machine.handle(event, self.now_ms):
            self.perform_target_action(node, action)

    def poll_engine(self, node: actors.Node) -> None:
        """Polls the engine on behalf of its process."""
        observed = event_lib.EngineObserved(
            str(node.engine.incarnation),
            frozenset(node.engine.resident),
            self.now_ms,
        )
        self.feed(node, observed)

    def kill(self, node: actors.Node) -> None:
        """Kills a process, which disconnects readers and cancels its runs."""
        node.state_machine = None
        node.engine.runs.clear()
        self.messages = [
            message
            for message in self.messages
            if not (
                isinstance(message, actors.MessageToTarget)
                and message.node == node.name
            )
            or message.kind == "submit"
        ]
        self.cut_connections(node)

    def cut_connections(self, node: actors.Node) -> None:
        """Cuts the connections to a process."""
        for caller in self.callers:
            exchange = caller.exchange
            if exchange is None or exchange.done:
                continue
            if exchange.target == node.name and caller.attempt_id:
                attempt_id = caller.attempt_id
                self.messages = [
                    message
                    for message in self.messages
                    if not isinstance(message, actors.MessageToCaller)
                    or message.attempt_id != attempt_id
                ]
                serving = node.servings.get(node.owners.get(attempt_id, b""))
                if serving is not None:
                    serving.run.detach(attempt_id)
                    serving.head_sent_to.discard(attempt_id)
                self.messages.append(
                    actors.MessageToCaller(
                        caller.number, attempt_id, exchange_lib.ConnectionLost()
                    )
                )

    def restart_engine(self, node: actors.Node) -> None:
        """Restarts an engine without adapters and aborts its streams."""
        engine = node.engine
        engine.incarnation += 1
        engine.resident.clear()
        engine.orders.clear()
        engine.fencing_token = 0
        for attempt_id in list(engine.runs):
            self.end_run(node, attempt_id, cut=True)

    def perform_target_action(
        self, node: actors.Node, action: event_lib.Action
    ) -> None:
        """Performs an action that a target state machine returned."""
        match action:
            case event_lib.Dispatch(attempt=attempt):
                self.execute(node, attempt)
            case event_lib.Reject(attempt_id=attempt_id, failure=failure):
                serving = node.servings.pop(attempt_id, None)
                readers = serving.run.readers if serving else {}
                for reader in readers:
                    self.send_to_caller(reader, exchange_lib.Rejected(failure))
            case event_lib.Join(attempt_id=attempt_id, owner_id=owner_id):
                self.join(node, attempt_id, owner_id)
            case event_lib.StartLoad() | event_lib.StartUnload():
                node.engine.orders.append((node.epoch, action))
            case event_lib.AskPriorHomes():
                self.ask_prior_homes(node, action)
            case event_lib.AnswerSeal(answer=answer):
                self.seal_reply = answer
            case event_lib.Abort(attempt_id=attempt_id):
                self.end_run(node, attempt_id, cut=True)
            case event_lib.DropAnswers(attempt_ids=attempt_ids):
                for attempt_id in attempt_ids:
                    node.servings.pop(attempt_id, None)

    def join(
        self, node: actors.Node, attempt_id: bytes, owner_id: bytes
    ) -> None:
        """Attaches a submission to the existing run of its key."""
        if attempt_id == owner_id:
            return
        own = node.servings.pop(attempt_id, None)
        owner = node.servings.get(owner_id)
        if own is None:
            return
        if owner is None or not owner.run.whole:
            failure = result.Failure(result.ANSWER_NOT_KEPT, "not kept")
            for reader in own.run.readers:
                self.send_to_caller(reader, exchange_lib.Rejected(failure))
            return
        node.owners[attempt_id] = owner_id
        for reader in list(own.run.readers):
            owner.run.attach(reader, 0)
        self.flush(owner)

    def ask_prior_homes(
        self, node: actors.Node, action: event_lib.AskPriorHomes
    ) -> None:
        """Queries prior homes; one that is down or paused does not reply."""
        worst = ledger_lib.SealReply.SEALED
        for name in action.targets:
            prior = self.nodes[name]
            answer = ledger_lib.SealReply.UNKNOWN
            if prior.state_machine is not None and not prior.paused:
                self.feed(
                    prior, event_lib.SealRequested(action.key, node.name, 0)
                )
                answer = self.seal_reply
                self.counts[f"seal {answer.name.lower()}"] += 1
            ran = answer is ledger_lib.SealReply.RAN
            if ran or worst is ledger_lib.SealReply.SEALED:
                worst = answer
        event = event_lib.PriorHomesAnswered(action.attempt_id, worst)
        body = (action.attempt_id, event)
        self.messages.append(
            actors.MessageToTarget(node.name, node.epoch, "priors", body, -1)
        )

    def execute(self, node: actors.Node, attempt: attempt_lib.Attempt) -> None:
        """Starts an attempt at the engine or service and checks invariants."""
        now_ms, key = self.now_ms, (attempt.service, attempt.key)
        caller = self.callers[self.caller_of_attempt[attempt.attempt_id]]
        drain_started_ms = self.draining_since_ms.get(node.name)
        if drain_started_ms is not None and now_ms > drain_started_ms:
            submission_arrived_ms = self.submission_arrived_ms[
                attempt.attempt_id
            ]
            if submission_arrived_ms > drain_started_ms:
                raise ViolationError(
                    f"{node.name} admitted an attempt while draining"
                )
        if attempt.adapter and attempt.adapter not in node.engine.resident:
            if node.state_machine.residency.incarnation == str(
                node.engine.incarnation
            ):
                raise ViolationError(f"{attempt.adapter} is not resident")
            # The engine restarted without adapters, and the process has not
            # observed this yet; the engine responds with 404.
            self.counts["dispatches to a cold engine"] += 1
            body = (attempt.attempt_id, node.epoch)
            self.messages.append(
                actors.MessageToTarget(node.name, node.epoch, "cold", body, -1)
            )
            return
        if attempt.adapter and attempt.adapter != caller.adapter:
            raise ViolationError(f"ran {attempt.adapter} for {caller}")
        if (attempt.attempt_id, node.epoch) in self.runs:
            raise ViolationError("an attempt ran twice")
        self.runs.add((attempt.attempt_id, node.epoch))
        self.attempts_run.add(attempt.attempt_id)
        self.counts["executions"] += 1
        if attempt.key:
            self.executions[key] += 1
            if self.executions[key] > 1:
                raise ViolationError(f"{key} ran {self.executions[key]} times")
            for other in self.callers:
                reported_unexecuted = (
                    isinstance(other.outcome, result.Failure)
                    and other.outcome.executed is result.Executed.NO
                )
                if (
                    reported_unexecuted
                    and (other.service, other.key) == key
                    and caller.submitted_ms < other.replied_at_ms
                ):
                    raise ViolationError(
                        f"{key} ran after it was reported as not executed"
                    )
        node.engine.runs[attempt.attempt_id] = attempt.adapter
        if attempt.attempt_id not in node.servings:
            raise ViolationError("a run is not in servings")

    def produce(self, node: actors.Node, attempt_id: bytes) -> None:
        """Lets the engine produce one chunk or end the run."""
        serving = node.servings[attempt_id]
        if serving.run.total >= CHUNKS_PER_RUN:
            self.end_run(node, attempt_id, cut=False)
            return
        adapter = node.engine.runs[attempt_id]
        serving.run.status = 200
        payload = f"{adapter}:{attempt_id.hex()}:{serving.run.total}"
        serving.run.append(payload.encode())
        self.flush(serving)

    def end_run(
        self, node: actors.Node, attempt_id: bytes, *, cut: bool
    ) -> None:
        """Ends a run at the engine and notifies even a paused process."""
        node.engine.runs.pop(attempt_id, None)
        serving = node.servings.get(attempt_id)
        if node.state_machine is None or serving is None:
            return
        if serving.run.ended is None:
            failure = result.Failure(result.TARGET_FAILED, "lost")
            serving.run.end(failure if cut else None)
        self.flush(serving)
        paused, node.paused = node.paused, False
        self.feed(node, event_lib.RunEnded(attempt_id))
        node.paused = paused

    def end_cold_run(self, node: actors.Node, attempt_id: bytes) -> None:
        """Ends a run that the engine rejected for a missing adapter."""
        serving = node.servings.get(attempt_id)
        if serving is None or serving.run.ended is not None:
            return
        failure = result.Failure(result.TARGET_COLD, "404")
        serving.run.end(failure)
        self.flush(serving)
        node.servings.pop(attempt_id, None)
        self.feed(node, event_lib.RunEnded(attempt_id, ran=False))

    def flush(self, serving: actors.ServedRun) -> None:
        """Sends chunks to the readers of a run within their read windows."""
        run = serving.run
        for reader in list(run.readers):
            if run.status and reader not in serving.head_sent_to:
                serving.head_sent_to.add(reader)
                started = exchange_lib.ResponseStarted(
                    200, "text", serving.adapter
                )
                self.send_to_caller(reader, started)
            for number, payload in run.next_chunks(reader, READ_WINDOW_CHUNKS):
                self.send_to_caller(
                    reader, exchange_lib.ChunkArrived(number, payload)
                )
            if run.end_is_due(reader):
                run.mark_end_sent(reader)
                failure = run.ended.failure
                self.send_to_caller(
                    reader, exchange_lib.EndArrived(run.total, failure)
                )

    def send_to_caller(self, attempt_id: bytes, event: object) -> None:
        """Sends a message to the caller of an attempt."""
        number = self.caller_of_attempt[attempt_id]
        self.messages.append(actors.MessageToCaller(number, attempt_id, event))

    def submit(self, service: str, adapter: str, key: str, entry: int) -> None:
        """Submits a caller's request at an entry."""
        self.now_ms += 1
        held = self.versions[self.entry_versions[entry]]
        routing_fields = resolve.RoutingFields(
            request_id=str(len(self.callers)),
            model="" if service == "book" else adapter,
            service="book" if service == "book" else "",
            key=key,
            timeout_text="",
            headers={},
        )
        resolution = resolve.resolve(routing_fields, held)
        if isinstance(resolution, result.Failure):
            return
        caller = actors.Caller(
            len(self.callers),
            resolution.service.name,
            resolution.adapter,
            resolution.key,
            self.now_ms,
        )
        caller.exchange = exchange_lib.Exchange(
            resolution,
            list(resolution.candidates),
            self.budget,
            deadline_at_ms=self.now_ms + resolution.timeout_ms,
        )
        self.callers.append(caller)
        self.counts["submissions"] += 1
        self.perform_exchange_actions(caller, caller.exchange.start())

    def perform_exchange_actions(
        self, caller: actors.Caller, actions: exchange_lib.Actions
    ) -> None:
        """Performs actions that an exchange returned."""
        exchange = caller.exchange
        for action in actions:
            match action:
                case exchange_lib.Send(target=name):
                    self.send(caller, name)
                case exchange_lib.Resume(target=name, next_number=number):
                    self.counts["resumes"] += 1
                    self.resume(caller, name, number)
                case exchange_lib.Rehome():
                    newest = self.versions[-1]
                    service = newest.document.services[caller.service]
                    homes = resolve.candidates_for(
                        service, adapter=caller.adapter, key=caller.key
                    )
                    exchange.resolution = dataclasses.replace(
                        exchange.resolution, version=newest.version
                    )
                    self.perform_exchange_actions(
                        caller, exchange.rehomed(list(homes), self.now_ms)
                    )
                case exchange_lib.ForwardHead(adapter=adapter):
                    caller.response_adapter = adapter
                case exchange_lib.ForwardChunk(payload=payload):
                    caller.chunks.append(payload)
                case exchange_lib.Finish():
                    self.finish(caller, "ok")
                case exchange_lib.ReplyFailure(failure=failure):
                    self.finish(caller, failure)
                case exchange_lib.CancelAttempt():
                    self.close(caller)

    def send(self, caller: actors.Caller, name: str) -> None:
        """Sends a new attempt to a target."""
        node = self.nodes[name]
        if node.state_machine is None:
            self.perform_exchange_actions(
                caller,
                caller.exchange.handle(
                    exchange_lib.ConnectFailed(), self.now_ms
                ),
            )
            return
        caller.attempt_id = self.random.randbytes(16)
        caller.attempts.append(caller.attempt_id)
        self.caller_of_attempt[caller.attempt_id] = caller.number
        resolution = caller.exchange.resolution
        attempt = attempt_lib.Attempt(
            attempt_id=caller.attempt_id,
            request_id=str(caller.number),
            version=resolution.version,
            service=caller.service,
            customer=resolution.customer.name,
            adapter=caller.adapter,
            key=caller.key,
            digest=b"d",
            accepted_at_ms=caller.submitted_ms,
            deadline_at_ms=caller.submitted_ms + deployment.TIMEOUT_MS,
            method="POST",
            path="/",
            content_type="",
            body=b"",
            streams=True,
        )
        self.messages.append(
            actors.MessageToTarget(
                name, node.epoch, "submit", attempt, caller.number
            )
        )

    def resume(self, caller: actors.Caller, name: str, number: int) -> None:
        """Resumes reading a run over a new connection."""
        node = self.nodes[name]
        if node.state_machine is None:
            actions = exchange_lib.resume_failed(caller.exchange, self.now_ms)
            self.perform_exchange_actions(caller, actions)
            return
        body = (caller.attempt_id, number)
        self.messages.append(
            actors.MessageToTarget(
                name, node.epoch, "attach", body, caller.number
            )
        )

    def close(self, caller: actors.Caller) -> None:
        """Closes the stream of an attempt."""
        name = caller.exchange.target
        if not name or not caller.attempt_id:
            return
        epoch = self.nodes[name].epoch
        body = caller.attempt_id
        self.messages.append(
            actors.MessageToTarget(name, epoch, "close", body, caller.number)
        )

    def finish(
        self, caller: actors.Caller, outcome: result.Failure | str
    ) -> None:
        """Records the only outcome of a request and checks it."""
        if caller.outcome is not None:
            raise ViolationError(f"two outcomes for {caller}")
        caller.outcome = outcome
        caller.replied_at_ms = self.now_ms
        name = outcome if isinstance(outcome, str) else outcome.code.name
        self.counts[f"outcome {name}"] += 1
        if outcome == "ok":
            self.check_success(caller)
        elif outcome.executed is result.Executed.NO:
            if any(one in self.attempts_run for one in caller.attempts):
                raise ViolationError(
                    f"reported as not executed, but it ran: {caller}"
                )
            key = (caller.service, caller.key)
            if caller.key and self.executions[key]:
                raise ViolationError(
                    f"reported as not executed, but its key ran: {caller}"
                )
        self.close(caller)

    def check_success(self, caller: actors.Caller) -> None:
        """Checks that a response has all chunks, in order, of its own run."""
        parts = [chunk.decode().split(":") for chunk in caller.chunks]
        numbers = [int(part[2]) for part in parts]
        runs = {part[1] for part in parts}
        adapters = {part[0] for part in parts}
        if numbers != list(range(CHUNKS_PER_RUN)):
            raise ViolationError(
                f"incomplete or reordered chunks: {caller.chunks}"
            )
        if len(runs) != 1 or adapters != {caller.response_adapter}:
            raise ViolationError(
                f"chunks of several runs or adapters: {caller.chunks}"
            )
        owner = self.callers[self.caller_of_attempt[bytes.fromhex(runs.pop())]]
        if caller.response_adapter != owner.adapter:
            raise ViolationError("ran on another adapter than was requested")
        caller_scope = (
            (caller.service, caller.key) if caller.key else caller.number
        )
        owner_scope = (owner.service, owner.key) if owner.key else owner.number
        if caller_scope != owner_scope:
            raise ViolationError("response of another caller's request")

    def deliver(self, index: int, *, repeat: bool = False) -> None:
        """Delivers one message in flight, or a copy of it."""
        if not self.messages:
            return
        index %= len(self.messages)
        message = self.messages[index]
        if isinstance(message, actors.MessageToTarget):
            node = self.nodes[message.node]
            if node.paused and node.state_machine is not None:
                return
        if not repeat:
            del self.messages[index]
        if isinstance(message, actors.MessageToCaller):
            self.deliver_to_caller(message)
        else:
            self.deliver_to_target(message)

    def deliver_to_caller(self, message: actors.MessageToCaller) -> None:
        """Passes a message to its exchange unless its stream was closed."""
        caller = self.callers[message.caller]
        if caller.attempt_id != message.attempt_id or caller.exchange.done:
            return
        self.perform_exchange_actions(
            caller, caller.exchange.handle(message.event, self.now_ms)
        )
        if isinstance(message.event, exchange_lib.ChunkArrived):
            node = self.nodes[caller.exchange.target]
            owner_id = node.owners.get(message.attempt_id, b"")
            serving = node.servings.get(owner_id)
            if serving is not None and node.state_machine is not None:
                acked = caller.exchange.sequence.expected
                serving.run.ack(message.attempt_id, acked)
                self.flush(serving)

    def deliver_to_target(self, message: actors.MessageToTarget) -> None:
        """Passes a message to a target process."""
        node = self.nodes[message.node]
        if node.state_machine is None:
            return
        if message.kind == "submit":
            self.deliver_submit(node, message.body)
            return
        if message.epoch != node.epoch:
            return
        match message.kind:
            case "attach":
                self.deliver_attach(node, *message.body)
            case "close":
                self.deliver_close(node, message.body)
            case "priors":
                self.feed(node, message.body[1])
            case "cold":
                self.end_cold_run(node, message.body[0])

    def deliver_submit(
        self, node: actors.Node, attempt: attempt_lib.Attempt
    ) -> None:
        """Handles a submission, which may be a late duplicate."""
        self.submission_arrived_ms[attempt.attempt_id] = self.now_ms
        if self.random.random() < VERSION_FETCH_PROBABILITY:
            held = self.versions[attempt.version - 1]
            self.feed(node, event_lib.VersionActivated(held))
        if attempt.attempt_id not in node.servings:
            keep_bytes = 10_000 if attempt.key else 0
            run = run_lib.Run(keep_bytes=keep_bytes)
            serving = actors.ServedRun(run, attempt.adapter)
            serving.run.attach(attempt.attempt_id, 0)
            node.servings.setdefault(attempt.attempt_id, serving)
            node.owners.setdefault(attempt.attempt_id, attempt.attempt_id)
        self.feed(node, event_lib.Submitted(attempt))

    def deliver_attach(
        self, node: actors.Node, attempt_id: bytes, number: int
    ) -> None:
        """Handles a request to resume reading a run."""
        serving = node.servings.get(node.owners.get(attempt_id, b""))
        if serving is None or not serving.run.attach(attempt_id, number):
            caller = self.callers[self.caller_of_attempt[attempt_id]]
            actions = exchange_lib.resume_failed(caller.exchange, self.now_ms)
            self.perform_exchange_actions(caller, actions)
            return
        serving.head_sent_to.discard(attempt_id)
        self.flush(serving)

    def deliver_close(self, node: actors.Node, attempt_id: bytes) -> None:
        """Handles the disconnect of a reader; the last one cancels the run."""
        owner_id = node.owners.get(attempt_id, b"")
        serving = node.servings.get(owner_id)
        if serving is None:
            return
        serving.run.detach(attempt_id)
        if serving.run.readers:
            return
        if serving.run.ended is None:
            self.feed(node, event_lib.Cancelled(owner_id))
        elif not serving.run.keep_bytes:
            node.servings.pop(owner_id, None)

    def execute_order(self, node: actors.Node, index: int, fate: int) -> None:
        """Executes one order in flight at an engine.

        Args:
            node: The VM.
            index: Which order.
            fate: 0: succeeds. 1: fails. 2: succeeds but its response is lost,
                which the driver detects by reading the list of adapters.
        """
        engine = node.engine
        if not engine.orders:
            return
        epoch, order = engine.orders.pop(index % len(engine.orders))
        if order.order < engine.fencing_token:
            self.counts["orders fenced off"] += 1
            return
        engine.fencing_token = order.order
        # An engine rejects a load when it has no free adapter slot.
        failed = fate == 1 or (
            isinstance(order, event_lib.StartLoad)
            and len(engine.resident - {order.adapter}) >= ADAPTER_SLOTS
        )
        engine_incarnation = str(engine.incarnation)
        if isinstance(order, event_lib.StartLoad):
            if not failed:
                engine.resident.add(order.adapter)
            event = (
                event_lib.LoadFailed(
                    order.adapter, engine_incarnation, order.order, "x"
                )
                if failed
                else event_lib.Loaded(
                    order.adapter, engine_incarnation, order.order
                )
            )
        else:
            if not failed:
                if order.adapter in engine.runs.values():
                    raise ViolationError(f"{order.adapter} unloaded in use")
                engine.resident.discard(order.adapter)
            event = (
                event_lib.UnloadFailed(
                    order.adapter, engine_incarnation, order.order
                )
                if failed
                else event_lib.Unloaded(
                    order.adapter, engine_incarnation, order.order
                )
            )
        if len(engine.resident) > ADAPTER_SLOTS:
            raise ViolationError("more adapters than adapter slots")
        if epoch == node.epoch and not node.paused:
            self.feed(node, event)
        elif epoch == node.epoch:
            self.messages.append(
                actors.MessageToTarget(
                    node.name, epoch, "priors", (b"", event), -1
                )
            )

    def advance(self, by_ms: int) -> None:
        """Advances time, ticks state machines and expires deadlines."""
        self.now_ms += by_ms
        for node in self.nodes.values():
            self.feed(node, event_lib.Ticked())
        for caller in self.callers:
            exchange = caller.exchange
            if not exchange.done and self.now_ms > exchange.deadline_at_ms:
                self.perform_exchange_actions(
                    caller,
                    exchange.handle(
                        exchange_lib.DeadlineExpired(), self.now_ms
                    ),
                )

    def change_configuration(self, operation: operation_lib.Operation) -> None:
        """Applies a configuration change if it is valid."""
        held = self.versions[-1]
        document = operation_lib.apply(
            held.document,
            (operation,),
            version=held.version + 1,
            at_ms=self.now_ms,
        )
        if isinstance(document, tuple):
            return
        self.counts["changes"] += 1
        number = held.version + 1
        self.versions.append(
            holder_lib.HeldVersion(number, f"w{number}", document)
        )

    def start_draining(self, node: actors.Node) -> None:
        """Requests a process to drain."""
        if node.state_machine is None or node.paused:
            return
        self.feed(node, event_lib.DrainRequested())
        self.draining_since_ms[node.name] = self.now_ms

    def check(self) -> None:
        """Checks the invariants that hold after every step."""
        for node in self.nodes.values():
            if (
                node.state_machine is None
                or node.name not in deployment.ENGINES
            ):
                continue
            residency = node.state_machine.residency
            if residency.incarnation != str(node.engine.incarnation):
                continue
            grants = collections.Counter(
                one.grant.adapter
                for one in node.state_machine.running.values()
                if one.grant.incarnation == residency.incarnation
            )
            for adapter, slot in residency.slots.items():
                if slot.grants != grants[adapter]:
                    raise ViolationError(f"grant count of {adapter} is wrong")
                if (
                    slot.adapter_state is residency_lib.AdapterState.CLOSING
                    and slot.grants
                ):
                    raise ViolationError(
                        f"{adapter} is closing while it has grants"
                    )
