"""A cell of controllers and routers as processes on loopback, and calls to it, for the scripts beside this file."""
import asyncio
import json
import random
import signal
import socket
import subprocess
import time

CONTROLLERS = 3
HOSTS = [f"127.0.0.{number + 1}" for number in range(CONTROLLERS)]
LISTENING_PORTS = (20000, 32000)
ACKNOWLEDGED_S = 4.0  # A change of the configuration, also while builds are mixed.
given_ports = set()
port_choice = random.Random()  # Apart from the draws that a script seeds.


def is_free(host, port):
    with socket.socket() as probe:
        try:
            probe.bind((host, port))
        except OSError:
            return False
    return True


def free_port():
    """A port that is free on the addresses of all controllers and was not returned before. It is below
    the range from which the system takes the ports of outgoing connections."""
    while True:
        port = port_choice.randrange(*LISTENING_PORTS)
        if port not in given_ports and all(is_free(host, port) for host in HOSTS):
            given_ports.add(port)
            return port


async def read_message(reader):
    """Head lines, header fields (lower case) and body of one HTTP message with a length."""
    head = (await reader.readuntil(b"\r\n\r\n")).decode().split("\r\n")
    fields = {}
    for line in head[1:]:
        if ":" in line:
            name, value = line.split(":", 1)
            fields[name.strip().lower()] = value.strip()
    body = await reader.readexactly(int(fields.get("content-length", "0")))
    return head[0], fields, body


class Connection:
    """A connection of a caller that is used again and again, until its peer closes it."""

    def __init__(self, address):
        self.address = address
        self.writer = None

    async def call(self, method, path, fields, body, timeout=4.0):
        """Sends one request; returns status, fields and body of the answer."""
        async def exchange():
            if self.writer is None:
                self.reader, self.writer = await asyncio.open_connection(*self.address)
            lines = [f"{method} {path} HTTP/1.1", f"Content-Length: {len(body)}"]
            lines += [f"{name}: {value}" for name, value in fields.items()]
            self.writer.write(("\r\n".join(lines) + "\r\n\r\n").encode() + body)
            first, answered, answer = await read_message(self.reader)
            if answered.get("connection", "").lower() == "close":
                self.close()
            return int(first.split()[1]), answered, answer

        try:
            return await asyncio.wait_for(exchange(), timeout)
        except BaseException:
            self.close()
            raise

    def close(self):
        if self.writer is not None:
            self.writer.close()
        self.writer = None


async def call(address, method, path, fields, body, timeout=4.0):
    """Sends one request on a connection of its own."""
    connection = Connection(address)
    try:
        return await connection.call(method, path, {"Host": address[0], **fields}, body, timeout)
    finally:
        connection.close()


class Runner:
    """Registered runner of the service "app" that answers health checks. Subclasses answer requests."""

    def __init__(self, number):
        self.id = f"runner-{number}"
        self.sequence = 0

    async def start(self):
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        self.port = self.server.sockets[0].getsockname()[1]

    async def serve(self, reader, writer):
        try:
            keeps_connection = True
            while keeps_connection:
                first, fields, _ = await read_message(reader)
                if first.startswith("GET /health "):
                    writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
                else:
                    keeps_connection = await self.answer(reader, writer, fields)
        except (asyncio.IncompleteReadError, asyncio.CancelledError, ConnectionError):
            pass
        finally:
            writer.close()

    async def answer(self, reader, writer, fields):
        """Answers the request with these fields; returns whether another one may follow."""
        raise NotImplementedError

    async def beat(self, cell):
        while True:
            self.sequence += 1
            beat = {"Service": "app", "Address": f"127.0.0.1:{self.port}", "Zone": "z1",
                    "Version": "v1", "Slots": 64, "State": "ready", "ColdRemainingMs": 0,
                    "Sequence": self.sequence}
            await cell.control("POST", f"/fernlift/instances/{self.id}/heartbeat", beat)
            await asyncio.sleep(0.5)


class Process:
    """A controller or router; the build may change with each start."""

    def __init__(self, folder, name, program, settings, present_settings=""):
        self.name = name
        self.program = program
        self.settings = folder / f"{name}.toml"
        self.common_settings = settings
        self.present_settings = present_settings  # That earlier builds don't know.
        self.log = folder / f"{name}.log"
        self.is_present = False

    def start(self, bins, is_present):
        self.is_present = is_present
        self.settings.write_text(
            self.common_settings + (self.present_settings if is_present else ""))
        program, *words = self.program
        with open(self.log, "a", encoding="utf-8") as log:
            self.process = subprocess.Popen(
                [str(bins / program), *words, "--settings", str(self.settings)], stdout=log,
                stderr=log)

    async def stop(self):
        self.process.send_signal(signal.SIGTERM)
        while self.process.poll() is None:
            await asyncio.sleep(0.05)


class Cell:
    """Three controllers and some routers. `configuration` makes the configuration of a version."""

    def __init__(self, folder, configuration, routers):
        self.configuration = configuration
        peer, control, http = free_port(), free_port(), free_port()
        seeds = ", ".join(f'"{host}:{control}"' for host in HOSTS)
        self.controls = [(host, control) for host in HOSTS]
        self.version = 0
        self.slowest_change = 0.0
        self.problems = []
        self.controllers = []
        for number, host in enumerate(HOSTS):
            self.controllers.append(Process(folder, f"controller-{number}", ["fernlift-controller"], f"""
cell = "main"
zone = "z1"
data_dir = "{folder}/data-{number}"
peer_address = "{host}:{peer}"
http_address = "{host}:{http}"
control_address = "{host}:{control}"
seeds = [{seeds}]
seed_peer_port = {peer}
bootstrap = true
"""))
        self.routers = []
        self.fronts = []
        for number in range(routers):
            front, ready = free_port(), free_port()
            self.fronts.append((("127.0.0.1", front), ("127.0.0.1", ready)))
            self.routers.append(Process(folder, f"router-{number}", ["fernlift-router", "forward"], f"""
id = "router-{number}"
cell = "main"
zone = "z1"
front_address = "127.0.0.1:{front}"
readiness_address = "127.0.0.1:{ready}"
seeds = [{seeds}]
seed_peer_port = {peer}
""", f"""
peer_address = "127.0.0.1:{free_port()}"
"""))
        self.processes = self.controllers + self.routers

    async def control(self, method, path, value):
        """Asks one controller after the other, as runners and operators do."""
        body = json.dumps(value).encode()
        for _ in range(40):
            for address in random.sample(self.controls, len(self.controls)):
                try:
                    status, fields, _ = await call(address, method, path,
                                                   {"Content-Type": "application/json"}, body, 1.0)
                    if status == 307:
                        host, port = fields["location"].split("/")[2].split(":")
                        status, _, _ = await call((host, int(port)), method, path,
                                                  {"Content-Type": "application/json"}, body, 1.0)
                    if status < 300:
                        return True
                except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError):
                    continue
            await asyncio.sleep(0.25)
        return False

    async def change(self):
        """Changes the configuration; it is acknowledged also while builds are mixed."""
        self.version += 1
        begun = time.monotonic()
        taken = await self.control("POST", "/fernlift/config/replace", self.configuration(self.version))
        took = time.monotonic() - begun
        self.slowest_change = max(self.slowest_change, took)
        if not taken or took > ACKNOWLEDGED_S:
            self.problems.append(f"configuration {self.version}: {took:.1f} s, taken: {taken}")

    async def await_ready(self):
        for _, ready in self.fronts:
            for _ in range(200):
                try:
                    status, _, _ = await call(ready, "GET", "/fernlift/readiness", {}, b"", 1.0)
                    if status == 200:
                        break
                except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError):
                    pass
                await asyncio.sleep(0.1)
            else:
                raise RuntimeError("a router did not become ready")


def configuration_of(version, routes):
    """Configuration of the service "app" with these routes."""
    return {"Version": version, "Routes": routes,
            "Services": [{"Name": "app", "HealthPath": "/health", "MaxConnections": 1000,
                          "Protocol": "h1", "Tls": False}],
            "Limits": {"MaxHeaderBytes": 16384, "MaxBodyBytes": 65536, "HeaderTimeoutMs": 3000,
                       "IdleTimeoutMs": 15000}}
