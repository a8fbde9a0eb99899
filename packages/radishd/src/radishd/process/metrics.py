"""The metrics of a process; ``docs/OPERATIONS.md`` explains each."""

import math

import aioprometheus

# From a call on the same VM to the longest time that callers wait.
LATENCY_BUCKETS_MS = [
    1.0,
    5.0,
    10.0,
    25.0,
    50.0,
    100.0,
    200.0,
    400.0,
    800.0,
    1_600.0,
    5_000.0,
    math.inf,
]


class Metrics:
    """All metrics of one process, in one registry."""

    def __init__(self, **labels: str) -> None:
        """Registers the metrics.

        Args:
            **labels: Labels of every sample, for example ``name``.
        """
        self.registry = aioprometheus.Registry()

        registry = self.registry

        def counter(name: str, doc: str) -> aioprometheus.Counter:
            return aioprometheus.Counter(
                f"radishstack_{name}", doc, labels, registry
            )

        def gauge(name: str, doc: str) -> aioprometheus.Gauge:
            return aioprometheus.Gauge(
                f"radishstack_{name}", doc, labels, registry
            )

        self.requests = counter("requests_total", "Requests by result code")
        self.retries = counter("retries_total", "Retries by reason")
        self.resumes = counter("resumes_total", "Streams resumed after a cut")
        self.cut = counter("cut_total", "Answers cut short, by reason")
        self.probes = counter("probes_total", "Probes by outcome")
        self.loads = counter("loads_total", "Adapter loads by outcome")
        self.unloads = counter("unloads_total", "Adapter unloads by outcome")
        self.refusals = counter("refusals_total", "Refusals by code")
        self.stalled = counter(
            "stalled_total", "Attempts that waited for a load"
        )
        self.stall_ms = counter(
            "stall_ms_total", "Milliseconds attempts waited for a load"
        )
        self.store_calls = counter(
            "store_calls_total", "Calls of the object API by outcome"
        )
        self.unreadable = counter(
            "unreadable_objects_total",
            "Objects of the store that could not be used, by kind",
        )
        self.control_bytes = counter(
            "control_bytes_total", "Bytes of probes and digests by direction"
        )
        self.control_lost = counter(
            "control_lost_total", "Datagrams that could not be sent"
        )
        self.sends = counter("sends_total", "Sends to targets by outcome")
        self.target_connections = counter(
            "target_connections_total",
            "Connections used for sends to targets, by whether reused",
        )
        self.connections_refused = counter(
            "connections_refused_total",
            "Callers' connections that were closed unread as too many are open",
        )
        self.clients_refused = counter(
            "clients_refused_total",
            "Clients that were refused or closed beyond a limit, by port and "
            "reason",
        )
        self.client_bytes = gauge(
            "client_bytes", "Bytes that clients' connections hold in memory"
        )
        self.response_ends = counter(
            "response_ends_total",
            "Ends of targets' responses, by framing and by how they ended",
        )
        self.continued_streams = counter(
            "streams_continued_total",
            "Streams continued by a later send, by who resumed them and by "
            "whether it has the software version that began them",
        )
        self.stream_lookups = counter(
            "stream_lookups_total",
            "Lookups of the software version that began a stream, by source",
        )
        self.stream_records = gauge(
            "stream_records", "Streams whose software version is recorded here"
        )
        self.stream_records_dropped = counter(
            "stream_records_dropped_total",
            "Records of streams that were dropped because there were too many",
        )
        self.crashes = counter(
            "target_breaks_total",
            "Targets that broke answers off, by whether they had ended",
        )
        self.quarantined_requests = gauge(
            "quarantined_requests",
            "Requests that are refused since targets ended under them",
        )
        self.usage_refused = counter(
            "usage_refused_total", "Requests rejected beyond a usage cap"
        )
        self.usage_loans = counter(
            "usage_loans_total", "Loans of usage caps, by side"
        )
        self.rate_limited_targets = gauge(
            "rate_limited_targets", "Targets that name a rate limit"
        )
        self.rate_limited = counter(
            "rate_limited_total",
            "Requests rejected beyond rate limits of targets, by service",
        )
        self.orders = counter("orders_total", "Orders to the engine by verdict")
        self.pauses = counter(
            "process_pauses_total", "Times that this process stood still"
        )
        self.log_dropped = gauge(
            "log_dropped_lines", "Log lines dropped since the last one written"
        )
        self.first_byte_ms = aioprometheus.Histogram(
            "radishstack_first_byte_ms",
            "Time from a request's arrival to its first byte, by service",
            labels,
            registry,
            LATENCY_BUCKETS_MS,
        )
        self.order_ms = aioprometheus.Histogram(
            "radishstack_order_ms",
            "Time from an order to its answer",
            labels,
            registry,
            LATENCY_BUCKETS_MS,
        )
        self.version = gauge("config_version", "Configuration version held")
        self.in_flight = gauge("in_flight", "Requests or runs in flight")
        self.queued = gauge("queued", "Attempts queued")
        self.resident = gauge("resident_adapters", "Adapters resident")
        self.kept_bytes = gauge("kept_bytes", "Bytes of answers kept for keys")
        self.broken = counter(
            "invariants_broken_total", "Broken invariants by code"
        )
