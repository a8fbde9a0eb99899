"""Crowds of clients that ignore the limits, at each HTTP port."""

from tests.clients import fixtures

_START = b"GET / HTTP/1.1\r\nHost: h\r\n"
_CHUNKED = b"POST /book/1 HTTP/1.1\r\nHost: shop.example\r\n" + (
    b"X-Attempt-Id: a\r\nTransfer-Encoding: chunked\r\n\r\n"
)
_PART = b"a" * 65_536
_LINES = b"X: y\r\n" * 10_000


def _pipelined(request: bytes) -> bytes:
    return request * (65_536 // len(request) + 1)


def test_a_header_without_end() -> None:
    """Guards against a head that is kept whole, however long it grows."""
    fixtures.check_each_port(fixtures.Form(_START + b"X: ", _PART))


def test_a_header_name_without_end() -> None:
    """Guards against a header name that is kept, however long it grows."""
    fixtures.check_each_port(fixtures.Form(_START, _PART))


def test_headers_without_end() -> None:
    """Guards against short headers, whose objects exceed their bytes."""
    fixtures.check_each_port(fixtures.Form(_START, _LINES))


def test_a_request_line_without_end() -> None:
    """Guards against a request target that is kept, however long it grows."""
    fixtures.check_each_port(fixtures.Form(b"GET /", _PART))


def test_large_heads_in_a_row() -> None:
    """Guards against complete heads over the limit, sent ahead."""
    request = _START + b"X: " + 256 * _PART + b"\r\n\r\n"
    fixtures.check_each_port(fixtures.Form(repeated=request))


def test_empty_lines_without_end() -> None:
    """Guards against a reader that empty lines before a request occupy."""
    fixtures.check_each_port(fixtures.Form(repeated=b"\r\n" * 32_768))


def test_pipelined_requests_without_headers() -> None:
    """Guards against requests that are parsed faster than answers are read."""
    requests = _pipelined(b"GET / HTTP/1.1\r\n\r\n")
    fixtures.check_each_port(fixtures.Form(repeated=requests))


def test_pipelined_readiness_checks() -> None:
    """Guards against cheap answers that nobody reads."""
    requests = _pipelined(b"GET /-/readyz HTTP/1.1\r\nHost: h\r\n\r\n")
    fixtures.check_each_port(fixtures.Form(repeated=requests))


def test_pipelined_requests_whose_answers_are_read() -> None:
    """Guards against requests that wait in memory for those before them."""
    requests = _pipelined(b"GET /metrics HTTP/1.1\r\nHost: h\r\n\r\n")
    fixtures.check_each_port(fixtures.Form(repeated=requests, reads=True))


def test_pipelined_requests_with_bodies() -> None:
    """Guards against bodies of requests that wait for those before them."""
    request = (
        b"POST /book/1 HTTP/1.1\r\nHost: shop.example\r\n"
        b"X-Attempt-Id: a\r\nContent-Length: 20000\r\n\r\n" + 20_000 * b"a"
    )
    fixtures.check_each_port(fixtures.Form(repeated=4 * request))


def test_pipelined_invalid_requests() -> None:
    """Guards against error answers beside the flow control."""
    fixtures.check_each_port(fixtures.Form(repeated=_pipelined(b"?\r\n\r\n")))


def test_a_body_without_end() -> None:
    """Guards against a body that is longer than any limit."""
    first = _CHUNKED.replace(
        b"Transfer-Encoding: chunked", b"Content-Length: 999999999999"
    )
    fixtures.check_each_port(fixtures.Form(first, _PART))


def test_chunks_without_end() -> None:
    """Guards against a body whose length is never told."""
    chunk = b"10000\r\n" + _PART + b"\r\n"
    fixtures.check_each_port(fixtures.Form(_CHUNKED, chunk))


def test_chunks_of_empty_lines() -> None:
    """Guards against a body that is parsed more slowly than it is read."""
    chunk = b"10000\r\n" + 32_768 * b"\r\n" + b"\r\n"
    fixtures.check_each_port(fixtures.Form(_CHUNKED, chunk))


def test_a_chunk_extension_without_end() -> None:
    """Guards against bytes of a body that are no data."""
    fixtures.check_each_port(fixtures.Form(_CHUNKED + b"1;", _PART))


def test_trailers_without_end() -> None:
    """Guards against headers behind a body."""
    fixtures.check_each_port(fixtures.Form(_CHUNKED + b"0\r\n", _LINES))


def test_connections_without_a_request() -> None:
    """Guards against connections that take all descriptors for good."""
    fixtures.check_each_port(fixtures.Form(), fixtures.LARGE_CROWD, stays=True)


def test_connections_with_part_of_a_head() -> None:
    """Guards against heads that never end, beside ordinary callers."""
    fixtures.check_each_port(
        fixtures.Form(_START), fixtures.LARGE_CROWD, stays=True
    )


def test_connections_with_a_slow_head() -> None:
    """Guards against a byte now and then that restarts a timeout."""
    form = fixtures.Form(_START + b"X: ", b"a", pause_s=0.1)
    fixtures.check_each_port(form, fixtures.LARGE_CROWD, stays=True)


def test_connections_with_slow_empty_lines() -> None:
    """Guards against empty lines that restart a timeout."""
    form = fixtures.Form(b"\r\n", b"\r\n", pause_s=0.1)
    fixtures.check_each_port(form, fixtures.LARGE_CROWD, stays=True)


def test_connections_with_part_of_a_body() -> None:
    """Guards against bodies that never end, beside ordinary callers."""
    form = fixtures.Form(_CHUNKED + b"5\r\nabc")
    fixtures.check_each_port(form, fixtures.LARGE_CROWD, stays=True)


def test_connections_that_read_no_answers() -> None:
    """Guards against answers that wait for their reader for good."""
    requests = _pipelined(b"GET /metrics HTTP/1.1\r\nHost: h\r\n\r\n")
    form = fixtures.Form(repeated=requests)
    fixtures.check_each_port(form, fixtures.LARGE_CROWD, stays=True)


def _body_without_its_end(path: bytes) -> fixtures.Form:
    size = fixtures.MAX_BODY_BYTES
    head = (
        b"POST %s HTTP/1.1\r\nHost: shop.example\r\nX-Attempt-Id: a\r\n" % path
    )
    length = b"Content-Length: %d\r\n\r\n" % size
    return fixtures.Form(head + length + (size - 1) * b"a")


def test_the_sum_of_bodies_at_a_gateway() -> None:
    """Guards against bodies inside the limit that exceed the memory in sum."""
    form = _body_without_its_end(b"/book/1")
    fixtures.check_each_port(
        form, fixtures.BODIES_CROWD, stays=True, only="gateway callers"
    )


def test_the_sum_of_bodies_at_an_entry() -> None:
    """Guards against bodies inside the limit that exceed the memory in sum."""
    form = _body_without_its_end(b"/v1/completions")
    fixtures.check_each_port(
        form, fixtures.BODIES_CROWD, stays=True, only="entry callers"
    )


def _whole_body(path: bytes, start: bytes, end: bytes) -> fixtures.Form:
    size = fixtures.MAX_BODY_BYTES
    head = (
        b"POST %s HTTP/1.1\r\nHost: shop.example\r\nX-Attempt-Id: a\r\n" % path
    )
    length = b"Content-Length: %d\r\n\r\n" % size
    body = start + (size - len(start) - len(end)) * b"a" + end
    return fixtures.Form(head + length + body)


def test_the_sum_of_whole_bodies_at_a_gateway() -> None:
    """Guards against copies of bodies while their requests are served."""
    form = _whole_body(b"/book/1", b"", b"")
    fixtures.check_each_port(
        form, fixtures.BODIES_CROWD, stays=True, only="gateway callers"
    )


def test_the_sum_of_whole_bodies_at_an_entry() -> None:
    """Guards against copies of bodies while their requests are served."""
    form = _whole_body(
        b"/v1/completions", b'{"model": "adapter-0", "prompt": "', b'"}'
    )
    fixtures.check_each_port(
        form, fixtures.BODIES_CROWD, stays=True, only="entry callers"
    )
