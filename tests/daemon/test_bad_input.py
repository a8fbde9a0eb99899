"""Invalid input is answered with a result code and is never executed."""

import itertools
import socket

from radishstack import result

from tests.daemon import fixtures

_URL_PATH = "/v1/completions"


def _check(answer: fixtures.Answer, code: result.Code) -> None:
    assert answer.code == code.number, (answer, code)
    assert answer.status == code.status
    assert answer.executed == "no"


def _check_each(site: fixtures.Site) -> None:
    entry = "entry-1"
    url = site.url(entry, _URL_PATH)
    _check(site.complete(entry, "nobody", "x"), result.MODEL_UNKNOWN)
    _check(site.complete(entry, "adapter-1@9", "x"), result.VERSION_UNKNOWN)
    _check(site.complete(entry, "adapter-1@x", "x"), result.VERSION_UNKNOWN)
    _check(fixtures.call("POST", url, b"{"), result.BODY_MALFORMED)
    _check(fixtures.call("POST", url, b"[]"), result.BODY_MALFORMED)
    _check(fixtures.call("POST", url, {"model": 3}), result.BODY_MALFORMED)
    for path, fields in {
        "messages": {"messages": 7},
        "messages.1": {"messages": [{"role": "user", "content": "x"}, "y"]},
        "messages.0.role": {"messages": [{"content": "x"}]},
        "prompt": {"prompt": 7},
    }.items():
        body = {"model": "adapter-1", **fields}
        answer = fixtures.call("POST", url, body)
        _check(answer, result.BODY_MALFORMED)
        assert f"{path} is " in answer.json()["error"]["message"], answer
    _check(fixtures.call("POST", url, b"x" * 3000), result.BODY_TOO_LARGE)
    large = fixtures.call("POST", url, b"x" * 40_000_000)
    _check(large, result.BODY_TOO_LARGE)
    _check(fixtures.call("GET", url), result.METHOD_UNSUPPORTED)
    nowhere = site.url(entry, "/nowhere")
    _check(fixtures.call("GET", nowhere), result.PATH_UNKNOWN)
    booking = site.url(entry, "/v1/services/booking/reserve")
    _check(fixtures.call("POST", booking, {}), result.KEY_MISSING)
    _check(site.reserve(entry, "k" * 300, {}), result.KEY_INVALID)
    unknown = site.url(entry, "/v1/services/nobody/x")
    _check(fixtures.call("POST", unknown, {}), result.SERVICE_UNKNOWN)
    wrong = site.url(entry, "/v1/services/assistant/x")
    _check(fixtures.call("POST", wrong, {}), result.SERVICE_KIND_WRONG)
    _check(site.complete(entry, "booking", "x"), result.SERVICE_KIND_WRONG)
    for text in ("0", "-1", "soon", "9" * 30, "1.5"):
        headers = {"X-Request-Timeout-Ms": text}
        answer = site.complete(entry, "adapter-1", "x", headers=headers)
        _check(answer, result.TIMEOUT_INVALID)
    large = {"X-Large": "x" * 40_000}
    answer = site.complete(entry, "adapter-1", "x", headers=large)
    _check(answer, result.HEADERS_TOO_LARGE)


def test_bad_input_is_rejected_and_nothing_runs() -> None:
    """Covers each kind of invalid input of the callers' interface."""
    overrides = {"entry": {"max_body_bytes": 2048}}
    with fixtures.running_site(entries=1, engines=1, **overrides) as site:
        _check_each(site)
        assert site.state("engine-1-behind")["executions"] == []
        assert site.state("desk-1-behind")["executions"] == {}


def test_caller_disconnect_in_mid_stream_cancels_the_work() -> None:
    """Guards against engines that generate answers nobody reads.

    A caller reads the first events of a long stream and closes its connection.
    Unless the disconnect is forwarded, the target process continues to read.
    """
    with fixtures.running_site(entries=1, engines=1, plain_targets=0) as site:
        body = (
            b'{"model": "adapter-1", "prompt": "x", "stream": true, '
            b'"max_tokens": 100000}'
        )
        with socket.create_connection(
            (site.hosts["entry-1"], fixtures.PORT)
        ) as caller:
            caller.sendall(
                b"POST /v1/completions HTTP/1.1\r\nHost: x\r\n"
                b"Content-Length: %d\r\n\r\n%s" % (len(body), body)
            )
            received = b""
            while received.count(b"data:") < 3:
                received += caller.recv(65_536)
        fixtures.wait_until(
            lambda: site.state("engine-1-behind")["cancelled"] == 1,
            "the engine cancelled the stream",
        )
        fixtures.wait_until(
            lambda: site.status("engine-1")["running"] == 0,
            "the grant was released",
        )
        assert site.status("entry-1")["in_flight"] == 0


def test_admin_paths_are_not_on_the_callers_port() -> None:
    """Health, metrics and status are served on the admin port only."""
    with fixtures.running_site(entries=1, engines=1, plain_targets=0) as site:
        paths = ("/status", "/metrics", "/healthz", "/readyz", "/objects/x")
        for path, port in itertools.product(paths, (fixtures.PORT,)):
            answer = fixtures.call("GET", site.url("entry-1", path, port=port))
            assert answer.code == result.PATH_UNKNOWN.number
        metrics = site.url("entry-1", "/metrics", port=fixtures.ADMIN_PORT)
        text = fixtures.call("GET", metrics).body.decode()
        assert "radishstack_config_version" in text
