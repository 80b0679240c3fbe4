"""Builders of test data, and a fake control leader."""

import json
import threading
import time
from collections.abc import Callable
from typing import Any

import msgspec
import urllib3
from foxspring_link import Codec, Link, SystemClock
from foxspring_model import (
    MESSAGES,
    Configuration,
    ConfigurationPush,
    EntryHeartbeat,
    EntryInfo,
    EntryLeaseGrant,
    OwnedTarget,
    OwnershipUpdate,
    Proposal,
    ProposalResult,
    RelayRequest,
    ReportBody,
    Resources,
    Service,
    TargetInfo,
    TargetSeen,
    TaskEvents,
    TaskEventsAck,
    TaskStatusBody,
)

from foxspring_entry import ENTRY_MESSAGES, Entry, EntrySettings

DEADLINE_S = 20.0
CALLER = "caller-secret"
OPERATOR = "operator-secret"
TARGET = "target-secret"
CAPACITY = Resources(8, 64, 64_000, 250_000, 0)
_HTTP = urllib3.PoolManager(retries=False, maxsize=32)


def codec() -> Codec:
    """Return the codec shared by all processes of a test."""
    return Codec(b"test-secret", (*MESSAGES, *ENTRY_MESSAGES))


def configuration(_text: str = "") -> Configuration:
    """Return a configuration with one service."""
    service = Service("register", "pipes", timeout_ms=5_000)
    return Configuration(services=(service,), revision=1)


def settings(entry_id: str, control_address: str, **changes: Any) -> EntrySettings:
    """Return settings for an entry on the loopback interface."""
    return EntrySettings(
        entry_id=entry_id,
        failure_domain="fd-1",
        link_address="127.0.0.1:0",
        http_address="127.0.0.1:0",
        control_addresses=(control_address,),
        caller_tokens=(("alice", CALLER),),
        operator_tokens=(("olga", OPERATOR),),
        target_tokens=(("targets", TARGET),),
        worker_threads=48,
        drain_grace_ms=100,
    )._replace(**changes)


def target_info(target_id: str = "t-1", **changes: Any) -> TargetInfo:
    """Return the ``TargetInfo`` of a target."""
    info = TargetInfo(target_id, 1, "127.0.0.1:1", "fd-1", "rack-1", CAPACITY)
    return info._replace(**changes)


def announcement(**changes: Any) -> bytes:
    """Return the body of a target's announcement."""
    info = target_info()
    body = {**info._asdict(), "capacity": info.capacity._asdict(), **changes}
    return json.dumps(body).encode()


def owned(target_id: str = "t-1", owner: str = "e-1", **changes: Any) -> OwnedTarget:
    """Return a target owned by ``owner`` that runs the service."""
    return OwnedTarget(target_info(target_id), owner, 1, ("register",))._replace(
        **changes
    )


def entry_info(entry_id: str = "e-1", **changes: Any) -> EntryInfo:
    """Return an entry whose addresses are derived from its id."""
    info = EntryInfo(entry_id, 1, f"{entry_id}:link", f"{entry_id}:http", "fd-1")
    return info._replace(**changes)


def relay(request_id: str = "r-1", **changes: Any) -> RelayRequest:
    """Return a caller's request as relayed to an owner."""
    request = RelayRequest(
        request_id, "e-1", "register", "GET", "/x", (), b"", True, "alice", 1_000, 1
    )
    return request._replace(**changes)


def report(target_id: str = "t-1", sequence: int = 1, **changes: Any) -> ReportBody:
    """Return a report of an idle target."""
    body = ReportBody(
        target_id=target_id,
        incarnation=1,
        sequence=sequence,
        measured_ms=sequence * 1_000,
        target_ms=sequence * 1_000,
        cores_milli=0,
        memory_mb=0,
        latencies=[],
        tasks=[],
        requests=[],
    )
    body.update(changes)  # type: ignore[typeddict-item]
    return body


def task_status(task_id: str, epoch: int = 1, **changes: Any) -> TaskStatusBody:
    """Return the status of a running task as reported by its target."""
    status = TaskStatusBody(
        task_id=task_id,
        epoch=epoch,
        state="running",
        checkpoint="",
        result="",
        detail="",
        cores_milli=100,
        memory_mb=100,
    )
    status.update(changes)  # type: ignore[typeddict-item]
    return status


def wait_until(condition: Callable[[], bool], what: str) -> None:
    """Wait until a condition holds; fail after ``DEADLINE_S`` seconds."""
    until_s = time.monotonic() + DEADLINE_S
    while not condition():
        if time.monotonic() > until_s:
            raise AssertionError(f"timed out waiting for: {what}")
        time.sleep(0.01)


def call(
    entry: Entry, method: str, path: str, token: str = CALLER, **named: Any
) -> urllib3.BaseHTTPResponse:
    """Send one HTTP request to an entry."""
    headers = {"Authorization": f"Bearer {token}", **named.pop("headers", {})}
    return _HTTP.request(
        method,
        f"http://{entry.http_address}{path}",
        headers=headers,
        timeout=DEADLINE_S,
        **named,
    )


class FakeControl:
    """Fake control leader: grants leases, sends the table and stores keys.

    Assigns every announced target to ``owner_of(target_id)``.
    """

    def __init__(self, lease_ms: int = 2_000) -> None:
        self.lease_ms = lease_ms
        self.grant_leases = True
        self.answer_proposals = True
        self.owner_of: Callable[[str], str] = lambda target_id: "e-1"
        self.entries: dict[str, EntryInfo] = {}
        self.targets: dict[str, OwnedTarget] = {}
        self.events: list[Any] = []
        self.keys: dict[str, dict[str, Any]] = {}
        self.version = 1
        self._lock = threading.RLock()
        self.link = Link("127.0.0.1:0", codec(), self._on_message, SystemClock())
        self.link.start()

    def close(self) -> None:
        """Stop listening."""
        self.link.close()

    def assign_owner(self, target_id: str, owner: str) -> None:
        """Assign a target to another entry."""
        with self._lock:
            current = self.targets[target_id]
            if current.owner != owner:
                self._store(
                    current._replace(owner=owner, owner_epoch=current.owner_epoch + 1)
                )

    def remove_entry(self, entry_id: str, new_owner: str) -> None:
        """Remove an entry whose lease has ended; ``new_owner`` gets its targets."""
        with self._lock:
            del self.entries[entry_id]
            for target_id, current in list(self.targets.items()):
                if current.owner == entry_id:
                    self.assign_owner(target_id, new_owner)

    def mark_leaving(self, target_id: str) -> None:
        """Mark a target as leaving."""
        with self._lock:
            current = self.targets[target_id]
            self._store(current._replace(info=current.info._replace(leaving=True)))

    def send(self, entry_id: str, message: Any) -> None:
        """Send a message to an entry."""
        self.link.send(self.entries[entry_id].link_address, message)

    def _store(self, target: OwnedTarget) -> None:
        self.targets[target.info.target_id] = target
        self.version += 1
        for entry in self.entries.values():
            self.link.send(entry.link_address, self._table())

    def _table(self) -> OwnershipUpdate:
        return OwnershipUpdate(
            True,
            0,
            self.version,
            tuple(self.entries.values()),
            tuple(self.targets.values()),
            (),
        )

    def _on_message(self, sender: str, message: Any) -> None:
        with self._lock:
            if isinstance(message, EntryHeartbeat):
                self._heartbeat(sender, message)
            elif isinstance(message, TargetSeen):
                self._on_target_seen(message.info)
            elif isinstance(message, TaskEvents):
                self.events.extend(message.events)
                self.link.send(sender, TaskEventsAck(message.batch_id))
            elif isinstance(message, Proposal) and self.answer_proposals:
                result = self._apply(message)
                answer = ProposalResult(
                    message.proposal_id, "applied", "c-1", json.dumps(result).encode()
                )
                self.link.send(message.reply_to, answer)

    def _heartbeat(self, sender: str, heartbeat: EntryHeartbeat) -> None:
        if not self.grant_leases:
            return
        if self.entries.get(heartbeat.entry.entry_id) != heartbeat.entry:
            self.entries[heartbeat.entry.entry_id] = heartbeat.entry
            self.version += 1
            if heartbeat.entry.draining:
                self._hand_over(heartbeat.entry.entry_id)
        grant = EntryLeaseGrant(
            "c-1", 1, heartbeat.heartbeat_sent_ms, self.lease_ms, 1, self.version
        )
        self.link.send(sender, grant)
        if heartbeat.confirmed_revision < 1:
            self.link.send(sender, ConfigurationPush(1, "text"))
        if heartbeat.ownership_version < self.version:
            self.link.send(sender, self._table())

    def _hand_over(self, entry_id: str) -> None:
        others = [e for e in self.entries.values() if not e.draining]
        for target in list(self.targets.values()):
            if target.owner == entry_id:
                self.assign_owner(
                    target.info.target_id, others[0].entry_id if others else ""
                )

    def _on_target_seen(self, info: TargetInfo) -> None:
        current = self.targets.get(info.target_id)
        if current is None:
            owner = self.owner_of(info.target_id)
            self._store(OwnedTarget(info, owner, 1, ("register",)))
        elif current.info != info:
            self._store(current._replace(info=info))

    def _apply(self, proposal: Proposal) -> dict[str, Any]:
        command = msgspec.msgpack.decode(proposal.body)
        if proposal.kind == "ClaimKey":
            key, fingerprint, entry_id, _, claim_id = command
            current = self.keys.get(key)
            if current is None:
                self.keys[key] = {
                    "print": fingerprint,
                    "owner": entry_id,
                    "claim": claim_id,
                }
                return {"status": "ok", "key_state": "claimed"}
            if current["print"] != fingerprint:
                return {"status": "ok", "key_state": "mismatch"}
            if "done" in current:
                return {"status": "ok", "key_state": "done", **current["done"]}
            if current["claim"] == claim_id:
                return {"status": "ok", "key_state": "claimed"}
            return {"status": "ok", "key_state": "pending"}
        key, _, _, verdict, status, headers, body, claim_id = command
        current = self.keys.get(key)
        if (
            current is not None
            and current["claim"] == claim_id
            and "done" not in current
        ):
            if verdict == "not_run":
                del self.keys[key]
            else:
                current["done"] = {
                    "key_verdict": verdict,
                    "key_status": status,
                    "key_headers": headers,
                    "key_body": msgspec.to_builtins(body),
                }
        return {"status": "ok"}
