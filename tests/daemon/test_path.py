"""The complete request path as separate processes, on real sockets."""

from standins import answer

from tests.daemon import fixtures


def _expected(model: str, prompt: str, count: int) -> str:
    return answer.expected_text(model, {"prompt": prompt, "max_tokens": count})


def test_cold_adapter_is_answered_whole_streamed_and_plain() -> None:
    """Answers come from the requested adapter and are complete."""
    with fixtures.running_site() as site:
        plain = site.complete("entry-1", "adapter-3", "hello", max_tokens=9)
        assert plain.status == 200, plain
        text = plain.json()["choices"][0]["text"]
        assert text == _expected("adapter-3@1", "hello", 9)
        assert plain.headers["x-radishstack-adapter"] == "adapter-3@1"
        assert plain.headers["x-radishstack-config-version"] == "1"

        streamed = site.complete(
            "entry-2", "adapter-5@1", "bye", max_tokens=40, stream=True
        )
        assert streamed.whole
        assert streamed.headers["content-type"] == "text/event-stream"
        text = fixtures.text_of_stream(streamed.body)
        assert text == _expected("adapter-5@1", "bye", 40)
        metrics = "".join(
            fixtures.call(
                "GET", site.url(name, "/metrics", port=fixtures.ADMIN_PORT)
            ).body.decode()
            for name in ("engine-1", "engine-2")
        )
        assert 'radishstack_stall_ms_total{name="engine-' in metrics
        assert not site.state("engine-1-behind")["violations"]
        assert not site.state("engine-2-behind")["violations"]


def test_keyed_call_runs_once_through_both_entries() -> None:
    """A key sent again through another entry gets the recorded answer."""
    with fixtures.running_site() as site:
        first = site.reserve("entry-1", "crew-7", {"lens": 35})
        again = site.reserve("entry-2", "crew-7", {"lens": 35})
        other = site.reserve("entry-2", "crew-7", {"lens": 50})
        assert first.status == again.status == 200
        assert first.body == again.body
        assert (other.status, other.code, other.executed) == (422, 1007, "no")
        assert site.state("desk-1-behind")["executions"] == {"crew-7": 1}


def test_new_version_is_in_force_for_new_requests() -> None:
    """New requests use a new adapter version once it is accepted."""
    with fixtures.running_site() as site:
        site.complete("entry-1", "adapter-1", "x")
        added = site.radishctl(
            "adapter", "add-version", "adapter-1", "2", "--source", "s/2"
        )
        assert added.returncode == 0, added.stderr
        set_current = site.radishctl("adapter", "set-current", "adapter-1", "2")
        assert set_current.returncode == 0, set_current.stderr
        site.wait_in_force(3)
        for entry in site.entries:
            new = site.complete(entry, "adapter-1", "x", max_tokens=4)
            text = new.json()["choices"][0]["text"]
            assert text == _expected("adapter-1@2", "x", 4)
            old = site.complete(entry, "adapter-1@1", "x", max_tokens=4)
            text = old.json()["choices"][0]["text"]
            assert text == _expected("adapter-1@1", "x", 4)
