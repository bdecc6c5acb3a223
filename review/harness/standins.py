"""Stand-ins for the platform around real `crosspathd` processes, on loopback addresses.

They follow PROTOCOL.md: the log store with its group, workers that run tasks under leases, and
clients. Only the Python standard library is used. Every call, answer, start and end that matters
is written to the record.
"""

import asyncio
import base64
import json
import os
import shutil
import signal
import socket
import struct
import subprocess
import sys
import tempfile
import time
import urllib.parse

HEARTBEAT_S = 1.5
"""Interval at which workers write their entries (`heartbeat_ms`)."""
HOLD_MAX_MS = 10_000
STOP_S = 0.2
"""Time that a stop takes; at most `stop_ms` = 900."""
SHARDS = 8
CAPACITY = {"cpu": 8000, "mem_mb": 32768, "gpu": 0}
"""Room of a worker."""
SHARDS_TOPIC = "keyed.crosspath.shards"
REASONS = {200: "OK", 400: "Bad Request", 404: "Not Found", 409: "Conflict", 410: "Gone",
           412: "Precondition Failed", 421: "Misdirected Request", 503: "Service Unavailable"}


class Record:
    """Log of what was sent, answered and run, with seconds since the start."""

    def __init__(self, path):
        self.file = open(path, "w", encoding="utf-8")
        self.started = time.monotonic()

    def now(self):
        return time.monotonic() - self.started

    def line(self, text):
        self.file.write(f"{self.now():8.3f}  {text}\n")
        self.file.flush()


class Connection:
    """What a handler may ask about the connection of a call."""

    def __init__(self, reader, writer):
        self.reader, self.writer = reader, writer

    def is_open(self):
        return not (self.reader.at_eof() or self.writer.is_closing())


class Server:
    """HTTP/1.1 server on a free loopback port."""

    def __init__(self, handler):
        self.handler, self.writers, self.server, self.port = handler, set(), None, 0

    async def start(self, port=0):
        self.server = await asyncio.start_server(self._serve, "127.0.0.1", port)
        self.port = self.server.sockets[0].getsockname()[1]

    async def stop(self):
        """Stops listening and resets all connections, as a crash does."""
        self.server.close()
        for writer in list(self.writers):
            writer.transport.abort()
        self.writers.clear()

    async def _serve(self, reader, writer):
        self.writers.add(writer)
        connection = Connection(reader, writer)
        try:
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                lines = head.decode().split("\r\n")
                method, target, _ = lines[0].split(" ", 2)
                headers = {}
                for line in lines[1:]:
                    name, _, value = line.partition(":")
                    if name:
                        headers[name.strip().lower()] = value.strip()
                body = await reader.readexactly(int(headers.get("content-length", "0")))
                path, _, query = target.partition("?")
                parameters = dict(urllib.parse.parse_qsl(query, keep_blank_values=True))
                answer = await self.handler(connection, method, path, parameters, headers, body)
                if answer is None:
                    return
                status, content = answer
                if not isinstance(content, bytes):
                    content = json.dumps(content).encode()
                writer.write(f"HTTP/1.1 {status} {REASONS.get(status, 'Status')}\r\n"
                             f"content-type: application/json\r\n"
                             f"content-length: {len(content)}\r\n\r\n".encode() + content)
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.CancelledError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()


async def until_closed_or(connection, condition):
    """Waits until `condition` holds; returns False if the caller has closed the connection."""
    while not condition():
        if not connection.is_open():
            return False
        await asyncio.sleep(0.01)
    return connection.is_open()


class Partition:
    def __init__(self):
        self.records, self.newest, self.epoch, self.recent = [], {}, 0, []

    def append(self, records, query):
        end = len(self.records)
        if "at" in query and int(query["at"]) != end:
            return 412, {"end": end}
        owner = None
        if "epoch" in query:
            epoch, sequence = int(query["epoch"]), int(query["call_seq"])
            if epoch < self.epoch:
                return 409, {"reason": "fenced", "epoch": self.epoch}
            if epoch == self.epoch and self.recent:
                for known, answer in self.recent:
                    if known == sequence:
                        return 200, answer
                if sequence != self.recent[-1][0] + 1:
                    return 409, {"reason": "seq", "call_seq": self.recent[-1][0] + 1}
            if epoch > self.epoch:
                self.epoch, self.recent = epoch, []
            owner = sequence
        for record in records:
            length = record[0]
            key, value = record[1:1 + length].decode(), record[1 + length:]
            if value:
                self.newest[key] = (value, len(self.records))
            else:
                self.newest.pop(key, None)
            self.records.append(record)
        answer = {"offset": end, "end": len(self.records)}
        if owner is not None:
            self.recent = (self.recent + [(owner, answer)])[-5:]
        return 200, answer


class Group:
    """Deals partitions to members; a partition moves once its holder knows of the change."""

    def __init__(self):
        self.members, self.generation, self.holders = {}, 0, [None] * SHARDS

    def expire(self):
        now = time.monotonic()
        for name in [name for name, (at, ttl) in self.members.items() if now > at + ttl]:
            self.leave(name)

    def leave(self, name):
        if self.members.pop(name, None) is not None:
            self.generation += 1
        self.holders = [None if holder == name else holder for holder in self.holders]

    def join(self, name, ttl, known):
        self.expire()
        if name not in self.members:
            self.generation += 1
        self.members[name] = (time.monotonic(), ttl)
        names = sorted(self.members)
        target = [names[number % len(names)] for number in range(SHARDS)]
        for number in range(SHARDS):
            if self.holders[number] == name != target[number] and known >= self.generation:
                self.holders[number] = None
            if self.holders[number] is None:
                self.holders[number] = target[number]
        own = [number for number in range(SHARDS)
               if self.holders[number] == name == target[number]]
        return {"generation": self.generation, "ttl_ms": int(ttl * 1000),
                "parts": [[SHARDS_TOPIC, number, 0] for number in own]}


class Store:
    """The platform's metadata store."""

    def __init__(self, record):
        self.record, self.partitions, self.group = record, {}, Group()
        self.appended = asyncio.Event()
        self.heard, self.server = {}, None

    async def start(self):
        self.server = Server(self._handle)
        await self.server.start()
        self.address = f"127.0.0.1:{self.server.port}"

    def partition(self, topic, number=0):
        return self.partitions.setdefault((topic, int(number)), Partition())

    def write(self, topic, key, value):
        """Writes as the operator and the workers do."""
        name = key.encode()
        self.partition(topic).append([bytes([len(name)]) + name + value], {})
        self._notify()

    def configure(self, version, routes, services):
        """Writes `op/config`. `routes` maps a queue to its service."""
        config = {
            "version": version,
            "routes": [{"name": name, "host": f"{name}.example", "path_prefix": f"/{name}/",
                        "route_type": "non_idempotent", "timeout_ms": 3000, "service": service,
                        "priority": 0, "max_attempts": 3, "stretch": 2.0,
                        "target_latency_ms": 1000} for name, service in routes.items()],
            "services": [{"name": name, "admission_check": True} for name in services],
            "limits": {"max_body_bytes": 262144}}
        self.write("keyed.op", "config", json.dumps(config).encode())
        self.record.line(f"operator: op/config version {version} acknowledged, routes {routes}")

    def write_server(self, worker, entry):
        self.heard[worker] = time.monotonic()
        self.write("keyed.servers", worker, json.dumps(entry).encode())

    async def expire_servers(self):
        """Removes entries after three heartbeats of silence."""
        while True:
            await asyncio.sleep(0.02)
            for worker, at in list(self.heard.items()):
                if time.monotonic() > at + 3 * HEARTBEAT_S:
                    del self.heard[worker]
                    self.write("keyed.servers", worker, b"")
                    self.record.line(f"store: the entry of {worker} goes after "
                                     f"{time.monotonic() - at:.2f} s of silence")

    def _notify(self):
        self.appended.set()
        self.appended = asyncio.Event()

    async def _handle(self, connection, method, path, query, headers, body):
        await asyncio.sleep(0.004)
        if path == "/crosspath/log-append":
            records, rest = [], body
            while len(rest) >= 4:
                length = struct.unpack(">I", rest[:4])[0]
                records.append(rest[4:4 + length])
                rest = rest[4 + length:]
            answer = self.partition(query["topic"], query["part"]).append(records, query)
            if answer[0] == 200:
                self._notify()
            return answer
        if path == "/crosspath/log-read":
            partition = self.partition(query["topic"], query["part"])
            start = int(query["from"])
            deadline = time.monotonic() + int(query.get("wait_ms", "0")) / 1000
            while len(partition.records) <= start and time.monotonic() < deadline:
                appended = self.appended
                try:
                    await asyncio.wait_for(appended.wait(), deadline - time.monotonic())
                except asyncio.TimeoutError:
                    break
            content = struct.pack(">QQ", len(partition.records), 0)
            for record in partition.records[start:start + 2000]:
                content += struct.pack(">I", len(record)) + record
            return 200, content
        if path == "/crosspath/log-newest":
            partition, after = self.partition(query["topic"], query["part"]), query.get("after", "")
            keys = sorted(key for key in partition.newest if key > after)
            items = [{"private_key": key, "offset": partition.newest[key][1],
                      "value": base64.b64encode(partition.newest[key][0]).decode()}
                     for key in keys[:500]]
            return 200, {"items": items, "more": len(keys) > 500, "end": len(partition.records)}
        call = json.loads(body or b"{}")
        if path == "/crosspath/log-join":
            return 200, self.group.join(call["member"], call["ttl_ms"] / 1000, call["generation"])
        if path == "/crosspath/log-leave":
            self.group.leave(call["member"])
            return 200, {}
        if path == "/crosspath/log-owners":
            self.group.expire()
            rows = [[SHARDS_TOPIC, number, holder, 0]
                    for number, holder in enumerate(self.group.holders) if holder]
            return 200, {"owners": rows}
        return 404, {}


class Run:
    def __init__(self, worker, task, number, work):
        self.worker, self.task, self.number, self.work = worker, task, number, work
        self.job = task.partition(".")[0]
        self.started, self.ended, self.how = time.monotonic(), None, None

    def percent(self):
        """Progress; a lasting task is at work when it is 100."""
        total = max(1, self.work["start_ms"] if self.work.get("lasts") else self.work["ms"])
        return min(100, int((time.monotonic() - self.started) * 100_000 / total))


class Judge:
    """All runs on all workers, as the workers see them."""

    def __init__(self, record):
        self.record, self.runs, self.broken = record, [], []
        self.by_task = {}
        # Jobs whose starts and ends are not written one by one.
        self.unlisted = set()

    def violation(self, text):
        self.record.line(f"RULE BROKEN: {text}")
        self.broken.append(text)

    def start(self, run):
        if run.job not in self.unlisted:
            self.record.line(f"{run.worker.id}: starts {run.task} run {run.number}")
        for other in self.by_task.get(run.task, []):
            if other.ended is None and other.worker.is_up:
                self.violation(f"TWICE: {run.task} run {run.number} starts on {run.worker.id} while "
                               f"run {other.number} is still running on {other.worker.id}, "
                               f"which is up")
        self.runs.append(run)
        self.by_task.setdefault(run.task, []).append(run)

    def end(self, run, how):
        run.ended, run.how = time.monotonic(), how
        if run.job not in self.unlisted:
            self.record.line(f"{run.worker.id}: {run.task} run {run.number} ends `{how}` after "
                             f"{run.ended - run.started:.2f} s")

    def running(self, task):
        return [run for run in self.by_task.get(task, []) if run.ended is None]


class Worker:
    """One machine's worker. The text of a job says what its tasks do: `ms` of work, or `lasts`."""

    def __init__(self, store, judge, name, service, rack):
        self.store, self.judge, self.record = store, judge, judge.record
        self.name, self.service, self.rack = name, service, rack
        self.life, self.is_up, self.is_cut = 0, False, False
        self.state, self.leaves_at = "ready", None
        self.server, self.tasks = None, []

    async def start(self):
        self.life += 1
        self.id = f"i-{self.name}-{self.life}"
        self.born, self.started = int(time.time() * 1000), time.monotonic()
        self.token, self.deadline_ms, self.runs, self.voided = 0, 0, {}, {}
        self.ends, self.end_count, self.changed, self.call_seq = [], 0, asyncio.Event(), 0
        self.state, self.leaves_at, self.is_up = "ready", None, True
        self.beat_now, self.last_beat = asyncio.Event(), 0.0
        port = self.server.port if self.server else 0
        self.server = Server(self._handle)
        await self.server.start(port)
        self.tasks = [asyncio.create_task(self._beat()), asyncio.create_task(self._tick())]
        self.record.line(f"{self.id}: up at 127.0.0.1:{self.server.port} ({self.service})")

    async def crash(self):
        """Ends at once and says nothing; what runs here is gone."""
        self.record.line(f"{self.id}: crashes")
        self.is_up = False
        for task in self.tasks:
            task.cancel()
        await self.server.stop()
        for run in list(self.runs.values()):
            self.judge.end(run, "gone with its worker")

    def clock_ms(self):
        return 50_000 + int((time.monotonic() - self.started) * 1000)

    def drain(self, seconds):
        """Says `draining`, and serves on for at least `seconds`."""
        self.state, self.leaves_at = "draining", time.monotonic() + seconds
        self.record.line(f"{self.id}: says `draining`, remaining_ms {int(seconds * 1000)}")
        self.beat_now.set()

    def machine(self):
        """Row of the platform's list of machines."""
        return {"machine": f"m-{self.name}", "pool": self.service, "zone": "zone-a",
                "state": "up" if self.is_up else "down", "id": self.id if self.is_up else "",
                "labels": ["a", self.rack], "capacity": CAPACITY}

    def write_entry(self):
        if self.is_cut or not self.is_up:
            return
        self.call_seq += 1
        entry = {"service": self.service, "address": f"127.0.0.1:{self.server.port}",
                 "zone": "zone-a", "version": "v1", "slots": 8, "state": self.state,
                 "cold_remaining_ms": 0, "machine": f"m-{self.name}", "labels": ["a", self.rack],
                 "capacity": CAPACITY,
                 "clock_ms": self.clock_ms(), "call_seq": self.call_seq, "born": self.born}
        if self.leaves_at:
            entry["remaining_ms"] = max(0, int((self.leaves_at - time.monotonic()) * 1000))
        self.last_beat = time.monotonic()
        self.store.write_server(self.id, entry)

    async def _beat(self):
        while True:
            self.write_entry()
            try:
                await asyncio.wait_for(self.beat_now.wait(), HEARTBEAT_S)
            except asyncio.TimeoutError:
                continue
            self.beat_now.clear()

    async def _tick(self):
        while True:
            await asyncio.sleep(0.01)
            now = time.monotonic()
            for run in list(self.runs.values()):
                if self.clock_ms() > self.deadline_ms:
                    self._end(run, "lapsed")
                elif not run.work.get("lasts") and now >= run.started + run.work["ms"] / 1000:
                    self._end(run, "done")

    def _end(self, run, how):
        self.runs.pop(run.task, None)
        self.voided[run.task] = max(self.voided.get(run.task, 0), run.number)
        self.end_count += 1
        self.ends.append([self.end_count, run.task, run.number, how, ""])
        self.judge.end(run, how)
        self.changed.set()
        self.changed = asyncio.Event()

    async def _handle(self, connection, method, path, query, headers, body):
        # A cut holds the bytes back; they are lost if the caller has closed the connection.
        if not await until_closed_or(connection, lambda: not self.is_cut):
            return None
        answer = await self._dispatch(path, headers, body)
        if not await until_closed_or(connection, lambda: not self.is_cut):
            return None
        return answer

    async def _dispatch(self, path, headers, body):
        if headers.get("x-expect-instance", self.id) != self.id:
            return 421, {}
        call = json.loads(body)
        if call["fencing_token"] < self.token:
            return 409, {"clock_ms": self.clock_ms(), "reason": "fence"}
        self.token = call["fencing_token"]
        if path == "/crosspath/run-start":
            return self._start(call)
        if path == "/crosspath/run-stop":
            return self._stop(call)
        if path == "/crosspath/hold":
            return await self._hold(call)
        return 200, {"clock_ms": self.clock_ms()}

    def _lease(self, deadline_ms):
        if deadline_ms is not None:
            self.deadline_ms = max(self.deadline_ms, min(deadline_ms,
                                                         self.clock_ms() + HOLD_MAX_MS))

    def _start(self, call):
        task, number = call["task"], call["run"]
        if call["deadline_ms"] <= self.clock_ms():
            return 409, {"clock_ms": self.clock_ms(), "reason": "late"}
        self._lease(call["deadline_ms"])
        known = self.runs.get(task)
        if known and known.number == number:
            return 200, {"clock_ms": self.clock_ms()}
        if known or number <= self.voided.get(task, 0):
            return 409, {"clock_ms": self.clock_ms(), "reason": "old"}
        run = Run(self, task, number, json.loads(call["spec"]))
        self.judge.start(run)
        self.runs[task] = run
        return 200, {"clock_ms": self.clock_ms()}

    def _stop(self, call):
        task, number = call["task"], call["run"]
        run = self.runs.get(task)
        self.record.line(f"{self.id}: told to stop {task} run {number}")
        if run and run.number == number:
            loop = asyncio.get_running_loop()
            loop.call_later(STOP_S, lambda: run.ended is None and self._end(run, "stopped"))
        else:
            self.voided[task] = max(self.voided.get(task, 0), number)
        return 200, {"clock_ms": self.clock_ms()}

    async def _hold(self, call):
        self._lease(call.get("deadline_ms"))
        self.ends = [end for end in self.ends if end[0] > call["last_seen"]]
        deadline = time.monotonic() + min(call.get("wait_ms", 0), 2000) / 1000
        while not self.ends and time.monotonic() < deadline:
            changed = self.changed
            try:
                await asyncio.wait_for(changed.wait(), max(0, deadline - time.monotonic()))
            except asyncio.TimeoutError:
                break
        running = [[run.task, run.number, "", run.percent(), 0] for run in self.runs.values()]
        return 200, {"clock_ms": self.clock_ms(), "born": self.born, "running": running,
                     "ended": self.ends[:500]}


class Machines:
    """The platform's list of machines, a worker each. None is spare, and no order is taken."""

    def __init__(self, record, workers):
        self.record, self.workers, self.address = record, workers, None

    async def start(self):
        server = Server(self._handle)
        await server.start()
        self.address = f"127.0.0.1:{server.port}"

    async def _handle(self, connection, method, path, query, headers, body):
        if path == "/crosspath/machines":
            return 200, {"machines": [worker.machine() for worker in self.workers]}
        self.record.line(f"platform: {path} {body.decode()} -> 409 busy")
        return 409, {"reason": "busy"}


def free_ports(ip, count):
    """Ports of an address that nobody uses now."""
    sockets = [socket.socket() for _ in range(count)]
    for each in sockets:
        each.bind((ip, 0))
    ports = [each.getsockname()[1] for each in sockets]
    for each in sockets:
        each.close()
    return ports


class Daemon:
    """A `crosspathd` process, started with the deploy file's command."""

    def __init__(self, root, directory, record, number, store_address, machines_address):
        self.name, self.record, self.process = f"edge-{number}", record, None
        # Each daemon has a loopback address of its own.
        high, low = divmod(os.getpid() % 62_500, 250)
        self.ip = f"127.{1 + high}.{1 + low}.{number}"
        listen = dict(zip(("callers", "readiness", "peers", "metrics"), free_ports(self.ip, 4)))
        self.callers_port = listen["callers"]
        settings = {
            "name": self.name, "data_centre": "zone-a", "data_centres": ["zone-a"], "cores": 0.25,
            "listen": {key: f"{self.ip}:{port}" for key, port in listen.items()},
            "platform": {"log": store_address, "shards": SHARDS},
            "failure_domains": {"tolerated_data_centres": 0},
            "admission": {"prefer_feasible": False, "by_customer": False,
                          "reject_hopeless": False},
            "leases": {"longest_hold_ms": HOLD_MAX_MS, "membership_least_ms": 1000,
                       "vm_order_ms": 3000, "keep_ended_s": 120, "stop_grace_s": 6}}
        if machines_address:
            settings["platform"]["vms"] = machines_address
        self.settings = os.path.join(directory, f"{self.name}.json")
        self.log = os.path.join(directory, f"{self.name}.log")
        with open(self.settings, "w", encoding="utf-8") as file:
            json.dump(settings, file)
        self.program = os.path.join(root, "target/release/crosspathd")
        self.root = root

    def start(self):
        self.record.line(f"{self.name}: process starts")
        with open(self.log, "a", encoding="utf-8") as log:
            self.process = subprocess.Popen(
                [self.program, "--platform", self.settings], cwd=self.root, stdout=log, stderr=log,
                stdin=subprocess.DEVNULL, env={"PATH": os.environ.get("PATH", "")})

    def kill(self):
        """SIGKILL, by the process's own id."""
        if self.process:
            self.record.line(f"{self.name}: SIGKILL")
            self.process.kill()
            self.process.wait()
            self.process = None

    def has_ended_by_itself(self):
        return self.process is not None and self.process.poll() is not None

    async def call(self, method, queue, job, body=None, timeout=3.0):
        """One request of a client, on a connection of its own; status 0 if there is no answer."""
        try:
            return await asyncio.wait_for(self._call(method, queue, job, body, timeout), timeout)
        except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError, ValueError):
            return 0, {}

    async def _call(self, method, queue, job, body, timeout):
        reader, writer = await asyncio.open_connection(self.ip, self.callers_port)
        try:
            content = json.dumps(body).encode() if body is not None else b""
            writer.write(f"{method} /{queue}/{job} HTTP/1.1\r\nhost: {queue}.example\r\n"
                         f"x-deadline-ms: {int(timeout * 1000)}\r\n"
                         f"content-type: application/json\r\n"
                         f"content-length: {len(content)}\r\nconnection: close\r\n\r\n".encode()
                         + content)
            head = (await reader.readuntil(b"\r\n\r\n")).decode().lower()
            status = int(head.split(" ", 2)[1])
            length = 0
            for line in head.split("\r\n"):
                if line.startswith("content-length:"):
                    length = int(line.split(":")[1])
            content = await reader.readexactly(length)
            return status, json.loads(content) if content else {}
        finally:
            writer.close()

    async def client(self, method, queue, job, body=None):
        """As `call`, written to the record."""
        status, content = await self.call(method, queue, job, body)
        self.record.line(f"client: {method} /{queue}/{job} at {self.name} -> {status} "
                         f"{json.dumps(content)}")
        return status, content


class NotRun(Exception):
    """The case could not run: what it needs did not come about."""


class Deployment:
    """Daemons, store and workers of one case; ends every process that it started."""

    def __init__(self, folder):
        self.root = os.path.dirname(os.path.dirname(folder))
        self.record = Record(os.path.join(folder, "record.txt"))
        self.directory = tempfile.mkdtemp(prefix="crosspath-review-")
        self.judge = Judge(self.record)
        self.trouble = os.environ.get("TROUBLE", "1") != "0"
        self.daemons, self.workers, self.background = [], [], []
        self.record.line(f"trouble: {'yes' if self.trouble else 'no'}")

    async def open(self):
        self.store = Store(self.record)
        await self.store.start()
        # Started by the cases that need it.
        self.machines = Machines(self.record, self.workers)
        self.background.append(asyncio.create_task(self.store.expire_servers()))

    def add_daemon(self):
        daemon = Daemon(self.root, self.directory, self.record, len(self.daemons) + 1,
                        self.store.address, self.machines.address)
        self.daemons.append(daemon)
        daemon.start()

    async def add_worker(self, name, service, rack="r1-1"):
        worker = Worker(self.store, self.judge, name, service, rack)
        self.workers.append(worker)
        await worker.start()
        return worker

    async def until(self, what, condition, timeout):
        """Waits for a condition, which may be a coroutine function."""
        deadline = time.monotonic() + timeout
        while time.monotonic() < deadline:
            found = condition()
            if asyncio.iscoroutine(found):
                found = await found
            if found:
                return found
            await asyncio.sleep(0.02)
        raise NotRun(f"{what}: not within {timeout} s")

    async def submit(self, daemon, queue, job, body, timeout=20):
        """Hands a job in until it is accepted, as a client does."""
        async def accepted():
            status, _ = await daemon.client("POST", queue, job, body)
            if status != 200:
                await asyncio.sleep(0.3)
            return status == 200
        await self.until(f"job {job} accepted", accepted, timeout)

    async def close(self):
        for daemon in self.daemons:
            daemon.kill()
        for task in self.background:
            task.cancel()
        for worker in self.workers:
            for task in worker.tasks:
                task.cancel()
        if os.environ.get("KEEP"):
            print(f"logs: {self.directory}", file=sys.stderr)
        else:
            shutil.rmtree(self.directory, ignore_errors=True)


def main(folder, case, seconds=110):
    """Runs a case. Exit status: 0 the rule held, 1 it was broken, 2 the case could not run."""
    async def run():
        deployment = Deployment(folder)
        task = asyncio.current_task()
        for number in (signal.SIGTERM, signal.SIGINT):
            asyncio.get_running_loop().add_signal_handler(number, task.cancel)
        try:
            if not os.path.exists(os.path.join(deployment.root, "target/release/crosspathd")):
                raise NotRun("target/release/crosspathd is missing; build it first")
            await deployment.open()
            await asyncio.wait_for(case(deployment), seconds)
            for daemon in deployment.daemons:
                if daemon.has_ended_by_itself():
                    deployment.judge.violation(f"Fault: {daemon.name} has ended by itself")
            verdict = 1 if deployment.judge.broken else 0
        except (NotRun, asyncio.TimeoutError, asyncio.CancelledError) as error:
            deployment.record.line(f"the case could not run: {error!r}")
            verdict = 1 if deployment.judge.broken else 2
        finally:
            await deployment.close()
        deployment.record.line({0: "the rule held", 1: "the rule was broken",
                                2: "the case could not run"}[verdict])
        return verdict
    sys.exit(asyncio.run(run()))
