"""Stand-ins for workers and for the platform's machine service.

A worker follows PROTOCOL.md: it sends heartbeats with its runs and ends, obeys
the answers that arrive within a second, and keeps its runs for as long as its
lease lasts.
"""

import http.client
import http.server
import json
import threading
import time

ANSWER_TIMEOUT_S = 1.0


class Record:
    """What was sent, answered and run, with seconds since the start."""

    def __init__(self, path):
        self.file = open(path, "w")
        self.lock = threading.Lock()
        self.began = time.monotonic()
        self.events = []

    def now(self):
        return time.monotonic() - self.began

    def add(self, what, **fields):
        with self.lock:
            at = self.now()
            self.events.append((at, what, fields))
            text = " ".join(f"{key}={value}" for key, value in fields.items())
            self.file.write(f"{at:8.3f} {what} {text}\n")
            self.file.flush()

    def close(self):
        self.file.close()


class Run:
    def __init__(self, task, run, work_s):
        self.task = task
        self.run = run
        self.work_s = work_s
        self.began = time.monotonic()

    def percent(self):
        done = (time.monotonic() - self.began) / self.work_s
        return min(99, int(100 * done))


class Worker(threading.Thread):
    """One life of a machine. All state belongs to this thread."""

    def __init__(self, record, name, service, control, zone="hall-a",
                 rack="r1-1", cpu=16000, mem_mb=32768, work_s=None):
        super().__init__(daemon=True)
        self.record = record
        self.worker = "i-" + name
        self.machine = "m-" + name
        self.service = service
        self.control = list(control)
        self.zone = zone
        self.rack = rack
        self.cpu = cpu
        self.mem_mb = mem_mb
        self.work_s = work_s or (lambda task, run, spec: 1.0)
        self.born = int(time.time() * 1000)
        self.sequence = 0
        self.token = 0
        self.lease_end = 0.0
        self.runs = {}
        self.ends = []
        self.ended_runs = {}
        self.next_end = 1
        self.target = 0
        self.preferred = None
        self.is_cut = False
        self.is_stopping = False

    def end_run(self, key, how):
        run = self.runs.pop(key)
        self.ends.append([self.next_end, run.task, run.run, how, ""])
        self.next_end += 1
        self.ended_runs[run.task] = max(run.run, self.ended_runs.get(run.task, 0))
        self.record.add("end", worker=self.worker, task=run.task, run=run.run,
                        how=how)

    def advance(self):
        """Ends what is done and, once the lease is over, everything else."""
        now = time.monotonic()
        has_ended = False
        for key, run in list(self.runs.items()):
            if now >= run.began + run.work_s:
                self.end_run(key, "done")
                has_ended = True
        if now > self.lease_end:
            for key in list(self.runs):
                self.end_run(key, "lapsed")
                has_ended = True
        return has_ended

    def beat_body(self):
        self.sequence += 1
        return json.dumps({
            "service": self.service, "address": "127.0.0.1:9",
            "zone": self.zone, "version": "v1", "capacity": 8,
            "state": "ready", "warmup_left_ms": 0,
            "free_capacity": {"cpu": self.cpu, "mem_mb": self.mem_mb, "gpu": 0},
            "labels": ["a", self.rack], "machine": self.machine,
            "born": self.born, "clock_ms": int(time.monotonic() * 1000),
            "seq": self.sequence,
            "active": [[r.task, r.run, "", r.percent()]
                       for r in self.runs.values()],
            "finished": self.ends[:500],
        })

    def obey(self, answer, sent_at):
        token = answer.get("fencing_token", 0)
        if token < self.token:
            return
        self.token = token
        if "hold_ms" in answer:
            lease = min(answer["hold_ms"], 10000) / 1000
            self.lease_end = max(self.lease_end, sent_at + lease)
        acked = answer.get("ack_cursor", 0)
        self.ends = [end for end in self.ends if end[0] > acked]
        for task, run in answer.get("stop", []):
            if (task, run) in self.runs:
                self.end_run((task, run), "stopped")
            else:
                self.ended_runs[task] = max(run, self.ended_runs.get(task, 0))
        if "hold_ms" not in answer:
            return
        for entry in answer.get("start", []):
            task, run, spec = entry[:3]
            if (task, run) in self.runs:
                continue
            if run <= self.ended_runs.get(task, 0):
                self.ends.append([self.next_end, task, run, "refused", ""])
                self.next_end += 1
                continue
            self.record.add("start", worker=self.worker, task=task, run=run)
            self.runs[(task, run)] = Run(task, run, self.work_s(task, run, spec))

    def beat(self):
        """Sends one heartbeat; returns the pause to the next one, in seconds."""
        body = self.beat_body()
        sent_at = time.monotonic()
        if self.is_cut:
            self.wait(ANSWER_TIMEOUT_S)
            return 0.0
        address = self.preferred or self.control[self.target % len(self.control)]
        connection = http.client.HTTPConnection(*address, timeout=ANSWER_TIMEOUT_S)
        answer = None
        try:
            connection.request(
                "POST", f"/bamboostile/instances/{self.worker}/heartbeat", body,
                {"Content-Type": "application/json"})
            response = connection.getresponse()
            data = response.read()
            if response.status == 200:
                answer = json.loads(data)
        except (OSError, http.client.HTTPException, ValueError):
            pass
        finally:
            connection.close()
        is_late = time.monotonic() > sent_at + ANSWER_TIMEOUT_S
        if answer is None or is_late or self.is_cut:
            self.preferred = None
            self.target += 1
            return 0.1
        if "heartbeat_addr" in answer:
            host, _, port = answer["heartbeat_addr"].partition(":")
            self.preferred = (host, int(port))
        self.obey(answer, sent_at)
        return answer.get("idle_beat_ms", 1500) / 1000

    def wait(self, seconds):
        """Waits; an end cuts the wait short, as its beat follows 50 ms later."""
        end = time.monotonic() + seconds
        while time.monotonic() < end and not self.is_stopping:
            if self.advance():
                end = min(end, time.monotonic() + 0.05)
            time.sleep(0.01)

    def run(self):
        while not self.is_stopping:
            self.wait(self.beat())


class Platform:
    """Lists the machines and carries out moves and upkeeps."""

    def __init__(self, record, address, workers):
        self.record = record
        self.workers = workers
        platform = self

        class Handler(http.server.BaseHTTPRequestHandler):
            protocol_version = "HTTP/1.1"

            def answer(self, status, body):
                data = json.dumps(body).encode()
                self.send_response(status)
                self.send_header("Content-Type", "application/json")
                self.send_header("Content-Length", str(len(data)))
                self.end_headers()
                self.wfile.write(data)

            def do_GET(self):
                self.answer(200, platform.list())

            def do_POST(self):
                self.rfile.read(int(self.headers.get("Content-Length", 0)))
                platform.record.add("order refused", path=self.path)
                self.answer(409, {"reason": "busy"})

            def log_message(self, *_):
                pass

        self.server = http.server.ThreadingHTTPServer(address, Handler)
        self.server.daemon_threads = True
        threading.Thread(target=self.server.serve_forever, daemon=True).start()

    def list(self):
        return {"machines": [
            {"machine": w.machine, "pool": w.service, "state": "up",
             "zone": w.zone, "labels": ["a", w.rack],
             "free_capacity": {"cpu": w.cpu, "mem_mb": w.mem_mb, "gpu": 0},
             "id": w.worker} for w in self.workers]}

    def address(self):
        return "%s:%d" % self.server.server_address

    def stop(self):
        self.server.shutdown()
        self.server.server_close()
